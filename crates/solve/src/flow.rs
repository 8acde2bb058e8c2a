//! The heart of it: work flows from what is asked for to where there is room, at the greatest gain. A
//! transportation problem, solved by successive best paths; each path fills a source or a room, so there
//! are about as many as there are of both. Work is the unit throughout, so a second of it is a second
//! wherever it comes from and no flow gains or loses on its way. Rooms of a class differ by their cost
//! alone, so paths are sought between sources and classes: a few dozen places, however many hosts.

// Sources and classes index several tables side by side, as the method is written down.
#![allow(clippy::needless_range_loop)]

/// Work that wants a place. `gain` is per unit, to each room by its class; `None`: it may not go there.
#[derive(Clone, Debug)]
pub struct Source {
    pub amount: f64,
    pub gains: Vec<Option<f64>>,
}

/// Places of one class, at one further cost: rooms that are alike stand together as one.
#[derive(Clone, Debug)]
pub struct Room {
    pub class: usize,
    pub amount: f64,
    pub cost: f64,
}

#[derive(Clone, Debug, Default)]
pub struct Flows {
    /// By source and room.
    pub work: Vec<Vec<f64>>,
    /// What one more unit of a room would be worth.
    pub room_price: Vec<f64>,
    /// What one unit less asked for would cost.
    pub source_price: Vec<f64>,
    /// Best paths found.
    pub paths: usize,
    /// The deadline came first: what is there is feasible and may not be the best.
    pub cut_short: bool,
}

/// Below this part of all that flows an amount counts as nothing.
const NOTHING: f64 = 1e-12;
/// Gains closer than this part of the largest are equal.
const EQUAL: f64 = 1e-10;

#[derive(Clone, Copy, PartialEq)]
enum From {
    Nowhere,
    Start,
    Source(usize),
    Class(usize),
}

/// Steps of a path: source, class, and whether work comes or goes.
type Path = Vec<(usize, usize, f64)>;

/// The rooms of one class, cheapest first. To every source they differ by their cost alone, so they fill in
/// this order whatever flows there: a class is one place that grows dearer as it fills.
struct Class {
    rooms: Vec<usize>,
    /// How many are full, and what the next one has left.
    full: usize,
    free: f64,
}

struct Desk<'a> {
    sources: &'a [Source],
    rooms: &'a [Room],
    classes: Vec<Class>,
    /// By source and class.
    work: Vec<Vec<f64>>,
    left: Vec<f64>,
    nothing: f64,
    equal: f64,
}

impl Desk<'_> {
    fn gain(&self, source: usize, class: usize) -> Option<f64> {
        self.sources[source].gains.get(class).copied().flatten()
    }

    /// What the next unit costs in a class; `None`: it is full.
    fn next_cost(&self, class: usize) -> Option<f64> {
        let of = &self.classes[class];
        of.rooms.get(of.full).map(|room| self.rooms[*room].cost)
    }

    /// Steps over rooms that are full.
    fn advance(&mut self, class: usize) {
        let of = &mut self.classes[class];
        while of.free <= self.nothing && of.full < of.rooms.len() {
            of.full += 1;
            of.free = of
                .rooms
                .get(of.full)
                .map_or(0.0, |room| self.rooms[*room].amount);
        }
    }

    /// The path of greatest gain from what is left to the next free room of some class, and that gain.
    fn path(&self) -> Option<(Path, usize)> {
        let (count, places) = (self.sources.len(), self.classes.len());
        let starts = |source: usize| self.left[source] > self.nothing;
        let mut to_source: Vec<f64> = (0..count)
            .map(|source| {
                if starts(source) {
                    0.0
                } else {
                    f64::NEG_INFINITY
                }
            })
            .collect();
        let mut from_source: Vec<From> = (0..count)
            .map(|source| {
                if starts(source) {
                    From::Start
                } else {
                    From::Nowhere
                }
            })
            .collect();
        let mut to_class = vec![f64::NEG_INFINITY; places];
        let mut from_class = vec![From::Nowhere; places];
        // Forward along gains, back along what flows already; a path visits no class twice.
        for _ in 0..=places {
            let mut moved = false;
            for source in 0..count {
                for class in 0..places {
                    let Some(gain) = self.gain(source, class) else {
                        continue;
                    };
                    if to_source[source] + gain > to_class[class] + self.equal {
                        (to_class[class], from_class[class]) =
                            (to_source[source] + gain, From::Source(source));
                        moved = true;
                    }
                }
            }
            for class in 0..places {
                for source in 0..count {
                    if self.work[source][class] <= self.nothing
                        || from_source[source] == From::Start
                    {
                        continue;
                    }
                    let back = to_class[class] - self.gain(source, class).unwrap_or(0.0);
                    if back > to_source[source] + self.equal {
                        (to_source[source], from_source[source]) = (back, From::Class(class));
                        moved = true;
                    }
                }
            }
            if !moved {
                break;
            }
        }
        // The best that ends where there is room; the first of equals, so that ties always fall alike.
        let mut end: Option<(usize, f64)> = None;
        for class in 0..places {
            let Some(cost) = self.next_cost(class) else {
                continue;
            };
            let gain = to_class[class] - cost;
            if gain > self.equal && end.is_none_or(|(_, best)| gain > best + self.equal) {
                end = Some((class, gain));
            }
        }
        let (end, _) = end?;
        let (mut path, mut class) = (Vec::new(), end);
        loop {
            let From::Source(source) = from_class[class] else {
                return None;
            };
            path.push((source, class, 1.0));
            match from_source[source] {
                From::Class(back) if path.len() <= 2 * (count + places) => {
                    path.push((source, back, -1.0));
                    class = back;
                }
                _ => return Some((path, end)),
            }
        }
    }

    /// Moves as much along a path as it takes.
    fn push(&mut self, path: &[(usize, usize, f64)], end: usize) {
        let Some((start, ..)) = path.last() else {
            return;
        };
        let taken = path
            .iter()
            .filter(|step| step.2 < 0.0)
            .map(|step| self.work[step.0][step.1]);
        let amount = taken.fold(self.classes[end].free.min(self.left[*start]), f64::min);
        for (source, class, sign) in path {
            let work = &mut self.work[*source][*class];
            *work = (*work + sign * amount).max(0.0);
        }
        self.left[*start] -= amount;
        self.classes[end].free -= amount;
        self.advance(end);
    }
}

/// The flows of greatest gain. `over`: whether to stop with the best so far.
pub fn best(sources: &[Source], rooms: &[Room], over: &mut dyn FnMut() -> bool) -> Flows {
    let count = sources.len();
    let places = rooms.iter().map(|room| room.class + 1).max().unwrap_or(0);
    let all: f64 = sources
        .iter()
        .map(|source| source.amount)
        .sum::<f64>()
        .max(1e-300);
    let costs = rooms.iter().map(|room| room.cost.abs());
    let gains = sources
        .iter()
        .flat_map(|source| source.gains.iter().flatten())
        .map(|gain| gain.abs());
    let largest = costs.chain(gains).fold(0.0, f64::max);
    let mut classes: Vec<Class> = (0..places)
        .map(|_| Class {
            rooms: Vec::new(),
            full: 0,
            free: 0.0,
        })
        .collect();
    for (at, room) in rooms.iter().enumerate() {
        classes[room.class].rooms.push(at);
    }
    for class in &mut classes {
        class
            .rooms
            .sort_by(|a, b| rooms[*a].cost.total_cmp(&rooms[*b].cost));
        class.free = class.rooms.first().map_or(0.0, |room| rooms[*room].amount);
    }
    let mut desk = Desk {
        sources,
        rooms,
        classes,
        work: vec![vec![0.0; places]; count],
        left: sources.iter().map(|source| source.amount).collect(),
        nothing: all * NOTHING,
        equal: (largest * EQUAL).max(1e-300),
    };
    (0..places).for_each(|class| desk.advance(class));
    let mut flows = Flows::default();
    loop {
        if over() {
            flows.cut_short = true;
            break;
        }
        let Some((path, end)) = desk.path() else {
            break;
        };
        desk.push(&path, end);
        flows.paths += 1;
    }
    prices(&desk, &mut flows);
    flows.work = spread(&desk);
    flows
}

/// What flows to a class, laid into its rooms in their order.
fn spread(desk: &Desk) -> Vec<Vec<f64>> {
    let mut work = vec![vec![0.0; desk.rooms.len()]; desk.sources.len()];
    for (class, of) in desk.classes.iter().enumerate() {
        let mut rooms = of.rooms.iter().copied();
        let mut room = rooms.next();
        let mut free = room.map_or(0.0, |room| desk.rooms[room].amount);
        for (source, flows) in desk.work.iter().enumerate() {
            let mut wanted = flows[class];
            while let Some(at) = room.filter(|_| wanted > desk.nothing) {
                let taken = wanted.min(free);
                work[source][at] += taken;
                (wanted, free) = (wanted - taken, free - taken);
                if free <= desk.nothing {
                    room = rooms.next();
                    free = room.map_or(0.0, |room| desk.rooms[room].amount);
                }
            }
        }
    }
    work
}

/// Prices by which nothing can be gained any more: what a source's unit is worth (0 where some is left),
/// and what a room's is worth (0 where some is free); flows go where both together make up the gain.
fn prices(desk: &Desk, flows: &mut Flows) {
    let (count, places) = (desk.sources.len(), desk.classes.len());
    let mut source_price = vec![0.0f64; count];
    // What a unit of a class would be worth if it cost nothing; what it costs in the dearest room in use, at
    // least.
    let last_cost = |class: usize| {
        let of = &desk.classes[class];
        let begun = of
            .rooms
            .get(of.full)
            .filter(|room| of.free < desk.rooms[**room].amount - desk.nothing);
        let full = of.full.checked_sub(1).and_then(|last| of.rooms.get(last));
        begun
            .or(full)
            .map_or(f64::NEG_INFINITY, |room| desk.rooms[*room].cost)
    };
    let mut worth: Vec<f64> = (0..places).map(last_cost).collect();
    // From below: a class is worth what the best that could move into it would gain over what it has now.
    // Each round carries that one class further; a path visits none twice.
    for _ in 0..=places + 1 {
        for source in 0..count {
            let used = (0..places).filter(|class| desk.work[source][*class] > desk.nothing);
            let least = used.filter_map(|class| Some(desk.gain(source, class)? - worth[class]));
            let price = least.fold(f64::INFINITY, f64::min);
            source_price[source] = if desk.left[source] > desk.nothing {
                0.0
            } else {
                price
            };
        }
        let mut moved = false;
        for (class, worth) in worth.iter_mut().enumerate() {
            let wanted = (0..count)
                .filter_map(|source| Some(desk.gain(source, class)? - source_price[source]));
            let most = wanted.fold(f64::NEG_INFINITY, f64::max);
            if most > *worth + desk.equal {
                *worth = most;
                moved = true;
            }
        }
        if !moved {
            break;
        }
    }
    // Who asks for nothing is worth what a little of it would gain.
    for (source, price) in source_price
        .iter_mut()
        .enumerate()
        .filter(|(_, price)| **price == f64::INFINITY)
    {
        let best = (0..places).filter_map(|class| {
            Some(desk.gain(source, class)? - worth[class].max(least_cost(desk, class)))
        });
        *price = best.fold(0.0, f64::max);
    }
    flows.room_price = desk
        .rooms
        .iter()
        .map(|room| (worth[room.class] - room.cost).max(0.0))
        .collect();
    flows.source_price = source_price;
}

/// What the cheapest room of a class costs; without rooms nothing goes there.
fn least_cost(desk: &Desk, class: usize) -> f64 {
    desk.classes[class]
        .rooms
        .first()
        .map_or(f64::INFINITY, |room| desk.rooms[*room].cost)
}
