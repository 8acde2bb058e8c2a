use super::*;
use crate::deployment::tests::test_deployment;

fn identity(name: &str) -> ProxyIdentity {
    ProxyIdentity {
        name: name.to_string(),
        zone: "north".to_string(),
        usual_rate: None,
    }
}

fn at(seconds: f64) -> Moment {
    Moment::from_seconds(seconds)
}

#[test]
fn a_proxy_that_reconnects_before_its_old_stream_ends_stays_joined() {
    let mut membership = Membership::default();
    membership
        .open(at(0.0), StreamId(1), &identity("a"), &test_deployment())
        .expect("fine");
    let second = membership
        .open(at(1.0), StreamId(2), &identity("a"), &test_deployment())
        .expect("fine");
    assert_eq!(second.superseded, Some(StreamId(1)));
    let leaves: Vec<bool> = second
        .events
        .iter()
        .map(|event| matches!(event, Event::ProxyLeft { .. }))
        .collect();
    assert_eq!(
        leaves,
        [true, false],
        "the balancer sees the proxy leave, then join"
    );
    assert_eq!(
        membership.close(at(1.1), StreamId(1)),
        None,
        "the end of the superseded stream is no leave"
    );
    assert!(membership.member("a").is_some_and(Member::is_joined));
    assert!(membership.close(at(2.0), StreamId(2)).is_some());
}

#[test]
fn a_proxy_keeps_its_id_until_it_has_been_disconnected_for_the_retention_time() {
    let mut membership = Membership::default();
    membership
        .open(at(0.0), StreamId(1), &identity("a"), &test_deployment())
        .expect("fine");
    let id = membership.member("a").map(|member| member.id);
    membership.close(at(1.0), StreamId(1));
    assert_eq!(
        membership.forget(at(50.0), &test_deployment()),
        Vec::<String>::new()
    );
    membership
        .open(at(51.0), StreamId(2), &identity("a"), &test_deployment())
        .expect("fine");
    assert_eq!(membership.member("a").map(|member| member.id), id);
    membership.close(at(52.0), StreamId(2));
    assert_eq!(membership.forget(at(160.0), &test_deployment()), ["a"]);
    membership
        .open(at(161.0), StreamId(3), &identity("b"), &test_deployment())
        .expect("fine");
    assert_ne!(
        membership.member("b").map(|member| member.id),
        id,
        "an id is not reused soon"
    );
}

#[test]
fn streams_without_a_valid_identity_are_rejected() {
    let mut membership = Membership::default();
    for name in ["", "../../etc", "a b", &"x".repeat(101)] {
        let outcome = membership.open(at(0.0), StreamId(1), &identity(name), &test_deployment());
        assert!(
            matches!(outcome, Err(IdentificationError::InvalidName(_))),
            "{name:?}"
        );
    }
    let unknown_zone = ProxyIdentity {
        zone: "moon".into(),
        ..identity("a")
    };
    assert_eq!(
        membership.open(at(0.0), StreamId(1), &unknown_zone, &test_deployment()),
        Err(IdentificationError::UnknownZone("moon".into()))
    );
}
