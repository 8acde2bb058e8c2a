//! Runs a script: starts all processes and stand-ins, injects the faults at their times, stops everything
//! and judges the records.

mod collection;
mod controllers;
mod execution;
mod fault_plan;
mod fleet;
mod report;
mod setup;
mod step;

use self::controllers::ControllerProcess;
use self::fleet::FleetNode;
pub use self::report::{FaultReport, Report};
use self::step::Step;
use crate::audit::SlowedPeriod;
use crate::client_population::ClientPopulation;
use crate::error::DrillError;
use crate::even_publisher::{EvenWeightPublisher, RuleViolation};
use crate::machine::own_port;
use crate::network::Network;
use crate::proxies::Proxies;
use crate::records::Recorder;
use crate::script::Script;
use crate::stand_in_server::StandInServers;
use std::collections::BTreeMap;
use std::io;
use std::path::PathBuf;
use wheelspread::pcg::Pcg;
use wheelspread::time::{Moment, Span};
use wheelspread_files::TableRoot;
use wheelspread_reactor as reactor;

/// Options of a drill.
pub struct Options<'a> {
    /// The program that runs a controller with its subcommand `run`.
    pub program: PathBuf,
    /// The seed of all random draws.
    pub seed: u64,
    /// Publishes even weights instead of running controllers.
    pub even_weights: bool,
    /// A rule to violate on purpose.
    pub violation: Option<RuleViolation>,
    /// Where the published tables, the logs and the records are kept; a temporary directory if `None`.
    pub keep_directory: Option<PathBuf>,
    /// Deletes the state of a controller when it is killed, so that it restarts without state.
    pub discard_state: bool,
    /// Requested fault kinds that a drill cannot inject, for the report.
    pub not_injected: Vec<String>,
    /// Called with a progress message at each step.
    pub progress: &'a mut dyn FnMut(&str),
}

fn io_error(what: impl Into<String>) -> impl FnOnce(io::Error) -> DrillError {
    let what = what.into();
    move |source| DrillError::Io { what, source }
}

struct Drill<'a> {
    script: Script,
    options: Options<'a>,
    rng: Pcg,
    recorder: Recorder,
    directory: PathBuf,
    begin: Moment,
    nodes: StandInServers,
    fleet: Vec<FleetNode>,
    controllers: Vec<ControllerProcess>,
    network: Network,
    proxies: Proxies,
    zones: Vec<usize>,
    /// The base rate of each proxy, in first attempts per second.
    base_rates: Vec<f64>,
    clients: Option<ClientPopulation>,
    even_publisher: Option<EvenWeightPublisher>,
    steps: BTreeMap<(Moment, u64), Step>,
    last_sequence: u64,
    list_version: u64,
    list_delay: Span,
    slowed_periods: Vec<SlowedPeriod>,
    controller_cpu_s: f64,
}

/// Runs a script and judges its records.
pub fn run(script: &Script, options: Options) -> Result<Report, DrillError> {
    let temporary = tempfile::tempdir().map_err(io_error("cannot create a temporary directory"))?;
    let directory = options
        .keep_directory
        .clone()
        .unwrap_or_else(|| temporary.path().to_path_buf());
    std::fs::create_dir_all(&directory).map_err(io_error(directory.display().to_string()))?;
    let (recorder, from) = Recorder::new(reactor::now());
    let mut drill = Drill::prepare(script.clone(), options, directory, recorder)?;
    drill.run()?;
    drill.finish(from)
}

impl<'a> Drill<'a> {
    fn prepare(
        script: Script,
        options: Options<'a>,
        directory: PathBuf,
        recorder: Recorder,
    ) -> Result<Drill<'a>, DrillError> {
        let deployment = &script.deployment;
        let nodes = StandInServers::start(deployment.clone(), recorder.clone(), options.seed)
            .map_err(io_error("cannot start the stand-in nodes"))?;
        let mut controllers = Vec::new();
        for number in 0..deployment.controllers.count as usize {
            let directory = directory.join(format!("conductor-{number}"));
            TableRoot::new(directory.join("tables"))
                .prepare()
                .map_err(io_error(directory.display().to_string()))?;
            controllers.push(ControllerProcess {
                directory,
                listen: own_port().map_err(io_error("cannot find a free port"))?,
                child: None,
            });
        }
        let network = Network::start(controllers.iter().map(|process| process.listen).collect())
            .map_err(io_error(
                "cannot start the relay between proxies and controllers",
            ))?;
        let proxies = Proxies::start(recorder.clone(), options.even_weights)
            .map_err(io_error("cannot start the proxies' thread"))?;
        let zones = (0..script.proxies)
            .map(|proxy| proxy % deployment.zones.len())
            .collect();
        let even_publisher = options.even_weights.then(|| {
            EvenWeightPublisher::new(
                TableRoot::new(controllers[0].directory.join("tables")),
                options.violation,
            )
        });
        Ok(Drill {
            rng: Pcg::new(options.seed),
            list_delay: script.list_delay,
            begin: reactor::now(),
            clients: None,
            fleet: Vec::new(),
            steps: BTreeMap::new(),
            last_sequence: 0,
            list_version: 0,
            slowed_periods: Vec::new(),
            controller_cpu_s: 0.0,
            recorder,
            directory,
            nodes,
            controllers,
            network,
            proxies,
            zones,
            base_rates: Vec::new(),
            even_publisher,
            script,
            options,
        })
    }
}
