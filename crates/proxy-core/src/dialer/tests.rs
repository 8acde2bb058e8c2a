use super::*;

fn at(seconds: f64) -> Moment {
    Moment::from_seconds(seconds)
}

#[test]
fn a_closed_stream_is_redialed_and_the_next_controller_is_tried_after_two_failures() {
    let mut dialer = ControllerDialer::new(at(0.0), 2, Span::from_seconds(1.0), 3);
    assert_eq!(
        (
            dialer.start_dial_if_due(at(0.0)),
            dialer.start_dial_if_due(at(0.0))
        ),
        (Some(0), None),
        "a dial is started only once"
    );
    assert!(dialer.on_accepted() && dialer.is_joined());
    assert!(dialer.on_closed(at(5.0)), "the stream was joined");
    let next = dialer.next_dial_at().expect("a dial is scheduled");
    assert!(next >= at(5.5) && next <= at(6.5));
    assert_eq!(
        (
            dialer.start_dial_if_due(at(5.4)),
            dialer.start_dial_if_due(next)
        ),
        (None, Some(0)),
        "the first controller is tried again"
    );
    assert!(
        !dialer.on_closed(next),
        "the controller did not accept the stream"
    );
    let next = dialer.next_dial_at().expect("a dial is scheduled");
    assert_eq!(dialer.start_dial_if_due(next), Some(1));
    assert!(dialer.on_accepted());
}
