use super::*;

fn at(seconds: f64) -> Moment {
    Moment::from_seconds(seconds)
}

fn marks(events: Vec<Event>) -> Vec<u32> {
    let mark = |event: &Event| match event {
        Event::MarkerAcknowledged { marker: mark, .. } => mark.0,
        other => panic!("{other:?}"),
    };
    events.iter().map(mark).collect()
}

#[test]
fn a_proxy_without_status_is_taken_to_hold_it_after_a_second() {
    let mut asked = Acknowledgements::default();
    asked.ask(at(0.0), ProxyId(1), MarkerId(1), Version(5));
    assert_eq!(
        marks(asked.answered(at(9.0))),
        [] as [u32; 0],
        "it was not even pointed at it"
    );
    asked.pointed(at(9.0), ProxyId(1), Version(5));
    assert_eq!(marks(asked.answered(at(9.9))), [] as [u32; 0]);
    assert_eq!(asked.wake_at(), Some(at(10.0)));
    assert_eq!(marks(asked.answered(at(10.0))), [1]);
}

#[test]
fn a_proxy_with_status_answers_when_it_says_so_and_a_newer_version_answers_older_marks() {
    let mut asked = Acknowledgements::default();
    asked.told(at(0.0), ProxyId(1), Version(4));
    asked.ask(at(0.0), ProxyId(1), MarkerId(1), Version(5));
    asked.ask(at(0.1), ProxyId(1), MarkerId(2), Version(6));
    asked.ask(at(0.2), ProxyId(1), MarkerId(3), Version(8));
    asked.pointed(at(0.2), ProxyId(1), Version(7));
    assert_eq!(
        marks(asked.answered(at(60.0))),
        [] as [u32; 0],
        "it told of itself before: it is not guessed"
    );
    asked.told(at(60.0), ProxyId(1), Version(7));
    assert_eq!(marks(asked.answered(at(60.0))), [1, 2]);
}

#[test]
fn a_stream_that_is_silent_or_refuses_counts_for_nothing_and_is_waited_for_no_longer_than_a_second()
{
    let mut asked = Acknowledgements::default();
    asked.streams(ProxyId(1));
    asked.ask(at(0.0), ProxyId(1), MarkerId(1), Version(5));
    asked.pointed(at(0.0), ProxyId(1), Version(5));
    asked.refused(ProxyId(1), Version(5));
    assert_eq!(
        marks(asked.answered(at(0.9))),
        [] as [u32; 0],
        "a refusal is no answer"
    );
    assert_eq!(asked.wake_at(), Some(at(1.0)));
    assert_eq!(marks(asked.answered(at(1.0))), [1]);
    assert_eq!(
        asked.holds(ProxyId(1)),
        None,
        "and it is not said to hold it"
    );
}

#[test]
fn a_refused_version_is_not_assumed() {
    let mut asked = Acknowledgements::default();
    asked.ask(at(0.0), ProxyId(1), MarkerId(1), Version(5));
    asked.pointed(at(0.0), ProxyId(1), Version(5));
    asked.refused(ProxyId(1), Version(5));
    assert_eq!(marks(asked.answered(at(5.0))), [] as [u32; 0]);
    asked.pointed(at(6.0), ProxyId(1), Version(6));
    assert_eq!(
        marks(asked.answered(at(7.0))),
        [1],
        "a later one that it did not refuse holds it too"
    );
}
