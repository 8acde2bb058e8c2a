//! Shadow prices of sources and sinks: the dual solution of the transportation problem. The price of a source with
//! unassigned work is 0, and so is the price of a sink that is not full. Work flows only where the price of the
//! source and the price of the sink add up to the net gain of the flow.

use super::Transport;

pub(super) struct Prices {
    pub sources: Vec<f64>,
    /// The value of a unit of each class, before its cost.
    classes: Vec<f64>,
}

impl Prices {
    /// The gain of one more unit of each sink.
    pub fn sink_prices(&self, transport: &Transport) -> Vec<f64> {
        let sinks = transport.sinks.iter();
        sinks
            .map(|sink| (self.classes[sink.class] - sink.cost).max(0.0))
            .collect()
    }

    /// Sets the price of each source to the minimum net gain among its flows.
    fn update_sources(&mut self, transport: &Transport) {
        for (source, price) in self.sources.iter_mut().enumerate() {
            *price = if transport.unplaced[source] > transport.negligible {
                0.0
            } else {
                (0..self.classes.len())
                    .filter(|class| transport.work[source][*class] > transport.negligible)
                    .filter_map(|class| Some(transport.gain(source, class)? - self.classes[class]))
                    .fold(f64::INFINITY, f64::min)
            };
        }
    }

    /// Raises the price of each class to the maximum of what a source would gain there beyond the source's price.
    /// Returns whether any price rose.
    fn raise_classes(&mut self, transport: &Transport) -> bool {
        let mut has_changed = false;
        for (class, price) in self.classes.iter_mut().enumerate() {
            let max = (0..self.sources.len())
                .filter_map(|source| Some(transport.gain(source, class)? - self.sources[source]))
                .fold(f64::NEG_INFINITY, f64::max);
            if max > *price + transport.gain_tolerance {
                *price = max;
                has_changed = true;
            }
        }
        has_changed
    }

    /// Sets the price of each source without flows to the gain of its first unit, or to 0 if that would be a loss.
    fn price_idle_sources(&mut self, transport: &Transport) {
        let Prices { sources, classes } = self;
        for (source, price) in sources.iter_mut().enumerate() {
            if *price != f64::INFINITY {
                continue;
            }
            let gains = classes
                .iter()
                .enumerate()
                .filter_map(|(class, class_price)| {
                    Some(
                        transport.gain(source, class)? - class_price.max(transport.min_cost(class)),
                    )
                });
            *price = gains.fold(0.0, f64::max);
        }
    }
}

impl Transport<'_> {
    pub(super) fn prices(&self) -> Prices {
        let class_count = self.classes.len();
        let mut prices = Prices {
            sources: vec![0.0; self.sources.len()],
            classes: (0..class_count)
                .map(|class| self.last_cost(class))
                .collect(),
        };
        // Prices rise from their lower bounds. Each round propagates a price by one class, and a path visits no
        // class twice.
        for _ in 0..=class_count + 1 {
            prices.update_sources(self);
            if !prices.raise_classes(self) {
                break;
            }
        }
        prices.price_idle_sources(self);
        prices
    }

    /// The cost of the most expensive sink in use; negative infinity if none is in use.
    fn last_cost(&self, class: usize) -> f64 {
        let class = &self.classes[class];
        let partly_used = class
            .sinks
            .get(class.full_count)
            .filter(|sink| class.free < self.sinks[**sink].amount - self.negligible);
        let last_full = class
            .full_count
            .checked_sub(1)
            .and_then(|last| class.sinks.get(last));
        partly_used
            .or(last_full)
            .map_or(f64::NEG_INFINITY, |sink| self.sinks[*sink].cost)
    }

    /// The cost of the cheapest sink of a class; infinite without sinks, because the class can't serve anything.
    fn min_cost(&self, class: usize) -> f64 {
        self.classes[class]
            .sinks
            .first()
            .map_or(f64::INFINITY, |sink| self.sinks[*sink].cost)
    }
}
