//! The controller processes of a drill: configuration file, start, kill, signals and operators' requests.

use super::{io_error, Drill, DrillError};
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
use wheelspread_fleet::{drain_order, Fleet, Line, Request};
use wheelspread_reactor as reactor;

pub(super) struct ControllerProcess {
    pub(super) directory: PathBuf,
    pub(super) listen: SocketAddrV4,
    pub(super) child: Option<Child>,
}

impl Drop for ControllerProcess {
    /// Kills the controller, so that a drill that fails leaves no process behind.
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drill<'_> {
    pub(super) fn write_configuration(
        &self,
        number: usize,
        entries_per_second: f64,
    ) -> Result<PathBuf, DrillError> {
        let process = &self.controllers[number];
        let mut deployment = self.script.deployment.clone();
        deployment.update_queue.entries_per_second = entries_per_second;
        #[derive(Serialize)]
        struct ControllerSection<'a> {
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
            controller: ControllerSection<'a>,
            log: BTreeMap<&'a str, &'a str>,
            deployment: wheelspread_controller_core::Deployment,
        }
        let place = ControllerSection {
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
        replace_file(&path, &text).map_err(io_error(path.display().to_string()))?;
        Ok(path)
    }

    pub(super) fn start_controller(&mut self, number: usize) -> Result<(), DrillError> {
        if self.even_publisher.is_some() {
            return Ok(());
        }
        let path = self.write_configuration(
            number,
            self.script.deployment.update_queue.entries_per_second,
        )?;
        let log = self.controllers[number].directory.join("log.jsonl");
        let log = File::options()
            .create(true)
            .append(true)
            .open(&log)
            .map_err(io_error(log.display().to_string()))?;
        let child = Command::new(&self.options.program)
            .arg("run")
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .map_err(io_error(self.options.program.display().to_string()))?;
        self.controllers[number].child = Some(child);
        self.recorder.record(
            reactor::now(),
            Record::ControllerStarted { controller: number },
        );
        Ok(())
    }

    pub(super) fn kill_controller(&mut self, number: usize) {
        if let Some(mut child) = self.controllers[number].child.take() {
            self.controller_cpu_s += cpu_of(child.id());
            let _ = child.kill();
            let _ = child.wait();
            if self.options.discard_state {
                let _ =
                    std::fs::remove_file(self.controllers[number].directory.join("tables/state"));
            }
            self.recorder.record(
                reactor::now(),
                Record::ControllerKilled { controller: number },
            );
        }
    }

    /// Sends a drain order to each controller, as an operator's tool does.
    pub(super) fn order_drain(&self, node: String, action: DrainAction, within: Span) {
        let now = reactor::now();
        let ordered_at = self.recorder.seconds_at(now);
        // The drill overrides the safety checks: its drains may exceed what they allow.
        let overrides = ["pool", "cold", "capacity"].map(str::to_string);
        let body = drain_order(&node, action, "drill", &overrides);
        let drains = action == DrainAction::Drain;
        self.send_to_controllers(
            vec![Request::post("/v1/drains", body)],
            within,
            move |controller, accepted| {
                let node = node.clone();
                accepted.then_some(Record::DrainOrdered {
                    controller,
                    node,
                    drains,
                    ordered_at,
                })
            },
        );
    }

    /// Moves nodes to the next zone by a configuration change, or undoes that change.
    pub(super) fn change_zones(&self, id: &str, nodes: &[usize], undo: bool, within: Span) {
        let zones = &self.script.deployment.zones;
        let moved = nodes.iter().map(|node| {
            let node = &self.fleet[*node];
            let next = zones[(node.spec.zone + 1) % zones.len()].clone();
            (format!("nodes.{}.zone", node.address), next)
        });
        let sets: BTreeMap<String, String> = moved.collect();
        let change_id = serde_json::json!({ "id": id });
        let requests = match undo {
            true => vec![Request::post("/v1/changes/undo", change_id)],
            false => vec![
                Request::post(
                    "/v1/changes/stage",
                    serde_json::json!({ "id": id, "by": "drill", "sets": sets }),
                ),
                Request::post("/v1/changes/apply", change_id),
            ],
        };
        let change = id.to_string();
        self.send_to_controllers(requests, within, move |controller, accepted| {
            Some(Record::ChangeAnswered {
                controller,
                change: change.clone(),
                undo,
                accepted,
            })
        });
    }

    /// Sends the requests to each controller, in order, each retried until `within` has passed.
    fn send_to_controllers(
        &self,
        requests: Vec<Request>,
        within: Span,
        record: impl Fn(usize, bool) -> Option<Record> + Clone + Send + 'static,
    ) {
        for (number, process) in self.controllers.iter().enumerate() {
            let line = Line::Unix(process.directory.join("tables").join("admin.sock"));
            let fleet = Fleet {
                conductors: BTreeMap::from([(number.to_string(), line)]),
                within: Duration::from_millis(500),
                order_within: within,
            };
            let (recorder, requests, record) =
                (self.recorder.clone(), requests.clone(), record.clone());
            std::thread::spawn(move || {
                let accepted = |request| {
                    fleet.order(request, within, number as u64).outcome == Outcome::Everywhere
                };
                let all = requests.iter().all(accepted);
                record(number, all)
                    .into_iter()
                    .for_each(|record| recorder.record(reactor::now(), record));
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
