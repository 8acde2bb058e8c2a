use super::*;

fn at(seconds: f64) -> Moment {
    Moment::from_seconds(seconds)
}

#[test]
fn a_stream_that_broke_is_dialled_again_and_a_conductor_that_does_not_answer_gives_way() {
    let mut dial = ControllerDialer::new(at(0.0), 2, Span::from_seconds(1.0), 3);
    assert_eq!(
        (dial.due(at(0.0)), dial.due(at(0.0))),
        (Some(0), None),
        "once"
    );
    assert!(dial.accepted(at(0.1)) && dial.joined());
    assert!(dial.lost(at(5.0)), "it was joined");
    let until = dial.until().expect("it waits");
    assert!(until >= at(5.5) && until <= at(6.5));
    assert_eq!(
        (dial.due(at(5.4)), dial.due(until)),
        (None, Some(0)),
        "the usual one first"
    );
    assert!(!dial.lost(until), "it did not answer");
    let until = dial.until().expect("it waits");
    assert_eq!(dial.due(until), Some(1));
    assert!(dial.accepted(until));
}
