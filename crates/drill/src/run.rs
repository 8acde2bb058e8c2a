//! Plays a script: starts everything, injects the faults at their times, ends everything, and judges.

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

/// How a script is played.
pub struct Options<'a> {
    /// The program whose `run` is a controller.
    pub program: PathBuf,
    /// Seeds all random draws.
    pub seed: u64,
    /// Even weights instead of controllers.
    pub even_weights: bool,
    /// A rule to be broken on purpose.
    pub violation: Option<RuleViolation>,
    /// Where all that was published and the records are kept; none: nowhere.
    pub keep_directory: Option<PathBuf>,
    /// Controllers that are killed lose what they kept: they start as if they had never run.
    pub discard_state: bool,
    /// Kinds of fault that were asked for and can't be injected, to be told.
    pub not_injected: Vec<String>,
    /// Told of each step that a person waits for.
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
    /// What usually comes to each proxy, a second.
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

/// Plays a script and judges its records.
pub fn run(script: &Script, options: Options) -> Result<Report, DrillError> {
    let temporary = tempfile::tempdir().map_err(io_error("a temporary directory"))?;
    let directory = options
        .keep_directory
        .clone()
        .unwrap_or_else(|| temporary.path().to_path_buf());
    std::fs::create_dir_all(&directory).map_err(io_error(directory.display().to_string()))?;
    let (recorder, from) = Recorder::new(reactor::now());
    let mut drill = Drill::prepare(script.clone(), options, directory, recorder)?;
    drill.play()?;
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
            .map_err(io_error("nodes"))?;
        let mut controllers = Vec::new();
        for number in 0..deployment.controllers.count as usize {
            let directory = directory.join(format!("conductor-{number}"));
            TableRoot::new(directory.join("tables"))
                .prepare()
                .map_err(io_error(directory.display().to_string()))?;
            controllers.push(ControllerProcess {
                directory,
                listen: own_port().map_err(io_error("a free port"))?,
                child: None,
            });
        }
        let network = Network::start(controllers.iter().map(|process| process.listen).collect())
            .map_err(io_error("wires"))?;
        let proxies =
            Proxies::start(recorder.clone(), options.even_weights).map_err(io_error("gateways"))?;
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
