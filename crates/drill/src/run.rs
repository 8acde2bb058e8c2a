//! Plays a script: starts everything, injects the troubles at their times, ends everything, and judges.

use crate::audit::{drained, judge, Slowed, Verdict};
use crate::clients::{ClientOrder, Clients};
use crate::even::{Even, ListedNode, Sabotage};
use crate::gateways::{name, plan, GatewayOrder, Gateways};
use crate::node::{NodeKey, NodeOrder, NodeSpec, Nodes};
use crate::records::{Listed, Record, Recorder, Records};
use crate::script::{Script, Trouble, TroubleKind};
use crate::watch::Watch;
use crate::wire::{gateways_in, WireOrder, Wires};
use rustix::process::{kill_process, Pid, Signal};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::fs::File;
use std::io;
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::Receiver;
use std::sync::Mutex;
use std::time::Duration;
use wheelspread::ids::NodeId;
use wheelspread::pcg::Pcg;
use wheelspread::time::{Moment, Span};
use wheelspread_controller_core::endpoint_list::{EndpointRecord, EndpointSnapshot};
use wheelspread_controller_core::span_format;
use wheelspread_drain::{DrainAction, Outcome};
use wheelspread_files::{swap, Root};
use wheelspread_fleet::{drain_order, Fleet, Line, Request};
use wheelspread_reactor as reactor;

#[derive(Debug, thiserror::Error)]
pub enum DrillError {
    #[error("{what}: {source}")]
    Io { what: String, source: io::Error },
    #[error("{0}")]
    NotReady(String),
}

pub struct Options<'a> {
    /// The program whose `run` is a conductor.
    pub program: PathBuf,
    pub seed: u64,
    /// Even weights instead of conductors.
    pub even: bool,
    pub sabotage: Option<Sabotage>,
    pub keep: Option<PathBuf>,
    /// Conductors that are killed lose what they kept: they start as if they had never run.
    pub forget: bool,
    /// Kinds of trouble that were asked for and can't be injected, to be told.
    pub not_injected: Vec<String>,
    pub progress: &'a mut dyn FnMut(&str),
}

#[derive(Clone, Debug, Serialize)]
pub struct TroubleTold {
    pub kind: String,
    pub at_s: f64,
    pub for_s: f64,
    pub injected: bool,
}

#[derive(Clone, Debug, Serialize)]
pub struct Report {
    pub drill: String,
    pub seed: u64,
    pub baseline: Option<String>,
    #[serde(flatten)]
    pub verdict: Verdict,
    pub troubles: Vec<TroubleTold>,
    pub table_swaps: u64,
    pub conductor_cpu_s: f64,
    /// From orders to drain to the last try there, by conductor and node.
    pub drain_orders_s: Vec<f64>,
    /// Changes and undoes that were told to conductors, and how many took them.
    pub changes_told: (usize, usize),
}

fn named(what: impl Into<String>) -> impl FnOnce(io::Error) -> DrillError {
    let what = what.into();
    move |source| DrillError::Io { what, source }
}

/// What is to be done at a time.
enum Step {
    Orders(Vec<NodeOrder>),
    Wire(WireOrder),
    Rate {
        gateways: Option<Vec<usize>>,
        factor: f64,
    },
    /// A part of what comes to a zone's gateways comes to another zone's from then on.
    Shift {
        from: usize,
        to: usize,
        part: f64,
    },
    Batch {
        out: Vec<usize>,
        drain: Span,
    },
    Swap {
        out: Vec<usize>,
    },
    Come {
        count: usize,
    },
    Vanish(Vec<usize>),
    Return(Vec<usize>),
    ListDelay(Span),
    Publish(EndpointSnapshot, Vec<ListedNode>),
    KillConductors(Vec<usize>),
    StartConductors(Vec<usize>),
    Pace {
        factor: f64,
    },
    Stall(Vec<usize>, bool),
    /// Told to all conductors, again where it failed, until this long after.
    Order {
        nodes: Vec<usize>,
        word: DrainAction,
        within: Span,
    },
    /// A change of configuration that moves nodes to the next zone, or its undo, told in the same way.
    Change {
        id: String,
        nodes: Vec<usize>,
        undo: bool,
        within: Span,
    },
    KillGateways(Vec<usize>),
    StartGateways(Vec<usize>),
    Swarm {
        until: Moment,
    },
    Tell(String),
}

struct FleetNode {
    key: NodeKey,
    spec: NodeSpec,
    address: SocketAddrV4,
    draining: bool,
    gone: bool,
    silent: bool,
    started: Moment,
}

struct Side {
    directory: PathBuf,
    listen: SocketAddrV4,
    child: Option<Child>,
}

impl Drop for Side {
    /// A drill that comes to nothing leaves no conductor behind.
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

struct Drill<'a> {
    script: Script,
    options: Options<'a>,
    chance: Pcg,
    recorder: Recorder,
    directory: PathBuf,
    begin: Moment,
    nodes: Nodes,
    fleet: Vec<FleetNode>,
    sides: Vec<Side>,
    wires: Wires,
    gateways: Gateways,
    zones: Vec<usize>,
    /// What usually comes to each gateway, a second.
    usual: Vec<f64>,
    clients: Option<Clients>,
    even: Option<Even>,
    steps: BTreeMap<(Moment, u64), Step>,
    next: u64,
    list_version: u64,
    list_delay: Span,
    slowed: Vec<Slowed>,
    cpu: f64,
}

/// A port that is free now.
pub fn free_port() -> io::Result<SocketAddrV4> {
    match TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?.local_addr()? {
        std::net::SocketAddr::V4(address) => Ok(address),
        other => Err(io::Error::other(other.to_string())),
    }
}

/// A place to listen for a conductor that starts later. Each process has a loopback address of its own and
/// names no port twice: on the common address a drill beside this one, or any connection that was dialled
/// meanwhile, took the port now and then, and the conductor could not start.
pub fn own_port() -> io::Result<SocketAddrV4> {
    static NAMED: Mutex<BTreeSet<u16>> = Mutex::new(BTreeSet::new());
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    let address = Ipv4Addr::new(127, 64 | (high & 63), middle, low.clamp(1, 254));
    loop {
        let port = TcpListener::bind((address, 0))?.local_addr()?.port();
        if NAMED
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
            .insert(port)
        {
            return Ok(SocketAddrV4::new(address, port));
        }
    }
}

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
        let nodes = Nodes::start(plan_of.clone(), recorder.clone(), options.seed)
            .map_err(named("nodes"))?;
        let mut sides = Vec::new();
        for number in 0..plan_of.controllers.count as usize {
            let directory = directory.join(format!("conductor-{number}"));
            Root::new(directory.join("tables"))
                .prepare()
                .map_err(named(directory.display().to_string()))?;
            sides.push(Side {
                directory,
                listen: own_port().map_err(named("a free port"))?,
                child: None,
            });
        }
        let wires =
            Wires::start(sides.iter().map(|side| side.listen).collect()).map_err(named("wires"))?;
        let gateways =
            Gateways::start(recorder.clone(), options.even).map_err(named("gateways"))?;
        let zones = (0..script.gateways)
            .map(|gateway| gateway % plan_of.zones.len())
            .collect();
        let even = options.even.then(|| {
            Even::new(
                Root::new(sides[0].directory.join("tables")),
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
            sides,
            wires,
            gateways,
            zones,
            usual: Vec::new(),
            even,
            script,
            options,
        })
    }

    // ---- the fleet ----

    fn add_node(&mut self, spec: NodeSpec) {
        let now = reactor::now();
        let Some((key, address)) = self.nodes.add(spec.clone()) else {
            return;
        };
        let long_ago = now - self.script.deployment.rules.warm_after * 10.0;
        let started = if spec.cold { now } else { long_ago };
        let node = FleetNode {
            key,
            spec,
            address,
            draining: false,
            gone: false,
            silent: false,
            started,
        };
        self.fleet.push(node);
    }

    fn first_nodes(&mut self) {
        let plan = self.script.nodes.clone();
        let mut zone = 0;
        for (kind, of) in plan.kinds.iter().enumerate() {
            for _ in 0..of.count {
                let spec = NodeSpec {
                    zone: zone % self.script.deployment.zones.len(),
                    kind,
                    kind_name: of.name.clone(),
                    cores: of.cores,
                    speed: of.speed * (1.0 + of.speed_spread * (2.0 * self.chance.unit() - 1.0)),
                    cold: false,
                    queue: plan.queue,
                    connections: plan.connections,
                };
                self.add_node(spec);
                zone += 1;
            }
        }
    }

    fn list(&mut self) -> (EndpointSnapshot, Vec<ListedNode>) {
        self.list_version += 1;
        let (now, wall) = (reactor::now(), reactor::wall());
        let listed: Vec<&FleetNode> = self.fleet.iter().filter(|node| !node.gone).collect();
        let record = |node: &&FleetNode| {
            let started = ((wall - (now - node.started).seconds()) * 1e3).round() / 1e3;
            EndpointRecord {
                node: NodeId {
                    address: node.address.ip().octets(),
                    port: node.address.port(),
                },
                zone: self.script.deployment.zones[node.spec.zone].clone(),
                kind: node.spec.kind_name.clone(),
                cell: String::new(),
                draining: node.draining,
                weight: 1.0,
                started: Some((format!("{started}"), now - node.started)),
            }
        };
        let list = EndpointSnapshot {
            version: self.list_version.to_string(),
            records: listed.iter().map(record).collect(),
        };
        let warm = self.script.deployment.rules.warm_after;
        let plain = listed.iter().map(|node| ListedNode {
            address: node.address,
            zone: node.spec.zone,
            draining: node.draining,
            cold: now - node.started < warm,
        });
        (list, plain.collect())
    }

    /// The list as it is now, to be seen by conductors after its delay.
    fn list_changes(&mut self) {
        let (list, plain) = self.list();
        self.at(reactor::now() + self.list_delay, Step::Publish(list, plain));
    }

    fn publish(&mut self, list: &EndpointSnapshot, plain: &[ListedNode]) -> Result<(), DrillError> {
        let text = wheelspread_xds::nodes::write(list)
            .map_err(|error| DrillError::NotReady(format!("the list of nodes: {error}")))?;
        let now = reactor::now();
        let zones = &self.script.deployment.zones;
        let wall = reactor::wall();
        let listed = |record: &EndpointRecord| {
            let started: f64 = record
                .started
                .as_ref()
                .and_then(|(run, _)| run.parse().ok())
                .unwrap_or(0.0);
            let seen = Listed {
                zone: zones
                    .iter()
                    .position(|zone| *zone == record.zone)
                    .unwrap_or(0),
                draining: record.draining,
                started: self.recorder.at(now) - (wall - started),
            };
            (
                wheelspread_controller_core::endpoint_list::format_node(record.node),
                seen,
            )
        };
        let nodes: BTreeMap<String, Listed> = list.records.iter().map(listed).collect();
        for (conductor, side) in self.sides.iter().enumerate() {
            swap::replace(&side.directory.join("nodes.json"), &text)
                .map_err(named("the list of nodes"))?;
            let version = list.version.parse().unwrap_or(0);
            self.recorder.note(
                reactor::now(),
                Record::Listed {
                    conductor,
                    version,
                    nodes: nodes.clone(),
                },
            );
        }
        if let Some(even) = &mut self.even {
            even.publish(&self.script, plain, &self.zones)
                .map_err(DrillError::NotReady)?;
        }
        Ok(())
    }

    // ---- conductors ----

    fn write_file(&self, number: usize, lines_per_second: f64) -> Result<PathBuf, DrillError> {
        let side = &self.sides[number];
        let mut deployment = self.script.deployment.clone();
        deployment.channel.lines_per_second = lines_per_second;
        #[derive(Serialize)]
        struct Place<'a> {
            name: String,
            number: usize,
            seed: u64,
            listen: String,
            tables: &'a str,
            list: &'a str,
        }
        #[derive(Serialize)]
        struct File<'a> {
            conductor: Place<'a>,
            log: BTreeMap<&'a str, &'a str>,
            deployment: wheelspread_controller_core::Deployment,
        }
        let place = Place {
            name: format!("conductor-{number}"),
            number,
            seed: self.options.seed + number as u64,
            listen: side.listen.to_string(),
            tables: "tables",
            list: "nodes.json",
        };
        let log = BTreeMap::from([("level", "debug"), ("form", "json")]);
        let text = serde_yaml_ng::to_string(&File {
            conductor: place,
            log,
            deployment,
        });
        let text = text.map_err(|error| DrillError::NotReady(error.to_string()))?;
        let path = side.directory.join("conductor.yaml");
        swap::replace(&path, &text).map_err(named(path.display().to_string()))?;
        Ok(path)
    }

    fn start_conductor(&mut self, number: usize) -> Result<(), DrillError> {
        if self.even.is_some() {
            return Ok(());
        }
        let path = self.write_file(number, self.script.deployment.channel.lines_per_second)?;
        let log = self.sides[number].directory.join("log.jsonl");
        let log = File::options()
            .create(true)
            .append(true)
            .open(&log)
            .map_err(named(log.display().to_string()))?;
        let child = Command::new(&self.options.program)
            .arg("run")
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .map_err(named(self.options.program.display().to_string()))?;
        self.sides[number].child = Some(child);
        self.recorder.note(
            reactor::now(),
            Record::ConductorStarted { conductor: number },
        );
        Ok(())
    }

    fn kill_conductor(&mut self, number: usize) {
        if let Some(mut child) = self.sides[number].child.take() {
            self.cpu += cpu_of(child.id());
            let _ = child.kill();
            let _ = child.wait();
            if self.options.forget {
                let _ = std::fs::remove_file(self.sides[number].directory.join("tables/state"));
            }
            self.recorder.note(
                reactor::now(),
                Record::ConductorKilled { conductor: number },
            );
        }
    }

    /// As an operator's tool does it, at each conductor by itself.
    fn order(&self, node: String, word: DrainAction, within: Span) {
        let now = reactor::now();
        let asked = self.recorder.at(now);
        // Whatever checks say: the drill knows what it does.
        let overrides = ["pool", "cold", "capacity"].map(str::to_string);
        let body = drain_order(&node, word, "drill", &overrides);
        let out = word == DrainAction::Drain;
        self.tell(
            vec![Request::post("/v1/drains", body)],
            within,
            move |conductor, taken| {
                let node = node.clone();
                taken.then_some(Record::Ordered {
                    conductor,
                    node,
                    out,
                    asked,
                })
            },
        );
    }

    /// Nodes move to the next zone, by a change of configuration; or that is taken back.
    fn change(&self, id: &str, nodes: &[usize], undo: bool, within: Span) {
        let zones = &self.script.deployment.zones;
        let moved = nodes.iter().map(|node| {
            let node = &self.fleet[*node];
            let next = zones[(node.spec.zone + 1) % zones.len()].clone();
            (format!("nodes.{}.zone", node.address), next)
        });
        let sets: BTreeMap<String, String> = moved.collect();
        let named = serde_json::json!({ "id": id });
        let requests = match undo {
            true => vec![Request::post("/v1/changes/undo", named)],
            false => vec![
                Request::post(
                    "/v1/changes/stage",
                    serde_json::json!({ "id": id, "by": "drill", "sets": sets }),
                ),
                Request::post("/v1/changes/apply", named),
            ],
        };
        let change = id.to_string();
        self.tell(requests, within, move |conductor, taken| {
            Some(Record::Changed {
                conductor,
                change: change.clone(),
                undo,
                taken,
            })
        });
    }

    /// Tells each conductor by itself, one request after the other, each again where it failed.
    fn tell(
        &self,
        requests: Vec<Request>,
        within: Span,
        record: impl Fn(usize, bool) -> Option<Record> + Clone + Send + 'static,
    ) {
        for (number, side) in self.sides.iter().enumerate() {
            let line = Line::Unix(side.directory.join("tables").join("admin.sock"));
            let fleet = Fleet {
                conductors: BTreeMap::from([(number.to_string(), line)]),
                within: Duration::from_millis(500),
                order_within: within,
            };
            let (recorder, requests, record) =
                (self.recorder.clone(), requests.clone(), record.clone());
            std::thread::spawn(move || {
                let taken = |request| {
                    fleet.order(request, within, number as u64).outcome == Outcome::Everywhere
                };
                let all = requests.iter().all(taken);
                record(number, all)
                    .into_iter()
                    .for_each(|record| recorder.note(reactor::now(), record));
            });
        }
    }

    fn signal(&self, number: usize, signal: Signal) {
        let pid = self.sides[number]
            .child
            .as_ref()
            .and_then(|child| Pid::from_raw(child.id() as i32));
        if let Some(pid) = pid {
            let _ = kill_process(pid, signal);
        }
    }

    // ---- gateways ----

    fn add_gateway(&mut self, gateway: usize) -> Result<std::net::SocketAddr, DrillError> {
        let sides: Vec<(SocketAddrV4, PathBuf)> = self
            .wires
            .ports
            .iter()
            .zip(&self.sides)
            .map(|(port, side)| (*port, side.directory.join("tables")))
            .collect();
        let (seed, even) = (self.options.seed, self.even.is_some());
        let trusting = self.options.sabotage == Some(Sabotage::Repeat);
        let sides = if even { &sides[..1] } else { &sides[..] };
        let plan = plan(
            &self.script,
            gateway,
            self.zones[gateway],
            sides,
            seed,
            trusting,
            even,
        );
        let address = self.gateways.add(plan, gateway);
        address.ok_or_else(|| DrillError::NotReady(format!("gateway {gateway} does not start")))
    }

    fn start_gateway(&mut self, gateway: usize) -> Result<(), DrillError> {
        let address = Some(self.add_gateway(gateway)?);
        self.clients
            .iter()
            .for_each(|clients| clients.order(ClientOrder::At { gateway, address }));
        Ok(())
    }

    // ---- the day ----

    fn at(&mut self, at: Moment, step: Step) {
        self.next += 1;
        self.steps.insert((at, self.next), step);
    }

    fn play(&mut self) -> Result<(), DrillError> {
        self.first_nodes();
        let (list, plain) = self.list();
        let mut directories = BTreeMap::new();
        for (conductor, side) in self.sides.iter().enumerate() {
            for gateway in 0..self.script.gateways {
                let directory = Root::new(side.directory.join("tables")).gateway(&name(gateway));
                std::fs::create_dir_all(&directory)
                    .map_err(named(directory.display().to_string()))?;
                directories.insert(directory, (conductor, gateway));
            }
        }
        let watch =
            Watch::start(directories.clone(), self.recorder.clone()).map_err(named("a watch"))?;
        self.publish(&list, &plain)?;
        for number in 0..self.sides.len() {
            self.start_conductor(number)?;
        }
        let mut addresses = Vec::new();
        for gateway in 0..self.script.gateways {
            addresses.push(Some(self.add_gateway(gateway)?));
        }
        self.wait_for_tables(&directories)?;
        self.begin = reactor::now() + Span::from_seconds(0.2);
        let rates = self.rates();
        self.usual = rates.clone();
        let clients = Clients::start(
            &self.script,
            rates,
            addresses,
            self.recorder.clone(),
            self.options.seed ^ 0x5eed,
        );
        self.clients = Some(clients.map_err(named("clients"))?);
        for trouble in self.script.troubles.clone() {
            self.plan_trouble(&trouble);
        }
        for kind in self.options.not_injected.clone() {
            self.recorder.note(
                self.begin,
                Record::Trouble {
                    kind,
                    injected: false,
                    span: 0.0,
                },
            );
        }
        if self.options.sabotage.is_some() {
            self.plan_sabotage();
        }
        self.go_through()?;
        drop(watch);
        Ok(())
    }

    fn rates(&mut self) -> Vec<f64> {
        let spread = self.script.traffic.spread;
        let weights: Vec<f64> = (0..self.script.gateways)
            .map(|_| spread.powf(self.chance.unit()))
            .collect();
        let sum: f64 = weights.iter().sum();
        weights
            .iter()
            .map(|weight| self.script.traffic.rate * weight / sum)
            .collect()
    }

    fn wait_for_tables(
        &self,
        directories: &BTreeMap<PathBuf, (usize, usize)>,
    ) -> Result<(), DrillError> {
        let deadline = reactor::now() + Span::from_seconds(8.0);
        let preferred = |(_, (conductor, gateway)): &(&PathBuf, &(usize, usize))| {
            let usual = if self.even.is_some() {
                0
            } else {
                gateway % self.sides.len()
            };
            *conductor == usual
        };
        for (directory, (_, gateway)) in directories.iter().filter(preferred) {
            let streams = !self.script.deployment.fronts.files;
            let waits = || match streams {
                true => !self.gateways.held(*gateway),
                false => !directory.join(wheelspread_files::CURRENT).exists(),
            };
            while waits() {
                if reactor::now() > deadline {
                    let text = format!(
                        "gateway {gateway} got no tables within 8 s; see the logs under --keep"
                    );
                    return Err(DrillError::NotReady(text));
                }
                std::thread::sleep(std::time::Duration::from_millis(10));
            }
        }
        Ok(())
    }

    fn go_through(&mut self) -> Result<(), DrillError> {
        let end = self.begin + self.script.length;
        let mut told = -1;
        loop {
            let now = reactor::now();
            while let Some(entry) = self
                .steps
                .first_entry()
                .filter(|entry| entry.key().0 <= now)
            {
                let step = entry.remove();
                self.take(step)?;
            }
            let second = (now - self.begin).seconds() as i64;
            if second != told && second >= 0 && second % 2 == 0 {
                told = second;
                let length = self.script.length.seconds();
                (self.options.progress)(&format!("{second:>3} of {length:.0} s"));
            }
            if now >= end {
                return Ok(());
            }
            let next = self
                .steps
                .first_key_value()
                .map_or(end, |(key, _)| key.0)
                .min(end);
            let wait = (next - now).min(Span::from_seconds(0.2)).max(Span::ZERO);
            std::thread::sleep(std::time::Duration::from_micros(wait.micros() as u64));
        }
    }

    fn finish(mut self, from: Receiver<(f64, Record)>) -> Result<Report, DrillError> {
        (self.options.progress)("waiting for what is under way");
        self.clients = None;
        let mut stopping = Vec::new();
        for number in 0..self.sides.len() {
            self.signal(number, Signal::CONT);
            self.signal(number, Signal::TERM);
            stopping.extend(self.sides[number].child.take());
        }
        for mut child in stopping {
            self.cpu += cpu_of(child.id());
            child.wait().map_err(named("a conductor"))?;
        }
        let Drill {
            script,
            options,
            nodes,
            gateways,
            wires,
            slowed,
            directory,
            recorder,
            begin,
            cpu,
            ..
        } = self;
        drop((nodes, gateways, wires));
        let begin = recorder.at(begin);
        drop(recorder);
        let mut records = Records(from.try_iter().collect());
        records.0.sort_by(|a, b| a.0.total_cmp(&b.0));
        if options.keep.is_some() {
            records
                .keep(&directory.join("records"))
                .map_err(named("the records"))?;
        }
        let verdict = judge(&records, &script, &slowed);
        let drain_orders_s = drained(&records).into_iter().map(round).collect();
        let told = records.0.iter().filter_map(|(_, record)| match record {
            Record::Changed { taken, .. } => Some(*taken),
            _ => None,
        });
        let changes_told = told.fold((0, 0), |(all, took), taken| {
            (all + 1, took + usize::from(taken))
        });
        let trouble = |(t, record): &(f64, Record)| match record {
            Record::Trouble {
                kind,
                injected,
                span,
            } => Some(TroubleTold {
                kind: kind.clone(),
                at_s: round(t - begin),
                for_s: round(*span),
                injected: *injected,
            }),
            _ => None,
        };
        let swaps = records
            .0
            .iter()
            .filter(|(_, record)| matches!(record, Record::Swapped { .. }))
            .count();
        Ok(Report {
            drill: script.name.clone(),
            seed: options.seed,
            baseline: options.even.then(|| "even".to_string()),
            troubles: records.0.iter().filter_map(trouble).collect(),
            table_swaps: swaps as u64,
            conductor_cpu_s: round(cpu),
            drain_orders_s,
            changes_told,
            verdict,
        })
    }

    // ---- troubles ----

    /// Some of a number of things, by chance, in their order.
    fn some(&mut self, count: usize, of: Vec<usize>) -> Vec<usize> {
        let mut left = of;
        let mut chosen = BTreeSet::new();
        while chosen.len() < count && !left.is_empty() {
            let at = (self.chance.unit() * left.len() as f64) as usize;
            chosen.insert(left.swap_remove(at.min(left.len() - 1)));
        }
        chosen.into_iter().collect()
    }

    fn some_nodes(&mut self, part: f64) -> Vec<usize> {
        let open: Vec<usize> = (0..self.fleet.len())
            .filter(|at| !self.fleet[*at].gone && !self.fleet[*at].draining)
            .collect();
        let count = ((open.len() as f64 * part).round() as usize).max(1);
        self.some(count, open)
    }

    fn some_gateways(&mut self, part: f64) -> Vec<usize> {
        let count = ((self.script.gateways as f64 * part).round() as usize).max(1);
        self.some(count, (0..self.script.gateways).collect())
    }

    fn plan_trouble(&mut self, trouble: &Trouble) {
        let at = self.begin + trouble.at;
        let end = at + trouble.span;
        let (part, size) = (trouble.part, trouble.size);
        let kind = serde_json::to_value(trouble.kind)
            .ok()
            .and_then(|kind| kind.as_str().map(str::to_string));
        self.at(at, Step::Tell(kind.unwrap_or_default()));
        let orders = |keys: &[NodeKey], order: &dyn Fn(NodeKey) -> NodeOrder| {
            Step::Orders(keys.iter().map(|key| order(*key)).collect())
        };
        match trouble.kind {
            TroubleKind::Deploy => {
                let all = self.some_nodes(part);
                let batch = ((self.fleet.len() as f64 * size).round() as usize).max(1);
                let batches: Vec<Vec<usize>> = all.chunks(batch).map(<[usize]>::to_vec).collect();
                let every = trouble.span * (1.0 / batches.len().max(1) as f64);
                for (number, out) in batches.into_iter().enumerate() {
                    let drain = Span::from_seconds(trouble.extra.clamp(0.5, 10.0));
                    self.at(at + every * number as f64, Step::Batch { out, drain });
                }
            }
            TroubleKind::DrainOrder => {
                let nodes = self.some_nodes(part);
                let within = trouble.span * 0.9;
                self.at(
                    at,
                    Step::Order {
                        nodes: nodes.clone(),
                        word: DrainAction::Drain,
                        within,
                    },
                );
                let within = Span::from_seconds(5.0);
                self.at(
                    end,
                    Step::Order {
                        nodes,
                        word: DrainAction::Undrain,
                        within,
                    },
                );
            }
            TroubleKind::Change => {
                let nodes = self.some_nodes(part);
                let id = format!("moved-at-{}", trouble.at.seconds());
                let within = trouble.span * 0.9;
                let change = |undo, within| Step::Change {
                    id: id.clone(),
                    nodes: nodes.clone(),
                    undo,
                    within,
                };
                self.at(at, change(false, within));
                self.at(end, change(true, Span::from_seconds(8.0)));
            }
            TroubleKind::Vanish => {
                let struck = self.some_nodes(part);
                self.at(at, Step::Vanish(struck.clone()));
                self.at(end, Step::Return(struck));
            }
            TroubleKind::Flapping => {
                let struck = self.some_nodes(part);
                let every = trouble.span * (1.0 / struck.len().max(1) as f64);
                for (number, node) in struck.into_iter().enumerate() {
                    self.at(at + every * number as f64, Step::Vanish(vec![node]));
                    self.at(at + every * (number as f64 + 0.8), Step::Return(vec![node]));
                }
            }
            TroubleKind::FastErrors | TroubleKind::AnswerLost | TroubleKind::ConnSqueeze => {
                let struck = self.some_nodes(part);
                let keys: Vec<NodeKey> = struck.iter().map(|node| self.fleet[*node].key).collect();
                let usual = self.script.nodes.connections;
                // As many connections as a fifth of the size says, four at least.
                let few = ((usual as f64 * size.clamp(0.02, 1.0) * 0.2) as usize).max(4);
                type Order = Box<dyn Fn(NodeKey) -> NodeOrder>;
                let (on, off): (Order, Order) = match trouble.kind {
                    TroubleKind::FastErrors => (
                        Box::new(move |key| NodeOrder::Errors(key, size)),
                        Box::new(|key| NodeOrder::Errors(key, 0.0)),
                    ),
                    TroubleKind::AnswerLost => (
                        Box::new(move |key| NodeOrder::AnswersLost(key, size)),
                        Box::new(|key| NodeOrder::AnswersLost(key, 0.0)),
                    ),
                    _ => (
                        Box::new(move |key| NodeOrder::Connections(key, few)),
                        Box::new(move |key| NodeOrder::Connections(key, usual)),
                    ),
                };
                self.at(at, orders(&keys, &on));
                self.at(end, orders(&keys, &off));
            }
            TroubleKind::OneSided => {
                let count = self.sides.len();
                let gateways: BTreeSet<usize> = (0..self.script.gateways)
                    .filter(|at| at % count == 0)
                    .collect();
                let kind = usize::from(self.script.nodes.kinds.len() > 1 && part < 0.5);
                let slow = 1.0 + 3.0 * size.clamp(0.0, 2.0);
                self.at(
                    at,
                    Step::Orders(vec![NodeOrder::OneSided {
                        kind,
                        gateways,
                        slow,
                        refuse: false,
                    }]),
                );
                let none = NodeOrder::OneSided {
                    kind,
                    gateways: BTreeSet::new(),
                    slow: 1.0,
                    refuse: false,
                };
                self.at(end, Step::Orders(vec![none]));
            }
            TroubleKind::SharedSlow => {
                self.at(at, Step::Orders(vec![NodeOrder::Slow(size.max(1.0))]));
                self.at(end, Step::Orders(vec![NodeOrder::Slow(1.0)]));
            }
            TroubleKind::SlowLink => {
                self.at(
                    at,
                    Step::Orders(vec![NodeOrder::SlowLink(size.clamp(0.0, 0.4))]),
                );
                self.at(end, Step::Orders(vec![NodeOrder::SlowLink(0.0)]));
            }
            TroubleKind::HotCaller => {
                let some = self.some_gateways(part);
                let factor = 1.0 + size * self.script.gateways as f64 / some.len() as f64;
                self.at(
                    at,
                    Step::Rate {
                        gateways: Some(some.clone()),
                        factor,
                    },
                );
                self.at(
                    end,
                    Step::Rate {
                        gateways: Some(some),
                        factor: 1.0,
                    },
                );
            }
            TroubleKind::Shift => {
                let zones = self.script.deployment.zones.len();
                let from = ((self.chance.unit() * zones as f64) as usize).min(zones - 1);
                // It moves for good.
                self.at(
                    at,
                    Step::Shift {
                        from,
                        to: (from + 1) % zones,
                        part: size.clamp(0.0, 1.0),
                    },
                );
            }
            TroubleKind::Overload => {
                self.at(
                    at,
                    Step::Rate {
                        gateways: None,
                        factor: size,
                    },
                );
                self.at(
                    end,
                    Step::Rate {
                        gateways: None,
                        factor: 1.0,
                    },
                );
            }
            TroubleKind::Reconnect => {
                let some = self.some_gateways(size.clamp(0.0, 1.0));
                self.at(at, Step::Wire(WireOrder::Break(some.into_iter().collect())));
            }
            TroubleKind::CounterDown => {
                let some = self.some_gateways(part);
                self.at(
                    at,
                    Step::Wire(WireOrder::Refuse(some.into_iter().collect())),
                );
                self.at(end, Step::Wire(WireOrder::Refuse(BTreeSet::new())));
            }
            TroubleKind::ReportLate => {
                self.at(at, Step::Wire(WireOrder::Late(size.clamp(0.0, 10.0))));
                self.at(end, Step::Wire(WireOrder::Late(0.0)));
            }
            TroubleKind::ZoneCut => {
                // The last zone, which no conductor stands in where there are fewer of them than zones.
                let zone = self.script.deployment.zones.len() - 1;
                let zones = self.zones.iter().copied().enumerate().collect();
                self.at(at, Step::Orders(vec![NodeOrder::Cut(Some(zone))]));
                self.at(at, Step::Wire(WireOrder::Hold(gateways_in(&zones, zone))));
                self.at(end, Step::Orders(vec![NodeOrder::Cut(None)]));
                self.at(end, Step::Wire(WireOrder::Hold(BTreeSet::new())));
            }
            TroubleKind::OriginSlow => {
                let factor = size.max(1.0);
                let from = self.recorder.at(at);
                self.slowed.push(Slowed {
                    from,
                    to: self.recorder.at(end),
                    factor,
                });
                self.at(at, Step::Pace { factor });
                self.at(end, Step::Pace { factor: 1.0 });
            }
            TroubleKind::BalancerCrash if trouble.whom.as_deref() == Some("gateway") => {
                let some = self.some_gateways(part);
                self.at(at, Step::KillGateways(some.clone()));
                self.at(end, Step::StartGateways(some));
            }
            TroubleKind::BalancerCrash | TroubleKind::BalancerStall => {
                let count = ((self.sides.len() as f64 * part).round() as usize).max(1);
                let some = self.some(count, (0..self.sides.len()).collect());
                let crash = trouble.kind == TroubleKind::BalancerCrash;
                let (on, off) = match crash {
                    true => (
                        Step::KillConductors(some.clone()),
                        Step::StartConductors(some),
                    ),
                    false => (Step::Stall(some.clone(), true), Step::Stall(some, false)),
                };
                self.at(at, on);
                self.at(end, off);
            }
            TroubleKind::Preempt => {
                let out = self.some_nodes(part);
                let every = trouble.span * (1.0 / out.len().max(1) as f64);
                for (number, node) in out.into_iter().enumerate() {
                    self.at(at + every * number as f64, Step::Swap { out: vec![node] });
                }
            }
            TroubleKind::Grow => {
                let count =
                    ((self.fleet.len() as f64 * part.min(size.max(0.05))).round() as usize).max(1);
                self.at(at, Step::Come { count });
            }
            TroubleKind::LateList => {
                let late = self.script.list_delay + Span::from_seconds(size.clamp(0.0, 20.0));
                let usual = self.script.list_delay;
                self.at(at, Step::ListDelay(late));
                self.at(end, Step::ListDelay(usual));
            }
        }
        let kind = serde_json::to_value(trouble.kind)
            .ok()
            .and_then(|kind| kind.as_str().map(str::to_string));
        let (kind, span) = (kind.unwrap_or_default(), trouble.span.seconds());
        self.recorder.note(
            at,
            Record::Trouble {
                kind,
                injected: true,
                span,
            },
        );
    }

    /// What a sabotaged run needs besides its writer.
    fn plan_sabotage(&mut self) {
        let at = self.begin + Span::from_seconds(1.0);
        match self.options.sabotage {
            Some(Sabotage::Repeat) => {
                let keys: Vec<NodeKey> = self.fleet.iter().map(|node| node.key).collect();
                self.at(
                    at,
                    Step::Orders(
                        keys.into_iter()
                            .map(|key| NodeOrder::AnswersLost(key, 0.3))
                            .collect(),
                    ),
                );
            }
            Some(Sabotage::KeepDrained) => {
                let out = self.some_nodes(0.1);
                self.at(
                    at,
                    Step::Batch {
                        out,
                        drain: Span::from_seconds(60.0),
                    },
                );
            }
            Some(Sabotage::FloodCold | Sabotage::EmptyTable) => {
                self.at(at, Step::Come { count: 1 })
            }
            Some(Sabotage::Overfill) => self.at(
                at,
                Step::Swarm {
                    until: at + Span::from_seconds(5.0),
                },
            ),
            None => {}
        }
    }

    fn take(&mut self, step: Step) -> Result<(), DrillError> {
        match step {
            Step::Tell(kind) => (self.options.progress)(&format!("trouble: {kind}")),
            Step::Orders(orders) => orders.into_iter().for_each(|order| self.nodes.order(order)),
            Step::Wire(order) => self.wires.order(order),
            Step::Rate { gateways, factor } => {
                self.clients.iter().for_each(|clients| {
                    clients.order(ClientOrder::Rate {
                        gateways: gateways.clone(),
                        factor,
                    })
                });
            }
            Step::Shift { from, to, part } => {
                let zones = self.script.deployment.zones.len();
                let of = |zone: usize| {
                    (0..self.usual.len()).filter(move |gateway| gateway % zones == zone)
                };
                let sum = |zone: usize| of(zone).map(|gateway| self.usual[gateway]).sum::<f64>();
                let (lost, gained) = (1.0 - part, 1.0 + part * sum(from) / sum(to).max(1e-9));
                for (zone, factor) in [(from, lost), (to, gained)] {
                    let gateways: Vec<usize> = of(zone).collect();
                    if let Some(clients) = &self.clients {
                        clients.order(ClientOrder::Rate {
                            gateways: Some(gateways),
                            factor,
                        });
                    }
                }
            }
            Step::Batch { out, drain } => {
                let out: Vec<usize> = out
                    .into_iter()
                    .filter(|node| !self.fleet[*node].gone)
                    .collect();
                out.iter()
                    .for_each(|node| self.fleet[*node].draining = true);
                self.list_changes();
                self.at(reactor::now() + drain, Step::Swap { out });
            }
            Step::Swap { out } => {
                for node in out {
                    if std::mem::replace(&mut self.fleet[node].gone, true) {
                        continue;
                    }
                    self.nodes.order(NodeOrder::Stop(self.fleet[node].key));
                    let spec = NodeSpec {
                        cold: true,
                        ..self.fleet[node].spec.clone()
                    };
                    self.add_node(spec);
                }
                self.list_changes();
            }
            Step::Come { count } => {
                for number in 0..count {
                    let spec = NodeSpec {
                        cold: true,
                        ..self.fleet[number % self.fleet.len()].spec.clone()
                    };
                    self.add_node(spec);
                }
                self.list_changes();
            }
            Step::Vanish(struck) => {
                for node in struck
                    .into_iter()
                    .filter(|node| !self.fleet[*node].gone)
                    .collect::<Vec<_>>()
                {
                    self.fleet[node].silent = true;
                    self.nodes
                        .order(NodeOrder::Silent(self.fleet[node].key, true));
                }
            }
            Step::Return(struck) => {
                for node in struck {
                    let known = &mut self.fleet[node];
                    if std::mem::take(&mut known.silent) && !known.gone {
                        known.started = reactor::now();
                        self.nodes.order(NodeOrder::Silent(known.key, false));
                    }
                }
                self.list_changes();
            }
            Step::ListDelay(delay) => self.list_delay = delay,
            Step::Publish(list, plain) => self.publish(&list, &plain)?,
            Step::KillConductors(some) => some
                .into_iter()
                .for_each(|number| self.kill_conductor(number)),
            Step::StartConductors(some) => some
                .into_iter()
                .try_for_each(|number| self.start_conductor(number))?,
            Step::Pace { factor } => {
                for number in 0..self.sides.len() {
                    self.write_file(
                        number,
                        self.script.deployment.channel.lines_per_second / factor,
                    )?;
                    self.signal(number, Signal::HUP);
                }
            }
            Step::Stall(some, on) => {
                let signal = if on { Signal::STOP } else { Signal::CONT };
                some.into_iter()
                    .for_each(|number| self.signal(number, signal));
            }
            Step::Order {
                nodes,
                word,
                within,
            } => {
                for node in nodes
                    .into_iter()
                    .filter(|node| !self.fleet[*node].gone)
                    .collect::<Vec<_>>()
                {
                    self.order(self.fleet[node].address.to_string(), word, within);
                }
            }
            Step::Change {
                id,
                nodes,
                undo,
                within,
            } => self.change(&id, &nodes, undo, within),
            Step::KillGateways(some) => {
                for gateway in some {
                    self.gateways.order(GatewayOrder::Die(gateway));
                    let gone = || ClientOrder::At {
                        gateway,
                        address: None,
                    };
                    self.clients
                        .iter()
                        .for_each(|clients| clients.order(gone()));
                }
            }
            Step::StartGateways(some) => some
                .into_iter()
                .try_for_each(|gateway| self.start_gateway(gateway))?,
            Step::Swarm { until } => {
                let (_, plain) = self.list();
                if let Some(even) = &mut self.even {
                    even.publish(&self.script, &plain, &self.zones)
                        .map_err(DrillError::NotReady)?;
                }
                if reactor::now() < until {
                    self.at(
                        reactor::now() + Span::from_seconds(0.05),
                        Step::Swarm { until },
                    );
                }
            }
        }
        Ok(())
    }
}

fn round(value: f64) -> f64 {
    (value * 1000.0).round() / 1000.0
}

/// CPU seconds of a process so far, by what the kernel tells of it.
pub fn cpu_of(pid: u32) -> f64 {
    let stat = std::fs::read_to_string(Path::new("/proc").join(pid.to_string()).join("stat"))
        .unwrap_or_default();
    let fields: Vec<&str> = stat
        .rsplit(')')
        .next()
        .unwrap_or("")
        .split_whitespace()
        .collect();
    let ticks = |at: usize| {
        fields
            .get(at)
            .and_then(|field| field.parse::<f64>().ok())
            .unwrap_or(0.0)
    };
    (ticks(11) + ticks(12)) / 100.0
}

impl Report {
    /// As a person reads it.
    pub fn table(&self) -> String {
        let mut out = String::new();
        let mut line = |text: String| {
            out.push_str(&text);
            out.push('\n');
        };
        line(format!(
            "drill {} (seed {}){}",
            self.drill,
            self.seed,
            if self.baseline.is_some() {
                ", even weights"
            } else {
                ""
            }
        ));
        line(format!(
            "{:<44}{:>10}{:>10}{:>10}{:>12}  at",
            "rule", "checked", "broken", "worst", "allowed"
        ));
        let names = [
            "1 no gateway without a node (s)",
            "2 no effect twice (effects of one invocation)",
            "3 nothing sent to a node that leaves (s)",
            "4 no cold node pushed over (x its capacity)",
            "5 short channel (lines, messages)",
        ];
        for (rule, name) in self.verdict.rules.iter().zip(names) {
            let worst = &rule.worst;
            line(format!(
                "{name:<44}{:>10}{:>10}{:>10.2}{:>12.2}  {:.1} s {}",
                rule.checked, rule.broken, worst.value, worst.allowed, worst.at_s, worst.who
            ));
        }
        let count = &self.verdict.invocations;
        line(format!(
            "invocations: {} offered, {} succeeded, {} late, {} rate-limited, {} errored",
            count.offered, count.succeeded, count.late, count.rate_limited, count.errored
        ));
        let each: Vec<String> = self
            .verdict
            .service_by_operation
            .iter()
            .map(|(name, part)| format!("{name} {part:.3}"))
            .collect();
        line(format!(
            "service: {:.3} ({})",
            self.verdict.service,
            each.join(", ")
        ));
        line(format!(
            "effects twice: {}; tables half read: {}; repeats: {:.1}% of first tries; tables swapped: {}",
            self.verdict.effects_twice,
            self.verdict.half_read_tables,
            self.verdict.repeats * 100.0,
            self.table_swaps
        ));
        let troubles: Vec<String> = self
            .troubles
            .iter()
            .map(|told| {
                format!(
                    "{} {:.0} s{}",
                    told.kind,
                    told.at_s,
                    if told.injected { "" } else { " (not injected)" }
                )
            })
            .collect();
        line(format!("troubles: {}", troubles.join(", ")));
        let seconds = |span: f64| span_format::write(Span::from_seconds(span));
        if let (Some(middle), Some(last)) = (
            self.drain_orders_s.get(self.drain_orders_s.len() / 2),
            self.drain_orders_s.last(),
        ) {
            line(format!(
                "drains by order: {} by conductor and node, last try after {middle:.2} s in the middle, {last:.2} s at most",
                self.drain_orders_s.len()
            ));
        }
        if self.changes_told.0 > 0 {
            let (told, took) = self.changes_told;
            line(format!("changes and undoes told: {told}, taken: {took}"));
        }
        line(format!(
            "CPU of conductors: {}",
            seconds((self.conductor_cpu_s * 1000.0).round() / 1000.0)
        ));
        line(
            (if self.verdict.kept() {
                "all rules held"
            } else {
                "A RULE WAS BROKEN"
            })
            .to_string(),
        );
        out
    }
}
