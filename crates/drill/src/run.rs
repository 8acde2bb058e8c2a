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
use crate::audit::Slowed;
use crate::client_population::ClientPopulation;
use crate::error::DrillError;
use crate::even_publisher::{EvenPublisher, Sabotage};
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
    pub even: bool,
    /// A rule to be broken on purpose.
    pub sabotage: Option<Sabotage>,
    /// Where all that was published and the records are kept; none: nowhere.
    pub keep: Option<PathBuf>,
    /// Controllers that are killed lose what they kept: they start as if they had never run.
    pub forget: bool,
    /// Kinds of fault that were asked for and can't be injected, to be told.
    pub not_injected: Vec<String>,
    /// Told of each step that a person waits for.
    pub progress: &'a mut dyn FnMut(&str),
}

fn named(what: impl Into<String>) -> impl FnOnce(io::Error) -> DrillError {
    let what = what.into();
    move |source| DrillError::Io { what, source }
}

struct Drill<'a> {
    script: Script,
    options: Options<'a>,
    chance: Pcg,
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
    usual: Vec<f64>,
    clients: Option<ClientPopulation>,
    even: Option<EvenPublisher>,
    steps: BTreeMap<(Moment, u64), Step>,
    next: u64,
    list_version: u64,
    list_delay: Span,
    slowed: Vec<Slowed>,
    cpu: f64,
}

/// Plays a script and judges its records.
pub fn run(script: &Script, options: Options) -> Result<Report, DrillError> {
    let temporary = tempfile::tempdir().map_err(named("a temporary directory"))?;
    let directory = options
        .keep
        .clone()
        .unwrap_or_else(|| temporary.path().to_path_buf());
    std::fs::create_dir_all(&directory).map_err(named(directory.display().to_string()))?;
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
        let plan_of = &script.deployment;
        let nodes = StandInServers::start(plan_of.clone(), recorder.clone(), options.seed)
            .map_err(named("nodes"))?;
        let mut controllers = Vec::new();
        for number in 0..plan_of.controllers.count as usize {
            let directory = directory.join(format!("conductor-{number}"));
            TableRoot::new(directory.join("tables"))
                .prepare()
                .map_err(named(directory.display().to_string()))?;
            controllers.push(ControllerProcess {
                directory,
                listen: own_port().map_err(named("a free port"))?,
                child: None,
            });
        }
        let network = Network::start(controllers.iter().map(|process| process.listen).collect())
            .map_err(named("wires"))?;
        let proxies = Proxies::start(recorder.clone(), options.even).map_err(named("gateways"))?;
        let zones = (0..script.proxies)
            .map(|proxy| proxy % plan_of.zones.len())
            .collect();
        let even = options.even.then(|| {
            EvenPublisher::new(
                TableRoot::new(controllers[0].directory.join("tables")),
                options.sabotage,
            )
        });
        Ok(Drill {
            chance: Pcg::new(options.seed),
            list_delay: script.list_delay,
            begin: reactor::now(),
            clients: None,
            fleet: Vec::new(),
            steps: BTreeMap::new(),
            next: 0,
            list_version: 0,
            slowed: Vec::new(),
            cpu: 0.0,
            recorder,
            directory,
            nodes,
            controllers,
            network,
            proxies,
            zones,
            usual: Vec::new(),
            even,
            script,
            options,
        })
    }
}
