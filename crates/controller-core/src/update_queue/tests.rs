use super::*;
use crate::deployment::tests::plan;
use proptest::prelude::*;

fn at(seconds: f64) -> Moment {
    Moment::from_seconds(seconds)
}

fn channel(lines_per_second: f64, messages_at_most: u32) -> UpdateQueue {
    let plan = ChannelPlan {
        lines_per_second,
        messages_at_most,
        ..plan().channel
    };
    UpdateQueue::new(at(0.0), &plan)
}

#[test]
fn removals_go_before_joins_and_changes_and_the_newest_in_the_place_of_the_old() {
    let mut channel = channel(1e6, 0);
    for (proxy, urgency) in [
        (1, Urgency::Away),
        (2, Urgency::Change),
        (3, Urgency::Empty),
        (4, Urgency::Change),
    ] {
        channel.offer(at(1.0), ProxyId(proxy), 5.0, urgency);
    }
    channel.offer(at(2.0), ProxyId(4), 3.0, Urgency::Removal);
    channel.offer(at(2.5), ProxyId(4), 4.0, Urgency::Change);
    assert_eq!(
        (channel.lines_waiting(), channel.overtaken),
        (4.0 * 6.0 + 15.0 + 4.0, 2)
    );
    let order: Vec<u16> = std::iter::from_fn(|| channel.next(at(3.0)))
        .map(|proxy| proxy.0)
        .collect();
    assert_eq!(order, [4, 3, 2, 1]);
}

#[test]
fn a_slow_channel_keeps_its_pace_and_no_queue() {
    let mut channel = channel(100.0, 0);
    let mut sent = 0;
    for tick in 0..1000 {
        let now = at(10.0 + f64::from(tick) * 0.01);
        for proxy in 0..20 {
            channel.offer(now, ProxyId(proxy), 4.0, Urgency::Change);
        }
        while let Some(proxy) = channel.next(now) {
            channel.done(proxy);
            sent += 1;
        }
        assert!(channel.lines_waiting() <= 20.0 * 10.0);
    }
    // Ten seconds at 100 lines a second and ten lines a message.
    assert!((98..=103).contains(&sent), "{sent}");
}

#[test]
fn a_write_that_fails_is_tried_again_later_each_time_with_the_newest() {
    let mut channel = channel(1e6, 0);
    channel.offer(at(1.0), ProxyId(1), 5.0, Urgency::Change);
    assert_eq!(channel.next(at(1.0)), Some(ProxyId(1)));
    channel.offer(at(1.1), ProxyId(1), 2.0, Urgency::Change);
    assert_eq!(
        channel.next(at(1.2)),
        None,
        "one write of a proxy at a time"
    );
    let first = channel.failed(at(1.2), ProxyId(1), Urgency::Change);
    assert_eq!(channel.next(at(1.2)), None);
    let later = at(1.2) + first;
    assert_eq!(channel.wake_at(at(1.2)), Some(later));
    assert_eq!(channel.next(later), Some(ProxyId(1)));
    assert_eq!(
        channel.failed(later, ProxyId(1), Urgency::Change),
        first * 2.0
    );
    assert_eq!(channel.next(at(100.0)), Some(ProxyId(1)));
    channel.done(ProxyId(1));
    assert_eq!(channel.lines_waiting(), 0.0);
}

proptest! {
    // Whatever is offered and whenever the channel is asked, no proxy gets more than its cap.
    #[test]
    fn the_cap_on_messages_holds(steps in prop::collection::vec((0u16..4, 0u64..400, any::<bool>()), 1..400)) {
        let mut channel = channel(1e5, 5);
        let (mut now, mut sent) = (at(0.0), BTreeMap::<ProxyId, Vec<Moment>>::new());
        for (proxy, wait, fails) in steps {
            now = now + Span::from_seconds(wait as f64 / 1000.0);
            channel.offer(now, ProxyId(proxy), 1.0, Urgency::Change);
            while let Some(proxy) = channel.next(now) {
                sent.entry(proxy).or_default().push(now);
                if fails { channel.failed(now, proxy, Urgency::Change); } else { channel.done(proxy); }
            }
        }
        for times in sent.values() {
            for (place, first) in times.iter().enumerate() {
                let within = times[place..].iter().filter(|at| **at - *first < Span::from_seconds(10.0));
                prop_assert!(within.count() <= 5);
            }
        }
    }
}
