//! The exact JSON of stored orders and of the operators' API. State files and tools of earlier versions depend on these
//! spellings, whatever the Rust names are.

use std::collections::BTreeMap;
use wheelspread::time::Moment;
use wheelspread_drain::consistency::{Disagreement, DisagreementKind};
use wheelspread_drain::{
    DrainAction, DrainOrder, DrainRegistry, DrainState, OrderId, Outcome, Reply,
};

fn json(value: &impl serde::Serialize) -> String {
    serde_json::to_string(value).expect("it serializes")
}

#[test]
fn a_drain_keeps_its_stored_form() {
    // Written by version 0.2.0.
    let stored = r#"{"order":{"id":"o1","node":"127.0.0.1:9001","word":"drain","by":"ada","given_ms":5,"overrides":["pool"]},"state":"wanted","evidence":{"named_by":0,"gateways":0,"tries":0,"heard":0}}"#;
    let order = DrainOrder {
        id: OrderId("o1".into()),
        node: "127.0.0.1:9001".into(),
        action: DrainAction::Drain,
        by: "ada".into(),
        given_ms: 5,
        overrides: vec!["pool".into()],
    };
    let mut registry = DrainRegistry::default();
    let drain = registry
        .submit(Moment::default(), order, &[])
        .expect("accepted");
    assert_eq!(json(drain), stored);
    let read: wheelspread_drain::Drain = serde_json::from_str(stored).expect("it deserializes");
    assert_eq!(&read, drain);
}

#[test]
fn every_drain_state_and_action_keeps_its_spelling() {
    let states = [
        DrainState::Accepted,
        DrainState::Propagating,
        DrainState::InForce,
        DrainState::Drained,
        DrainState::Withdrawn,
    ];
    assert_eq!(
        json(&states),
        r#"["wanted","telling","in-force","quiet","withdrawn"]"#
    );
    for state in states {
        assert_eq!(json(&state), format!("\"{}\"", state.as_str()));
    }
    assert_eq!(
        json(&[DrainAction::Drain, DrainAction::Undrain]),
        r#"["drain","undrain"]"#
    );
}

#[test]
fn disagreements_keep_their_json_fields() {
    let kinds = [
        DisagreementKind::EndpointStatus,
        DisagreementKind::Listed,
        DisagreementKind::Zone,
        DisagreementKind::Configuration,
    ];
    assert_eq!(
        json(&kinds),
        r#"["endpoint-status","listed","zone","configuration"]"#
    );
    let disagreement = Disagreement {
        kind: DisagreementKind::Zone,
        node: Some("n1".into()),
        views: BTreeMap::from([("north".into(), vec!["a".into()])]),
        lists_differ: true,
    };
    assert_eq!(
        json(&disagreement),
        r#"{"matter":"zone","node":"n1","held":{"north":["a"]},"lists_differ":true}"#
    );
}

#[test]
fn replies_and_outcomes_keep_their_json_form() {
    let replies = [
        Reply::Accepted {
            state: "telling".into(),
        },
        Reply::Refused { reason: "r".into() },
        Reply::Failed { reason: "f".into() },
    ];
    assert_eq!(
        json(&replies),
        r#"[{"taken":{"state":"telling"}},{"refused":{"reason":"r"}},{"failed":{"reason":"f"}}]"#
    );
    assert_eq!(
        json(&[Outcome::Everywhere, Outcome::Partly, Outcome::Nowhere]),
        r#"["everywhere","partly","nowhere"]"#
    );
}
