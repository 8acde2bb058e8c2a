//! The core of the solver: assigns work from sources to sinks with the maximum total gain.
//!
//! This is a transportation problem, solved by successive augmenting paths of maximum gain. Each path exhausts a
//! source, a sink or an existing flow, so there are about as many paths as sources and sinks. All amounts are in
//! seconds of work a second, and a flow has the same amount at its source and its sink. The sinks of a class differ
//! by their cost alone, so paths are searched between sources and classes: a few dozen vertices, regardless of the
//! number of hosts.

mod path;
mod prices;

use path::Direction;
use path::Path;

/// Work to assign to sinks.
#[derive(Clone, Debug)]
pub struct Source {
    /// Seconds of work a second.
    pub amount: f64,
    /// The gain of a unit by class of sinks; `None` where the source may not use the class.
    pub gains: Vec<Option<f64>>,
}

/// An amount of work that can be served at one cost. Hosts with the same zone and cost form one sink.
#[derive(Clone, Debug)]
pub struct Sink {
    /// The index of the class; all sinks of a class give a source the same gain.
    pub class: usize,
    /// Seconds of work a second.
    pub amount: f64,
    /// The cost of a unit.
    pub cost: f64,
}

/// The flows and prices that [`maximize_gain`] computes.
#[derive(Clone, Debug, Default)]
pub struct Flows {
    /// Work by source and sink.
    pub work: Vec<Vec<f64>>,
    /// Shadow price by sink: the gain of one more unit of the sink.
    pub sink_price: Vec<f64>,
    /// Shadow price by source: the gain lost with one unit less of the source.
    pub source_price: Vec<f64>,
    /// The number of augmenting paths.
    pub paths: usize,
    /// Whether the search was stopped early: the flows are feasible, but may not be optimal.
    pub cut_short: bool,
}

/// Amounts up to this ratio of the total work count as zero.
const NEGLIGIBLE_RATIO: f64 = 1e-12;

/// Gains that differ by less than this ratio of the largest gain or cost count as equal.
const GAIN_TOLERANCE_RATIO: f64 = 1e-10;

/// Lower bound that keeps tolerances above zero.
const MIN_POSITIVE: f64 = 1e-300;

/// The sinks of one class, cheapest first. For every source they differ by their cost alone, so they are filled in
/// this order. The search treats a class as one vertex whose marginal cost rises as it is filled.
struct Class {
    sinks: Vec<usize>,
    /// The number of full sinks, which is the index of the sink to fill next.
    full_count: usize,
    /// The remaining amount of the sink to fill next.
    free: f64,
}

impl Class {
    /// Creates a class with all its sinks empty.
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

/// A transportation problem with the flows found so far.
struct Transport<'a> {
    sources: &'a [Source],
    sinks: &'a [Sink],
    classes: Vec<Class>,
    /// Assigned work by source and class.
    work: Vec<Vec<f64>>,
    /// Unassigned work by source.
    unplaced: Vec<f64>,
    /// Amounts up to this count as zero.
    negligible: f64,
    /// Gains that differ by less than this count as equal.
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

    /// The cost of the next unit in a class; `None` if the class is full.
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

    /// Moves the maximum amount along a path.
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

    /// Divides the work of each class among its sinks, cheapest first.
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

/// Computes the flows with the maximum total gain. `should_stop` is called before each path; if it returns `true`,
/// the result holds the flows found so far.
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
