//! Runs a balancer in a scenario: turns commands into events and records the resulting actions.

use super::super::Balancer;
use crate::ids::*;
use crate::publication::published_weights;
use crate::settings::{SettingValue, Settings};
use crate::shares::{shares, NodeWeights, TableWeights};
use crate::time::{Moment, Span};
use crate::update_plan::plan_step;
use crate::CapacitySnapshot;
use crate::{Action, EndpointEntry, EndpointListKind, EndpointStatus, Event, RetryPolicy};
use std::collections::{BTreeMap, BTreeSet};

const START_SECONDS: f64 = 1000.0;
const SEED: u64 = 7;

/// State of a running scenario.
#[derive(Default)]
pub(super) struct ScenarioRunner {
    settings: Settings,
    operations: usize,
    pub balancer: Option<Balancer>,
    now: f64,
    pub tables: TableWeights,
    /// Admission limits and retry policies, by table and operation.
    pub admission: BTreeMap<(u16, u8), (f64, RetryPolicy)>,
    pub bound: BTreeSet<(ProxyId, TableId)>,
    joined: BTreeSet<ProxyId>,
    /// Messages to proxies in the order of sending: time in seconds and receiver.
    pub messages: Vec<(f64, ProxyId)>,
    /// Changed entries in the order of sending: time in seconds, table and node.
    pub changed: Vec<(f64, TableId, NodeId)>,
    marker: Option<MarkerId>,
    pub error: String,
    target: TableWeights,
}

pub(super) fn number(text: &str) -> f64 {
    text.trim_start_matches(['z', 't', 'p', 'o', 'w', 'k'])
        .parse()
        .unwrap_or_else(|_| panic!("{text} is no number"))
}

pub(super) fn node(name: &str) -> NodeId {
    NodeId {
        address: [10, 0, 0, name.as_bytes()[0]],
        port: 80,
    }
}

pub(super) fn proxy(text: &str) -> ProxyId {
    ProxyId(number(text) as u16)
}

pub(super) fn zone(text: &str) -> ZoneId {
    ZoneId(number(text) as u16)
}

pub(super) fn table(text: &str) -> TableId {
    TableId(number(text) as u16)
}

fn value_of<'a>(words: &[&'a str], key: &str) -> Option<&'a str> {
    words
        .iter()
        .find_map(|word| word.strip_prefix(key)?.strip_prefix('='))
}

/// Parses `NODE=WEIGHT` words.
fn weights(words: &[&str]) -> NodeWeights {
    let pairs = words
        .iter()
        .map(|word| word.split_once('=').expect("NODE=WEIGHT"));
    pairs
        .map(|(name, weight)| (node(name), number(weight)))
        .collect()
}

/// Settings of the balancer.
impl ScenarioRunner {
    pub fn set(&mut self, name: &str, value: &str) {
        let value = match (value.parse::<f64>(), value) {
            (Ok(value), _) => SettingValue::Number(value),
            (_, "true") => SettingValue::Flag(true),
            (_, "false") => SettingValue::Flag(false),
            _ => SettingValue::Text(value.to_string()),
        };
        self.settings.0.insert(name.to_string(), value);
    }

    pub fn unset(&mut self, name: &str) {
        self.settings.0.remove(name);
    }

    pub fn set_defaults(&mut self) {
        for line in include_str!("../../../scenarios/default_settings.txt").lines() {
            let words: Vec<&str> = line.split_whitespace().collect();
            self.set(words[0], words[1]);
        }
    }

    pub fn add_operation(&mut self, words: &[&str]) {
        let index = self.operations;
        self.operations += 1;
        for (key, default) in [
            ("latency_objective", "1"),
            ("integration_timeout", "4"),
            ("billed_value", "1"),
            ("repeat", "idempotent"),
            ("repeat_group", "all"),
            ("repeat_window", "5"),
            ("stays_in_zone", "false"),
        ] {
            let value = value_of(words, key).unwrap_or(default);
            self.set(&format!("operation.{index}.{key}"), value);
        }
        self.set("operation.count", &self.operations.to_string());
    }
}

/// The balancer and its clock.
impl ScenarioRunner {
    pub fn set_time(&mut self, seconds: f64) {
        self.now = seconds;
    }

    fn moment(&self) -> Moment {
        Moment::from_seconds(START_SECONDS + self.now)
    }

    /// Starts the balancer; an error in the settings is recorded.
    pub fn try_start(&mut self) {
        if self.operations == 0 {
            self.add_operation(&[]);
        }
        let start = Balancer::start(
            Moment::from_seconds(START_SECONDS),
            SEED,
            self.settings.clone(),
        );
        self.balancer = start.map_err(|error| self.error = error.to_string()).ok();
    }

    fn balancer(&mut self) -> &mut Balancer {
        if self.balancer.is_none() {
            self.try_start();
        }
        self.balancer.as_mut().expect("the balancer starts")
    }

    fn event(&mut self, event: &Event) {
        let now = self.moment();
        if let Err(error) = self.balancer().handle_event(now, event) {
            self.error = error.to_string();
        }
    }

    pub fn describe(&self) -> String {
        format!("tables {:?}\nadmission {:?}", self.tables, self.admission)
    }
}

/// Commands of the scenario notation.
impl ScenarioRunner {
    pub fn command(&mut self, words: &[&str]) {
        match words {
            ["join" | "leave", names, rest @ ..] if names.contains(',') => {
                for name in names.split(',') {
                    self.command(&[&words[..1], &[name], rest].concat());
                }
            }
            ["report", zone, names, rest @ ..] if names.contains(',') => {
                for name in names.split(',') {
                    self.command(&[&["report", *zone, name], rest].concat());
                }
            }
            ["list", entries @ ..] => self.endpoint_list(EndpointListKind::Complete, entries),
            ["change", entries @ ..] => self.endpoint_list(EndpointListKind::Changes, entries),
            // With the word `holds`, the proxy already holds a published table.
            ["join", id, zone, rate, holds @ ..] => self.join(id, zone, rate, holds.is_empty()),
            ["leave", id] => self.leave(proxy(id)),
            ["report", zone, name, rest @ ..] => self.load_report(zone, name, rest),
            ["demand", id, operation, rate] => self.demand_report(id, operation, rate),
            ["ack"] => self.acknowledge(),
            ["gossip", bytes] => self.event(&Event::PeerGossip {
                from: PeerId(1),
                payload: vec![255; number(bytes) as usize],
            }),
            ["tick"] => {}
            _ => self.host_command(words),
        }
    }

    /// Commands for the host of the balancer and for single steps of the update plan.
    fn host_command(&mut self, words: &[&str]) {
        match words {
            ["restart"] => {
                self.balancer = None;
                (self.bound, self.joined) = Default::default();
                self.tables.clear();
            }
            ["reconfigure", name, value] => {
                self.set(name, value);
                let settings = self.settings.clone();
                let result = self.balancer().reconfigure(settings);
                self.error = result
                    .err()
                    .map_or(String::new(), |error| error.to_string());
            }
            // Arguments: node, requests per second, evidence.
            ["restore", name, rate, evidence] => {
                let snapshot = CapacitySnapshot {
                    node: node(name),
                    log_capacity: number(rate).ln(),
                    evidence: number(evidence),
                    kind_base_latency: 0.1,
                };
                self.balancer().restore_capacities(&[snapshot]);
            }
            ["peak", name, rate] => {
                let nodes = &mut self.balancer().fleet.nodes;
                if let Some(node) = nodes.get_mut(&node(name)) {
                    node.load.record_rate_within_objective(number(rate));
                }
            }
            ["entries", id, entries @ ..] => {
                let tables = &mut self.balancer().fleet.tables;
                if let Some(table) = tables.get_mut(&table(id)) {
                    table.set_entries(weights(entries));
                }
            }
            ["target", id, entries @ ..] => {
                self.target.insert(table(id), shares(&weights(entries)));
            }
            ["plan"] => self.plan(),
            other => panic!("unknown command {other:?}"),
        }
    }

    fn endpoint_list(&mut self, kind: EndpointListKind, entries: &[&str]) {
        let entries = entries.iter().map(|text| self.entry(text)).collect();
        self.event(&Event::EndpointList { kind, entries });
    }

    fn entry(&self, text: &str) -> EndpointEntry {
        let words: Vec<&str> = text.split(':').collect();
        let numeric_part = |first: char| {
            let mut short_words = words[1..].iter().filter(|word| word.len() < 5);
            short_words
                .find(|word| word.starts_with(first))
                .map(|word| number(word))
        };
        let has_word = |word: &str| words.contains(&word);
        EndpointEntry {
            node: node(words[0]),
            zone: ZoneId(numeric_part('z').unwrap_or(0.0) as u16),
            kind: KindId(numeric_part('k').unwrap_or(0.0) as u8),
            cell: CellId(0),
            status: match (has_word("draining"), has_word("gone")) {
                (true, _) => EndpointStatus::Draining,
                (_, true) => EndpointStatus::Gone,
                _ => EndpointStatus::Ready,
            },
            weight: numeric_part('w').unwrap_or(1.0),
            started: value_of(&words, "age")
                .map(|age| Moment::from_seconds(START_SECONDS + self.now - number(age))),
        }
    }

    fn join(&mut self, id: &str, in_zone: &str, rate: &str, holds_no_table: bool) {
        let id = proxy(id);
        self.joined.insert(id);
        self.bound.retain(|(bound, _)| *bound != id);
        self.event(&Event::ProxyJoined {
            proxy: id,
            zone: zone(in_zone),
            usual_rate: number(rate),
            holds_no_table,
        });
    }

    fn leave(&mut self, id: ProxyId) {
        self.joined.remove(&id);
        self.event(&Event::ProxyLeft { proxy: id });
    }

    fn load_report(&mut self, in_zone: &str, name: &str, rest: &[&str]) {
        let number_or =
            |key: &str, default: f64| value_of(rest, key).map_or(default, |s| s.parse().expect(s));
        let utilization = value_of(rest, "utilization").map(|text| text.parse().expect(text));
        self.event(&Event::NodeLoadReport {
            zone: zone(in_zone),
            node: node(name),
            attempts: number_or("attempts", 10.0),
            failures: number_or("failures", 0.0),
            mean_latency: Span::from_seconds(number_or("ms", 100.0) / 1e3),
            window: Span::from_seconds(number_or("window", 1.0)),
            metrics: utilization.into_iter().collect(),
        });
    }

    fn demand_report(&mut self, id: &str, operation: &str, rate: &str) {
        self.event(&Event::DemandReport {
            proxy: proxy(id),
            operation: OperationId(number(operation) as u8),
            requests: rate.parse().expect("a rate"),
            failures: 0.0,
            window: Span::from_seconds(1.0),
        });
    }

    fn acknowledge(&mut self) {
        let Some(marker) = self.marker else {
            return;
        };
        for proxy in self.joined.clone() {
            let latency = Span::from_seconds(0.1);
            self.event(&Event::MarkerAcknowledged {
                proxy,
                marker,
                latency,
            });
        }
    }

    /// Runs one step of the update plan and takes its result as published.
    fn plan(&mut self) {
        let mut target = self.target.clone();
        let balancer = self.balancer();
        let mut draft = published_weights(&balancer.fleet);
        for (id, entries) in &draft {
            target.entry(*id).or_insert_with(|| shares(entries));
        }
        let cut = plan_step(&balancer.fleet, &target, &mut draft);
        balancer.admission.set_cut(cut);
        for (id, entries) in &draft {
            if let Some(table) = balancer.fleet.tables.get_mut(id) {
                table.set_entries(entries.clone());
            }
        }
        self.tables = draft;
    }
}

/// Actions of the balancer.
impl ScenarioRunner {
    /// Runs a decision round, applies its actions and records which proxies get a message.
    pub fn decide(&mut self) {
        let mut actions = Vec::new();
        let now = self.moment();
        self.balancer().decide(now, &mut actions);
        let mut changed_tables = BTreeSet::new();
        for action in &actions {
            changed_tables.extend(self.apply(action));
        }
        let bound = self.bound.iter();
        let mut receivers: BTreeSet<ProxyId> = bound
            .filter(|(_, table)| changed_tables.contains(table))
            .map(|(proxy, _)| *proxy)
            .collect();
        for action in &actions {
            if let Action::BindTable { proxy, table, .. } = action {
                self.bound.insert((*proxy, *table));
                receivers.insert(*proxy);
            }
        }
        let joined = receivers
            .into_iter()
            .filter(|proxy| self.joined.contains(proxy));
        self.messages.extend(joined.map(|proxy| (self.now, proxy)));
    }

    /// Applies an action; returns the table that it changed.
    fn apply(&mut self, action: &Action) -> Option<TableId> {
        match action {
            Action::SetWeight {
                table,
                node,
                weight,
            } => {
                let entries = self.tables.entry(*table).or_default();
                entries.insert(*node, *weight);
                entries.retain(|_, weight| *weight > 0.0);
                self.changed.push((self.now, *table, *node));
                Some(*table)
            }
            Action::SetAdmission {
                table: Some(table),
                operations,
                limit,
                retry,
            } => {
                for operation in operations {
                    self.admission
                        .insert((table.0, operation.0), (*limit, *retry));
                }
                Some(*table)
            }
            Action::SendMarker { marker, .. } => {
                self.marker = Some(*marker);
                None
            }
            _ => None,
        }
    }
}
