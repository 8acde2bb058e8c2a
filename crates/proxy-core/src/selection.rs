//! Which line an invocation goes by. Weights are whole numbers as published, so sums are exact and no pick
//! is biased by what changed before. WeightedEntries can be closed for a while without touching the others.

use wheelspread::ids::NodeId;
use wheelspread::pcg::Pcg;

/// How a line is chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SelectionPolicy {
    /// By chance, each line by its weight.
    #[default]
    WeightedRandom,
    /// In turn, each line as often as its weight says.
    WeightedRoundRobin,
    /// Of two drawn by weight, the one with fewer invocations outstanding.
    PowerOfTwoChoices,
}

#[derive(Clone, Debug)]
struct Line {
    node: NodeId,
    weight: u64,
    open: bool,
    /// Of a wheel: when its turn is next, in parts of a round.
    turn: u128,
}

/// The lines of one operation, with a tree of partial sums over the weights of the open ones.
#[derive(Clone, Debug)]
pub struct WeightedEntries {
    lines: Vec<Line>,
    sums: Vec<u64>,
    total: u64,
    turns: std::collections::BTreeSet<(u128, usize)>,
}

const ROUND: u128 = 1 << 64;

impl WeightedEntries {
    /// Each node once; weights of 0 are lines that get nothing.
    pub fn new(weights: impl IntoIterator<Item = (NodeId, u32)>) -> WeightedEntries {
        let mut merged = std::collections::BTreeMap::new();
        for (node, weight) in weights {
            *merged.entry(node).or_insert(0u64) += u64::from(weight);
        }
        let line = |(node, weight)| Line {
            node,
            weight,
            open: weight > 0,
            turn: 0,
        };
        let mut lines = WeightedEntries {
            lines: merged.into_iter().map(line).collect(),
            sums: Vec::new(),
            total: 0,
            turns: Default::default(),
        };
        lines.sums = vec![0; lines.lines.len() + 1];
        for at in 0..lines.lines.len() {
            if lines.lines[at].open {
                let weight = lines.lines[at].weight;
                lines.add(at, weight as i64);
                // The first turn of each comes half its share of a round in, so that none goes all at once.
                lines.lines[at].turn = ROUND / u128::from(weight) / 2;
                lines.turns.insert((lines.lines[at].turn, at));
            }
        }
        lines
    }

    pub fn len(&self) -> usize {
        self.lines.len()
    }

    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }

    pub fn nodes(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.lines.iter().map(|line| line.node)
    }

    fn place(&self, node: NodeId) -> Option<usize> {
        self.lines
            .binary_search_by(|line| line.node.cmp(&node))
            .ok()
    }

    fn add(&mut self, at: usize, change: i64) {
        self.total = self.total.wrapping_add_signed(change);
        let mut index = at + 1;
        while index < self.sums.len() {
            self.sums[index] = self.sums[index].wrapping_add_signed(change);
            index += index & index.wrapping_neg();
        }
    }

    /// Opens or closes a node's line; `true` if that changed it.
    pub fn set_open(&mut self, node: NodeId, open: bool) -> bool {
        let Some(at) = self.place(node) else {
            return false;
        };
        let line = &self.lines[at];
        if line.open == open || line.weight == 0 {
            return false;
        }
        let (weight, turn) = (line.weight as i64, line.turn);
        self.add(at, if open { weight } else { -weight });
        if open {
            // It comes in with the others' present turn, not with all the turns that it missed.
            let present = self.turns.first().map_or(turn, |first| first.0);
            self.lines[at].turn = turn.max(present);
            self.turns.insert((self.lines[at].turn, at));
        } else {
            self.turns.remove(&(turn, at));
        }
        self.lines[at].open = open;
        true
    }

    /// The line at which the running sum of open weights passes `mark`.
    fn find(&self, mut mark: u64) -> usize {
        let mut at = 0;
        let mut step = (self.sums.len()).next_power_of_two() >> 1;
        while step > 0 {
            let next = at + step;
            if next < self.sums.len() && self.sums[next] <= mark {
                mark -= self.sums[next];
                at = next;
            }
            step >>= 1;
        }
        at
    }

    fn draw(&self, chance: &mut Pcg) -> Option<usize> {
        (self.total > 0).then(|| self.find(below(chance, self.total)))
    }

    /// Picks an open line; `None` if there is none.
    pub fn pick(
        &mut self,
        how: SelectionPolicy,
        chance: &mut Pcg,
        outstanding: impl Fn(NodeId) -> u32,
    ) -> Option<NodeId> {
        let at = match how {
            SelectionPolicy::WeightedRandom => self.draw(chance)?,
            SelectionPolicy::PowerOfTwoChoices => {
                let (first, second) = (self.draw(chance)?, self.draw(chance)?);
                let busy = |at: usize| outstanding(self.lines[at].node);
                if busy(second) < busy(first) {
                    second
                } else {
                    first
                }
            }
            SelectionPolicy::WeightedRoundRobin => {
                let (turn, at) = self.turns.pop_first()?;
                let next = turn + ROUND / u128::from(self.lines[at].weight);
                self.lines[at].turn = next;
                self.turns.insert((next, at));
                at
            }
        };
        self.lines.get(at).map(|line| line.node)
    }
}

/// Evenly from 0 up to `end`: what would favour the small ones is drawn again.
fn below(chance: &mut Pcg, end: u64) -> u64 {
    let fair = u64::MAX - u64::MAX % end;
    loop {
        let draw = u64::from(chance.draw()) << 32 | u64::from(chance.draw());
        if draw < fair {
            return draw % end;
        }
    }
}

#[cfg(test)]
mod tests {
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
        let mut lines =
            WeightedEntries::new((1..=5).map(|port| (node(port), u32::from(port) * 1000)));
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
}
