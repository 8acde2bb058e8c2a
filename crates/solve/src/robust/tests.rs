use super::*;
use crate::fleet::{Gateway, HostState, Operation};

fn fleet(demand: f64) -> Fleet {
    let host = |id: &str, capacity| Host {
        id: id.into(),
        zone: "a".into(),
        capacity,
        state: HostState::Ready,
        price: 0.0,
        load_at_most: None,
        kind: String::new(),
    };
    Fleet {
        hosts: vec![host("fast", 6.0), host("s1", 2.0), host("s2", 2.0)],
        gateways: vec![Gateway {
            id: "g".into(),
            zone: "a".into(),
            demand: BTreeMap::from([("quote".to_string(), demand)]),
        }],
        operations: vec![Operation {
            name: "quote".into(),
            billed_value: 2.0,
            work: 0.1,
            holds: None,
            stays_in_zone: false,
            least_share: 0.0,
        }],
        cross_zone_price: 0.0,
        connection_price: 0.0,
        crossing_seconds: 0.0,
        fill_at_most: 0.8,
        cold_share: 0.2,
        steps: vec![(0.6, 0.0), (1.0, 0.01)],
        standing: BTreeMap::new(),
        change_price: 0.0,
    }
}

const HALF: CapacityRange = CapacityRange {
    min_ratio: 0.5,
    max_ratio: 2.0,
};

#[test]
fn low_demand_is_served_in_full_with_half_of_all_capacities() {
    let fleet = fleet(30.0);
    let solution = solve(&fleet, &mut || false).expect("solved");
    let worst = worst_case(&fleet, &solution, HALF);
    assert!((worst.value_per_s - 60.0).abs() < 1e-9 && worst.overloaded.is_empty());
}

#[test]
fn a_host_with_half_of_its_capacity_serves_half_of_its_load_and_is_listed_as_overloaded() {
    let fleet = fleet(80.0);
    let solution = solve(&fleet, &mut || false).expect("solved");
    let result = served(&fleet, &solution, &|host| {
        if host.id == "fast" {
            0.5
        } else {
            1.0
        }
    });
    assert_eq!(result.overloaded.len(), 1);
    assert!((result.overloaded[0].1 - 2.0).abs() < 1e-6 && result.overloaded[0].0 == "fast");
    assert!(
        (result.value_per_s - (160.0 - 48.0)).abs() < 1e-6,
        "{}",
        result.value_per_s
    );
}

#[test]
fn a_hedge_serves_no_less_in_the_worst_case_and_keeps_full_capacities_at_low_demand() {
    for demand in [10.0, 40.0, 70.0, 200.0] {
        let fleet = fleet(demand);
        let plain = solve(&fleet, &mut || false).expect("solved");
        let (hedged, ratio) = hedge(&fleet, HALF, &mut || false).expect("solved");
        let worst = |solution: &Solution| worst_case(&fleet, solution, HALF).value_per_s;
        assert!(worst(&hedged) >= worst(&plain) - 1e-9, "{demand}");
        assert!(demand > 30.0 || ratio == 1.0, "{demand}: {ratio}");
    }
}
