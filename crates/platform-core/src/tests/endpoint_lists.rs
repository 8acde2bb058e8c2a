//! Endpoint lists that arrive late, repeatedly or after a restart of discovery's version count; redundant collectors.

use super::{core, endpoint, names, START_SECONDS};
use crate::membership::Membership;
use crate::{ConnectionId, EndpointList, MessageOutcome, SourceId, WatchPosition};
use serde_json::{json, Value};
use wheelspread::time::{Moment, Span};
use wheelspread::{EndpointListKind, EndpointStatus, Event};

fn list(version: u64, complete: bool, entries: &[Value]) -> EndpointList {
    let value = json!({"index": version, "snapshot": complete, "endpoints": entries});
    EndpointList::parse(&value, &names()).expect("the list is valid")
}

fn entry(name: &str, zone: &str, status: &str) -> Value {
    endpoint(name, zone, status, 5000.0)
}

/// A complete list of version 4 with one valid entry and two invalid ones.
fn first_list() -> EndpointList {
    let entries = [
        entry("x", "a", "Ready"),
        entry("y", "c", "Ready"),
        entry("z", "b", "Lost"),
    ];
    list(4, true, &entries)
}

#[test]
fn outdated_lists_are_ignored_and_an_invalid_entry_does_not_affect_valid_ones() {
    let mut membership = Membership::default();
    let now = Moment::default();
    let changes = list(4, false, &[entry("x", "a", "Ready")]);
    assert_eq!(
        membership.apply(&changes, SourceId(1), now),
        None,
        "changes before the first complete list"
    );
    let first = first_list();
    assert_eq!((first.entries.len(), first.entry_errors.len()), (1, 2));
    assert_eq!(first.entries[0].started, Some(Moment::from_seconds(5.0)));
    assert!(membership.apply(&first, SourceId(1), now).is_some());
    assert_eq!(
        membership.apply(&list(3, true, &[]), SourceId(1), now),
        None,
        "a complete list with a lower version"
    );
    assert_eq!(
        membership.apply(&changes, SourceId(1), now),
        None,
        "changes that the complete list already contains"
    );
}

#[test]
fn a_removed_node_is_remembered_while_it_is_in_use_or_recent() {
    let mut membership = Membership::default();
    let now = Moment::default();
    membership.apply(&first_list(), SourceId(1), now);
    let removal = list(5, false, &[entry("x", "a", "Gone")]);
    let gone = membership.apply(&removal, SourceId(1), now);
    let Some(Event::EndpointList {
        kind: EndpointListKind::Changes,
        entries,
    }) = gone
    else {
        panic!("changes, not {gone:?}")
    };
    assert_eq!(entries[0].status, EndpointStatus::Gone);
    let later = now + Span::from_seconds(100.0);
    membership.forget_unlisted(later, Span::from_seconds(160.0), |_| false);
    assert!(
        membership.id("x").is_some(),
        "a late load report may still contain the name"
    );
    membership.forget_unlisted(later, Span::from_seconds(60.0), |_| true);
    assert!(membership.id("x").is_some(), "a table uses the node");
    membership.forget_unlisted(later, Span::from_seconds(60.0), |_| false);
    assert_eq!(membership.id("x"), None);
}

#[test]
fn a_watch_with_lower_versions_than_before_does_not_continue() {
    let list = |version: u64, complete: bool| list(version, complete, &[]);
    let mut position = WatchPosition::starting_at(Some(40));
    assert!(position.advance(&list(40, false)), "the same version");
    assert!(position.advance(&list(41, false)) && !position.advance(&list(6, false)));
    let mut position = WatchPosition::starting_at(Some(40));
    assert!(
        !position.advance(&list(6, false)),
        "changes after version 40 can't have version 6"
    );
    let mut position = WatchPosition::starting_at(Some(40));
    assert!(
        position.advance(&list(6, true)),
        "the first list may be a complete one with a lower version"
    );
    assert!(
        position.advance(&list(7, false)) && !position.advance(&list(5, true)),
        "a later complete list with a lower version"
    );
    assert!(WatchPosition::starting_at(None).advance(&list(2, false)));
}

#[test]
fn a_collector_is_redundant_once_its_zone_has_a_newer_one() {
    let mut core = core();
    let now = Moment::from_seconds(START_SECONDS);
    let mut connect_collector = |id: u64, zone: &str| {
        let strings = ["collector", "az", zone].map(str::as_bytes);
        assert_eq!(
            core.handle_message(now, ConnectionId(id), &strings),
            MessageOutcome::Identified
        );
        core.redundant_collector()
    };
    assert_eq!(
        (connect_collector(5, "a"), connect_collector(6, "b")),
        (None, None)
    );
    assert_eq!(connect_collector(7, "a"), Some(ConnectionId(5)));
    core.handle_connection_closed(now, ConnectionId(5));
    assert_eq!(core.redundant_collector(), None);
}
