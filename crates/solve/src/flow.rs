//! The heart of it: work flows from what is asked for to where there is room, at the greatest gain. A
//! transportation problem, solved by successive best paths with potentials; each path fills a source or a
//! room, so there are about as many as there are of both. Work is the unit throughout, so a second of it
//! is a second wherever it comes from and no flow gains or loses on its way.

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
    Room(usize),
}

/// The flows of greatest gain. `over`: whether to stop with the best so far.
pub fn best(sources: &[Source], rooms: &[Room], over: &mut dyn FnMut() -> bool) -> Flows {
    let (count, places) = (sources.len(), rooms.len());
    let gain = |source: usize, room: usize| {
        sources[source].gains[rooms[room].class].map(|gain| gain - rooms[room].cost)
    };
    let all: f64 = sources.iter().map(|source| source.amount).sum::<f64>().max(1e-300);
    let largest = (0..count)
        .flat_map(|s| (0..places).filter_map(move |r| Some((s, r))))
        .filter_map(|(s, r)| gain(s, r))
        .fold(0.0, |most: f64, one| most.max(one.abs()));
    let (nothing, equal) = (all * NOTHING, (largest * EQUAL).max(1e-300));
    let mut flows = Flows { work: vec![vec![0.0; places]; count], ..Flows::default() };
    let mut left: Vec<f64> = sources.iter().map(|source| source.amount).collect();
    let mut free: Vec<f64> = rooms.iter().map(|room| room.amount).collect();
    loop {
        if over() {
            flows.cut_short = true;
            break;
        }
        // Best gain of a path to each source and room: from what is left, forward along gains, back along
        // what flows already. Rounds of improvement; few are needed, as sources are few.
        let mut to_source: Vec<f64> =
            left.iter().map(|left| if *left > nothing { 0.0 } else { f64::NEG_INFINITY }).collect();
        let mut from_source: Vec<From> =
            left.iter().map(|left| if *left > nothing { From::Start } else { From::Nowhere }).collect();
        let mut to_room = vec![f64::NEG_INFINITY; places];
        let mut from_room = vec![From::Nowhere; places];
        let mut fresh: Vec<bool> = left.iter().map(|left| *left > nothing).collect();
        for _ in 0..=2 * count + 1 {
            let mut moved = false;
            let mut better = vec![false; places];
            for source in 0..count {
                if !std::mem::take(&mut fresh[source]) {
                    continue;
                }
                for room in 0..places {
                    let Some(gain) = gain(source, room) else { continue };
                    if to_source[source] + gain > to_room[room] + equal {
                        (to_room[room], from_room[room]) = (to_source[source] + gain, From::Source(source));
                        better[room] = true;
                    }
                }
            }
            for room in (0..places).filter(|room| better[*room]) {
                for source in 0..count {
                    if flows.work[source][room] <= nothing || from_source[source] == From::Start {
                        continue;
                    }
                    let back = to_room[room] - gain(source, room).unwrap_or(0.0);
                    if back > to_source[source] + equal {
                        (to_source[source], from_source[source]) = (back, From::Room(room));
                        fresh[source] = true;
                        moved = true;
                    }
                }
            }
            if !moved {
                break;
            }
        }
        // The best that ends where there is room; the first of equals, so that ties always fall alike.
        let mut end: Option<usize> = None;
        for room in (0..places).filter(|room| free[*room] > nothing) {
            if to_room[room] > equal && end.is_none_or(|end| to_room[room] > to_room[end] + equal) {
                end = Some(room);
            }
        }
        let Some(end) = end else { break };
        let mut path = Vec::new();
        let mut room = end;
        let mut amount = free[end];
        let source = loop {
            let From::Source(source) = from_room[room] else { return flows };
            path.push((source, room, 1.0));
            match from_source[source] {
                From::Room(back) if path.len() <= 2 * (count + places) => {
                    amount = amount.min(flows.work[source][back]);
                    path.push((source, back, -1.0));
                    room = back;
                }
                _ => break source,
            }
        };
        amount = amount.min(left[source]);
        for (source, room, sign) in path {
            flows.work[source][room] = (flows.work[source][room] + sign * amount).max(0.0);
        }
        left[source] -= amount;
        free[end] -= amount;
        flows.paths += 1;
    }
    prices(&mut flows, &left, &free, &gain, (nothing, equal));
    flows
}

/// Prices by which nothing can be gained any more: what a source's unit is worth (0 where some is left),
/// and what a room's is worth (0 where some is free); flows go where both together make up the gain.
fn prices(
    flows: &mut Flows,
    left: &[f64],
    free: &[f64],
    gain: &dyn Fn(usize, usize) -> Option<f64>,
    (nothing, equal): (f64, f64),
) {
    let (count, places) = (left.len(), free.len());
    let mut source_price = vec![0.0f64; count];
    let mut room_price = vec![0.0f64; places];
    // From below: a room is worth what the best that could move into it would gain over what it has now.
    // Each round carries that one room further; a path visits no source twice.
    for _ in 0..=count + 1 {
        for source in 0..count {
            let used = (0..places).filter(|room| flows.work[source][*room] > nothing);
            let least = used.filter_map(|room| Some(gain(source, room)? - room_price[room]));
            source_price[source] =
                if left[source] > nothing { 0.0 } else { least.fold(f64::INFINITY, f64::min) };
        }
        let mut moved = false;
        for room in (0..places).filter(|room| free[*room] <= nothing) {
            let wanted = (0..count).filter_map(|source| Some(gain(source, room)? - source_price[source]));
            let most = wanted.fold(0.0, f64::max);
            if most > room_price[room] + equal {
                room_price[room] = most;
                moved = true;
            }
        }
        if !moved {
            break;
        }
    }
    // Who asks for nothing is worth what a little of it would gain.
    for (source, price) in source_price.iter_mut().enumerate().filter(|(_, price)| **price == f64::INFINITY) {
        let best = (0..places).filter_map(|room| Some(gain(source, room)? - room_price[room]));
        *price = best.fold(0.0, f64::max);
    }
    (flows.source_price, flows.room_price) = (source_price, room_price);
}
