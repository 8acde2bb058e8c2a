//! Files that are torn, flipped, missing, too new or in use.

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

/// Configuration, change and fact of a version belong together.
fn fill(store: &mut Store, versions: std::ops::Range<u64>) {
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
    let (mut store, found) = Store::open(&path).expect("made");
    assert_eq!(found, OpenOutcome::Fresh);
    fill(&mut store, 1..60);
    assert!(matches!(Store::open(&path), Err(StoreError::InUse { .. })));
    drop(store);
    let (mut store, found) = Store::open(&path).expect("opened");
    assert_eq!(found, OpenOutcome::Sound);
    let kept = store.state().clone();
    assert_eq!(
        (kept.configuration.version, kept.changes.len(), kept.commits),
        (59, 59, 59)
    );
    assert_eq!(kept.facts["capacity.large"], "59.5");
    let long = store.bytes();
    store.compact().expect("compacted");
    assert!(store.bytes() < long);
    fill(&mut store, 60..61);
    drop(store);
    let (store, found) = Store::open(&path).expect("opened");
    assert_eq!(
        (found, store.state().changes.len()),
        (OpenOutcome::Sound, 60)
    );
    drop(store);
    std::fs::write(&path, "wheelspread-state 9\n").expect("written");
    assert!(matches!(
        Store::open(&path),
        Err(StoreError::Newer { found: 9, .. })
    ));
}

#[test]
fn a_file_that_is_no_store_is_set_aside_and_reported() {
    let directory = tempfile::tempdir().expect("a directory");
    let path = directory.path().join("state");
    std::fs::write(&path, "not a store at all").expect("written");
    let (store, found) = Store::open(&path).expect("gone on with");
    assert!(
        matches!(&found, OpenOutcome::Damaged { aside, .. } if aside.exists()),
        "{found:?}"
    );
    assert_eq!(store.state().commits, 0);
}

/// A store of eleven commits, with its bytes and where each commit ends.
fn eleven(path: &std::path::Path) -> (Vec<u8>, Vec<u64>) {
    let (mut store, _) = Store::open(path).expect("made");
    let mut ends = vec![store.bytes()];
    for version in 1..12 {
        fill(&mut store, version..version + 1);
        ends.push(store.bytes());
    }
    drop(store);
    (std::fs::read(path).expect("read"), ends)
}

#[test]
fn a_file_cut_at_any_byte_opens_to_the_last_complete_commit() {
    let directory = tempfile::tempdir().expect("a directory");
    let path = directory.path().join("state");
    let (bytes, ends) = eleven(&path);
    for cut in 1..bytes.len() {
        std::fs::write(&path, &bytes[..cut]).expect("written");
        let (store, found) = Store::open(&path).expect("opened");
        let whole = ends
            .iter()
            .filter(|end| **end <= cut as u64)
            .count()
            .saturating_sub(1) as u64;
        assert_eq!(store.state().configuration.version, whole, "cut at {cut}");
        let at_an_end = ends.contains(&(cut as u64));
        let fine = match found {
            OpenOutcome::Sound => at_an_end,
            OpenOutcome::TornTail { .. } => !at_an_end && cut as u64 > ends[0],
            OpenOutcome::Fresh => (cut as u64) < ends[0],
            OpenOutcome::Damaged { .. } => false,
        };
        assert!(fine, "cut at {cut}: {found:?}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    // A flipped bit: it is said, the whole is kept aside or was a tail that never counted, and what is gone on
    // with was written together.
    #[test]
    fn a_flipped_bit_is_found_and_the_commits_before_it_are_saved(at in 0.0f64..1.0, bit in 0u8..8) {
        let directory = tempfile::tempdir().expect("a directory");
        let path = directory.path().join("state");
        let (mut bytes, ends) = eleven(&path);
        let place = ((bytes.len() - 1) as f64 * at) as usize;
        bytes[place] ^= 1 << bit;
        std::fs::write(&path, &bytes).expect("written");
        let (store, found) = match Store::open(&path) {
            Ok(opened) => opened,
            // The number of the form itself was hit.
            Err(StoreError::Newer { .. }) => return Ok(()),
            Err(error) => return Err(TestCaseError::fail(error.to_string())),
        };
        prop_assert!(!matches!(found, OpenOutcome::Sound | OpenOutcome::Fresh), "{:?} at {}", found, place);
        let kept = store.state();
        // What stood behind it is not thrown away.
        let last = ends[ends.len() - 2];
        let aside = matches!(&found, OpenOutcome::Damaged { aside, .. } if std::fs::read(aside).ok() == Some(bytes));
        prop_assert!(aside || place as u64 >= last, "{:?} at {}", found, place);
        let whole = match ends.iter().position(|end| *end > place as u64) {
            Some(0) | None => 11,
            Some(commit) => commit as u64 - 1,
        };
        prop_assert_eq!(kept.configuration.version, whole);
        prop_assert_eq!(kept.changes.len() as u64, whole);
    }
}
