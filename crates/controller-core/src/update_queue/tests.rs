use super::*;
use crate::deployment::tests::test_deployment;
use proptest::prelude::*;

fn at(seconds: f64) -> Moment {
    Moment::from_seconds(seconds)
}

fn queue(entries_per_second: f64, max_messages: u32) -> UpdateQueue {
    let plan = UpdateQueueConfig {
        entries_per_second,
        max_messages,
        ..test_deployment().update_queue
    };
    UpdateQueue::new(at(0.0), &plan)
}

#[test]
fn updates_go_by_urgency_and_a_newer_update_replaces_an_older_one() {
    let mut queue = queue(1e6, 0);
    for (proxy, urgency) in [
        (1, Urgency::Disconnected),
        (2, Urgency::Update),
        (3, Urgency::FirstTables),
        (4, Urgency::Update),
    ] {
        queue.enqueue(at(1.0), ProxyId(proxy), 5.0, urgency);
    }
    queue.enqueue(at(2.0), ProxyId(4), 3.0, Urgency::Removal);
    queue.enqueue(at(2.5), ProxyId(4), 4.0, Urgency::Update);
    assert_eq!(
        (queue.queued_entries(), queue.counts().superseded),
        (4.0 * 6.0 + 15.0 + 4.0, 2)
    );
    let order: Vec<u16> = std::iter::from_fn(|| queue.start_next(at(3.0)))
        .map(|proxy| proxy.0)
        .collect();
    assert_eq!(order, [4, 3, 2, 1]);
}

#[test]
fn a_slow_queue_keeps_its_pacing_and_builds_up_no_backlog() {
    let mut queue = queue(100.0, 0);
    let mut sent = 0;
    for tick in 0..1000 {
        let now = at(10.0 + f64::from(tick) * 0.01);
        for proxy in 0..20 {
            queue.enqueue(now, ProxyId(proxy), 4.0, Urgency::Update);
        }
        while let Some(proxy) = queue.start_next(now) {
            queue.on_written(proxy);
            sent += 1;
        }
        assert!(queue.queued_entries() <= 20.0 * 10.0);
    }
    // Ten seconds at 100 entries per second, with ten entries per update including overhead.
    assert!((98..=103).contains(&sent), "{sent}");
}

#[test]
fn a_failed_write_is_retried_with_a_growing_backoff_and_the_newest_update() {
    let mut queue = queue(1e6, 0);
    queue.enqueue(at(1.0), ProxyId(1), 5.0, Urgency::Update);
    assert_eq!(queue.start_next(at(1.0)), Some(ProxyId(1)));
    queue.enqueue(at(1.1), ProxyId(1), 2.0, Urgency::Update);
    assert_eq!(
        queue.start_next(at(1.2)),
        None,
        "only one write per proxy is in flight"
    );
    let first = queue.on_write_failed(at(1.2), ProxyId(1), Urgency::Update);
    assert_eq!(queue.start_next(at(1.2)), None);
    let later = at(1.2) + first;
    assert_eq!(queue.wake_at(at(1.2)), Some(later));
    assert_eq!(queue.start_next(later), Some(ProxyId(1)));
    assert_eq!(
        queue.on_write_failed(later, ProxyId(1), Urgency::Update),
        first * 2.0
    );
    assert_eq!(queue.start_next(at(100.0)), Some(ProxyId(1)));
    queue.on_written(ProxyId(1));
    assert_eq!(queue.queued_entries(), 0.0);
}

proptest! {
    // No proxy gets more updates in any window than the message cap, whatever is offered and whenever.
    #[test]
    fn no_window_contains_more_updates_than_the_message_cap(steps in prop::collection::vec((0u16..4, 0u64..400, any::<bool>()), 1..400)) {
        let mut queue = queue(1e5, 5);
        let (mut now, mut sent) = (at(0.0), BTreeMap::<ProxyId, Vec<Moment>>::new());
        for (proxy, wait, fails) in steps {
            now = now + Span::from_seconds(wait as f64 / 1000.0);
            queue.enqueue(now, ProxyId(proxy), 1.0, Urgency::Update);
            while let Some(proxy) = queue.start_next(now) {
                sent.entry(proxy).or_default().push(now);
                if fails { queue.on_write_failed(now, proxy, Urgency::Update); } else { queue.on_written(proxy); }
            }
        }
        for times in sent.values() {
            for (index, first) in times.iter().enumerate() {
                let within = times[index..].iter().filter(|at| **at - *first < Span::from_seconds(10.0));
                prop_assert!(within.count() <= 5);
            }
        }
    }
}
