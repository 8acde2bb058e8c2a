//! The checks of a change: what each finds, with its figures.

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
    let bounds = ChangeLimits {
        max_value_loss_ratio: 0.05,
        max_warming_work_share: 0.3,
        max_propagation_time: Span::from_seconds(5.0),
    };
    let verdict = check(&before, &after, bounds, propagation);
    assert!(verdict.0.iter().all(|finding| !finding.text.is_empty()));
    let against = verdict.0.into_iter().filter(|finding| finding.forbids);
    against
        .map(|finding| format!("{}: {}", finding.check, finding.text))
        .collect()
}

#[test_case(|_| {}, &[]; "nothing changes")]
#[test_case(|fleet| drop(fleet.hosts.remove(0)), &[]; "one host goes and the others have room")]
#[test_case(|fleet| fleet.hosts.retain(|host| host.zone == "b"),
    &["pools: no host for `plan` in `a`, which asks for 6.0/s (2 hosts now)", "capacity: zone `a` asks for `plan`"];
    "a zone is emptied for what stays there")]
#[test_case(|fleet| fleet.hosts.iter_mut().for_each(|host| host.capacity = 0.7),
    &["capacity: value served 60.00 a second now, 44.80 after (-25.3%, 5.0% may be lost), 4 of 4 hosts full"];
    "capacity that is not enough")]
#[test_case(|fleet| fleet.hosts.iter_mut().for_each(|host| host.state = HostState::Cold),
    &["capacity: ", "cold: 4 cold hosts would carry 100.0% of the work (30.0% may be)"]; "all cold")]
fn checks_forbid_what_costs_capacity_or_overloads_hosts_in_slow_start(
    change: fn(&mut Fleet),
    expected: &[&str],
) {
    let found = forbidding_findings(change, propagation(10_000.0, 60));
    assert_eq!(found.len(), expected.len(), "{found:?}");
    for (found, expected) in found.iter().zip(expected) {
        assert!(found.starts_with(expected), "{found}");
    }
}

#[test_case(propagation(100.0, 0), true; "a slow channel")]
#[test_case(propagation(10_000.0, 1), true; "more messages than a window allows")]
#[test_case(propagation(10_000.0, 2), false; "just as many as it allows")]
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
