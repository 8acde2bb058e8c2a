//! The search for augmenting paths. A path starts at a source with unassigned work, goes forward from sources to
//! classes and backward along existing flows, and ends at a class that is not full.

use super::Transport;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Direction {
    /// Work is added.
    Forward,
    /// Work is removed from a class, so that its source can use another one.
    Back,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Step {
    pub source: usize,
    pub class: usize,
    pub direction: Direction,
}

/// An augmenting path, with its steps in order from the end to the start.
pub(super) struct Path {
    pub steps: Vec<Step>,
    /// The source whose unassigned work is assigned.
    pub start: usize,
    /// The class in which the additional work is served.
    pub end: usize,
}

/// The predecessor of a source or class on the best path to it.
#[derive(Clone, Copy, PartialEq)]
enum Predecessor {
    Unreached,
    Start,
    Source(usize),
    Class(usize),
}

/// The best path to a source or class found so far.
#[derive(Clone, Copy)]
struct Label {
    gain: f64,
    from: Predecessor,
}

const UNREACHED: Label = Label {
    gain: f64::NEG_INFINITY,
    from: Predecessor::Unreached,
};

struct Labels {
    sources: Vec<Label>,
    classes: Vec<Label>,
}

impl Labels {
    fn new(transport: &Transport) -> Labels {
        let label = |unplaced: &f64| {
            if *unplaced > transport.negligible {
                Label {
                    gain: 0.0,
                    from: Predecessor::Start,
                }
            } else {
                UNREACHED
            }
        };
        Labels {
            sources: transport.unplaced.iter().map(label).collect(),
            classes: vec![UNREACHED; transport.classes.len()],
        }
    }

    /// Extends paths from sources to classes. Returns whether any path improved.
    fn extend_forward(&mut self, transport: &Transport) -> bool {
        let mut has_changed = false;
        for (source, label) in self.sources.iter().enumerate() {
            for (class, target) in self.classes.iter_mut().enumerate() {
                let Some(gain) = transport.gain(source, class) else {
                    continue;
                };
                if label.gain + gain > target.gain + transport.gain_tolerance {
                    *target = Label {
                        gain: label.gain + gain,
                        from: Predecessor::Source(source),
                    };
                    has_changed = true;
                }
            }
        }
        has_changed
    }

    /// Extends paths from classes back to the sources of their work. Returns whether any path improved.
    fn extend_back(&mut self, transport: &Transport) -> bool {
        let mut has_changed = false;
        for (class, label) in self.classes.iter().enumerate() {
            for (source, target) in self.sources.iter_mut().enumerate() {
                let is_used = transport.work[source][class] > transport.negligible;
                if !is_used || target.from == Predecessor::Start {
                    continue;
                }
                let back_gain = label.gain - transport.gain(source, class).unwrap_or(0.0);
                if back_gain > target.gain + transport.gain_tolerance {
                    *target = Label {
                        gain: back_gain,
                        from: Predecessor::Class(class),
                    };
                    has_changed = true;
                }
            }
        }
        has_changed
    }

    /// The class with the best path among those that are not full and give a positive gain. Of equal classes it is
    /// the first, so that the result is deterministic.
    fn best_end(&self, transport: &Transport) -> Option<usize> {
        let mut best: Option<(usize, f64)> = None;
        for (class, label) in self.classes.iter().enumerate() {
            let Some(cost) = transport.marginal_cost(class) else {
                continue;
            };
            let gain = label.gain - cost;
            let is_better = best.is_none_or(|(_, best)| gain > best + transport.gain_tolerance);
            if gain > transport.gain_tolerance && is_better {
                best = Some((class, gain));
            }
        }
        best.map(|(class, _)| class)
    }

    /// The path to a class, by its predecessors; `None` if no path reaches the class.
    fn path_to(&self, end: usize) -> Option<Path> {
        let max_steps = 2 * (self.sources.len() + self.classes.len());
        let mut steps = Vec::new();
        let mut class = end;
        loop {
            let Predecessor::Source(source) = self.classes[class].from else {
                return None;
            };
            steps.push(Step {
                source,
                class,
                direction: Direction::Forward,
            });
            match self.sources[source].from {
                Predecessor::Class(back) if steps.len() <= max_steps => {
                    steps.push(Step {
                        source,
                        class: back,
                        direction: Direction::Back,
                    });
                    class = back;
                }
                _ => {
                    let start = source;
                    return Some(Path { steps, start, end });
                }
            }
        }
    }
}

impl Transport<'_> {
    /// The path of maximum gain; `None` if no path has a positive gain.
    pub(super) fn best_path(&self) -> Option<Path> {
        let mut labels = Labels::new(self);
        // A path visits no class twice, which bounds the number of rounds.
        for _ in 0..=self.classes.len() {
            let has_forward_change = labels.extend_forward(self);
            let has_back_change = labels.extend_back(self);
            if !has_forward_change && !has_back_change {
                break;
            }
        }
        labels.path_to(labels.best_end(self)?)
    }
}
