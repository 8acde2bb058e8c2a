use super::*;
use proptest::prelude::*;
use std::collections::BTreeMap;
use test_case::test_case;

fn node(port: u16) -> NodeId {
    NodeId {
        address: [10, 0, 0, 1],
        port,
    }
}

fn weighted(port: u16, weight: u32) -> WeightedNode {
    WeightedNode {
        node: node(port),
        weight,
    }
}

fn counts(
    entries: &mut WeightedEntries,
    policy: SelectionPolicy,
    selections: u32,
) -> BTreeMap<u16, u32> {
    let (mut random, mut counts) = (Pcg::new(5), BTreeMap::new());
    for _ in 0..selections {
        let selected = entries
            .select(policy, &mut random, |_| 0)
            .expect("there is an entry");
        *counts.entry(selected.port).or_insert(0) += 1;
    }
    counts
}

#[test_case(SelectionPolicy::WeightedRandom, 0.02; "weighted random")]
#[test_case(SelectionPolicy::WeightedRoundRobin, 0.0002; "weighted round robin")]
#[test_case(SelectionPolicy::PowerOfTwoChoices, 0.02; "power of two choices")]
fn shares_match_the_weights_after_availability_changes(policy: SelectionPolicy, tolerance: f64) {
    let mut entries =
        WeightedEntries::new((1..=5).map(|port| weighted(port, u32::from(port) * 1000)));
    for port in [2, 4, 5] {
        entries.set_available(node(port), false);
    }
    entries.set_available(node(4), true);
    entries.set_available(node(2), true);
    let counts = counts(&mut entries, policy, 200_000);
    for (port, count) in &counts {
        let (share, expected) = (f64::from(*count) / 200_000.0, f64::from(*port) / 10.0);
        assert!(
            (share / expected - 1.0).abs() <= tolerance.max(0.002),
            "port {port}: share {share}, expected {expected}"
        );
    }
    assert_eq!(counts.keys().copied().collect::<Vec<_>>(), [1, 2, 3, 4]);
}

#[test]
fn power_of_two_choices_prefers_the_node_with_fewer_attempts_in_flight() {
    let mut entries = WeightedEntries::new([weighted(1, 1), weighted(2, 1)]);
    let mut random = Pcg::new(1);
    let mut selections = (0..100).map(|_| {
        entries.select(SelectionPolicy::PowerOfTwoChoices, &mut random, |node| {
            u32::from(node.port == 1)
        })
    });
    let second = selections
        .by_ref()
        .filter(|selected| *selected == Some(node(2)))
        .count();
    assert!(
        second > 60,
        "{second} of 100 selections; in a quarter of them both draws hit the loaded node"
    );
}

#[test]
fn no_node_is_selected_without_an_available_entry() {
    let mut random = Pcg::new(1);
    assert_eq!(
        WeightedEntries::new([]).select(SelectionPolicy::WeightedRandom, &mut random, |_| 0),
        None
    );
    let mut entries = WeightedEntries::new([weighted(1, 0), weighted(2, 3)]);
    entries.set_available(node(2), false);
    for policy in [
        SelectionPolicy::WeightedRandom,
        SelectionPolicy::WeightedRoundRobin,
        SelectionPolicy::PowerOfTwoChoices,
    ] {
        assert_eq!(entries.select(policy, &mut random, |_| 0), None);
    }
    assert!(
        !entries.set_available(node(1), true),
        "an entry of weight 0 stays unavailable"
    );
}

proptest! {
    // After any sequence of availability changes, the Fenwick tree finds the same entry as a linear scan over the
    // available weights, and never an unavailable entry.
    #[test]
    fn the_fenwick_tree_agrees_with_a_linear_scan(
        weights in prop::collection::vec(0u32..50, 1..40),
        changes in prop::collection::vec((0usize..40, any::<bool>()), 0..60),
    ) {
        let mut entries = WeightedEntries::new(weights.iter().enumerate().map(|(index, weight)| weighted(index as u16, *weight)));
        for (index, is_available) in changes {
            entries.set_available(node(index as u16), is_available);
        }
        let available_weights: Vec<u64> = entries.entries.iter().map(|entry| if entry.is_available { entry.weight } else { 0 }).collect();
        prop_assert_eq!(entries.total_weight, available_weights.iter().sum::<u64>());
        prop_assert_eq!(entries.turns.len(), entries.entries.iter().filter(|entry| entry.is_available).count());
        let expected_indices = available_weights.iter().enumerate().flat_map(|(index, weight)| (0..*weight).map(move |_| index));
        for (offset, index) in expected_indices.enumerate() {
            prop_assert_eq!(entries.find(offset as u64), index);
        }
    }
}
