//! Compares the solver with a general linear-programming solver on random problems, and checks fleets with known
//! solutions.

use microlp::{ComparisonOp, OptimizationDirection, Problem};
use proptest::prelude::*;
use std::collections::BTreeMap;
use test_case::test_case;
use wheelspread_solve::flow::{maximize_gain, Sink, Source};
use wheelspread_solve::{
    solve, Fleet, Gateway, Host, HostState, Operation, SolveInputError, Status,
};

/// The optimal objective, from a general linear-programming solver.
fn reference(sources: &[Source], sinks: &[Sink]) -> f64 {
    let mut problem = Problem::new(OptimizationDirection::Maximize);
    let mut vars = vec![vec![None; sinks.len()]; sources.len()];
    for (s, source) in sources.iter().enumerate() {
        for (r, sink) in sinks.iter().enumerate() {
            if let Some(gain) = source.gains[sink.class] {
                vars[s][r] = Some(problem.add_var(gain - sink.cost, (0.0, f64::INFINITY)));
            }
        }
    }
    for (s, source) in sources.iter().enumerate() {
        let sum: Vec<_> = vars[s].iter().flatten().map(|var| (*var, 1.0)).collect();
        problem.add_constraint(&sum[..], ComparisonOp::Le, source.amount);
    }
    for (r, sink) in sinks.iter().enumerate() {
        let sum: Vec<_> = vars
            .iter()
            .filter_map(|of| of[r])
            .map(|var| (var, 1.0))
            .collect();
        problem.add_constraint(&sum[..], ComparisonOp::Le, sink.amount);
    }
    problem.solve().expect("a solution").objective()
}

fn problem() -> impl Strategy<Value = (Vec<Source>, Vec<Sink>)> {
    (1usize..7, 1usize..12, 1usize..4).prop_flat_map(|(sources, sinks, classes)| {
        let gain = prop_oneof![1 => Just(None), 5 => (-2.0f64..20.0).prop_map(Some)];
        let source = (0.0f64..50.0, prop::collection::vec(gain, classes))
            .prop_map(|(amount, gains)| Source { amount, gains });
        let sink = (0..classes, 0.0f64..30.0, 0.0f64..3.0).prop_map(|(class, amount, cost)| Sink {
            class,
            amount,
            cost,
        });
        (
            prop::collection::vec(source, sources),
            prop::collection::vec(sink, sinks),
        )
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(600))]

    #[test]
    fn the_objective_equals_the_reference_and_the_shadow_prices_prove_it_optimal((sources, sinks) in problem()) {
        let flows = maximize_gain(&sources, &sinks, &mut || false);
        let mut objective = 0.0;
        for (s, source) in sources.iter().enumerate() {
            prop_assert!(flows.work[s].iter().sum::<f64>() <= source.amount * (1.0 + 1e-9) + 1e-9);
            for (r, sink) in sinks.iter().enumerate() {
                prop_assert!(flows.work[s][r] >= 0.0);
                match source.gains[sink.class] {
                    Some(gain) => objective += flows.work[s][r] * (gain - sink.cost),
                    None => prop_assert_eq!(flows.work[s][r], 0.0),
                }
            }
        }
        for (r, sink) in sinks.iter().enumerate() {
            prop_assert!(flows.work.iter().map(|of| of[r]).sum::<f64>() <= sink.amount * (1.0 + 1e-9) + 1e-9);
        }
        let expected = reference(&sources, &sinks);
        prop_assert!((objective - expected).abs() <= 1e-6 * expected.abs().max(1.0), "{objective} for {expected}");
        // Shadow prices that are feasible for the dual problem and add up to the objective prove it optimal without
        // the reference.
        let mut bound = 0.0;
        for (s, source) in sources.iter().enumerate() {
            bound += source.amount * flows.source_price[s];
            for (r, sink) in sinks.iter().enumerate() {
                if let Some(gain) = source.gains[sink.class] {
                    let priced = flows.source_price[s] + flows.sink_price[r];
                    prop_assert!(priced >= gain - sink.cost - 1e-6, "{s} to {r}: {priced}");
                }
            }
        }
        bound += sinks.iter().zip(&flows.sink_price).map(|(sink, price)| sink.amount * price).sum::<f64>();
        prop_assert!((bound - expected).abs() <= 1e-6 * expected.abs().max(1.0), "bound {bound} for {expected}");
    }
}

fn host(id: &str, zone: &str, capacity: f64) -> Host {
    Host {
        id: id.into(),
        zone: zone.into(),
        capacity,
        state: HostState::Ready,
        price: 0.0,
        load_at_most: None,
        kind: String::new(),
    }
}

fn gateway(id: &str, zone: &str, quote: f64, plan: f64) -> Gateway {
    let demand = BTreeMap::from([("quote".to_string(), quote), ("plan".to_string(), plan)]);
    Gateway {
        id: id.into(),
        zone: zone.into(),
        demand,
    }
}

/// Two zones of two hosts each. The billed value of a quote is twice that of a plan, and both take 0.1 s of work.
fn fleet(quote: f64, plan: f64) -> Fleet {
    let operation = |name: &str, billed_value, stays_in_zone| Operation {
        name: name.into(),
        billed_value,
        work: 0.1,
        holds: None,
        stays_in_zone,
        least_share: 0.1,
    };
    Fleet {
        hosts: vec![
            host("a1", "a", 4.0),
            host("a2", "a", 2.0),
            host("b1", "b", 4.0),
            host("b2", "b", 2.0),
        ],
        gateways: vec![
            gateway("g1", "a", quote, plan),
            gateway("g2", "b", quote, plan),
        ],
        operations: vec![operation("quote", 2.0, false), operation("plan", 1.0, true)],
        cross_zone_price: 0.05,
        connection_price: 0.0,
        crossing_seconds: 0.0,
        fill_at_most: 0.8,
        cold_share: 0.2,
        steps: vec![(0.6, 0.0), (1.0, 0.02)],
        standing: BTreeMap::new(),
        change_price: 0.0,
    }
}

fn admitted(fleet: &Fleet, gateway: &str, operation: &str) -> f64 {
    let solution = solve(fleet, &mut || false).expect("a solution");
    assert_eq!(solution.status, Status::Optimal);
    let found = solution
        .gateways
        .iter()
        .find(|result| result.id == gateway && result.operation == operation);
    found.expect("an admission result").admitted
}

#[test]
fn with_enough_capacity_equal_hosts_get_equal_loads_and_nothing_crosses_zones() {
    let fleet = fleet(10.0, 10.0);
    let solution = solve(&fleet, &mut || false).expect("a solution");
    assert!(solution
        .gateways
        .iter()
        .all(|result| result.admitted == 1.0));
    assert!(solution.flows.iter().all(|flow| flow.from == flow.to));
    for host in &solution.hosts {
        assert!(
            (host.load / host.capacity - 1.0 / 3.0).abs() < 1e-9 && host.shadow_price == 0.0,
            "{host:?}"
        );
    }
    let a1 = solution.hosts[0].weight / solution.hosts[1].weight;
    assert!((a1 - 2.0).abs() < 1e-9, "weights as capacities");
}

#[test]
fn insufficient_capacity_rejects_plans_before_quotes_down_to_the_least_share() {
    // Each zone has capacity for 48 requests a second and a demand of 60.
    let short = fleet(40.0, 20.0);
    assert!((admitted(&short, "g1", "quote") - 1.0).abs() < 1e-9);
    assert!((admitted(&short, "g1", "plan") - 0.4).abs() < 1e-9);
    let solution = solve(&short, &mut || false).expect("a solution");
    // One more second of work would serve ten plans.
    let price = solution.hosts[0].shadow_price;
    assert!((price - (10.0 - 0.02 * 20.0)).abs() < 1e-6, "{price}");
    assert_eq!(solution.hosts[0].binds, "its capacity");
    // With far too many quotes the plans still get their least share.
    assert!((admitted(&fleet(400.0, 20.0), "g1", "plan") - 0.1).abs() < 1e-9);
}

#[test]
fn a_zone_without_hosts_crosses_zones_or_is_an_error_for_a_zone_bound_operation() {
    let mut crossing = fleet(20.0, 0.0);
    crossing.hosts.truncate(2);
    assert!((admitted(&crossing, "g2", "quote") - 1.0).abs() < 1e-9);
    let mut zone_bound = fleet(20.0, 5.0);
    zone_bound.hosts.truncate(2);
    let refused = solve(&zone_bound, &mut || false).expect_err("plans of zone b have no host");
    assert_eq!(
        refused,
        SolveInputError::NoHostInZone {
            zone: "b".into(),
            operation: "plan".into()
        }
    );
}

/// A fleet in which a quote occupies its connection for ten times as long as a plan.
fn long_connection_fleet(connection_price: f64, crossing_seconds: f64) -> Fleet {
    let mut fleet = fleet(200.0, 20.0);
    fleet.operations[0].holds = Some(1.0);
    (fleet.connection_price, fleet.crossing_seconds) = (connection_price, crossing_seconds);
    fleet
}

#[test_case(0.0, true; "without a connection price the higher billed value is served first")]
#[test_case(1.5, false; "at a connection price of 1.5 a quote gains less than a plan")]
fn a_connection_price_lowers_the_gain_of_an_operation_with_long_connections(
    price: f64,
    quotes_first: bool,
) {
    let fleet = long_connection_fleet(price, 0.0);
    assert_eq!(
        admitted(&fleet, "g1", "plan") < 0.5,
        quotes_first,
        "{}",
        admitted(&fleet, "g1", "plan")
    );
}

#[test]
fn a_route_whose_connections_cost_more_than_the_billed_value_is_not_used() {
    let crossing_admitted = |fleet: Fleet| {
        let mut fleet = fleet;
        fleet.hosts.retain(|host| host.zone == "a");
        fleet.gateways = vec![gateway("g1", "a", 1.0, 1.0), gateway("g2", "b", 20.0, 0.0)];
        fleet
            .operations
            .iter_mut()
            .for_each(|operation| operation.stays_in_zone = false);
        admitted(&fleet, "g2", "quote")
    };
    assert!(crossing_admitted(long_connection_fleet(0.1, 1.0)) > 0.99);
    assert!(
        (crossing_admitted(long_connection_fleet(0.1, 100.0)) - 0.1).abs() < 1e-9,
        "its least share alone"
    );
    let mut invalid = long_connection_fleet(0.1, 100.0);
    invalid.operations[0].holds = Some(-1.0);
    assert!(matches!(
        solve(&invalid, &mut || false),
        Err(SolveInputError::Operation { field: "holds", .. })
    ));
}

#[test]
fn warming_hosts_have_a_reduced_limit_and_draining_hosts_no_load() {
    let mut warming = fleet(30.0, 10.0);
    warming.hosts[0].state = HostState::Warming;
    warming.hosts[3].state = HostState::Draining;
    let solution = solve(&warming, &mut || false).expect("a solution");
    assert!(solution.hosts[0].load <= 4.0 * 0.2 * 0.8 + 1e-9);
    assert_eq!(
        (solution.hosts[3].load, solution.hosts[3].weight),
        (0.0, 0.0)
    );
}

#[test]
fn small_changes_of_input_give_small_changes_of_weights() {
    let weights = |capacity: f64| {
        let mut fleet = fleet(35.0, 20.0);
        fleet.hosts[0].capacity = capacity;
        solve(&fleet, &mut || false)
            .expect("a solution")
            .hosts
            .iter()
            .map(|h| h.weight)
            .collect::<Vec<_>>()
    };
    for (before, after) in weights(4.0).iter().zip(weights(4.04)) {
        assert!((before - after).abs() < 0.05, "{before} and {after}");
    }
    assert_eq!(
        weights(4.0),
        weights(4.0),
        "ties are decided deterministically"
    );
}

#[test]
fn a_deadline_returns_a_feasible_solution_marked_as_cut_short() {
    let mut rounds = 0;
    let mut over = || {
        rounds += 1;
        rounds > 2
    };
    let cut = solve(&fleet(40.0, 20.0), &mut over).expect("a solution");
    let whole = solve(&fleet(40.0, 20.0), &mut || false).expect("a solution");
    assert_eq!(cut.status, Status::CutShort);
    assert!(
        cut.objective <= whole.objective
            && cut
                .hosts
                .iter()
                .all(|host| host.load <= host.capacity * 0.8 + 1e-9)
    );
}

#[test_case(|f| f.hosts.clear(), "no host"; "no hosts")]
#[test_case(|f| f.operations.clear(), "no operation"; "no operations")]
#[test_case(|f| f.hosts.iter_mut().for_each(|h| h.capacity = 0.0), "no capacity left"; "capacities of zero")]
#[test_case(|f| f.hosts[1].capacity = f64::NAN, "host `a2`: capacity NaN"; "a capacity that is not a number")]
#[test_case(|f| f.gateways[0] = gateway("g1", "a", -1.0, 0.0), "`g1`: -1 invocations"; "negative demand")]
#[test_case(|f| f.gateways[1].id = "g1".into(), "gateway `g1` is named twice"; "a duplicate gateway")]
#[test_case(|f| f.operations[0].work = 0.0, "work 0 can't be"; "an operation without work")]
#[test_case(|f| f.steps = vec![(0.5, 0.0)], "steps should rise to 1"; "steps that do not reach 1")]
fn an_invalid_fleet_is_an_error_that_names_the_problem(invalidate: fn(&mut Fleet), expected: &str) {
    let mut fleet = fleet(10.0, 10.0);
    invalidate(&mut fleet);
    let refused = solve(&fleet, &mut || false)
        .expect_err("the fleet is invalid")
        .to_string();
    assert!(refused.contains(expected), "{refused}");
}

#[test]
fn demand_beyond_capacity_is_admitted_by_billed_value() {
    let served = |fleet: &Fleet| solve(fleet, &mut || false).expect("a solution").value_per_s;
    let normal = fleet(25.0, 20.0);
    assert!(
        (served(&normal) - 2.0 * (25.0 * 2.0 + 20.0)).abs() < 1e-6,
        "all demand is served"
    );
    // Twice the demand: quotes are admitted first, and plans get the remaining capacity.
    let doubled = fleet(50.0, 40.0);
    let quotes = admitted(&doubled, "g1", "quote");
    assert!(
        quotes > 0.85 && admitted(&doubled, "g1", "plan") < 0.15,
        "{quotes}"
    );
    assert!(served(&doubled) >= served(&normal));
    let mut warming = fleet(25.0, 20.0);
    (0..2).for_each(|at| warming.hosts[2 * at].state = HostState::Warming);
    assert!(admitted(&warming, "g2", "quote") > admitted(&warming, "g2", "plan"));
    // A third of all capacities: load is still divided among hosts in proportion to capacity.
    let mut slow = fleet(25.0, 20.0);
    slow.hosts.iter_mut().for_each(|host| host.capacity /= 3.0);
    let solution = solve(&slow, &mut || false).expect("a solution");
    assert!((solution.hosts[0].load / solution.hosts[1].load - 2.0).abs() < 1e-9);
}

#[test]
fn an_explanation_gives_the_reasons_for_a_hosts_weight() {
    use wheelspread_solve::explain::{explain, Reason};
    let mut short = fleet(40.0, 20.0);
    short.hosts[1].state = HostState::Draining;
    short.hosts[3].load_at_most = Some(0.5);
    let solution = solve(&short, &mut || false).expect("a solution");
    let reasons = |id: &str| explain(&short, &solution, id).expect("a host").reasons;
    assert!(matches!(reasons("a1")[..], [Reason::Full { shadow_price }] if shadow_price > 5.0));
    assert_eq!(reasons("a2"), [Reason::Draining]);
    assert!(matches!(
        reasons("b2")[..],
        [Reason::LoadLimit { limit: 0.5 }, Reason::Full { .. }]
    ));
    assert_eq!(explain(&short, &solution, "nobody"), None);
}

#[test]
fn load_moves_only_for_a_gain_above_the_change_price() {
    // Hosts of zone a have a price, those of zone b none; crossing costs 0.5 of value for a second of work.
    let with = |gain: f64, change_price| {
        let mut fleet = fleet(20.0, 0.0);
        fleet.gateways.truncate(1);
        fleet.steps = vec![(1.0, 0.0)];
        fleet
            .hosts
            .iter_mut()
            .filter(|host| host.zone == "a")
            .for_each(|host| host.price = gain);
        fleet.standing = BTreeMap::from([("a1".to_string(), 1.4), ("a2".to_string(), 0.6)]);
        fleet.change_price = change_price;
        let solution = solve(&fleet, &mut || false).expect("a solution");
        solution
            .hosts
            .iter()
            .filter(|host| host.zone == "b")
            .map(|host| host.load)
            .sum::<f64>()
    };
    assert_eq!(with(0.4, 0.0), 0.0, "crossing costs more than the gain");
    assert!(
        (with(0.6, 0.0) - 2.0).abs() < 1e-9,
        "without a change price all load moves for a small gain"
    );
    assert_eq!(
        with(0.6, 0.2),
        0.0,
        "no load moves if the change price is above the gain"
    );
    assert!(
        (with(0.9, 0.2) - 2.0).abs() < 1e-9,
        "all load moves if the gain is above the change price"
    );
}
