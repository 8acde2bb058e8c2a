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
mod tests;
