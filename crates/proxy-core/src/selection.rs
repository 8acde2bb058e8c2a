//! Weighted node selection. Weights are integers, so their sums are exact and earlier changes leave no rounding
//! error that would bias later selections. An entry can be made unavailable without rebuilding the others.

use std::collections::{BTreeMap, BTreeSet};
use wheelspread::ids::NodeId;
use wheelspread::pcg::Pcg;

/// How a node is selected.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SelectionPolicy {
    /// Draws a node at random with probability proportional to its weight.
    #[default]
    WeightedRandom,
    /// Selects nodes in turn, each as often as its weight requires.
    WeightedRoundRobin,
    /// Draws two nodes by weight and selects the one with fewer attempts in flight.
    PowerOfTwoChoices,
}

/// A node and its weight in a table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WeightedNode {
    /// The node id.
    pub node: NodeId,
    /// Weight relative to the other entries; a node with weight 0 gets no attempts.
    pub weight: u32,
}

#[derive(Clone, Debug)]
struct Entry {
    node: NodeId,
    weight: u64,
    is_available: bool,
    /// For round robin: virtual time of the entry's next turn; [`ROUND_LENGTH`] is one round.
    next_turn_time: u128,
}

/// A scheduled round-robin turn, ordered by virtual time, then by entry index.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Turn {
    time: u128,
    entry_index: usize,
}

/// Length of a round in virtual time. An entry of weight `w` gets `w` turns in each round.
const ROUND_LENGTH: u128 = 1 << 64;

/// The entries of one operation, with a Fenwick tree over the weights of the available entries.
#[derive(Clone, Debug)]
pub struct WeightedEntries {
    /// Sorted by node id, without duplicates.
    entries: Vec<Entry>,
    /// The Fenwick tree, indexed from 1; index 0 is unused.
    partial_sums: Vec<u64>,
    /// Sum of the weights of the available entries.
    total_weight: u64,
    /// The next turn of each available entry.
    turns: BTreeSet<Turn>,
}

impl WeightedEntries {
    /// Builds the entries; all are available except those of weight 0. The weights of a repeated node are added up.
    pub fn new(weights: impl IntoIterator<Item = WeightedNode>) -> WeightedEntries {
        let mut weight_by_node = BTreeMap::new();
        for WeightedNode { node, weight } in weights {
            *weight_by_node.entry(node).or_insert(0u64) += u64::from(weight);
        }
        let entry = |(node, weight)| Entry {
            node,
            weight,
            is_available: weight > 0,
            next_turn_time: 0,
        };
        let entries: Vec<Entry> = weight_by_node.into_iter().map(entry).collect();
        let mut result = WeightedEntries {
            partial_sums: vec![0; entries.len() + 1],
            entries,
            total_weight: 0,
            turns: BTreeSet::new(),
        };
        for index in 0..result.entries.len() {
            if result.entries[index].is_available {
                let weight = result.entries[index].weight;
                result.add_weight(index, weight as i64);
                // The first turn comes after half an interval, so that an entry's turns are spread over the round and
                // not all entries are due at time 0.
                result.schedule_turn(index, ROUND_LENGTH / u128::from(weight) / 2);
            }
        }
        result
    }

    /// Number of entries, available or not.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The nodes of all entries, available or not, in sort order.
    pub fn nodes(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.entries.iter().map(|entry| entry.node)
    }

    fn position(&self, node: NodeId) -> Option<usize> {
        self.entries
            .binary_search_by(|entry| entry.node.cmp(&node))
            .ok()
    }

    fn schedule_turn(&mut self, entry_index: usize, time: u128) {
        self.entries[entry_index].next_turn_time = time;
        self.turns.insert(Turn { time, entry_index });
    }

    fn add_weight(&mut self, index: usize, delta: i64) {
        self.total_weight = self.total_weight.wrapping_add_signed(delta);
        let mut tree_index = index + 1;
        while tree_index < self.partial_sums.len() {
            self.partial_sums[tree_index] =
                self.partial_sums[tree_index].wrapping_add_signed(delta);
            tree_index += tree_index & tree_index.wrapping_neg();
        }
    }

    /// Makes a node's entry available or unavailable. Returns `true` if that changed the entry; an unknown node and
    /// an entry of weight 0 stay unchanged.
    pub fn set_available(&mut self, node: NodeId, is_available: bool) -> bool {
        let Some(index) = self.position(node) else {
            return false;
        };
        let entry = &self.entries[index];
        if entry.is_available == is_available || entry.weight == 0 {
            return false;
        }
        let (weight, next_turn_time) = (entry.weight as i64, entry.next_turn_time);
        if is_available {
            self.add_weight(index, weight);
            // The entry resumes at the current virtual time and does not catch up on the turns that it missed.
            let current_time = self.turns.first().map_or(next_turn_time, |turn| turn.time);
            self.schedule_turn(index, next_turn_time.max(current_time));
        } else {
            self.add_weight(index, -weight);
            self.turns.remove(&Turn {
                time: next_turn_time,
                entry_index: index,
            });
        }
        self.entries[index].is_available = is_available;
        true
    }

    /// The index of the entry at which the running sum of available weights exceeds `offset`.
    fn find(&self, mut offset: u64) -> usize {
        let mut index = 0;
        let mut step = (self.partial_sums.len()).next_power_of_two() >> 1;
        while step > 0 {
            let next_index = index + step;
            if next_index < self.partial_sums.len() && self.partial_sums[next_index] <= offset {
                offset -= self.partial_sums[next_index];
                index = next_index;
            }
            step >>= 1;
        }
        index
    }

    fn draw(&self, random: &mut Pcg) -> Option<usize> {
        (self.total_weight > 0).then(|| self.find(uniform_below(random, self.total_weight)))
    }

    /// Selects the node of an available entry. Returns `None` if no entry is available.
    pub fn select(
        &mut self,
        policy: SelectionPolicy,
        random: &mut Pcg,
        in_flight: impl Fn(NodeId) -> u32,
    ) -> Option<NodeId> {
        let index = match policy {
            SelectionPolicy::WeightedRandom => self.draw(random)?,
            SelectionPolicy::PowerOfTwoChoices => self.draw_less_loaded(random, in_flight)?,
            SelectionPolicy::WeightedRoundRobin => self.take_turn()?,
        };
        self.entries.get(index).map(|entry| entry.node)
    }

    fn draw_less_loaded(
        &self,
        random: &mut Pcg,
        in_flight: impl Fn(NodeId) -> u32,
    ) -> Option<usize> {
        let (first, second) = (self.draw(random)?, self.draw(random)?);
        let in_flight = |index: usize| in_flight(self.entries[index].node);
        if in_flight(second) < in_flight(first) {
            Some(second)
        } else {
            Some(first)
        }
    }

    fn take_turn(&mut self) -> Option<usize> {
        let Turn { time, entry_index } = self.turns.pop_first()?;
        let interval = ROUND_LENGTH / u128::from(self.entries[entry_index].weight);
        self.schedule_turn(entry_index, time + interval);
        Some(entry_index)
    }
}

/// Draws a uniformly distributed number below `end`. Draws from the incomplete last interval are rejected, because
/// they would make small numbers more likely (modulo bias).
fn uniform_below(random: &mut Pcg, end: u64) -> u64 {
    let fair_end = u64::MAX - u64::MAX % end;
    loop {
        let draw = u64::from(random.draw()) << 32 | u64::from(random.draw());
        if draw < fair_end {
            return draw % end;
        }
    }
}

#[cfg(test)]
mod tests;
