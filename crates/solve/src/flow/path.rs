//! Best paths: from work without a place, forward along gains and back along what flows already, to a class
//! that has room.

use super::Transport;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Direction {
    /// Work is added.
    Forward,
    /// Work is taken back, to go elsewhere.
    Back,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Step {
    pub source: usize,
    pub class: usize,
    pub direction: Direction,
}

/// A path, from its end to its start.
pub(super) struct Path {
    pub steps: Vec<Step>,
    /// The source whose work is placed.
    pub start: usize,
    /// The class whose free sink is used.
    pub end: usize,
}

/// Where the best way to a place comes from.
#[derive(Clone, Copy, PartialEq)]
enum Predecessor {
    Unreached,
    Start,
    Source(usize),
    Class(usize),
}

/// The best way to a place known so far.
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

    /// Extends ways from sources to classes; whether one became better.
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

    /// Extends ways from classes back to sources whose work they hold; whether one became better.
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

    /// The class with the best way that has room; the first of equals, so that ties are always decided alike.
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

    /// Follows the predecessors from a class back to the start.
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
    /// The path of greatest gain; `None` if there is none with a gain.
    pub(super) fn best_path(&self) -> Option<Path> {
        let mut labels = Labels::new(self);
        // A path visits no class twice, which bounds the rounds.
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
