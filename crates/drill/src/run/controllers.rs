//! The controller processes of a drill: configuration file, start, kill, signals, operators' requests.

use super::{named, Drill, DrillError};
use crate::machine::cpu_of;
use crate::records::Record;
use rustix::process::{kill_process, Pid, Signal};
use serde::Serialize;
use std::collections::BTreeMap;
use std::fs::File;
use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;
use wheelspread::time::Span;
use wheelspread_drain::{DrainAction, Outcome};
use wheelspread_files::replace_file;
use wheelspread_fleet::{drain_order, ControllerAddress, Fleet, Request};
use wheelspread_reactor as reactor;

pub(super) struct ControllerProcess {
    pub(super) directory: PathBuf,
    pub(super) listen: SocketAddrV4,
    pub(super) child: Option<Child>,
}

impl Drop for ControllerProcess {
    /// A drill that comes to nothing leaves no controller behind.
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drill<'_> {
    pub(super) fn write_file(
        &self,
        number: usize,
        lines_per_second: f64,
    ) -> Result<PathBuf, DrillError> {
        let process = &self.controllers[number];
        let mut deployment = self.script.deployment.clone();
        deployment.update_queue.entries_per_second = lines_per_second;
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
            #[serde(rename = "conductor")]
            controller: Place<'a>,
            log: BTreeMap<&'a str, &'a str>,
            deployment: wheelspread_controller_core::Deployment,
        }
        let place = Place {
            name: format!("conductor-{number}"),
            number,
            seed: self.options.seed + number as u64,
            listen: process.listen.to_string(),
            tables: "tables",
            list: "nodes.json",
        };
        let log = BTreeMap::from([("level", "debug"), ("form", "json")]);
        let text = serde_yaml_ng::to_string(&File {
            controller: place,
            log,
            deployment,
        });
        let text = text.map_err(DrillError::Configuration)?;
        let path = process.directory.join("conductor.yaml");
        replace_file(&path, &text).map_err(named(path.display().to_string()))?;
        Ok(path)
    }

    pub(super) fn start_controller(&mut self, number: usize) -> Result<(), DrillError> {
        if self.even.is_some() {
            return Ok(());
        }
        let path = self.write_file(
            number,
            self.script.deployment.update_queue.entries_per_second,
        )?;
        let log = self.controllers[number].directory.join("log.jsonl");
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
        self.controllers[number].child = Some(child);
        self.recorder.note(
            reactor::now(),
            Record::ControllerStarted { controller: number },
        );
        Ok(())
    }

    pub(super) fn kill_controller(&mut self, number: usize) {
        if let Some(mut child) = self.controllers[number].child.take() {
            self.cpu += cpu_of(child.id());
            let _ = child.kill();
            let _ = child.wait();
            if self.options.forget {
                let _ =
                    std::fs::remove_file(self.controllers[number].directory.join("tables/state"));
            }
            self.recorder.note(
                reactor::now(),
                Record::ControllerKilled { controller: number },
            );
        }
    }

    /// As an operator's tool does it, at each controller by itself.
    pub(super) fn order(&self, node: String, word: DrainAction, within: Span) {
        let now = reactor::now();
        let asked = self.recorder.at(now);
        // Whatever checks say: the drill knows what it does.
        let overrides = ["pool", "cold", "capacity"].map(str::to_string);
        let body = drain_order(&node, word, "drill", &overrides);
        let out = word == DrainAction::Drain;
        self.tell(
            vec![Request::post("/v1/drains", body)],
            within,
            move |controller, taken| {
                let node = node.clone();
                taken.then_some(Record::Ordered {
                    controller,
                    node,
                    out,
                    asked,
                })
            },
        );
    }

    /// Nodes move to the next zone, by a change of configuration; or that is taken back.
    pub(super) fn change(&self, id: &str, nodes: &[usize], undo: bool, within: Span) {
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
        self.tell(requests, within, move |controller, taken| {
            Some(Record::Changed {
                controller,
                change: change.clone(),
                undo,
                taken,
            })
        });
    }

    /// Tells each controller by itself, one request after the other, each again where it failed.
    fn tell(
        &self,
        requests: Vec<Request>,
        within: Span,
        record: impl Fn(usize, bool) -> Option<Record> + Clone + Send + 'static,
    ) {
        for (number, process) in self.controllers.iter().enumerate() {
            let line = ControllerAddress::Unix(process.directory.join("tables").join("admin.sock"));
            let fleet = Fleet {
                controllers: BTreeMap::from([(number.to_string(), line)]),
                answer_timeout: Duration::from_millis(500),
                order_timeout: within,
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

    pub(super) fn signal(&self, number: usize, signal: Signal) {
        let pid = self.controllers[number]
            .child
            .as_ref()
            .and_then(|child| Pid::from_raw(child.id() as i32));
        if let Some(pid) = pid {
            let _ = kill_process(pid, signal);
        }
    }
}
