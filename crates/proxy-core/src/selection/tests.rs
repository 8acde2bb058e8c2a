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

fn counts(lines: &mut WeightedEntries, how: SelectionPolicy, picks: u32) -> BTreeMap<u16, u32> {
    let (mut chance, mut counts) = (Pcg::new(5), BTreeMap::new());
    for _ in 0..picks {
        let picked = lines
            .pick(how, &mut chance, |_| 0)
            .expect("there is a line");
        *counts.entry(picked.port).or_insert(0) += 1;
    }
    counts
}

#[test_case(SelectionPolicy::WeightedRandom, 0.02; "by chance")]
#[test_case(SelectionPolicy::WeightedRoundRobin, 0.0002; "in turn")]
#[test_case(SelectionPolicy::PowerOfTwoChoices, 0.02; "of two alike")]
fn shares_are_those_of_the_weights_also_after_lines_closed_and_opened(
    how: SelectionPolicy,
    off: f64,
) {
    let mut lines = WeightedEntries::new((1..=5).map(|port| (node(port), u32::from(port) * 1000)));
    for port in [2, 4, 5] {
        lines.set_open(node(port), false);
    }
    lines.set_open(node(4), true);
    lines.set_open(node(2), true);
    let counts = counts(&mut lines, how, 200_000);
    for (port, count) in &counts {
        let (share, wanted) = (f64::from(*count) / 200_000.0, f64::from(*port) / 10.0);
        assert!(
            (share / wanted - 1.0).abs() <= off.max(0.002),
            "{port}: {share} for {wanted}"
        );
    }
    assert_eq!(counts.keys().copied().collect::<Vec<_>>(), [1, 2, 3, 4]);
}

#[test]
fn of_two_the_less_busy_is_taken() {
    let mut lines = WeightedEntries::new([(node(1), 1), (node(2), 1)]);
    let mut chance = Pcg::new(1);
    let mut picks = (0..100).map(|_| {
        lines.pick(SelectionPolicy::PowerOfTwoChoices, &mut chance, |node| {
            u32::from(node.port == 1)
        })
    });
    let second = picks
        .by_ref()
        .filter(|picked| *picked == Some(node(2)))
        .count();
    assert!(
        second > 60,
        "{second} of a hundred; a quarter draws the busy one twice"
    );
}

#[test]
fn without_an_open_line_there_is_no_pick() {
    let mut chance = Pcg::new(1);
    assert_eq!(
        WeightedEntries::new([]).pick(SelectionPolicy::WeightedRandom, &mut chance, |_| 0),
        None
    );
    let mut lines = WeightedEntries::new([(node(1), 0), (node(2), 3)]);
    lines.set_open(node(2), false);
    for how in [
        SelectionPolicy::WeightedRandom,
        SelectionPolicy::WeightedRoundRobin,
        SelectionPolicy::PowerOfTwoChoices,
    ] {
        assert_eq!(lines.pick(how, &mut chance, |_| 0), None);
    }
    assert!(
        !lines.set_open(node(1), true),
        "a line of weight 0 is not opened"
    );
}

proptest! {
    // Whatever was opened and closed, the tree finds what a plain walk would, and never a closed line.
    #[test]
    fn the_tree_agrees_with_a_walk(
        weights in prop::collection::vec(0u32..50, 1..40),
        turns in prop::collection::vec((0usize..40, any::<bool>()), 0..60),
    ) {
        let mut lines = WeightedEntries::new(weights.iter().enumerate().map(|(at, weight)| (node(at as u16), *weight)));
        for (at, open) in turns {
            lines.set_open(node(at as u16), open);
        }
        let open: Vec<u64> = lines.lines.iter().map(|line| if line.open { line.weight } else { 0 }).collect();
        prop_assert_eq!(lines.total, open.iter().sum::<u64>());
        prop_assert_eq!(lines.turns.len(), lines.lines.iter().filter(|line| line.open).count());
        let walk = open.iter().enumerate().flat_map(|(at, weight)| (0..*weight).map(move |_| at));
        for (mark, at) in walk.enumerate() {
            prop_assert_eq!(lines.find(mark as u64), at);
        }
    }
}
