//! The five rules, judged by the records alone.

use crate::records::{ClientOutcome, Lines, Listed, Record, Records};
use crate::script::Script;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use wheelspread_controller_core::deployment::{Deployment, RetryClass};

#[derive(Clone, Debug, Default, Serialize)]
pub struct RuleJudged {
    pub rule: u8,
    /// How many things were looked at.
    pub checked: u64,
    pub broken: u64,
    /// The worst of them, broken or not, beside what is allowed.
    pub worst: Judged,
}

#[derive(Clone, Debug, Default, Serialize)]
pub struct Judged {
    pub value: f64,
    pub allowed: f64,
    pub at_s: f64,
    pub who: String,
}

#[derive(Clone, Debug, Default, Serialize)]
pub struct Invocations {
    pub offered: u64,
    pub succeeded: u64,
    pub rate_limited: u64,
    pub errored: u64,
    pub late: u64,
}

#[derive(Clone, Debug, Serialize)]
pub struct Verdict {
    pub rules: Vec<RuleJudged>,
    pub invocations: Invocations,
    /// Billed value within the latency objective over the value asked for.
    pub service: f64,
    pub service_by_operation: BTreeMap<String, f64>,
    pub effects_twice: u64,
    pub half_read_tables: u64,
    /// Tries more than the first, over first tries.
    pub repeats: f64,
}

impl Verdict {
    pub fn kept(&self) -> bool {
        self.rules.iter().all(|rule| rule.broken == 0) && self.half_read_tables == 0
    }
}

impl RuleJudged {
    fn new(rule: u8) -> RuleJudged {
        let worst = Judged {
            value: f64::NEG_INFINITY,
            ..Judged::default()
        };
        RuleJudged {
            rule,
            worst,
            ..RuleJudged::default()
        }
    }

    fn look(&mut self, value: f64, allowed: f64, at: f64, who: impl FnOnce() -> String) {
        self.checked += 1;
        self.broken += u64::from(value > allowed);
        // The nearest to what is allowed, or the furthest beyond it.
        if value - allowed > self.worst.value - self.worst.allowed
            || self.worst.value == f64::NEG_INFINITY
        {
            self.worst = Judged {
                value,
                allowed,
                at_s: at,
                who: who(),
            };
        }
    }

    fn done(mut self) -> RuleJudged {
        if self.worst.value == f64::NEG_INFINITY {
            self.worst.value = 0.0;
        }
        self
    }
}

/// How long each rule's limit is stretched while a conductor's channel is slowed, as it is told the limit
/// for its usual pace.
pub struct Slowed {
    pub from: f64,
    pub to: f64,
    pub factor: f64,
}

pub fn judge(records: &Records, script: &Script, slowed: &[Slowed]) -> Verdict {
    let plan = &script.deployment;
    let (effects_twice, second) = second(records, plan);
    let (invocations, service, service_by_operation) = service(records, plan);
    let half_read = |record: &Record| {
        matches!(
            record,
            Record::TablesRefused { .. } | Record::SwapUnreadable { .. }
        )
    };
    let sent = |first: bool| {
        let counts = |record: &Record| matches!(record, Record::Sent { number, .. } if (*number == 1) == first);
        records
            .0
            .iter()
            .filter(|(_, record)| counts(record))
            .count() as f64
    };
    Verdict {
        rules: vec![
            first(records, plan).done(),
            second.done(),
            third(records, plan, slowed).done(),
            fourth(records, plan).done(),
            fifth(records, plan).done(),
        ],
        invocations,
        service,
        service_by_operation,
        effects_twice,
        half_read_tables: records
            .0
            .iter()
            .filter(|(_, record)| half_read(record))
            .count() as u64
            + misnamed(records),
        repeats: sent(false) / sent(true).max(1.0),
    }
}

/// Tables that a gateway held under a name by which another held something else.
fn misnamed(records: &Records) -> u64 {
    let mut names: BTreeMap<(usize, u64), &str> = BTreeMap::new();
    let (mut joined, mut misnamed) = (Joined::default(), 0);
    for (t, record) in &records.0 {
        joined.follow(*t, record);
        if let Record::Tables {
            gateway,
            conductor,
            version,
            hash,
            ..
        } = record
        {
            // Before it joined a gateway goes by what lies there, of whichever conductor.
            if joined.0.get(gateway).is_none_or(|(to, _)| to != conductor) {
                continue;
            }
            misnamed += u64::from(*names.entry((*conductor, *version)).or_insert(hash) != hash);
        }
    }
    misnamed
}

/// Which conductor each gateway is joined to at the moment, and since when.
#[derive(Default)]
struct Joined(BTreeMap<usize, (usize, f64)>);

impl Joined {
    fn follow(&mut self, t: f64, record: &Record) {
        match record {
            Record::Joined { gateway, conductor } => drop(self.0.insert(*gateway, (*conductor, t))),
            Record::Left { gateway } | Record::Died { gateway } => drop(self.0.remove(gateway)),
            _ => {}
        }
    }
}

/// Rule 1: how long a joined gateway lacked a line for an operation while its conductor's list showed an
/// open node ready that was no longer cold.
fn first(records: &Records, plan: &Deployment) -> RuleJudged {
    let mut judged = RuleJudged::new(1);
    let allowed = plan.rules.without_node_at_most.seconds();
    let warm = plan.rules.warm_after.seconds();
    let mut joined = Joined::default();
    let mut lists: BTreeMap<usize, BTreeMap<String, Listed>> = BTreeMap::new();
    let mut tables: BTreeMap<usize, Lines> = BTreeMap::new();
    let mut lacking: BTreeMap<(usize, String), f64> = BTreeMap::new();
    let mut zones: BTreeMap<usize, usize> = BTreeMap::new();
    for (t, record) in &records.0 {
        joined.follow(*t, record);
        match record {
            Record::Listed {
                conductor, nodes, ..
            } => drop(lists.insert(*conductor, nodes.clone())),
            Record::Tables { gateway, lines, .. } => drop(tables.insert(*gateway, lines.clone())),
            Record::Died { gateway } => drop(tables.remove(gateway)),
            Record::Came { gateway, .. } => drop(zones.entry(*gateway).or_insert(0)),
            Record::Joined { .. } | Record::Left { .. } | Record::Swapped { .. } => {}
            _ => continue,
        }
        for (gateway, (conductor, _)) in &joined.0 {
            for operation in &plan.operations {
                let has = tables
                    .get(gateway)
                    .and_then(|lines| lines.get(&operation.name));
                let has = has.is_some_and(|lines| lines.iter().any(|(_, weight)| *weight > 0.0));
                let zone = gateway % plan.zones.len();
                let open = |listed: &Listed| {
                    !listed.draining
                        && t - listed.started >= warm
                        && (!operation.stays_in_zone || listed.zone == zone)
                };
                let could = lists
                    .get(conductor)
                    .is_some_and(|list| list.values().any(open));
                let key = (*gateway, operation.name.clone());
                match lacking.get(&key) {
                    None if !has && could => drop(lacking.insert(key, *t)),
                    Some(since) if has || !could => {
                        judged.look(t - since, allowed, *since, || {
                            format!("gateway {gateway}, {}", operation.name)
                        });
                        lacking.remove(&key);
                    }
                    _ => {}
                }
            }
        }
        // Who left or died is not looked at until it joins again.
        lacking.retain(|(gateway, _), _| joined.0.contains_key(gateway));
    }
    let end = records.0.last().map_or(0.0, |(t, _)| *t);
    for ((gateway, operation), since) in lacking {
        judged.look(end - since, allowed, since, || {
            format!("gateway {gateway}, {operation}, to the end")
        });
    }
    judged.checked = judged
        .checked
        .max((zones.len() * plan.operations.len()) as u64);
    judged
}

/// Rule 2: effects that a gateway's repeats brought about twice.
fn second(records: &Records, plan: &Deployment) -> (u64, RuleJudged) {
    let mut judged = RuleJudged::new(2);
    let mut effects: BTreeMap<&str, u64> = BTreeMap::new();
    let binding: BTreeSet<&str> = plan
        .operations
        .iter()
        .filter(|operation| operation.repeat != RetryClass::Idempotent)
        .map(|operation| operation.name.as_str())
        .collect();
    for (t, record) in &records.0 {
        let Record::Effect { id, operation, .. } = record else {
            continue;
        };
        if binding.contains(operation.as_str()) && !id.is_empty() {
            let count = effects.entry(id).or_insert(0);
            *count += 1;
            judged.look(*count as f64, 1.0, *t, || format!("{operation} {id}"));
        }
    }
    (
        effects.values().filter(|count| **count > 1).count() as u64,
        judged,
    )
}

/// Seconds from an order to drain until the last try of a gateway that was joined to the conductor which took
/// it, one figure for each conductor and node; 0: none came after it.
pub fn drained(records: &Records) -> Vec<f64> {
    // The answer to an order comes after the order was given: tries between the two count.
    let mut spans: BTreeMap<(usize, String), Vec<(f64, f64)>> = BTreeMap::new();
    for (t, record) in &records.0 {
        let Record::Ordered {
            conductor,
            node,
            out,
            asked,
        } = record
        else {
            continue;
        };
        let spans = spans.entry((*conductor, node.clone())).or_default();
        match (out, spans.last_mut()) {
            // Ordered again while it is in force, it goes on.
            (true, Some((_, end))) if end.is_infinite() => {}
            (true, _) => spans.push((*asked, f64::INFINITY)),
            (false, Some(last)) => last.1 = last.1.min(*t),
            (false, None) => {}
        }
    }
    let mut joined = Joined::default();
    let mut last: BTreeMap<(usize, String, usize), f64> = BTreeMap::new();
    for (t, record) in &records.0 {
        joined.follow(*t, record);
        let Record::Sent { gateway, node, .. } = record else {
            continue;
        };
        let Some((conductor, _)) = joined.0.get(gateway) else {
            continue;
        };
        let key = (*conductor, node.clone());
        let within = |span: &(f64, f64)| *t >= span.0 && *t < span.1;
        if let Some(number) = spans
            .get(&key)
            .and_then(|spans| spans.iter().position(within))
        {
            last.insert((key.0, key.1.clone(), number), t - spans[&key][number].0);
        }
    }
    let each = spans
        .iter()
        .flat_map(|(key, spans)| (0..spans.len()).map(|n| (key.0, key.1.clone(), n)));
    let mut done: Vec<f64> = each
        .map(|key| last.get(&key).copied().unwrap_or(0.0))
        .collect();
    done.sort_by(f64::total_cmp);
    done
}

/// Rule 3: how long after its conductor was told that a node drains or is gone a joined gateway sent there.
fn third(records: &Records, plan: &Deployment, slowed: &[Slowed]) -> RuleJudged {
    let mut judged = RuleJudged::new(3);
    let grace = plan.rules.drain_grace.seconds();
    let mut joined = Joined::default();
    let mut closed: BTreeMap<(usize, String), f64> = BTreeMap::new();
    let mut known: BTreeMap<usize, BTreeSet<String>> = BTreeMap::new();
    let mut ordered: BTreeMap<(usize, String), f64> = BTreeMap::new();
    for (t, record) in &records.0 {
        joined.follow(*t, record);
        match record {
            // An order is kept over kills.
            Record::Ordered {
                conductor,
                node,
                out: true,
                ..
            } => {
                ordered.entry((*conductor, node.clone())).or_insert(*t);
            }
            Record::Ordered {
                conductor,
                node,
                out: false,
                ..
            } => {
                ordered.remove(&(*conductor, node.clone()));
            }
            Record::Listed {
                conductor, nodes, ..
            } => {
                let known = known.entry(*conductor).or_default();
                known.extend(nodes.keys().cloned());
                for node in known.iter() {
                    let key = (*conductor, node.clone());
                    match nodes.get(node).is_some_and(|listed| !listed.draining) {
                        true => drop(closed.remove(&key)),
                        false => drop(closed.entry(key).or_insert(*t)),
                    }
                }
            }
            Record::Sent { gateway, node, .. } => {
                let Some((conductor, since)) = joined.0.get(gateway) else {
                    continue;
                };
                let key = (*conductor, node.clone());
                let told = [closed.get(&key), ordered.get(&key)]
                    .into_iter()
                    .flatten()
                    .copied();
                let Some(told) = told.reduce(f64::min) else {
                    judged.checked += 1;
                    continue;
                };
                let from = told.max(*since);
                let stretch = slowed
                    .iter()
                    .filter(|slow| from <= slow.to && *t >= slow.from);
                let factor = stretch.map(|slow| slow.factor).fold(1.0, f64::max);
                judged.look(t - from, grace * factor, *t, || {
                    format!("gateway {gateway} to {node}")
                });
            }
            _ => {}
        }
    }
    judged
}

/// A node since its start, with what came to it lately.
struct Cold {
    started: f64,
    capacity: f64,
    came: Vec<(f64, f64)>,
}

/// Rule 4: what came to a cold node over what it could do, at most, in any window of the stated span.
fn fourth(records: &Records, plan: &Deployment) -> RuleJudged {
    let mut judged = RuleJudged::new(4);
    let rules = &plan.rules;
    let (span, warm) = (
        rules.cold_overload_span.seconds(),
        rules.warm_after.seconds(),
    );
    let mut cold: BTreeMap<&str, Cold> = BTreeMap::new();
    for (t, record) in &records.0 {
        match record {
            Record::Started {
                node,
                capacity,
                cold: true,
                ..
            } => {
                cold.insert(
                    node,
                    Cold {
                        started: *t,
                        capacity: *capacity,
                        came: Vec::new(),
                    },
                );
            }
            Record::Came { node, work, .. } => {
                let Some(Cold {
                    started,
                    capacity,
                    came,
                }) = cold.get_mut(node.as_str())
                else {
                    continue;
                };
                if t - *started > warm {
                    continue;
                }
                came.push((*t, *work));
                came.retain(|(at, _)| t - at <= span);
                let risen = (t - *started) / warm;
                let able = *capacity
                    * (rules.cold_start_share + (1.0 - rules.cold_start_share) * risen)
                    * span;
                let sum: f64 = came.iter().map(|(_, work)| work).sum();
                let allowed = rules.cold_overload_factor * crate::node::SLACK;
                judged.look(sum / able, allowed, *t, || node.clone());
            }
            Record::Fell { node } => {
                judged.look(f64::INFINITY, 0.0, *t, || format!("{node} fell over"))
            }
            _ => {}
        }
    }
    judged
}

/// Rule 5: lines that were swapped in and not taken yet, over all gateways of a conductor, and messages to
/// one gateway in the window.
fn fifth(records: &Records, plan: &Deployment) -> RuleJudged {
    let mut judged = RuleJudged::new(5);
    let channel = &plan.channel;
    let (cap, window) = (
        f64::from(channel.messages_at_most),
        channel.messages_window.seconds(),
    );
    let mut joined = Joined::default();
    let mut holds: BTreeMap<(usize, usize), (u64, Lines)> = BTreeMap::new();
    let mut waiting: BTreeMap<(usize, usize), (u64, f64)> = BTreeMap::new();
    let mut messages: BTreeMap<(usize, usize), Vec<f64>> = BTreeMap::new();
    for (t, record) in &records.0 {
        joined.follow(*t, record);
        match record {
            Record::Tables {
                gateway,
                conductor,
                version,
                lines,
                ..
            } => {
                holds.insert((*conductor, *gateway), (*version, lines.clone()));
                if waiting
                    .get(&(*conductor, *gateway))
                    .is_some_and(|waits| waits.0 <= *version)
                {
                    waiting.remove(&(*conductor, *gateway));
                }
            }
            // A conductor that died has no channel; a gateway that died takes nothing.
            Record::Died { gateway } | Record::Left { gateway } => {
                waiting.retain(|key, _| key.1 != *gateway)
            }
            // Others still swap files in for it, which it does not read.
            Record::Swapped {
                conductor, gateway, ..
            } if joined.0.get(gateway).is_none_or(|(to, _)| to != conductor) => {}
            Record::Swapped {
                conductor,
                gateway,
                version,
                lines,
                ..
            } => {
                let key = (*conductor, *gateway);
                let held = holds.get(&key).filter(|held| held.0 < *version);
                if held.is_some() || !holds.contains_key(&key) {
                    let apart = lines_apart(held.map(|held| &held.1), lines) + channel.head_lines;
                    waiting.insert(key, (*version, apart));
                }
                let sum: f64 = waiting
                    .iter()
                    .filter(|(key, _)| key.0 == *conductor)
                    .map(|(_, w)| w.1)
                    .sum();
                judged.look(sum, channel.lines_waiting_at_most, *t, || {
                    format!("lines at conductor {conductor}")
                });
                if cap > 0.0 {
                    let times = messages.entry(key).or_default();
                    times.push(*t);
                    times.retain(|at| t - at < window);
                    let who = || format!("messages of conductor {conductor} to gateway {gateway}");
                    judged.look(times.len() as f64, cap, *t, who);
                }
            }
            _ => {}
        }
    }
    judged
}

fn lines_apart(from: Option<&Lines>, to: &Lines) -> f64 {
    let mut apart = 0;
    for (operation, lines) in to {
        let before: BTreeMap<&str, f64> = from
            .and_then(|from| from.get(operation))
            .into_iter()
            .flatten()
            .map(|(node, weight)| (node.as_str(), *weight))
            .collect();
        let after: BTreeMap<&str, f64> = lines
            .iter()
            .map(|(node, weight)| (node.as_str(), *weight))
            .collect();
        apart += after
            .iter()
            .filter(|(node, weight)| before.get(*node) != Some(weight))
            .count();
        apart += before
            .keys()
            .filter(|node| !after.contains_key(*node))
            .count();
    }
    apart as f64
}

fn service(records: &Records, plan: &Deployment) -> (Invocations, f64, BTreeMap<String, f64>) {
    let mut count = Invocations::default();
    let mut sums: BTreeMap<String, (f64, f64)> = BTreeMap::new();
    for (_, record) in &records.0 {
        let Record::Done {
            operation,
            latency,
            outcome,
            ..
        } = record
        else {
            continue;
        };
        let Some(told) = plan.operations.iter().find(|told| told.name == *operation) else {
            continue;
        };
        count.offered += 1;
        let sum = sums.entry(operation.clone()).or_insert((0.0, 0.0));
        sum.1 += told.billed_value;
        match outcome {
            ClientOutcome::Succeeded if *latency <= told.latency_objective.seconds() => {
                count.succeeded += 1;
                sum.0 += told.billed_value;
            }
            ClientOutcome::Succeeded => {
                count.late += 1;
                sum.0 += told.billed_value * told.late_share;
            }
            ClientOutcome::RateLimited => count.rate_limited += 1,
            ClientOutcome::Errored | ClientOutcome::GivenUp => count.errored += 1,
        }
    }
    let (won, asked) = sums
        .values()
        .fold((0.0, 0.0), |all, one| (all.0 + one.0, all.1 + one.1));
    let each = sums
        .iter()
        .map(|(name, (won, asked))| (name.clone(), won / asked.max(1e-9)))
        .collect();
    (count, won / f64::max(asked, 1e-9), each)
}
