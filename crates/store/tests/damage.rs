//! Opening files that are torn, corrupted, missing, in use or of a newer format.

use proptest::prelude::*;
use std::collections::BTreeMap;
use wheelspread_config_transaction::ChangeRecord;
use wheelspread_config_transaction::{Change, ChangeId, ChangeState, Configuration};
use wheelspread_store::{Commit, OpenOutcome, Store, StoreError};

fn record(n: u64) -> ChangeRecord {
    let sets = BTreeMap::from([(format!("key.{n}"), Some(n.to_string()))]);
    let change = Change {
        id: ChangeId(format!("c{n:04}")),
        by: "ada".into(),
        base: n,
        sets,
    };
    ChangeRecord {
        change,
        state: ChangeState::Kept,
        previous_values: BTreeMap::new(),
        findings: vec![],
        reason: None,
        applied_version: Some(n),
        undone_version: None,
    }
}

/// Appends one commit per version, with a configuration, a change and a fact of that version.
fn commit_versions(store: &mut Store, versions: std::ops::Range<u64>) {
    for version in versions {
        let values = BTreeMap::from([("n".to_string(), version.to_string())]);
        let commit = Commit {
            configuration: Some(Configuration { version, values }),
            changes: vec![record(version)],
            facts: BTreeMap::from([("capacity.large".to_string(), Some(format!("{version}.5")))]),
        };
        store.commit(commit).expect("written");
    }
}

#[test]
fn commits_survive_a_restart_and_a_missing_file_is_reported_as_fresh() {
    let directory = tempfile::tempdir().expect("a directory");
    let path = directory.path().join("state");
    let (mut store, outcome) = Store::open(&path).expect("made");
    assert_eq!(outcome, OpenOutcome::Fresh);
    commit_versions(&mut store, 1..60);
    assert!(matches!(Store::open(&path), Err(StoreError::InUse { .. })));
    drop(store);
    let (mut store, outcome) = Store::open(&path).expect("opened");
    assert_eq!(outcome, OpenOutcome::Valid);
    let state = store.state().clone();
    assert_eq!(
        (
            state.configuration.version,
            state.changes.len(),
            state.commits
        ),
        (59, 59, 59)
    );
    assert_eq!(state.facts["capacity.large"], "59.5");
    let bytes_before = store.bytes();
    store.compact().expect("compacted");
    assert!(store.bytes() < bytes_before);
    commit_versions(&mut store, 60..61);
    drop(store);
    let (store, outcome) = Store::open(&path).expect("opened");
    assert_eq!(
        (outcome, store.state().changes.len()),
        (OpenOutcome::Valid, 60)
    );
    drop(store);
    std::fs::write(&path, "wheelspread-state 9\n").expect("written");
    assert!(matches!(
        Store::open(&path),
        Err(StoreError::NewerFormat { found: 9, .. })
    ));
}

#[test]
fn a_file_of_another_format_is_copied_and_reported_as_damaged() {
    let directory = tempfile::tempdir().expect("a directory");
    let path = directory.path().join("state");
    std::fs::write(&path, "not a store at all").expect("written");
    let (store, outcome) = Store::open(&path).expect("opened");
    assert!(
        matches!(&outcome, OpenOutcome::Damaged { aside, .. } if aside.exists()),
        "{outcome:?}"
    );
    assert_eq!(store.state().commits, 0);
}

/// Creates a store of eleven commits; returns its bytes, and the offset at which the header and each commit ends.
fn create_store_of_eleven_commits(path: &std::path::Path) -> (Vec<u8>, Vec<u64>) {
    let (mut store, _) = Store::open(path).expect("made");
    let mut ends = vec![store.bytes()];
    for version in 1..12 {
        commit_versions(&mut store, version..version + 1);
        ends.push(store.bytes());
    }
    drop(store);
    (std::fs::read(path).expect("read"), ends)
}

#[test]
fn a_file_cut_at_any_byte_opens_to_the_last_complete_commit() {
    let directory = tempfile::tempdir().expect("a directory");
    let path = directory.path().join("state");
    let (bytes, ends) = create_store_of_eleven_commits(&path);
    for cut in 1..bytes.len() {
        std::fs::write(&path, &bytes[..cut]).expect("written");
        let (store, outcome) = Store::open(&path).expect("opened");
        let complete_commits = ends
            .iter()
            .filter(|end| **end <= cut as u64)
            .count()
            .saturating_sub(1) as u64;
        assert_eq!(
            store.state().configuration.version,
            complete_commits,
            "cut at {cut}"
        );
        let is_commit_end = ends.contains(&(cut as u64));
        let is_expected = match outcome {
            OpenOutcome::Valid => is_commit_end,
            OpenOutcome::TornTail { .. } => !is_commit_end && cut as u64 > ends[0],
            OpenOutcome::Fresh => (cut as u64) < ends[0],
            OpenOutcome::Damaged { .. } => false,
        };
        assert!(is_expected, "cut at {cut}: {outcome:?}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    // A flipped bit is reported. The whole file is copied, unless the bit is in the last commit, which may look
    // torn. The recovered state consists of the complete commits before the bit.
    #[test]
    fn a_flipped_bit_is_detected_and_the_commits_before_it_are_recovered(at in 0.0f64..1.0, bit in 0u8..8) {
        let directory = tempfile::tempdir().expect("a directory");
        let path = directory.path().join("state");
        let (mut bytes, ends) = create_store_of_eleven_commits(&path);
        let position = ((bytes.len() - 1) as f64 * at) as usize;
        bytes[position] ^= 1 << bit;
        std::fs::write(&path, &bytes).expect("written");
        let (store, outcome) = match Store::open(&path) {
            Ok(opened) => opened,
            // The flipped bit is in the format version.
            Err(StoreError::NewerFormat { .. }) => return Ok(()),
            Err(error) => return Err(TestCaseError::fail(error.to_string())),
        };
        prop_assert!(!matches!(outcome, OpenOutcome::Valid | OpenOutcome::Fresh), "{:?} at {}", outcome, position);
        let state = store.state();
        // Commits after the damaged one are preserved in the copy.
        let last_commit_start = ends[ends.len() - 2];
        let aside = matches!(&outcome, OpenOutcome::Damaged { aside, .. } if std::fs::read(aside).ok() == Some(bytes));
        prop_assert!(aside || position as u64 >= last_commit_start, "{:?} at {}", outcome, position);
        let complete_commits = match ends.iter().position(|end| *end > position as u64) {
            Some(0) | None => 11,
            Some(commit) => commit as u64 - 1,
        };
        prop_assert_eq!(state.configuration.version, complete_commits);
        prop_assert_eq!(state.changes.len() as u64, complete_commits);
    }
}
