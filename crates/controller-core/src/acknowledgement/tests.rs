use super::*;

fn at(seconds: f64) -> Moment {
    Moment::from_seconds(seconds)
}

fn markers(events: Vec<Event>) -> Vec<u32> {
    let marker = |event: &Event| match event {
        Event::MarkerAcknowledged { marker, .. } => marker.0,
        other => panic!("{other:?}"),
    };
    events.iter().map(marker).collect()
}

#[test]
fn a_proxy_without_status_is_assumed_to_hold_a_delivered_version_after_a_second() {
    let mut acknowledgements = Acknowledgements::default();
    acknowledgements.request(at(0.0), ProxyId(1), MarkerId(1), Version(5));
    assert_eq!(
        markers(acknowledgements.take_acknowledged(at(9.0))),
        [] as [u32; 0],
        "it was not delivered yet"
    );
    acknowledgements.on_delivered(at(9.0), ProxyId(1), Version(5));
    assert_eq!(
        markers(acknowledgements.take_acknowledged(at(9.9))),
        [] as [u32; 0]
    );
    assert_eq!(acknowledgements.wake_at(), Some(at(10.0)));
    assert_eq!(markers(acknowledgements.take_acknowledged(at(10.0))), [1]);
}

#[test]
fn a_proxy_with_status_acknowledges_when_it_reports_and_a_newer_version_acknowledges_older_markers()
{
    let mut acknowledgements = Acknowledgements::default();
    acknowledgements.on_reported(at(0.0), ProxyId(1), Version(4));
    acknowledgements.request(at(0.0), ProxyId(1), MarkerId(1), Version(5));
    acknowledgements.request(at(0.1), ProxyId(1), MarkerId(2), Version(6));
    acknowledgements.request(at(0.2), ProxyId(1), MarkerId(3), Version(8));
    acknowledgements.on_delivered(at(0.2), ProxyId(1), Version(7));
    assert_eq!(
        markers(acknowledgements.take_acknowledged(at(60.0))),
        [] as [u32; 0],
        "it reported a status before: nothing is assumed"
    );
    acknowledgements.on_reported(at(60.0), ProxyId(1), Version(7));
    assert_eq!(
        markers(acknowledgements.take_acknowledged(at(60.0))),
        [1, 2]
    );
}

#[test]
fn a_stream_that_is_silent_or_rejects_is_waited_for_no_longer_than_a_second() {
    let mut acknowledgements = Acknowledgements::default();
    acknowledgements.on_subscribed(ProxyId(1));
    acknowledgements.request(at(0.0), ProxyId(1), MarkerId(1), Version(5));
    acknowledgements.on_delivered(at(0.0), ProxyId(1), Version(5));
    acknowledgements.on_rejected(ProxyId(1), Version(5));
    assert_eq!(
        markers(acknowledgements.take_acknowledged(at(0.9))),
        [] as [u32; 0],
        "a rejection acknowledges nothing"
    );
    assert_eq!(acknowledgements.wake_at(), Some(at(1.0)));
    assert_eq!(markers(acknowledgements.take_acknowledged(at(1.0))), [1]);
    assert_eq!(
        acknowledgements.applied(ProxyId(1)),
        None,
        "and it is not said to hold it"
    );
}

#[test]
fn a_rejected_version_is_not_assumed() {
    let mut acknowledgements = Acknowledgements::default();
    acknowledgements.request(at(0.0), ProxyId(1), MarkerId(1), Version(5));
    acknowledgements.on_delivered(at(0.0), ProxyId(1), Version(5));
    acknowledgements.on_rejected(ProxyId(1), Version(5));
    assert_eq!(
        markers(acknowledgements.take_acknowledged(at(5.0))),
        [] as [u32; 0]
    );
    acknowledgements.on_delivered(at(6.0), ProxyId(1), Version(6));
    assert_eq!(
        markers(acknowledgements.take_acknowledged(at(7.0))),
        [1],
        "a later version that it did not reject acknowledges it too"
    );
}
