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
fn a_proxy_that_never_reported_is_assumed_to_hold_a_version_one_second_after_delivery() {
    let mut acknowledgements = Acknowledgements::default();
    acknowledgements.request(at(0.0), ProxyId(1), MarkerId(1), Version(5));
    assert_eq!(
        markers(acknowledgements.take_acknowledged(at(9.0))),
        [] as [u32; 0],
        "version 5 was not delivered yet"
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
fn a_proxy_that_reports_status_acknowledges_all_markers_up_to_the_reported_version() {
    let mut acknowledgements = Acknowledgements::default();
    acknowledgements.on_reported(at(0.0), ProxyId(1), Version(4));
    acknowledgements.request(at(0.0), ProxyId(1), MarkerId(1), Version(5));
    acknowledgements.request(at(0.1), ProxyId(1), MarkerId(2), Version(6));
    acknowledgements.request(at(0.2), ProxyId(1), MarkerId(3), Version(8));
    acknowledgements.on_delivered(at(0.2), ProxyId(1), Version(7));
    assert_eq!(
        markers(acknowledgements.take_acknowledged(at(60.0))),
        [] as [u32; 0],
        "nothing is assumed of a proxy that reported a status before"
    );
    acknowledgements.on_reported(at(60.0), ProxyId(1), Version(7));
    assert_eq!(
        markers(acknowledgements.take_acknowledged(at(60.0))),
        [1, 2]
    );
}

#[test]
fn a_stream_reader_that_is_silent_or_rejects_is_waited_for_one_second() {
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
        "a rejected version does not count as applied"
    );
}

#[test]
fn a_rejected_version_is_not_assumed_to_be_applied() {
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
        "a later version that is not rejected acknowledges the marker"
    );
}
