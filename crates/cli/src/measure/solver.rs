//! Compares the weight solver with a general linear programming solver on the same input, at growing sizes.

/// A fleet whose hosts all have different prices, so that the solver cannot merge any of them.
fn generated_fleet(hosts: usize, gateways: usize) -> wheelspread_solve::Fleet {
    use wheelspread_solve::{Fleet, Gateway, Host, HostState, Operation};
    let zones = ["a", "b", "c"];
    // Pseudo-random numbers from 0 to below 1 that are the same in each run.
    let rand = |index: usize, salt: u64| {
        ((index as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15 ^ salt) >> 40) as f64
            / (1u64 << 24) as f64
    };
    let host = |i: usize| Host {
        id: format!("h{i}"),
        zone: zones[i % 3].to_string(),
        capacity: 2.0 + 3.0 * rand(i, 1),
        state: HostState::Ready,
        price: 0.5 * rand(i, 2),
        load_at_most: None,
        kind: String::new(),
    };
    let rate = 3.2 * hosts as f64 / gateways as f64;
    let gateway = |i: usize| Gateway {
        id: format!("g{i}"),
        zone: zones[i % 3].to_string(),
        demand: [("quote", 0.6), ("plan", 0.4)]
            .map(|(name, ratio)| (name.to_string(), rate / 0.22 * ratio * (0.5 + rand(i, 3))))
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

/// The objective that a general linear programming solver finds for the same problem. Its variables are the work of
/// each operation from each zone at each host and each step of the cost curve.
fn reference_objective(fleet: &wheelspread_solve::Fleet) -> f64 {
    use microlp::{ComparisonOp, OptimizationDirection, Problem};
    let mut problem = Problem::new(OptimizationDirection::Maximize);
    let max_value_per_work = fleet
        .operations
        .iter()
        .map(|o| o.billed_value / o.work)
        .fold(0.0, f64::max);
    let mut capacity_terms: Vec<Vec<Vec<(microlp::Variable, f64)>>> =
        vec![vec![Vec::new(); fleet.steps.len()]; fleet.hosts.len()];
    for zone in ["a", "b", "c"] {
        for operation in &fleet.operations {
            let local_gateways = fleet.gateways.iter().filter(|gateway| gateway.zone == zone);
            let demanded_work: f64 = local_gateways
                .map(|gateway| gateway.demand[&operation.name] * operation.work)
                .sum();
            let mut terms = Vec::new();
            for (index, host) in fleet.hosts.iter().enumerate() {
                let is_remote = host.zone != zone;
                if is_remote && operation.stays_in_zone {
                    continue;
                }
                let cross_zone_cost = if is_remote {
                    fleet.cross_zone_price
                } else {
                    0.0
                };
                let gain = (operation.billed_value - cross_zone_cost) / operation.work - host.price;
                for (step, (_, cost)) in fleet.steps.iter().enumerate() {
                    let variable =
                        problem.add_var(gain - cost * max_value_per_work, (0.0, f64::INFINITY));
                    capacity_terms[index][step].push((variable, 1.0));
                    terms.push((variable, 1.0));
                }
            }
            problem.add_constraint(&terms[..], ComparisonOp::Le, demanded_work);
        }
    }
    for (host, steps) in fleet.hosts.iter().zip(&capacity_terms) {
        let mut lower_bound = 0.0;
        for ((upper_bound, _), variables) in fleet.steps.iter().zip(steps) {
            problem.add_constraint(
                &variables[..],
                ComparisonOp::Le,
                fleet.load_limit(host) * (upper_bound - lower_bound),
            );
            lower_bound = *upper_bound;
        }
    }
    problem
        .solve()
        .map_or(f64::NAN, |solution| solution.objective())
}

/// Runs both solvers at all sizes and prints the figures.
pub fn run() {
    print_line!(
        "{:>7}{:>10}{:>12}{:>12}{:>10}{:>14}",
        "hosts",
        "gateways",
        "solver ms",
        "general ms",
        "ratio",
        "rel. error"
    );
    let mut durations = Vec::new();
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
        let (solver_ms, objective) = timed(&mut || solve());
        durations.push((hosts as f64, solver_ms));
        if hosts <= 1006 {
            let (reference_ms, reference) = timed(&mut || reference_objective(&fleet));
            let deviation = (objective - reference).abs() / reference.abs();
            print_line!(
                "{hosts:>7}{gateways:>10}{solver_ms:>12.2}{reference_ms:>12.1}{:>10.1}{deviation:>14.1e}",
                reference_ms / solver_ms
            );
        } else {
            print_line!(
                "{hosts:>7}{gateways:>10}{solver_ms:>12.2}{:>12}{:>10}{:>14}",
                "-",
                "-",
                "-"
            );
        }
    }
    if let [.., middle, _, last] = &durations[..] {
        print_line!(
            "time grows as the number of hosts to the power of {:.2}",
            (last.1 / middle.1).ln() / (last.0 / middle.0).ln()
        );
    }
}
