//! Which node gets an attempt. Weights are whole numbers as published, so sums are exact and no selection is
//! biased by what changed before. Entries can be made unavailable for a while without touching the others.

use std::collections::{BTreeMap, BTreeSet};
use wheelspread::ids::NodeId;
use wheelspread::pcg::Pcg;

/// How a node is selected.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SelectionPolicy {
    /// By chance, each node by its weight.
    #[default]
    WeightedRandom,
    /// In turn, each node as often as its weight says.
    WeightedRoundRobin,
    /// Of two drawn by weight, the one with fewer attempts in flight.
    PowerOfTwoChoices,
}

/// A node and its weight in a table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WeightedNode {
    /// The node.
    pub node: NodeId,
    /// Its weight; 0: it gets nothing.
    pub weight: u32,
}

#[derive(Clone, Debug)]
struct Entry {
    node: NodeId,
    weight: u64,
    is_available: bool,
    /// Of a round robin: when its turn is next, in parts of a round.
    next_turn: u128,
}

/// A turn of a round robin. Turns are taken in the order of time, then of entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Turn {
    at: u128,
    entry: usize,
}

/// The time in which an entry of weight 1 gets one turn.
const ROUND: u128 = 1 << 64;

/// The entries of one operation, with a Fenwick tree over the weights of the available ones.
#[derive(Clone, Debug)]
pub struct WeightedEntries {
    /// In the order of their nodes, each node once.
    entries: Vec<Entry>,
    /// The Fenwick tree; its first place is not used.
    partial_sums: Vec<u64>,
    total_weight: u64,
    /// Of the available entries.
    turns: BTreeSet<Turn>,
}

impl WeightedEntries {
    /// All entries available but those of weight 0. Weights of a node that comes more than once are added.
    pub fn new(weights: impl IntoIterator<Item = WeightedNode>) -> WeightedEntries {
        let mut weight_by_node = BTreeMap::new();
        for WeightedNode { node, weight } in weights {
            *weight_by_node.entry(node).or_insert(0u64) += u64::from(weight);
        }
        let entry = |(node, weight)| Entry {
            node,
            weight,
            is_available: weight > 0,
            next_turn: 0,
        };
        let entries: Vec<Entry> = weight_by_node.into_iter().map(entry).collect();
        let mut all = WeightedEntries {
            partial_sums: vec![0; entries.len() + 1],
            entries,
            total_weight: 0,
            turns: BTreeSet::new(),
        };
        for at in 0..all.entries.len() {
            if all.entries[at].is_available {
                let weight = all.entries[at].weight;
                all.add_weight(at, weight as i64);
                // The first turn comes half a share of a round in, so that no entry gets all its turns at once.
                all.schedule_turn(at, ROUND / u128::from(weight) / 2);
            }
        }
        all
    }

    /// The number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The nodes of all entries, in order.
    pub fn nodes(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.entries.iter().map(|entry| entry.node)
    }

    fn position(&self, node: NodeId) -> Option<usize> {
        self.entries
            .binary_search_by(|entry| entry.node.cmp(&node))
            .ok()
    }

    fn schedule_turn(&mut self, entry: usize, at: u128) {
        self.entries[entry].next_turn = at;
        self.turns.insert(Turn { at, entry });
    }

    fn add_weight(&mut self, at: usize, change: i64) {
        self.total_weight = self.total_weight.wrapping_add_signed(change);
        let mut index = at + 1;
        while index < self.partial_sums.len() {
            self.partial_sums[index] = self.partial_sums[index].wrapping_add_signed(change);
            index += index & index.wrapping_neg();
        }
    }

    /// Makes a node's entry available or not; `true` if that changed it.
    pub fn set_available(&mut self, node: NodeId, is_available: bool) -> bool {
        let Some(at) = self.position(node) else {
            return false;
        };
        let entry = &self.entries[at];
        if entry.is_available == is_available || entry.weight == 0 {
            return false;
        }
        let (weight, next_turn) = (entry.weight as i64, entry.next_turn);
        if is_available {
            self.add_weight(at, weight);
            // It comes in with the others' present turn, not with all the turns that it missed.
            let present = self.turns.first().map_or(next_turn, |first| first.at);
            self.schedule_turn(at, next_turn.max(present));
        } else {
            self.add_weight(at, -weight);
            self.turns.remove(&Turn {
                at: next_turn,
                entry: at,
            });
        }
        self.entries[at].is_available = is_available;
        true
    }

    /// The entry at which the running sum of available weights passes `mark`.
    fn find(&self, mut mark: u64) -> usize {
        let mut at = 0;
        let mut step = (self.partial_sums.len()).next_power_of_two() >> 1;
        while step > 0 {
            let next = at + step;
            if next < self.partial_sums.len() && self.partial_sums[next] <= mark {
                mark -= self.partial_sums[next];
                at = next;
            }
            step >>= 1;
        }
        at
    }

    fn draw(&self, random: &mut Pcg) -> Option<usize> {
        (self.total_weight > 0).then(|| self.find(uniform_below(random, self.total_weight)))
    }

    /// Selects an available entry; `None` if there is none.
    pub fn select(
        &mut self,
        policy: SelectionPolicy,
        random: &mut Pcg,
        in_flight: impl Fn(NodeId) -> u32,
    ) -> Option<NodeId> {
        let at = match policy {
            SelectionPolicy::WeightedRandom => self.draw(random)?,
            SelectionPolicy::PowerOfTwoChoices => self.draw_less_busy(random, in_flight)?,
            SelectionPolicy::WeightedRoundRobin => self.take_turn()?,
        };
        self.entries.get(at).map(|entry| entry.node)
    }

    fn draw_less_busy(&self, random: &mut Pcg, in_flight: impl Fn(NodeId) -> u32) -> Option<usize> {
        let (first, second) = (self.draw(random)?, self.draw(random)?);
        let in_flight = |at: usize| in_flight(self.entries[at].node);
        if in_flight(second) < in_flight(first) {
            Some(second)
        } else {
            Some(first)
        }
    }

    fn take_turn(&mut self) -> Option<usize> {
        let Turn { at, entry } = self.turns.pop_first()?;
        let interval = ROUND / u128::from(self.entries[entry].weight);
        self.schedule_turn(entry, at + interval);
        Some(entry)
    }
}

/// A number from 0 up to `end`, each as likely: draws that would favour the small ones are made again.
fn uniform_below(random: &mut Pcg, end: u64) -> u64 {
    let fair = u64::MAX - u64::MAX % end;
    loop {
        let draw = u64::from(random.draw()) << 32 | u64::from(random.draw());
        if draw < fair {
            return draw % end;
        }
    }
}

#[cfg(test)]
mod tests;
