use super::*;
use crate::deployment::tests::test_deployment;

fn who(name: &str) -> Introduction {
    Introduction {
        name: name.to_string(),
        zone: "north".to_string(),
        usual_rate: None,
    }
}

fn at(seconds: f64) -> Moment {
    Moment::from_seconds(seconds)
}

#[test]
fn a_proxy_that_dials_again_before_its_break_is_seen_stays_joined() {
    let mut known = Membership::default();
    known
        .open(at(0.0), StreamId(1), &who("a"), &test_deployment())
        .expect("fine");
    let second = known
        .open(at(1.0), StreamId(2), &who("a"), &test_deployment())
        .expect("fine");
    assert_eq!(second.superseded, Some(StreamId(1)));
    let kinds: Vec<bool> = second
        .events
        .iter()
        .map(|e| matches!(e, Event::ProxyLeft { .. }))
        .collect();
    assert_eq!(
        kinds,
        [true, false],
        "the balancer gets the break, then the join"
    );
    assert_eq!(
        known.close(at(1.1), StreamId(1)),
        None,
        "the old stream's end is no break"
    );
    assert!(known.member("a").is_some_and(Member::is_joined));
    assert!(known.close(at(2.0), StreamId(2)).is_some());
}

#[test]
fn a_proxy_that_returns_keeps_its_number_and_one_long_away_loses_it() {
    let mut known = Membership::default();
    known
        .open(at(0.0), StreamId(1), &who("a"), &test_deployment())
        .expect("fine");
    let id = known.member("a").map(|member| member.id);
    known.close(at(1.0), StreamId(1));
    assert_eq!(
        known.forget(at(50.0), &test_deployment()),
        Vec::<String>::new()
    );
    known
        .open(at(51.0), StreamId(2), &who("a"), &test_deployment())
        .expect("fine");
    assert_eq!(known.member("a").map(|member| member.id), id);
    known.close(at(52.0), StreamId(2));
    assert_eq!(known.forget(at(160.0), &test_deployment()), ["a"]);
    known
        .open(at(161.0), StreamId(3), &who("b"), &test_deployment())
        .expect("fine");
    assert_ne!(
        known.member("b").map(|member| member.id),
        id,
        "a number is not used again soon"
    );
}

#[test]
fn streams_without_a_valid_identity_are_rejected() {
    let mut known = Membership::default();
    for name in ["", "../../etc", "a b", &"x".repeat(101)] {
        let outcome = known.open(at(0.0), StreamId(1), &who(name), &test_deployment());
        assert!(
            matches!(outcome, Err(IdentificationError::Unnamed(_))),
            "{name:?}"
        );
    }
    let moon = Introduction {
        zone: "moon".into(),
        ..who("a")
    };
    assert_eq!(
        known.open(at(0.0), StreamId(1), &moon, &test_deployment()),
        Err(IdentificationError::UnknownZone("moon".into()))
    );
}
