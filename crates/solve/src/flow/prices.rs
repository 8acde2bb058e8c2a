//! Shadow prices, by which nothing can be gained any more: what a unit of a source is worth (0 where some has no
//! place) and what a unit of a sink is worth (0 where some is free). Work flows where both together make up the gain.

use super::Transport;

pub(super) struct Prices {
    pub sources: Vec<f64>,
    /// What a unit of a class would be worth if it cost nothing.
    classes: Vec<f64>,
}

impl Prices {
    /// What one more unit of each sink would be worth.
    pub fn sink_prices(&self, transport: &Transport) -> Vec<f64> {
        let sinks = transport.sinks.iter();
        sinks
            .map(|sink| (self.classes[sink.class] - sink.cost).max(0.0))
            .collect()
    }

    /// A source is worth what its least profitable flow gains over the class it goes to.
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

    /// A class is worth what the best work that could move into it would gain over what it has now. Whether one
    /// became worth more.
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

    /// A source without work is worth what a little of it would gain.
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
        // From below; each round carries a price one class further, and a path visits no class twice.
        for _ in 0..=class_count + 1 {
            prices.update_sources(self);
            if !prices.raise_classes(self) {
                break;
            }
        }
        prices.price_idle_sources(self);
        prices
    }

    /// What the most expensive sink in use costs.
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

    /// What the cheapest sink of a class costs; infinite without sinks, as nothing can go there.
    fn min_cost(&self, class: usize) -> f64 {
        self.classes[class]
            .sinks
            .first()
            .map_or(f64::INFINITY, |sink| self.sinks[*sink].cost)
    }
}
