//! Execution of the plan: each step at its time, until the drill's end.

use super::{Drill, DrillError, Step};
use crate::client_population::ClientCommand;
use crate::proxies::ProxyCommand;
use crate::stand_in_server::{NodeCommand, NodeSpec};
use rustix::process::Signal;
use wheelspread::time::{Moment, Span};
use wheelspread_drain::DrainAction;
use wheelspread_reactor as reactor;

/// How often a sabotaged run swaps tables when it writes too often.
const REPUBLISH_INTERVAL: Span = Span::from_seconds(0.05);

impl Drill<'_> {
    /// Schedules a step. Steps of one time are taken in the order of their scheduling.
    pub(super) fn at(&mut self, at: Moment, step: Step) {
        self.next += 1;
        self.steps.insert((at, self.next), step);
    }

    pub(super) fn go_through(&mut self) -> Result<(), DrillError> {
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

    fn take(&mut self, step: Step) -> Result<(), DrillError> {
        match step {
            Step::Announce(kind) => (self.options.progress)(&format!("trouble: {kind}")),
            Step::Nodes(commands) => {
                for command in commands {
                    self.nodes.send(command);
                }
            }
            Step::Network(command) => self.network.send(command),
            Step::Rate { proxies, factor } => self.set_rate(proxies, factor),
            Step::ShiftTraffic { from, to, part } => self.shift_traffic(from, to, part),
            Step::DrainBatch { out, drain } => self.drain_batch(out, drain),
            Step::ReplaceNodes { out } => self.replace_nodes(out),
            Step::AddNodes { count } => self.add_nodes(count),
            Step::SilenceNodes(nodes) => self.silence_nodes(nodes),
            Step::RestoreNodes(nodes) => self.restore_nodes(nodes),
            Step::SetListDelay(delay) => self.list_delay = delay,
            Step::PublishList(list, plain) => self.publish(&list, &plain)?,
            Step::KillControllers(numbers) => {
                for number in numbers {
                    self.kill_controller(number);
                }
            }
            Step::StartControllers(numbers) => {
                for number in numbers {
                    self.start_controller(number)?;
                }
            }
            Step::PauseControllers(numbers) => self.signal_all(numbers, Signal::STOP),
            Step::ResumeControllers(numbers) => self.signal_all(numbers, Signal::CONT),
            Step::SlowChannel { factor } => self.slow_channel(factor)?,
            Step::OrderDrain {
                nodes,
                action,
                within,
            } => self.order_drains(nodes, action, within),
            Step::ChangeZones {
                id,
                nodes,
                undo,
                within,
            } => self.change(&id, &nodes, undo, within),
            Step::KillProxies(proxies) => self.kill_proxies(proxies),
            Step::StartProxies(proxies) => {
                for proxy in proxies {
                    self.start_proxy(proxy)?;
                }
            }
            Step::RepublishUntil(until) => self.republish(until)?,
        }
        Ok(())
    }

    fn set_rate(&self, proxies: Option<Vec<usize>>, factor: f64) {
        if let Some(clients) = &self.clients {
            clients.send(ClientCommand::Rate { proxies, factor });
        }
    }

    fn shift_traffic(&self, from: usize, to: usize, part: f64) {
        let zones = self.script.deployment.zones.len();
        let of = |zone: usize| (0..self.usual.len()).filter(move |proxy| proxy % zones == zone);
        let sum = |zone: usize| of(zone).map(|proxy| self.usual[proxy]).sum::<f64>();
        let (lost, gained) = (1.0 - part, 1.0 + part * sum(from) / sum(to).max(1e-9));
        for (zone, factor) in [(from, lost), (to, gained)] {
            self.set_rate(Some(of(zone).collect()), factor);
        }
    }

    fn drain_batch(&mut self, out: Vec<usize>, drain: Span) {
        let out = self.still_there(out);
        for node in &out {
            self.fleet[*node].draining = true;
        }
        self.list_changes();
        self.at(reactor::now() + drain, Step::ReplaceNodes { out });
    }

    fn replace_nodes(&mut self, out: Vec<usize>) {
        for node in out {
            if std::mem::replace(&mut self.fleet[node].gone, true) {
                continue;
            }
            self.nodes.send(NodeCommand::Stop(self.fleet[node].key));
            self.add_cold_node_like(node);
        }
        self.list_changes();
    }

    fn add_nodes(&mut self, count: usize) {
        for number in 0..count {
            // The fleet grows with each: the numbers wrap at its length by then.
            self.add_cold_node_like(number % self.fleet.len());
        }
        self.list_changes();
    }

    fn add_cold_node_like(&mut self, node: usize) {
        let spec = NodeSpec {
            cold: true,
            ..self.fleet[node].spec.clone()
        };
        self.add_node(spec);
    }

    fn silence_nodes(&mut self, nodes: Vec<usize>) {
        for node in self.still_there(nodes) {
            let known = &mut self.fleet[node];
            known.silent = true;
            self.nodes.send(NodeCommand::Silent(known.key, true));
        }
    }

    fn restore_nodes(&mut self, nodes: Vec<usize>) {
        for node in nodes {
            let known = &mut self.fleet[node];
            if std::mem::take(&mut known.silent) && !known.gone {
                known.started = reactor::now();
                self.nodes.send(NodeCommand::Silent(known.key, false));
            }
        }
        self.list_changes();
    }

    fn still_there(&self, mut nodes: Vec<usize>) -> Vec<usize> {
        nodes.retain(|node| !self.fleet[*node].gone);
        nodes
    }

    fn signal_all(&self, numbers: Vec<usize>, signal: Signal) {
        for number in numbers {
            self.signal(number, signal);
        }
    }

    fn slow_channel(&self, factor: f64) -> Result<(), DrillError> {
        let usual = self.script.deployment.update_queue.entries_per_second;
        for number in 0..self.controllers.len() {
            self.write_file(number, usual / factor)?;
            self.signal(number, Signal::HUP);
        }
        Ok(())
    }

    fn order_drains(&self, nodes: Vec<usize>, action: DrainAction, within: Span) {
        for node in self.still_there(nodes) {
            self.order(self.fleet[node].address.to_string(), action, within);
        }
    }

    fn kill_proxies(&self, proxies: Vec<usize>) {
        for proxy in proxies {
            self.proxies.send(ProxyCommand::Die(proxy));
            if let Some(clients) = &self.clients {
                clients.send(ClientCommand::At {
                    proxy,
                    address: None,
                });
            }
        }
    }

    fn republish(&mut self, until: Moment) -> Result<(), DrillError> {
        let (_, plain) = self.list();
        if let Some(even) = &mut self.even {
            even.publish(&self.script, &plain, &self.zones)?;
        }
        let now = reactor::now();
        if now < until {
            let next = now + REPUBLISH_INTERVAL;
            self.at(next, Step::RepublishUntil(until));
        }
        Ok(())
    }
}
