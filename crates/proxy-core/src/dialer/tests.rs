use super::*;

fn at(seconds: f64) -> Moment {
    Moment::from_seconds(seconds)
}

#[test]
fn a_closed_stream_is_dialed_again_and_a_controller_that_does_not_accept_is_passed_over() {
    let mut dialer = ControllerDialer::new(at(0.0), 2, Span::from_seconds(1.0), 3);
    assert_eq!(
        (
            dialer.start_dial_if_due(at(0.0)),
            dialer.start_dial_if_due(at(0.0))
        ),
        (Some(0), None),
        "once"
    );
    assert!(dialer.on_accepted() && dialer.is_joined());
    assert!(dialer.on_closed(at(5.0)), "it was joined");
    let next = dialer.next_dial_at().expect("it waits");
    assert!(next >= at(5.5) && next <= at(6.5));
    assert_eq!(
        (
            dialer.start_dial_if_due(at(5.4)),
            dialer.start_dial_if_due(next)
        ),
        (None, Some(0)),
        "the usual one first"
    );
    assert!(!dialer.on_closed(next), "it did not answer");
    let next = dialer.next_dial_at().expect("it waits");
    assert_eq!(dialer.start_dial_if_due(next), Some(1));
    assert!(dialer.on_accepted());
}
