//! Compatibility of the file format, byte for byte, with a file that version 0.2.0 wrote.

use std::collections::BTreeMap;
use wheelspread_store::{Commit, OpenOutcome, Store};

const FILE: &[u8] = include_bytes!("data/state-0.2.0");

#[test]
fn a_file_of_an_earlier_version_opens_as_valid() {
    let directory = tempfile::tempdir().expect("a directory");
    let path = directory.path().join("state");
    std::fs::write(&path, FILE).expect("written");
    let (store, outcome) = Store::open(&path).expect("opened");
    assert_eq!(outcome, OpenOutcome::Valid);
    let state = store.state();
    assert_eq!((state.commits, state.configuration.version), (2, 9));
    assert_eq!(state.changes["c1"].undone_version, Some(9));
    assert_eq!(
        state.facts,
        BTreeMap::from([("version".to_string(), "4".to_string())])
    );
}

#[test]
fn the_same_commits_are_written_as_the_same_bytes() {
    let directory = tempfile::tempdir().expect("a directory");
    let (earlier, path) = (
        directory.path().join("earlier"),
        directory.path().join("state"),
    );
    std::fs::write(&earlier, FILE).expect("written");
    let inspection = Store::inspect(&earlier).expect("read");
    assert!(inspection.is_valid());
    let fact = |value: &str| BTreeMap::from([("version".to_string(), Some(value.to_string()))]);
    let mut first = inspection.state.to_commit();
    first.facts = fact("3");
    first.facts.insert("learnt.x".to_string(), None);
    let second = Commit {
        facts: fact("4"),
        ..Commit::default()
    };
    let (mut store, _) = Store::open(&path).expect("made");
    store.commit(first).expect("written");
    store.commit(second).expect("written");
    drop(store);
    assert_eq!(std::fs::read(&path).expect("read"), FILE);
}
