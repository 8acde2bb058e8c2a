//! What a reader sees while writing is cut off anywhere, fails, or goes on as fast as it can.

use super::*;
use crate::swap::{replace, Step, STEPS};
use crate::{read_tables, scan, EDS};
use std::sync::atomic::{AtomicBool, Ordering};
use test_case::test_case;
use wheelspread::ids::{NodeId, OperationId, TableId};
use wheelspread::RetryPolicy;
use wheelspread_controller_core::publication::{BundleId, OperationTable, TableEntry};
use wheelspread_reactor::{Poll, Token};

const PLAN: &str = r#"{
  "zones": ["north"], "operations": [{"name": "quote", "latency_objective": "1s",
    "integration_timeout": "3s", "billed_value": 1, "repeat": "idempotent"}],
  "rules": {"without_node_at_most": "2s", "drain_grace": "2s", "cold_start_share": 0.2,
            "warm_after": "10s", "cold_overload_factor": 4, "cold_overload_span": "2s"},
  "channel": {"lines_waiting_at_most": 1000, "lines_per_second": 1000, "delay_at_most": "500ms"}}"#;

fn plan() -> Deployment {
    serde_json::from_str(PLAN).expect("a plan")
}

/// As many nodes as its version, so that a mix of two would show.
fn set(version: u64) -> TableSet {
    let line = |at: u64| TableEntry {
        node: NodeId {
            address: [127, 0, 0, 1],
            port: 9000 + at as u16,
        },
        zone: "north".to_string(),
        weight: version as f64,
    };
    let lines = (0..version).map(line).collect();
    let table = OperationTable {
        operation: OperationId(0),
        table: TableId(0),
        entries: lines,
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

fn desk() -> (tempfile::TempDir, Desk) {
    let directory = tempfile::tempdir().expect("a directory");
    let root = Root::new(directory.path());
    root.prepare().expect("an empty root");
    let disk = Disk::start(5.0, File::sync_all).expect("a thread");
    (
        directory,
        Desk {
            root,
            plan: plan(),
            documents: BTreeMap::new(),
            disk,
        },
    )
}

fn held(root: &Root) -> (u64, usize) {
    let held = read_tables(&root.gateway("g1"))
        .expect("readable")
        .expect("there");
    (held.orders.version.0, held.orders.operations[0].lines.len())
}

// Every place at which kill -9 can strike, with what the next conductor and the proxy then find.
#[test]
fn killed_after_any_step_the_old_version_stands_whole_and_the_next_start_goes_on() {
    for done in 0..STEPS.len() {
        let (_directory, mut desk) = desk();
        desk.point("g1", &set(3)).expect("written");
        let documents = tables::write(&set(5), &plan()).expect("documents");
        let swap = Swap::new(&desk.root, Version(5), &documents, "g1");
        STEPS[..done]
            .iter()
            .for_each(|step| swap.step(*step).expect("the step works"));
        assert_eq!(held(&desk.root), (3, 3), "after {done} steps");
        let found = scan(&desk.root, &plan()).expect("it starts").found;
        assert_eq!(found.tables["g1"].version, Version(3));
        desk.point("g1", &set(6)).expect("it goes on");
        assert_eq!(held(&desk.root), (6, 6));
        let again = scan(&desk.root, &plan()).expect("it starts");
        assert_eq!(
            (again.leftovers, again.unreadable.len()),
            (0, 0),
            "nothing of it is left"
        );
    }
}

#[test]
fn a_version_that_is_torn_on_the_disk_is_named_and_the_rest_is_found() {
    let (_directory, mut desk) = desk();
    desk.point("g1", &set(3)).expect("written");
    desk.point("g2", &set(4)).expect("written");
    let path = desk.root.version(Version(4)).join(EDS);
    let text = std::fs::read_to_string(&path).expect("there");
    std::fs::write(&path, &text[..text.len() / 2]).expect("torn");
    let scan = scan(&desk.root, &plan()).expect("it starts");
    assert_eq!(scan.found.tables.keys().collect::<Vec<_>>(), ["g1"]);
    assert_eq!(
        scan.found.versions.len(),
        2,
        "its number is not given again"
    );
    assert!(
        scan.unreadable[0].contains("`g2`") && scan.unreadable[0].contains("version 4"),
        "{scan:?}"
    );
}

#[test_case("versions"; "a place for versions that is a file")]
#[test_case("gateways/g1"; "a gateway's directory that is a file")]
fn what_cannot_be_written_is_named_and_can_be_tried_again(place: &str) {
    let (_directory, mut desk) = desk();
    let path = desk.root.path().join(place);
    let _ = std::fs::remove_dir(&path);
    std::fs::write(&path, "in the way").expect("put there");
    let reason = desk.point("g1", &set(2)).expect_err("it can't be written");
    assert!(reason.contains(place), "{reason}");
    std::fs::remove_file(&path).expect("taken away");
    desk.root.prepare().expect("made again");
    desk.point("g1", &set(2)).expect("now it can");
    assert_eq!(held(&desk.root), (2, 2));
}

#[test]
fn a_full_disk_is_named_and_leaves_no_table_half_there() {
    // The one file that takes nothing, for every user.
    let full = std::path::Path::new("/dev/full");
    if !full.exists() {
        return;
    }
    let (_directory, mut desk) = desk();
    desk.point("g1", &set(3)).expect("written");
    let documents = tables::write(&set(5), &plan()).expect("documents");
    let swap = Swap::new(&desk.root, Version(5), &documents, "g1");
    swap.step(Step::MakeDraft).expect("made");
    let draft = desk
        .root
        .versions()
        .join(format!("{}{}", crate::DRAFT, crate::name(Version(5))));
    std::os::unix::fs::symlink(full, draft.join(EDS)).expect("linked");
    let failed = swap
        .step(Step::WriteEndpoints)
        .expect_err("nothing fits")
        .to_string();
    assert!(failed.contains("the disk is full"), "{failed}");
    assert_eq!(held(&desk.root), (3, 3));
    desk.point("g1", &set(5))
        .expect("a later attempt clears it away");
}

// A reader that never rests beside a writer that never rests: it must never see a mix or nothing.
#[test]
fn no_reader_ever_sees_half_a_table() {
    let (directory, desk) = desk();
    let (root, gateway) = (Root::new(directory.path()), desk.root.gateway("g1"));
    let mut poll = Poll::new().expect("epoll");
    let waker = Waker::new(&poll, Token(1)).expect("eventfd");
    let writer = Writer::start(root, plan(), waker.clone()).expect("a thread");
    writer.give(Job::Point {
        proxy: "g1".to_string(),
        set: Arc::new(set(1)),
    });
    poll.wait(wheelspread::time::Span::from_seconds(10.0), &mut Vec::new())
        .expect("waits");
    let stop = Arc::new(AtomicBool::new(false));
    let seen = {
        let stop = stop.clone();
        std::thread::spawn(move || {
            let (mut last, mut reads) = (0, 0);
            while !stop.load(Ordering::Relaxed) {
                let held = read_tables(&gateway).expect("whole").expect("there");
                let (version, operation) = (held.orders.version.0, &held.orders.operations[0]);
                assert_eq!(operation.lines.len() as u64, version);
                assert!(operation
                    .lines
                    .iter()
                    .all(|line| line.weight == version as f64));
                assert!(version >= last, "{version} after {last}");
                (last, reads) = (version, reads + 1);
            }
            reads
        })
    };
    for version in 2..60 {
        writer.give(Job::Point {
            proxy: "g1".to_string(),
            set: Arc::new(set(version)),
        });
        if version > 12 {
            writer.give(Job::Retire {
                version: Version(version - 10),
            });
        }
    }
    let failed = writer
        .finish()
        .into_iter()
        .filter(|done| !matches!(done, Done::Pointed { result: Ok(()), .. }));
    assert_eq!(failed.count(), 0);
    stop.store(true, Ordering::Relaxed);
    assert!(seen.join().expect("it saw nothing wrong") > 0);
}

// Seconds for each sync: tables still come in time, whole, and it is told that they were not synced.
#[test]
fn a_disk_that_takes_seconds_holds_up_no_table() {
    let (_directory, mut desk) = desk();
    let slow = |_: &File| {
        std::thread::sleep(Duration::from_secs(2));
        Ok(())
    };
    desk.disk = Disk::start(0.1, slow).expect("a thread");
    let begin = std::time::Instant::now();
    for version in 1..20 {
        let done = desk.carry_out(Job::Point {
            proxy: "g1".to_string(),
            set: Arc::new(set(version)),
        });
        assert!(
            matches!(
                &done[..],
                [Done::Unsynced { .. }, Done::Pointed { result: Ok(()), .. }]
            ),
            "{done:?}"
        );
        assert_eq!(held(&desk.root), (version, version as usize));
    }
    assert!(
        begin.elapsed() < Duration::from_secs(1),
        "{:?}",
        begin.elapsed()
    );
}

#[test]
fn a_disk_that_fails_to_sync_is_named() {
    let (_directory, mut desk) = desk();
    desk.disk = Disk::start(5.0, |_| Err(io::Error::from_raw_os_error(28))).expect("a thread");
    let reason = desk.point("g1", &set(1)).expect_err("it fails");
    assert!(
        reason.contains("SyncDraft") && reason.contains("the disk is full"),
        "{reason}"
    );
}

#[test]
fn a_status_is_swapped_in_whole() {
    let (_directory, desk) = desk();
    let path = desk.root.status("g1");
    replace(&path, "one").expect("written");
    replace(&path, "two").expect("written");
    assert_eq!(std::fs::read_to_string(&path).expect("there"), "two");
    assert_eq!(
        std::fs::read_dir(desk.root.statuses())
            .expect("there")
            .count(),
        1
    );
}
