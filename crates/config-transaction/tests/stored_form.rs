//! Tests the exact JSON of stored records. State files of earlier versions contain these names, so they must not
//! change when a Rust name does.

use std::collections::BTreeMap;
use wheelspread_config_transaction::ChangeRecord;
use wheelspread_config_transaction::{
    Change, ChangeId, ChangeState, Commit, Configuration, Finding, PersistedState,
};

/// A commit as written by version 0.2.0 before its Rust types were renamed.
const COMMIT: &str = r#"{"configuration":{"version":9,"values":{"pool.a":"4"}},"changes":[{"change":{"id":"c1","by":"ada","base":7,"sets":{"pool.a":"5","pool.b":null}},"state":"undone","before":{"pool.a":"4","pool.b":null},"findings":[{"check":"cold","text":"1 cold hosts would carry 10.0% of the work (30.0% may be)","forbids":false}],"why":"not liked","made":8,"unmade":9}],"facts":{"learnt.x":null,"version":"3"}}"#;
/// The output of `wheelspread state inspect` after that commit, without line breaks.
const STATE: &str = r#"{"configuration":{"version":9,"values":{"pool.a":"4"}},"changes":{"c1":{"change":{"id":"c1","by":"ada","base":7,"sets":{"pool.a":"5","pool.b":null}},"state":"undone","before":{"pool.a":"4","pool.b":null},"findings":[{"check":"cold","text":"1 cold hosts would carry 10.0% of the work (30.0% may be)","forbids":false}],"why":"not liked","made":8,"unmade":9}},"facts":{"version":"3"},"commits":1}"#;

fn commit() -> Commit {
    let change = Change {
        id: ChangeId("c1".into()),
        by: "ada".into(),
        base: 7,
        sets: BTreeMap::from([("pool.a".into(), Some("5".into())), ("pool.b".into(), None)]),
    };
    let finding = Finding {
        check: "cold".into(),
        text: "1 cold hosts would carry 10.0% of the work (30.0% may be)".into(),
        forbids: false,
    };
    let record = ChangeRecord {
        change,
        state: ChangeState::Undone,
        previous_values: BTreeMap::from([
            ("pool.a".into(), Some("4".into())),
            ("pool.b".into(), None),
        ]),
        findings: vec![finding],
        reason: Some("not liked".into()),
        applied_version: Some(8),
        undone_version: Some(9),
    };
    Commit {
        configuration: Some(Configuration {
            version: 9,
            values: BTreeMap::from([("pool.a".into(), "4".into())]),
        }),
        changes: vec![record],
        facts: BTreeMap::from([
            ("version".into(), Some("3".into())),
            ("learnt.x".into(), None),
        ]),
    }
}

#[test]
fn the_stored_json_of_a_commit_does_not_change() {
    assert_eq!(
        serde_json::to_string(&commit()).expect("it serializes"),
        COMMIT
    );
    let read: Commit = serde_json::from_str(COMMIT).expect("it deserializes");
    assert_eq!(read, commit());
}

#[test]
fn the_printed_json_of_the_persisted_state_does_not_change() {
    let mut state = PersistedState::default();
    state.apply(commit());
    assert_eq!(serde_json::to_string(&state).expect("it serializes"), STATE);
}

#[test]
fn a_record_without_an_undone_version_can_be_read() {
    let early = COMMIT.replace(r#","unmade":9"#, "");
    assert_ne!(early, COMMIT);
    let read: Commit = serde_json::from_str(&early).expect("it deserializes");
    assert_eq!(read.changes[0].undone_version, None);
}

#[test]
fn the_stored_name_of_every_state_does_not_change() {
    let states = [
        ChangeState::Proposed,
        ChangeState::Checked,
        ChangeState::Staged,
        ChangeState::Applying,
        ChangeState::Watched,
        ChangeState::Kept,
        ChangeState::Undoing,
        ChangeState::Undone,
        ChangeState::Refused,
    ];
    assert_eq!(
        serde_json::to_string(&states).expect("it serializes"),
        r#"["proposed","checked","staged","applying","watched","kept","undoing","undone","refused"]"#
    );
    for state in states {
        let stored = serde_json::to_string(&state).expect("it serializes");
        assert_eq!(stored, format!("\"{}\"", state.as_str()));
    }
}
