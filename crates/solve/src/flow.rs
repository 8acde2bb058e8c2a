//! The core of the solver: work flows from sources to sinks at the greatest gain.
//!
//! This is a transportation problem, solved by successive best paths. Each path exhausts a source or a sink, so
//! there are about as many paths as sources and sinks. Work is the unit throughout: a second of it is a second
//! wherever it comes from, and no flow gains or loses on its way. The sinks of a class differ by their cost
//! alone, so paths are sought between sources and classes: a few dozen places, however many hosts there are.

mod path;
mod prices;

use path::Direction;
use path::Path;

/// Work that wants a place.
#[derive(Clone, Debug)]
pub struct Source {
    /// Seconds of work a second.
    pub amount: f64,
    /// The gain of a unit in each class of sinks; `None`: it may not go there.
    pub gains: Vec<Option<f64>>,
}

/// A place for work. Sinks that are alike stand together as one.
#[derive(Clone, Debug)]
pub struct Sink {
    /// Sinks of a class give a source the same gain.
    pub class: usize,
    /// Seconds of work a second.
    pub amount: f64,
    /// What a unit costs here.
    pub cost: f64,
}

/// The result.
#[derive(Clone, Debug, Default)]
pub struct Flows {
    /// Work by source and sink.
    pub work: Vec<Vec<f64>>,
    /// What one more unit of a sink would be worth.
    pub sink_price: Vec<f64>,
    /// What one unit less of a source would cost.
    pub source_price: Vec<f64>,
    /// Best paths found.
    pub paths: usize,
    /// The deadline came first: the flows are feasible, but may not be the best.
    pub cut_short: bool,
}

/// Amounts below this part of all work count as nothing.
const NEGLIGIBLE_RATIO: f64 = 1e-12;

/// Gains closer than this part of the largest count as equal.
const GAIN_TOLERANCE_RATIO: f64 = 1e-10;

/// Keeps tolerances and divisors above zero.
const MIN_POSITIVE: f64 = 1e-300;

/// The sinks of one class, cheapest first. To every source they differ by their cost alone, so they fill in this
/// order whatever flows there: a class is one place that becomes more expensive as it fills.
struct Class {
    sinks: Vec<usize>,
    /// How many sinks are full.
    full_count: usize,
    /// What the next sink has left.
    free: f64,
}

impl Class {
    /// The empty sinks of a class, in the order in which they fill.
    fn new(class: usize, sinks: &[Sink]) -> Class {
        let mut class_sinks: Vec<usize> = (0..sinks.len())
            .filter(|index| sinks[*index].class == class)
            .collect();
        class_sinks.sort_by(|a, b| sinks[*a].cost.total_cmp(&sinks[*b].cost));
        let free = class_sinks.first().map_or(0.0, |sink| sinks[*sink].amount);
        Class {
            sinks: class_sinks,
            full_count: 0,
            free,
        }
    }
}

/// The problem with the flows found so far.
struct Transport<'a> {
    sources: &'a [Source],
    sinks: &'a [Sink],
    classes: Vec<Class>,
    /// By source and class.
    work: Vec<Vec<f64>>,
    /// By source: what has no place yet.
    unplaced: Vec<f64>,
    /// Amounts up to this count as nothing.
    negligible: f64,
    /// Gains closer than this count as equal.
    gain_tolerance: f64,
}

impl Transport<'_> {
    fn new<'a>(sources: &'a [Source], sinks: &'a [Sink]) -> Transport<'a> {
        let class_count = sinks.iter().map(|sink| sink.class + 1).max().unwrap_or(0);
        let total: f64 = sources
            .iter()
            .map(|source| source.amount)
            .sum::<f64>()
            .max(MIN_POSITIVE);
        let costs = sinks.iter().map(|sink| sink.cost.abs());
        let gains = sources
            .iter()
            .flat_map(|source| source.gains.iter().flatten())
            .map(|gain| gain.abs());
        let largest = costs.chain(gains).fold(0.0, f64::max);
        let mut transport = Transport {
            sources,
            sinks,
            classes: (0..class_count)
                .map(|class| Class::new(class, sinks))
                .collect(),
            work: vec![vec![0.0; class_count]; sources.len()],
            unplaced: sources.iter().map(|source| source.amount).collect(),
            negligible: total * NEGLIGIBLE_RATIO,
            gain_tolerance: (largest * GAIN_TOLERANCE_RATIO).max(MIN_POSITIVE),
        };
        (0..class_count).for_each(|class| transport.skip_full_sinks(class));
        transport
    }

    fn gain(&self, source: usize, class: usize) -> Option<f64> {
        self.sources[source].gains.get(class).copied().flatten()
    }

    /// What the next unit costs in a class; `None`: it is full.
    fn marginal_cost(&self, class: usize) -> Option<f64> {
        let class = &self.classes[class];
        let sink = class.sinks.get(class.full_count)?;
        Some(self.sinks[*sink].cost)
    }

    fn skip_full_sinks(&mut self, class: usize) {
        let class = &mut self.classes[class];
        while class.free <= self.negligible && class.full_count < class.sinks.len() {
            class.full_count += 1;
            let next = class.sinks.get(class.full_count);
            class.free = next.map_or(0.0, |sink| self.sinks[*sink].amount);
        }
    }

    /// Moves as much along a path as it takes.
    fn augment(&mut self, path: &Path) {
        let taken_back = path
            .steps
            .iter()
            .filter(|step| step.direction == Direction::Back)
            .map(|step| self.work[step.source][step.class]);
        let limit = self.classes[path.end].free.min(self.unplaced[path.start]);
        let amount = taken_back.fold(limit, f64::min);
        for step in &path.steps {
            let work = &mut self.work[step.source][step.class];
            let moved = match step.direction {
                Direction::Forward => *work + amount,
                Direction::Back => *work - amount,
            };
            *work = moved.max(0.0);
        }
        self.unplaced[path.start] -= amount;
        self.classes[path.end].free -= amount;
        self.skip_full_sinks(path.end);
    }

    /// Divides what flows to each class among its sinks, in their order.
    fn work_by_sink(&self) -> Vec<Vec<f64>> {
        let mut work = vec![vec![0.0; self.sinks.len()]; self.sources.len()];
        for (index, class) in self.classes.iter().enumerate() {
            let mut sinks = class.sinks.iter().copied();
            let mut sink = sinks.next();
            let mut free = sink.map_or(0.0, |sink| self.sinks[sink].amount);
            for (source, flows) in self.work.iter().enumerate() {
                let mut remaining = flows[index];
                while let Some(current) = sink.filter(|_| remaining > self.negligible) {
                    let taken = remaining.min(free);
                    work[source][current] += taken;
                    remaining -= taken;
                    free -= taken;
                    if free <= self.negligible {
                        sink = sinks.next();
                        free = sink.map_or(0.0, |sink| self.sinks[sink].amount);
                    }
                }
            }
        }
        work
    }
}

/// The flows of greatest gain. `should_stop` says whether to stop with the best so far.
pub fn maximize_gain(
    sources: &[Source],
    sinks: &[Sink],
    should_stop: &mut dyn FnMut() -> bool,
) -> Flows {
    let mut transport = Transport::new(sources, sinks);
    let mut flows = Flows::default();
    loop {
        if should_stop() {
            flows.cut_short = true;
            break;
        }
        let Some(path) = transport.best_path() else {
            break;
        };
        transport.augment(&path);
        flows.paths += 1;
    }
    let prices = transport.prices();
    flows.sink_price = prices.sink_prices(&transport);
    flows.source_price = prices.sources;
    flows.work = transport.work_by_sink();
    flows
}
