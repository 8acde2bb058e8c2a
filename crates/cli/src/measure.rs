//! `wheelspread measure`: figures of this machine, as ratios within one run.

mod controller;
mod controller_process;
mod fleet;
mod proxy;
mod state;
mod streams;

use clap::{Args, Subcommand};
use std::process::ExitCode;

#[derive(Args)]
pub struct MeasureArguments {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// From a swapped list to renamed links, and the conductor's CPU, at a small and a large fleet.
    Conductor {
        /// Seconds at each size.
        #[arg(long, default_value_t = 15)]
        rounds: u32,
        #[arg(long)]
        json: bool,
    },
    /// Discovery streams beside files: time until all hold a change, bytes and lines, memory and CPU.
    Streams {
        /// Changes at each size, one a second.
        #[arg(long, default_value_t = 10)]
        rounds: u32,
        /// Streams at the last size, which has 20 nodes.
        #[arg(long, default_value_t = 10_000)]
        many: usize,
        /// Leaves out all sizes but the last.
        #[arg(long)]
        last: bool,
    },
    /// Changes over crashes: writes and bytes of one, and how long a killed conductor takes to come back.
    State,
    /// A whole answer by the number of conductors, and what being asked ten times a second costs one.
    Fleet {
        /// Seconds for each of the two.
        #[arg(long, default_value_t = 12)]
        rounds: u32,
    },
    /// The solver at growing sizes, beside a plain solver of linear programs on the same input.
    Solve,
    /// The proxy beside the same client sending straight to the node: throughput, delay, CPU, memory; then
    /// side-effecting invocations with faults, whose effects are counted at the nodes.
    Proxy {
        /// Seconds at each number of connections.
        #[arg(long, default_value_t = 3.0)]
        seconds: f64,
        #[arg(long, default_value_t = 1_000_000)]
        effects: u64,
    },
}

/// Nodes and proxies: as the first proof has it, and as the largest deployment is to grow.
const SIZES: [(usize, usize); 3] = [(20, 12), (100, 220), (400, 890)];

pub fn measure(arguments: MeasureArguments) -> ExitCode {
    match arguments.what {
        What::Conductor { rounds, json } => conductor(rounds, json),
        What::Streams { rounds, many, last } => match streams(rounds, many, last) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("{error}");
                ExitCode::FAILURE
            }
        },
        What::State => match state() {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("{error}");
                ExitCode::FAILURE
            }
        },
        What::Fleet { rounds } => match desk(rounds) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("{error}");
                ExitCode::FAILURE
            }
        },
        What::Solve => {
            solver();
            ExitCode::SUCCESS
        }
        What::Proxy { seconds, effects } => match proxy(seconds, effects) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("{error}");
                ExitCode::FAILURE
            }
        },
    }
}

/// Conductors of a fleet, stand-ins in this process.
const CONDUCTORS: [usize; 6] = [1, 3, 10, 30, 100, 300];

fn desk(rounds: u32) -> Result<(), String> {
    say!("{:>12}{:>18}", "conductors", "whole answer ms");
    for count in CONDUCTORS {
        let ms = fleet::whole_answer(count, 9).map_err(|error| error.to_string())?;
        say!("{count:>12}{ms:>18.1}");
    }
    let program =
        std::env::current_exe().map_err(|error| format!("this program can't be found: {error}"))?;
    let (nodes, proxies) = SIZES[2];
    say!(
        "{:>16}{:>14}{:>14}{:>10}{:>10}{:>14}",
        "asked a second",
        "p50 ms",
        "p99 ms",
        "CPU s/s",
        "answers",
        "each ms"
    );
    for per_second in [0, 10, 0, 10] {
        let told = fleet::asked(&program, nodes, proxies, rounds, per_second);
        let (told, answers, each) = told.map_err(|error| error.to_string())?;
        say!(
            "{per_second:>16}{:>14.1}{:>14.1}{:>10.3}{answers:>10}{each:>14.1}",
            told.list_to_link_ms_p50,
            told.list_to_link_ms_p99,
            told.cpu
        );
    }
    Ok(())
}

/// Changes that are remembered, at each size.
const CHANGES: [usize; 3] = [100, 1000, 10_000];

fn state() -> Result<(), String> {
    let program =
        std::env::current_exe().map_err(|error| format!("this program can't be found: {error}"))?;
    say!(
        "{:>6}{:>9}{:>9}{:>12}{:>14}{:>14}{:>16}{:>16}{:>10}{:>8}{:>8}{:>12}",
        "nodes",
        "proxies",
        "changes",
        "state KiB",
        "listens ms",
        "all have ms",
        "(no state) ms",
        "(no state) ms",
        "writes",
        "bytes",
        "told",
        "in force ms"
    );
    for ((nodes, proxies), changes) in SIZES.into_iter().zip(CHANGES) {
        let told =
            state::measure(&program, nodes, proxies, changes).map_err(|error| error.to_string())?;
        say!(
            "{:>6}{:>9}{:>9}{:>12.0}{:>14.0}{:>14.0}{:>16.0}{:>16.0}{:>10.1}{:>8.0}{:>8}{:>12.0}",
            told.nodes,
            told.proxies,
            told.changes,
            told.state_bytes as f64 / 1024.0,
            told.listens_ms,
            told.all_pointed_ms,
            told.without.0,
            told.without.1,
            told.commits,
            told.bytes,
            told.told_bytes,
            told.applied_ms
        );
    }
    Ok(())
}

fn streams(rounds: u32, many: usize, last: bool) -> Result<(), String> {
    let program =
        std::env::current_exe().map_err(|error| format!("this program can't be found: {error}"))?;
    say!("nodes x streams: change held by p50, p99, all (ms); joined, all again (ms); bytes and lines of a first table, of a change; KiB a stream; CPU");
    let sizes: Vec<(usize, usize)> = SIZES
        .iter()
        .copied()
        .chain([(20, 1000), (20, many)])
        .collect();
    let sizes = sizes
        .into_iter()
        .skip(if last { SIZES.len() + 1 } else { 0 });
    for (nodes, count) in sizes {
        let m = streams::measure(&program, nodes, count, rounds)
            .map_err(|error| format!("{nodes} nodes, {count} streams: {error}"))?;
        say!(
            "{nodes} x {count}: {:.0}, {:.0}, {:.0}; {:.0}, {:.0}; {:.0} and {:.0}, {:.0} and {:.1}; {:.1}; {:.2}",
            m.list_to_held_ms_p50,
            m.list_to_held_ms_p99,
            m.list_to_all_ms,
            m.all_joined_ms,
            m.all_again_ms,
            m.whole_bytes,
            m.whole_lines,
            m.change_bytes,
            m.change_lines,
            m.memory_kib,
            m.cpu
        );
        if count <= 890 {
            let files = controller::measure(&program, nodes, count, rounds)
                .map_err(|error| format!("{nodes} nodes, {count} proxies: {error}"))?;
            say!(
                "  files: {:.0}, {:.0}; {:.0}; CPU with sums {:.2}",
                files.list_to_link_ms_p50,
                files.list_to_link_ms_p99,
                files.all_joined_ms,
                files.cpu
            );
        }
    }
    Ok(())
}

fn conductor(rounds: u32, json: bool) -> ExitCode {
    let program = match std::env::current_exe() {
        Ok(program) => program,
        Err(error) => {
            eprintln!("this program can't be found: {error}");
            return ExitCode::FAILURE;
        }
    };
    let mut all = Vec::new();
    for (nodes, proxies) in SIZES {
        match controller::measure(&program, nodes, proxies, rounds) {
            Ok(measured) => all.push(measured),
            Err(error) => {
                eprintln!("{nodes} nodes, {proxies} proxies: {error}");
                return ExitCode::FAILURE;
            }
        }
    }
    if json {
        match serde_json::to_string(&all) {
            Ok(text) => say!("{text}"),
            Err(error) => {
                eprintln!("{error}");
                return ExitCode::FAILURE;
            }
        }
        return ExitCode::SUCCESS;
    }
    say!(
        "{:>6}{:>9}{:>14}{:>14}{:>8}{:>12}{:>16}",
        "nodes",
        "proxies",
        "p50 ms",
        "p99 ms",
        "swaps",
        "CPU s/s",
        "all joined ms"
    );
    for one in &all {
        say!(
            "{:>6}{:>9}{:>14.1}{:>14.1}{:>8}{:>12.3}{:>16.0}",
            one.nodes,
            one.proxies,
            one.list_to_link_ms_p50,
            one.list_to_link_ms_p99,
            one.swaps,
            one.cpu,
            one.all_joined_ms
        );
    }
    if let (Some(first), Some(last)) = (all.first(), all.last()) {
        let size = (last.nodes * last.proxies) as f64 / (first.nodes * first.proxies) as f64;
        let cost = last.cpu / first.cpu.max(1e-6);
        say!("nodes x proxies grow {size:.0}-fold, CPU {cost:.1}-fold");
    }
    ExitCode::SUCCESS
}

fn proxy(seconds: f64, effects: u64) -> Result<(), String> {
    let program = std::env::current_exe().map_err(|error| error.to_string())?;
    say!(
        "{:>12}{:>9}{:>12}{:>10}{:>10}{:>10}{:>14}",
        "connections",
        "way",
        "per second",
        "p50 ms",
        "p99 ms",
        "p99.9 ms",
        "CPU us each"
    );
    for connections in [1, 10, 100, 1000] {
        let ways =
            proxy::measure_proxy(&program, connections, seconds).map_err(|e| e.to_string())?;
        for way in &ways {
            say!(
                "{connections:>12}{:>9}{:>12.0}{:>10.3}{:>10.3}{:>10.3}{:>14}",
                way.way,
                way.loaded.per_second(),
                way.loaded.ms(0.5),
                way.loaded.ms(0.99),
                way.loaded.ms(0.999),
                way.cpu_us.map_or("-".to_string(), |us| format!("{us:.1}"))
            );
        }
        if let [direct, proxied] = &ways[..] {
            let part = proxied.loaded.per_second() / direct.loaded.per_second().max(1.0);
            let added = (proxied.loaded.ms(0.5) - direct.loaded.ms(0.5)) * 1e3;
            say!(
                "{:>12}  {part:.2} of the direct throughput, {added:.0} us added at the median",
                ""
            );
        }
    }
    let (count, bytes) =
        proxy::measure_idle(&program, 10_000).map_err(|error| error.to_string())?;
    say!(
        "{count} idle connections: {:.1} kB each",
        bytes as f64 / 1e3 / count as f64
    );
    let (asked, executed, twice) =
        proxy::measure_effects(&program, effects).map_err(|error| error.to_string())?;
    say!("{asked} side-effecting invocations with faults: {executed} took effect, {twice} twice");
    if twice == 0 {
        Ok(())
    } else {
        Err("an effect happened twice".to_string())
    }
}

/// A fleet whose hosts all have prices of their own, so that none can be put together.
fn fleet(hosts: usize, gateways: usize) -> wheelspread_solve::Fleet {
    use wheelspread_solve::{Fleet, Gateway, Host, HostState, Operation};
    let zones = ["a", "b", "c"];
    // Numbers that look like chance and are the same each time.
    let drawn = |at: usize, of: u64| {
        ((at as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15 ^ of) >> 40) as f64
            / (1u64 << 24) as f64
    };
    let host = |at: usize| Host {
        id: format!("h{at}"),
        zone: zones[at % 3].to_string(),
        capacity: 2.0 + 3.0 * drawn(at, 1),
        state: HostState::Ready,
        price: 0.5 * drawn(at, 2),
        load_at_most: None,
        kind: String::new(),
    };
    let rate = 3.2 * hosts as f64 / gateways as f64;
    let gateway = |at: usize| Gateway {
        id: format!("g{at}"),
        zone: zones[at % 3].to_string(),
        demand: [("quote", 0.6), ("plan", 0.4)]
            .map(|(name, part)| (name.to_string(), rate / 0.22 * part * (0.5 + drawn(at, 3))))
            .into(),
    };
    let operation = |name: &str, billed_value, stays_in_zone| Operation {
        name: name.into(),
        billed_value,
        work: 0.22,
        holds: None,
        stays_in_zone,
        least_share: 0.05,
    };
    Fleet {
        hosts: (0..hosts).map(host).collect(),
        gateways: (0..gateways).map(gateway).collect(),
        operations: vec![operation("quote", 2.0, false), operation("plan", 1.0, true)],
        cross_zone_price: 0.04,
        connection_price: 0.0,
        crossing_seconds: 0.0,
        fill_at_most: 0.85,
        cold_share: 0.2,
        steps: vec![(0.6, 0.0), (0.8, 0.01), (1.0, 0.03)],
        standing: std::collections::BTreeMap::new(),
        change_price: 0.0,
    }
}

/// The same problem, zone by operation to host by step, for the plain solver.
fn plain(fleet: &wheelspread_solve::Fleet) -> f64 {
    use microlp::{ComparisonOp, OptimizationDirection, Problem};
    let mut problem = Problem::new(OptimizationDirection::Maximize);
    let dearest = fleet
        .operations
        .iter()
        .map(|o| o.billed_value / o.work)
        .fold(0.0, f64::max);
    let mut rooms: Vec<Vec<Vec<(microlp::Variable, f64)>>> =
        vec![vec![Vec::new(); fleet.steps.len()]; fleet.hosts.len()];
    for zone in ["a", "b", "c"] {
        for operation in &fleet.operations {
            let asked = fleet.gateways.iter().filter(|gateway| gateway.zone == zone);
            let amount: f64 = asked
                .map(|gateway| gateway.demand[&operation.name] * operation.work)
                .sum();
            let mut sum = Vec::new();
            for (at, host) in fleet.hosts.iter().enumerate() {
                let away = host.zone != zone;
                if away && operation.stays_in_zone {
                    continue;
                }
                let crossing = if away { fleet.cross_zone_price } else { 0.0 };
                let gain = (operation.billed_value - crossing) / operation.work - host.price;
                for (step, (_, cost)) in fleet.steps.iter().enumerate() {
                    let var = problem.add_var(gain - cost * dearest, (0.0, f64::INFINITY));
                    rooms[at][step].push((var, 1.0));
                    sum.push((var, 1.0));
                }
            }
            problem.add_constraint(&sum[..], ComparisonOp::Le, amount);
        }
    }
    for (host, steps) in fleet.hosts.iter().zip(&rooms) {
        let mut before = 0.0;
        for ((until, _), vars) in fleet.steps.iter().zip(steps) {
            problem.add_constraint(
                &vars[..],
                ComparisonOp::Le,
                fleet.room(host) * (until - before),
            );
            before = *until;
        }
    }
    problem
        .solve()
        .map_or(f64::NAN, |solution| solution.objective())
}

fn solver() {
    say!(
        "{:>7}{:>10}{:>12}{:>12}{:>10}{:>14}",
        "hosts",
        "gateways",
        "ours ms",
        "plain ms",
        "ratio",
        "objective off"
    );
    let mut times = Vec::new();
    for (hosts, gateways) in [(32, 27), (100, 84), (318, 267), (1006, 844), (3180, 2670)] {
        let fleet = fleet(hosts, gateways);
        let timed = |run: &mut dyn FnMut() -> f64| {
            let begin = std::time::Instant::now();
            let objective = run();
            (begin.elapsed().as_secs_f64() * 1e3, objective)
        };
        let solve = || {
            wheelspread_solve::solve(&fleet, &mut || false)
                .map_or(f64::NAN, |solution| solution.objective)
        };
        let (ours, objective) = timed(&mut || solve());
        times.push((hosts as f64, ours));
        if hosts <= 1006 {
            let (theirs, wanted) = timed(&mut || plain(&fleet));
            let off = (objective - wanted).abs() / wanted.abs();
            say!(
                "{hosts:>7}{gateways:>10}{ours:>12.2}{theirs:>12.1}{:>10.1}{off:>14.1e}",
                theirs / ours
            );
        } else {
            say!(
                "{hosts:>7}{gateways:>10}{ours:>12.2}{:>12}{:>10}{:>14}",
                "-",
                "-",
                "-"
            );
        }
    }
    if let [.., middle, _, last] = &times[..] {
        say!(
            "time grows with hosts to the power of {:.2}",
            (last.1 / middle.1).ln() / (last.0 / middle.0).ln()
        );
    }
}
