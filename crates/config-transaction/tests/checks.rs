//! Tests the findings of the checks of a change, with their values.

use std::collections::BTreeMap;
use test_case::test_case;
use wheelspread::time::Span;
use wheelspread_config_transaction::checks::{check, ChangeLimits, Propagation};
use wheelspread_solve::{Fleet, Gateway, Host, HostState, Operation};

fn fleet() -> Fleet {
    let host = |id: &str, zone: &str| Host {
        id: id.into(),
        zone: zone.into(),
        kind: String::new(),
        capacity: 2.0,
        state: HostState::Ready,
        price: 0.0,
        load_at_most: None,
    };
    let gateway = |id: &str, zone: &str| Gateway {
        id: id.into(),
        zone: zone.into(),
        demand: BTreeMap::from([("quote".to_string(), 12.0), ("plan".to_string(), 6.0)]),
    };
    let operation = |name: &str, billed_value, stays_in_zone| Operation {
        name: name.into(),
        billed_value,
        work: 0.1,
        holds: None,
        stays_in_zone,
        least_share: 0.0,
    };
    Fleet {
        hosts: vec![
            host("a1", "a"),
            host("a2", "a"),
            host("b1", "b"),
            host("b2", "b"),
        ],
        gateways: vec![gateway("g1", "a"), gateway("g2", "b")],
        operations: vec![operation("quote", 2.0, false), operation("plan", 1.0, true)],
        cross_zone_price: 0.0,
        connection_price: 0.0,
        crossing_seconds: 0.0,
        fill_at_most: 0.8,
        cold_share: 0.25,
        steps: vec![(1.0, 0.0)],
        standing: BTreeMap::new(),
        change_price: 0.0,
    }
}

fn propagation(entries_per_second: f64, messages_per_window: u32) -> Propagation {
    let window = Span::from_seconds(10.0);
    Propagation {
        proxies: 100,
        entries_per_second,
        header_entries: 6.0,
        messages_per_window,
        window,
        min_update_steps: 2,
    }
}

fn forbidding_findings(change: fn(&mut Fleet), propagation: Propagation) -> Vec<String> {
    let (before, mut after) = (fleet(), fleet());
    change(&mut after);
    let limits = ChangeLimits {
        max_value_loss_ratio: 0.05,
        max_warming_work_share: 0.3,
        max_propagation_time: Span::from_seconds(5.0),
    };
    let report = check(&before, &after, limits, propagation);
    assert!(report.0.iter().all(|finding| !finding.text.is_empty()));
    let forbidding = report.0.into_iter().filter(|finding| finding.forbids);
    forbidding
        .map(|finding| format!("{}: {}", finding.check, finding.text))
        .collect()
}

#[test_case(|_| {}, &[]; "nothing changes")]
#[test_case(|fleet| drop(fleet.hosts.remove(0)), &[]; "one host is removed and the others have spare capacity")]
#[test_case(|fleet| fleet.hosts.retain(|host| host.zone == "b"),
    &["pools: no host for `plan` in `a`, which asks for 6.0/s (2 hosts now)", "capacity: zone `a` asks for `plan`"];
    "a zone loses all hosts for an operation that stays in its zone")]
#[test_case(|fleet| fleet.hosts.iter_mut().for_each(|host| host.capacity = 0.7),
    &["capacity: value served 60.00 a second now, 44.80 after (-25.3%, 5.0% may be lost), 4 of 4 hosts full"];
    "insufficient capacity")]
#[test_case(|fleet| fleet.hosts.iter_mut().for_each(|host| host.state = HostState::Cold),
    &["capacity: ", "cold: 4 cold hosts would carry 100.0% of the work (30.0% may be)"]; "all hosts in slow start")]
fn changes_that_lose_too_much_value_or_load_hosts_in_slow_start_are_forbidden(
    change: fn(&mut Fleet),
    expected: &[&str],
) {
    let found = forbidding_findings(change, propagation(10_000.0, 60));
    assert_eq!(found.len(), expected.len(), "{found:?}");
    for (found, expected) in found.iter().zip(expected) {
        assert!(found.starts_with(expected), "{found}");
    }
}

#[test_case(propagation(100.0, 0), true; "a slow update queue")]
#[test_case(propagation(10_000.0, 1), true; "more messages than the cap of a window")]
#[test_case(propagation(10_000.0, 2), false; "as many messages as the cap of a window")]
fn a_change_that_propagates_too_slowly_is_forbidden(propagation: Propagation, forbids: bool) {
    let found = forbidding_findings(|fleet| drop(fleet.hosts.remove(0)), propagation);
    assert_eq!(
        found
            .iter()
            .any(|text| text.starts_with("channel: 1 hosts change: 1400 lines")),
        forbids,
        "{found:?}"
    );
}
