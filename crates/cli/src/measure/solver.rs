//! The weight solver at growing sizes, beside a general solver of linear programs on the same input.

/// A fleet whose hosts all have prices of their own, so that the solver can join none of them.
fn generated_fleet(hosts: usize, gateways: usize) -> wheelspread_solve::Fleet {
    use wheelspread_solve::{Fleet, Gateway, Host, HostState, Operation};
    let zones = ["a", "b", "c"];
    // Numbers that look random and are the same in each run.
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

/// The objective of the same problem, zone by operation to host by step, as a general solver of linear programs
/// finds it.
fn reference_objective(fleet: &wheelspread_solve::Fleet) -> f64 {
    use microlp::{ComparisonOp, OptimizationDirection, Problem};
    let mut problem = Problem::new(OptimizationDirection::Maximize);
    let dearest = fleet
        .operations
        .iter()
        .map(|o| o.billed_value / o.work)
        .fold(0.0, f64::max);
    let mut capacity_terms: Vec<Vec<Vec<(microlp::Variable, f64)>>> =
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
                    capacity_terms[at][step].push((var, 1.0));
                    sum.push((var, 1.0));
                }
            }
            problem.add_constraint(&sum[..], ComparisonOp::Le, amount);
        }
    }
    for (host, steps) in fleet.hosts.iter().zip(&capacity_terms) {
        let mut before = 0.0;
        for ((until, _), vars) in fleet.steps.iter().zip(steps) {
            problem.add_constraint(
                &vars[..],
                ComparisonOp::Le,
                fleet.load_limit(host) * (until - before),
            );
            before = *until;
        }
    }
    problem
        .solve()
        .map_or(f64::NAN, |solution| solution.objective())
}

/// Measures all sizes and prints them.
pub fn run() {
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
        let fleet = generated_fleet(hosts, gateways);
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
            let (theirs, reference) = timed(&mut || reference_objective(&fleet));
            let off = (objective - reference).abs() / reference.abs();
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
