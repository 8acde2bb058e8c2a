//! Readers find complete tables while versions are published, and after a publication was interrupted or failed.

use super::*;
use crate::root::{version_name, DRAFT_PREFIX};
use crate::swap::STEPS;
use crate::{read_tables, replace_file, scan, Swap, SwapStep, EDS};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use test_case::test_case;
use wheelspread::ids::{NodeId, OperationId, TableId};
use wheelspread::RetryPolicy;
use wheelspread_controller_core::publication::{BundleId, OperationTable, TableEntry};
use wheelspread_reactor::{Poll, Token};
use wheelspread_xds::tables;

const DEPLOYMENT: &str = r#"{
  "zones": ["north"], "operations": [{"name": "quote", "latency_objective": "1s",
    "integration_timeout": "3s", "billed_value": 1, "repeat": "idempotent"}],
  "rules": {"without_node_at_most": "2s", "drain_grace": "2s", "cold_start_share": 0.2,
            "warm_after": "10s", "cold_overload_factor": 4, "cold_overload_span": "2s"},
  "channel": {"lines_waiting_at_most": 1000, "lines_per_second": 1000, "delay_at_most": "500ms"}}"#;

fn deployment() -> Deployment {
    serde_json::from_str(DEPLOYMENT).expect("a deployment")
}

/// A table set with as many nodes as its version number, so that a mix of two versions is detected.
fn set(version: u64) -> TableSet {
    let entry = |index: u64| TableEntry {
        node: NodeId {
            address: [127, 0, 0, 1],
            port: 9000 + index as u16,
        },
        zone: "north".to_string(),
        weight: version as f64,
    };
    let entries = (0..version).map(entry).collect();
    let table = OperationTable {
        operation: OperationId(0),
        table: TableId(0),
        entries,
        admission_limit: None,
        retry: RetryPolicy::Never,
    };
    TableSet {
        bundle: BundleId(0),
        version: Version(version),
        configuration: 0,
        operations: vec![table],
    }
}

fn publisher() -> (tempfile::TempDir, Publisher) {
    let directory = tempfile::tempdir().expect("a directory");
    let root = TableRoot::new(directory.path());
    root.prepare().expect("an empty root");
    let sync = SyncThread::start(5.0, File::sync_all).expect("a thread");
    (directory, Publisher::new(root, deployment(), sync))
}

fn loaded(root: &TableRoot) -> (u64, usize) {
    let loaded = read_tables(&root.proxy("g1"))
        .expect("readable")
        .expect("there");
    (
        loaded.tables.version.0,
        loaded.tables.operations[0].entries.len(),
    )
}

// A controller can be killed (SIGKILL) after any step of a swap. A proxy then still has to find the old version, and the
// next controller has to recover it, publish further versions and remove the drafts.
#[test]
fn after_a_kill_between_any_two_steps_the_old_version_is_complete_and_a_restart_recovers() {
    for completed_steps in 0..STEPS.len() {
        let (_directory, mut publisher) = publisher();
        publisher.publish("g1", &set(3)).expect("written");
        let documents = tables::write(&set(5), &deployment()).expect("documents");
        let swap = Swap::new(&publisher.root, Version(5), &documents, "g1");
        STEPS[..completed_steps]
            .iter()
            .for_each(|step| swap.step(*step).expect("the step works"));
        assert_eq!(
            loaded(&publisher.root),
            (3, 3),
            "after {completed_steps} steps"
        );
        let recovered = scan(&publisher.root, &deployment())
            .expect("it starts")
            .recovered;
        assert_eq!(recovered.tables["g1"].version, Version(3));
        publisher.publish("g1", &set(6)).expect("it goes on");
        assert_eq!(loaded(&publisher.root), (6, 6));
        let rescanned = scan(&publisher.root, &deployment()).expect("it starts");
        assert_eq!(
            (rescanned.removed_draft_count, rescanned.unreadable.len()),
            (0, 0),
            "no draft is left"
        );
    }
}

#[test]
fn a_truncated_version_is_reported_and_the_others_are_recovered() {
    let (_directory, mut publisher) = publisher();
    publisher.publish("g1", &set(3)).expect("written");
    publisher.publish("g2", &set(4)).expect("written");
    let path = publisher.root.version(Version(4)).join(EDS);
    let text = std::fs::read_to_string(&path).expect("there");
    std::fs::write(&path, &text[..text.len() / 2]).expect("torn");
    let scan = scan(&publisher.root, &deployment()).expect("it starts");
    assert_eq!(scan.recovered.tables.keys().collect::<Vec<_>>(), ["g1"]);
    assert_eq!(
        scan.recovered.versions.len(),
        2,
        "the number of the unreadable version is not used again"
    );
    let unreadable = scan.unreadable[0].to_string();
    assert!(
        unreadable.contains("`g2`") && unreadable.contains("version 4"),
        "{scan:?}"
    );
}

#[test_case("versions"; "the directory of versions is a file")]
#[test_case("gateways/g1"; "the directory of a proxy is a file")]
fn a_path_that_cannot_be_written_is_reported_and_a_later_attempt_succeeds(path_below_root: &str) {
    let (_directory, mut publisher) = publisher();
    let path = publisher.root.path().join(path_below_root);
    let _ = std::fs::remove_dir(&path);
    std::fs::write(&path, "in the way").expect("put there");
    let reason = publisher
        .publish("g1", &set(2))
        .expect_err("it can't be written")
        .to_string();
    assert!(reason.contains(path_below_root), "{reason}");
    std::fs::remove_file(&path).expect("taken away");
    publisher.root.prepare().expect("made again");
    publisher.publish("g1", &set(2)).expect("now it can");
    assert_eq!(loaded(&publisher.root), (2, 2));
}

#[test]
fn a_full_disk_is_reported_and_leaves_the_old_version_in_force() {
    // Writes to /dev/full fail with ENOSPC, for root as well.
    let full_device = std::path::Path::new("/dev/full");
    if !full_device.exists() {
        return;
    }
    let (_directory, mut publisher) = publisher();
    publisher.publish("g1", &set(3)).expect("written");
    let documents = tables::write(&set(5), &deployment()).expect("documents");
    let swap = Swap::new(&publisher.root, Version(5), &documents, "g1");
    swap.step(SwapStep::MakeDraft).expect("made");
    let draft =
        publisher
            .root
            .versions()
            .join(format!("{}{}", DRAFT_PREFIX, version_name(Version(5))));
    std::os::unix::fs::symlink(full_device, draft.join(EDS)).expect("linked");
    let failed = swap
        .step(SwapStep::WriteEndpoints)
        .expect_err("nothing fits")
        .to_string();
    assert!(failed.contains("the disk is full"), "{failed}");
    assert_eq!(loaded(&publisher.root), (3, 3));
    publisher
        .publish("g1", &set(5))
        .expect("a later attempt replaces the draft");
}

// A continuous reader beside a continuous writer must never find a mix of versions, or no version.
#[test]
fn no_reader_sees_a_partial_version_while_versions_are_published_and_removed() {
    let (directory, publisher) = publisher();
    let (root, proxy_directory) = (TableRoot::new(directory.path()), publisher.root.proxy("g1"));
    let mut poll = Poll::new().expect("epoll");
    let waker = Waker::new(&poll, Token(1)).expect("eventfd");
    let writer = TableWriter::start(root, deployment(), waker.clone()).expect("a thread");
    writer.submit(WriteJob::Publish {
        proxy: "g1".to_string(),
        set: Arc::new(set(1)),
    });
    poll.wait(wheelspread::time::Span::from_seconds(10.0), &mut Vec::new())
        .expect("waits");
    let stop = Arc::new(AtomicBool::new(false));
    let reader = {
        let stop = stop.clone();
        std::thread::spawn(move || {
            let (mut last, mut reads) = (0, 0);
            while !stop.load(Ordering::Relaxed) {
                let loaded = read_tables(&proxy_directory)
                    .expect("whole")
                    .expect("there");
                let (version, operation) = (loaded.tables.version.0, &loaded.tables.operations[0]);
                assert_eq!(operation.entries.len() as u64, version);
                assert!(operation
                    .entries
                    .iter()
                    .all(|entry| entry.weight == version as f64));
                assert!(version >= last, "{version} after {last}");
                (last, reads) = (version, reads + 1);
            }
            reads
        })
    };
    for version in 2..60 {
        writer.submit(WriteJob::Publish {
            proxy: "g1".to_string(),
            set: Arc::new(set(version)),
        });
        if version > 12 {
            writer.submit(WriteJob::Remove {
                version: Version(version - 10),
            });
        }
    }
    let failed = writer
        .finish()
        .into_iter()
        .filter(|result| !matches!(result, WriteResult::Published { result: Ok(()), .. }));
    assert_eq!(failed.count(), 0);
    stop.store(true, Ordering::Relaxed);
    assert!(reader.join().expect("it saw nothing wrong") > 0);
}

// Each sync takes 2 s: versions are still published complete and without that delay, and are reported as not synced.
#[test]
fn a_slow_disk_delays_no_version() {
    let (_directory, mut publisher) = publisher();
    let slow_sync = |_: &File| {
        std::thread::sleep(Duration::from_secs(2));
        Ok(())
    };
    publisher.sync = SyncThread::start(0.1, slow_sync).expect("a thread");
    let started_at = std::time::Instant::now();
    for version in 1..20 {
        let results = publisher.execute(WriteJob::Publish {
            proxy: "g1".to_string(),
            set: Arc::new(set(version)),
        });
        assert!(
            matches!(
                &results[..],
                [
                    WriteResult::PublishedUnsynced { .. },
                    WriteResult::Published { result: Ok(()), .. }
                ]
            ),
            "{results:?}"
        );
        assert_eq!(loaded(&publisher.root), (version, version as usize));
    }
    assert!(
        started_at.elapsed() < Duration::from_secs(1),
        "{:?}",
        started_at.elapsed()
    );
}

#[test]
fn a_failed_sync_is_reported() {
    let (_directory, mut publisher) = publisher();
    publisher.sync =
        SyncThread::start(5.0, |_| Err(io::Error::from_raw_os_error(28))).expect("a thread");
    let reason = publisher
        .publish("g1", &set(1))
        .expect_err("it fails")
        .to_string();
    assert!(
        reason.contains("SyncDraft") && reason.contains("the disk is full"),
        "{reason}"
    );
}

#[test]
fn a_replaced_file_is_complete_and_leaves_no_draft() {
    let (_directory, publisher) = publisher();
    let path = publisher.root.status("g1");
    replace_file(&path, "one").expect("written");
    replace_file(&path, "two").expect("written");
    assert_eq!(std::fs::read_to_string(&path).expect("there"), "two");
    assert_eq!(
        std::fs::read_dir(publisher.root.statuses())
            .expect("there")
            .count(),
        1
    );
}
