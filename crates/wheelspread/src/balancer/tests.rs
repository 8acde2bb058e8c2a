//! Plays the scenario files in `scenarios/`. The notation, a line each, `#` begins a comment:
//!
//!     set NAME VALUE                       a setting (a number, true/false or a text)
//!     operation KEY=VALUE ..               adds an operation; unnamed settings are ordinary ones
//!     TIME COMMAND ..                      an event at that second; the moment is settled after it
//!     FROM..TO/EVERY COMMAND ..            the same, again and again
//!     expect ..                            what the tables and messages must then be
//!
//! Commands: `list` and `change` (entries `a:z0:w2:k1:young=3:draining`), `join p0 z0 20 [holds]`, `leave p0`,
//! `sums z0 a,b tries=9 errored=1 ms=150 busy=0.5`, `offered p0 o0 20`, `ack`, `tick`, `note N`, `restart`,
//! `refigure NAME VALUE`, `recall a 30 8`.
//! `alone` before `carried a 30`, `lines t0 a=1 b=2`, `target t0 b=1` and `plan` drives single steps of
//! the design, with nothing settled in between.

use super::Balancer;
use crate::ids::*;
use crate::publication::published_weights;
use crate::settings::{SettingValue, Settings};
use crate::shares::{shares, NodeWeights, TableWeights};
use crate::time::{Moment, Span};
use crate::update_plan::plan_step;
use crate::CapacitySnapshot;
use crate::{Action, EndpointEntry, EndpointListKind, EndpointStatus, Event, RetryPolicy};
use std::collections::{BTreeMap, BTreeSet};
use test_case::test_case;

const EPOCH: f64 = 1000.0;

#[derive(Default)]
struct Stage {
    facts: Settings,
    operations: usize,
    balancer: Option<Balancer>,
    now: f64,
    tables: TableWeights,
    levels: BTreeMap<(u16, u8), (f64, RetryPolicy)>,
    bound: BTreeSet<(ProxyId, TableId)>,
    joined: BTreeSet<ProxyId>,
    messages: Vec<(f64, ProxyId)>,
    /// Lines changed, by moment, in order.
    changed: Vec<(f64, TableId, NodeId)>,
    mark: Option<MarkerId>,
    error: String,
    target: TableWeights,
}

fn number(text: &str) -> f64 {
    text.trim_start_matches(['z', 't', 'p', 'o', 'w', 'k'])
        .parse()
        .unwrap_or_else(|_| panic!("{text} is no number"))
}

fn node(name: &str) -> NodeId {
    NodeId {
        address: [10, 0, 0, name.as_bytes()[0]],
        port: 80,
    }
}

fn pair<'a>(words: &[&'a str], key: &str) -> Option<&'a str> {
    words
        .iter()
        .find_map(|word| word.strip_prefix(key)?.strip_prefix('='))
}

fn within(value: f64, range: &str) -> bool {
    let (low, high) = range.split_once("..").unwrap_or((range, range));
    value >= number(low) - 1e-6 && value <= number(high) + 1e-6
}

impl Stage {
    fn set(&mut self, name: &str, value: &str) {
        let fact = match (value.parse::<f64>(), value) {
            (Ok(value), _) => SettingValue::Number(value),
            (_, "true") => SettingValue::Flag(true),
            (_, "false") => SettingValue::Flag(false),
            _ => SettingValue::Text(value.to_string()),
        };
        self.facts.0.insert(name.to_string(), fact);
    }

    fn ordinary(&mut self) {
        for line in include_str!("../../scenarios/ordinary.txt").lines() {
            let words: Vec<&str> = line.split_whitespace().collect();
            self.set(words[0], words[1]);
        }
    }

    fn operation(&mut self, words: &[&str]) {
        let at = self.operations;
        self.operations += 1;
        for (key, usual) in [
            ("latency_objective", "1"),
            ("integration_timeout", "4"),
            ("billed_value", "1"),
            ("repeat", "idempotent"),
            ("repeat_group", "all"),
            ("repeat_window", "5"),
            ("stays_in_zone", "false"),
        ] {
            self.set(
                &format!("operation.{at}.{key}"),
                pair(words, key).unwrap_or(usual),
            );
        }
        self.set("operation.count", &self.operations.to_string());
    }

    fn balancer(&mut self) -> &mut Balancer {
        if self.balancer.is_none() {
            if self.operations == 0 {
                self.operation(&[]);
            }
            let start = Balancer::start(Moment::from_seconds(EPOCH), 7, self.facts.clone());
            self.balancer = start.map_err(|error| self.error = error.to_string()).ok();
        }
        self.balancer.as_mut().expect("the module starts")
    }

    fn entry(&self, text: &str) -> EndpointEntry {
        let words: Vec<&str> = text.split(':').collect();
        let find = |first: char| {
            words[1..]
                .iter()
                .find(|w| w.starts_with(first) && w.len() < 5)
                .map(|w| number(w))
        };
        let has = |word: &str| words.contains(&word);
        EndpointEntry {
            node: node(words[0]),
            zone: ZoneId(find('z').unwrap_or(0.0) as u16),
            kind: KindId(find('k').unwrap_or(0.0) as u8),
            cell: CellId(0),
            status: match (has("draining"), has("gone")) {
                (true, _) => EndpointStatus::Draining,
                (_, true) => EndpointStatus::Gone,
                _ => EndpointStatus::Ready,
            },
            weight: find('w').unwrap_or(1.0),
            started: pair(&words, "young")
                .map(|age| Moment::from_seconds(EPOCH + self.now - number(age))),
        }
    }

    fn hear(&mut self, event: Event) {
        let now = Moment::from_seconds(EPOCH + self.now);
        if let Err(error) = self.balancer().handle_event(now, &event) {
            self.error = error.to_string();
        }
    }

    fn command(&mut self, words: &[&str]) {
        match words {
            ["refigure", name, value] => {
                self.set(name, value);
                let facts = self.facts.clone();
                let result = self.balancer().reconfigure(facts);
                self.error = result
                    .err()
                    .map_or(String::new(), |error| error.to_string());
            }
            // Node, invocations a second, evidence.
            ["recall", name, rate, evidence] => {
                let (capacity, evidence) = (number(rate).ln(), number(evidence));
                let learnt = CapacitySnapshot {
                    node: node(name),
                    capacity,
                    evidence,
                    quickest: 0.1,
                };
                self.balancer().restore_capacities(&[learnt]);
            }
            ["list", entries @ ..] => {
                let entries = entries.iter().map(|text| self.entry(text)).collect();
                self.hear(Event::EndpointList {
                    kind: EndpointListKind::Complete,
                    entries,
                });
            }
            ["change", entries @ ..] => {
                let entries = entries.iter().map(|text| self.entry(text)).collect();
                self.hear(Event::EndpointList {
                    kind: EndpointListKind::Changes,
                    entries,
                });
            }
            ["join" | "sums" | "leave", first, second @ ..]
                if words[1..].iter().any(|w| w.contains(',')) =>
            {
                let (zone, names) = if words[0] == "sums" {
                    (Some(first), second[0])
                } else {
                    (None, *first)
                };
                let rest = if zone.is_some() { &second[1..] } else { second };
                for name in names.split(',') {
                    let one = [
                        &words[..1],
                        zone.map_or(&[][..], std::slice::from_ref),
                        &[name],
                        rest,
                    ];
                    self.command(&one.concat());
                }
            }
            // `holds`: a table that was ordered before.
            ["join", proxy, zone, rate, holds @ ..] => {
                let (proxy, zone) = (ProxyId(number(proxy) as u16), ZoneId(number(zone) as u16));
                self.joined.insert(proxy);
                self.bound.retain(|(bound, _)| *bound != proxy);
                let fresh = !holds.contains(&"holds");
                self.hear(Event::ProxyJoined {
                    proxy,
                    zone,
                    usual_rate: number(rate),
                    fresh,
                });
            }
            ["leave", proxy] => {
                let proxy = ProxyId(number(proxy) as u16);
                self.joined.remove(&proxy);
                self.hear(Event::ProxyLeft { proxy });
            }
            ["sums", zone, name, rest @ ..] => {
                let get =
                    |key: &str, usual: f64| pair(rest, key).map_or(usual, |v| v.parse().expect(v));
                let load = pair(rest, "busy")
                    .map(|v| v.parse().expect(v))
                    .into_iter()
                    .collect();
                self.hear(Event::NodeLoadReport {
                    zone: ZoneId(number(zone) as u16),
                    node: node(name),
                    attempts: get("tries", 10.0),
                    failures: get("errored", 0.0),
                    mean_latency: Span::from_seconds(get("ms", 100.0) / 1e3),
                    window: Span::from_seconds(get("over", 1.0)),
                    metrics: load,
                });
            }
            ["offered", proxy, operation, rate] => self.hear(Event::DemandReport {
                proxy: ProxyId(number(proxy) as u16),
                operation: OperationId(number(operation) as u8),
                requests: rate.parse().expect("a rate"),
                failures: 0.0,
                window: Span::from_seconds(1.0),
            }),
            ["ack"] => {
                if let Some(mark) = self.mark {
                    for proxy in self.joined.clone() {
                        self.hear(Event::MarkerAcknowledged {
                            proxy,
                            marker: mark,
                            latency: Span::from_seconds(0.1),
                        });
                    }
                }
            }
            ["note", bytes] => self.hear(Event::PeerGossip {
                from: PeerId(1),
                payload: vec![255; number(bytes) as usize],
            }),
            ["restart"] => {
                self.balancer = None;
                (self.bound, self.joined) = Default::default();
                self.tables.clear();
            }
            ["tick"] => {}
            ["carried", name, rate] => {
                let rate = number(rate);
                if let Some(node) = self.balancer().fleet.nodes.get_mut(&node(name)) {
                    node.load.raise_peak_within_objective(rate);
                }
            }
            ["lines", table, lines @ ..] => {
                let lines = Self::lines(lines);
                let table = TableId(number(table) as u16);
                self.balancer()
                    .fleet
                    .tables
                    .entry(table)
                    .and_modify(|known| known.entries = lines);
            }
            ["target", table, lines @ ..] => {
                self.target
                    .insert(TableId(number(table) as u16), shares(&Self::lines(lines)));
            }
            ["plan"] => self.plan(),
            other => panic!("unknown command {other:?}"),
        }
    }

    fn lines(words: &[&str]) -> NodeWeights {
        let pairs = words
            .iter()
            .map(|word| word.split_once('=').expect("NODE=WEIGHT"));
        pairs
            .map(|(name, weight)| (node(name), number(weight)))
            .collect()
    }

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
            let tables = &mut balancer.fleet.tables;
            tables
                .entry(*id)
                .and_modify(|table| table.entries = entries.clone());
        }
        self.tables = draft;
    }

    fn settle(&mut self) {
        let mut actions = Vec::new();
        let now = self.now;
        self.balancer()
            .decide(Moment::from_seconds(EPOCH + now), &mut actions);
        let mut touched = BTreeSet::new();
        for action in &actions {
            match action {
                Action::SetWeight {
                    table,
                    node,
                    weight,
                } => {
                    let lines = self.tables.entry(*table).or_default();
                    lines.insert(*node, *weight);
                    lines.retain(|_, weight| *weight > 0.0);
                    self.changed.push((now, *table, *node));
                    touched.insert(*table);
                }
                Action::SetAdmission {
                    table: Some(table),
                    operations,
                    limit: quota,
                    retry,
                } => {
                    self.levels.extend(
                        operations
                            .iter()
                            .map(|o| ((table.0, o.0), (*quota, *retry))),
                    );
                    touched.insert(*table);
                }
                Action::SendMarker { marker: mark, .. } => self.mark = Some(*mark),
                _ => {}
            }
        }
        let mut told: BTreeSet<ProxyId> = self
            .bound
            .iter()
            .filter(|(_, table)| touched.contains(table))
            .map(|(proxy, _)| *proxy)
            .collect();
        for action in &actions {
            if let Action::BindTable { proxy, table, .. } = action {
                self.bound.insert((*proxy, *table));
                told.insert(*proxy);
            }
        }
        self.messages.extend(
            told.into_iter()
                .filter(|p| self.joined.contains(p))
                .map(|proxy| (now, proxy)),
        );
    }

    fn expect(&self, words: &[&str]) -> bool {
        let table = |text: &str| TableId(number(text) as u16);
        let share = |text: &str, name: &str| {
            let lines = self.tables.get(&table(text)).cloned().unwrap_or_default();
            shares(&lines).get(&node(name)).copied()
        };
        match words {
            [t, name, "absent"] => share(t, name).is_none(),
            [t, name, "present"] => share(t, name).is_some(),
            ["bound", proxy, t] => self
                .bound
                .contains(&(ProxyId(number(proxy) as u16), table(t))),
            ["unbound", proxy] => !self.bound.iter().any(|(p, _)| p.0 == number(proxy) as u16),
            ["level", t, o, range] => within(
                self.levels
                    .get(&(table(t).0, number(o) as u8))
                    .map_or(1.0, |level| level.0),
                range,
            ),
            ["retry", t, o, how] => {
                let retry = self
                    .levels
                    .get(&(table(t).0, number(o) as u8))
                    .map(|level| level.1);
                format!("{retry:?}") == format!("Some({how})")
            }
            ["cut", t, range] => {
                let cut = self.balancer.as_ref().and_then(|b| b.admission.cut());
                cut.is_some_and(|cut| cut.table == table(t) && within(cut.admitted, range))
            }
            ["no", "cut"] => self
                .balancer
                .as_ref()
                .is_some_and(|b| b.admission.cut().is_none()),
            ["messages", proxy, "within", span, range] => {
                let own = |m: &&(f64, ProxyId)| m.1 .0 == number(proxy) as u16;
                let times: Vec<f64> = self.messages.iter().filter(own).map(|m| m.0).collect();
                let most = times.iter().map(|t| {
                    times
                        .iter()
                        .filter(|u| *u >= t && **u - t < number(span))
                        .count()
                });
                within(most.max().unwrap_or(0) as f64, range)
            }
            ["changes", "since", time, range] => {
                let count = self
                    .changed
                    .iter()
                    .filter(|change| change.0 >= number(time))
                    .count();
                within(count as f64, range)
            }
            ["parts", zone, count] => {
                let zone = ZoneId(number(zone) as u16);
                let own = self
                    .balancer
                    .iter()
                    .flat_map(|b| b.fleet.tables.values())
                    .filter(|t| t.zone() == zone);
                own.filter(|table| !table.entries.is_empty()).count() as f64 == number(count)
            }
            ["disjoint", t, u] => {
                let shared = |name: &&NodeId| self.tables[&table(u)].contains_key(name);
                self.tables[&table(t)].keys().filter(shared).count() <= 1 // one at the border
            }
            ["forgotten", name] => self.balancer.as_ref().is_some_and(|b| {
                !b.fleet.nodes.contains(&node(name))
                    && !b.fleet.outliers.paths().any(|(key, _)| key.0 == node(name))
            }),
            ["error", rest @ ..] => self.error.contains(&rest.join(" ")),
            ["no", "error"] => self.error.is_empty(),
            [t, name, range] => within(share(t, name).unwrap_or(0.0), range),
            other => panic!("unknown expectation {other:?}"),
        }
    }
}

fn play(text: &str) {
    let mut stage = Stage::default();
    stage.ordinary();
    // Events in the order of their times; an expectation stands after what is written before it.
    let mut due: Vec<(f64, Vec<&str>)> = Vec::new();
    let flush = |stage: &mut Stage, due: &mut Vec<(f64, Vec<&str>)>| {
        due.sort_by(|a, b| a.0.total_cmp(&b.0));
        for at in 0..due.len() {
            stage.now = due[at].0;
            stage.command(&due[at].1);
            if due.get(at + 1).is_none_or(|next| next.0 > stage.now) {
                stage.settle();
            }
        }
        due.clear();
    };
    for line in text
        .lines()
        .map(|line| line.split('#').next().unwrap_or(""))
    {
        let words: Vec<&str> = line.split_whitespace().collect();
        match words.as_slice() {
            [] => {}
            ["set", name, value] => stage.set(name, value),
            ["unset", name] => drop(stage.facts.0.remove(*name)),
            ["operation", rest @ ..] => stage.operation(rest),
            ["start"] => drop(std::panic::catch_unwind(std::panic::AssertUnwindSafe(
                || {
                    stage.balancer();
                },
            ))),
            ["alone", rest @ ..] => {
                flush(&mut stage, &mut due);
                stage.command(rest);
            }
            ["expect", rest @ ..] => {
                flush(&mut stage, &mut due);
                assert!(
                    stage.expect(rest),
                    "{line}\ntables {:?}\nlevels {:?}",
                    stage.tables,
                    stage.levels
                );
            }
            [time, rest @ ..] => match time.split_once("..") {
                None => due.push((number(time), rest.to_vec())),
                Some((from, until)) => {
                    let (to, every) = until.split_once('/').expect("FROM..TO/EVERY");
                    let count = ((number(to) - number(from)) / number(every) + 1e-9) as usize;
                    due.extend(
                        (0..=count)
                            .map(|n| (number(from) + n as f64 * number(every), rest.to_vec())),
                    );
                }
            },
        }
    }
    flush(&mut stage, &mut due);
}

#[test_case(include_str!("../../scenarios/at_risk.txt"); "a table that adds waits for the one that lifts")]
#[test_case(include_str!("../../scenarios/whole_move.txt"); "a mutual wait ends by a whole move")]
#[test_case(include_str!("../../scenarios/greedy.txt"); "a mutual wait ends by the greedy step")]
#[test_case(include_str!("../../scenarios/cut.txt"); "admission is cut last and restored")]
#[test_case(include_str!("../../scenarios/overfill.txt"); "a weight that alone overfills rises in steps")]
#[test_case(include_str!("../../scenarios/deltas.txt"); "only lines that change are sent")]
#[test_case(include_str!("../../scenarios/drain.txt"); "drained and gone nodes leave at once")]
#[test_case(include_str!("../../scenarios/drain_under_cap.txt"); "repeated cuts leave messages for a drain")]
#[test_case(include_str!("../../scenarios/restart_cold.txt"); "a newcomer waits for the first sums after a start")]
#[test_case(include_str!("../../scenarios/restart_overload.txt"); "a start in the middle of an overload cuts")]
#[test_case(include_str!("../../scenarios/cold.txt"); "cold nodes stay under their limit")]
#[test_case(include_str!("../../scenarios/cold_avoided.txt"); "cold nodes stay out while proxies avoid the rest")]
#[test_case(include_str!("../../scenarios/parts.txt"); "a large zone falls into parts")]
#[test_case(include_str!("../../scenarios/slow_sums.txt"); "sums that take several periods still teach")]
#[test_case(include_str!("../../scenarios/few_left.txt"); "what is left of a table does not drown")]
#[test_case(include_str!("../../scenarios/cold_under_cap.txt"); "cold limits leave steps their messages")]
#[test_case(include_str!("../../scenarios/lost_on_the_way.txt"); "what is lost on the way is no overload")]
#[test_case(include_str!("../../scenarios/cold_two_conductors.txt"); "a cold node beside an unheard conductor")]
#[test_case(include_str!("../../scenarios/first_times.txt"); "kinds begin by the times of their first invocations")]
#[test_case(include_str!("../../scenarios/own_fault.txt"); "a node that errs alone is slow by itself")]
#[test_case(include_str!("../../scenarios/cold_unheard.txt"); "no cold lines in a zone that is not heard of")]
#[test_case(include_str!("../../scenarios/many_zones.txt"); "more parts than table numbers")]
#[test_case(include_str!("../../scenarios/starved_steps.txt"); "levels leave steps their messages")]
#[test_case(include_str!("../../scenarios/storm.txt"); "a storm of joins stays within the channel")]
#[test_case(include_str!("../../scenarios/restart.txt"); "a restart with a stale list")]
#[test_case(include_str!("../../scenarios/health.txt"); "silent nodes leave and are tried again, busy ones stay")]
#[test_case(include_str!("../../scenarios/retry.txt"); "retry orders by kind, group and window")]
#[test_case(include_str!("../../scenarios/recall.txt"); "what was learnt before a restart stands until sums say otherwise")]
#[test_case(include_str!("../../scenarios/refigure.txt"); "other figures hold at once, other operations never")]
#[test_case(include_str!("../../scenarios/overload.txt"); "overload cuts the cheapest first and not below what was served")]
#[test_case(include_str!("../../scenarios/rates.txt"); "levels as rates")]
#[test_case(include_str!("../../scenarios/absurd.txt"); "absurd figures change nothing")]
#[test_case(include_str!("../../scenarios/settings.txt"); "a missing setting is named")]
#[test_case(include_str!("../../scenarios/local.txt"); "operations that stay get their zone's nodes only")]
#[test_case(include_str!("../../scenarios/local_lost.txt"); "a zone without nodes gets its lines when they come")]
#[test_case(include_str!("../../scenarios/parts_late.txt"); "a zone that falls into parts late")]
#[test_case(include_str!("../../scenarios/late_sums.txt"); "late sums of a node that is gone leave nothing behind")]
#[test_case(include_str!("../../scenarios/drains_in_a_row.txt"); "drains one after another keep to the cap")]
#[test_case(include_str!("../../scenarios/rejoin_under_cap.txt"); "messages count over streams")]
#[test_case(include_str!("../../scenarios/restart_under_cap.txt"); "messages from before a restart count")]
#[test_case(include_str!("../../scenarios/joins_in_a_row.txt"); "joins one after another move no part's table")]
#[test_case(include_str!("../../scenarios/never_answered.txt"); "marks that are never answered hold up no join")]
fn scenario(text: &str) {
    play(text);
}
