//! Execution of the plan: each step at its time, until the end of the drill.

use super::{Drill, DrillError, Step};
use crate::client_population::ClientCommand;
use crate::proxies::ProxyCommand;
use crate::stand_in_server::{NodeCommand, NodeSpec};
use rustix::process::Signal;
use wheelspread::time::{Moment, Span};
use wheelspread_drain::DrainAction;
use wheelspread_reactor as reactor;

/// The interval of the swaps that exceed the message cap on purpose.
const REPUBLISH_INTERVAL: Span = Span::from_seconds(0.05);

impl Drill<'_> {
    /// Schedules a step. Steps of the same time run in the order in which they were scheduled.
    pub(super) fn schedule(&mut self, at: Moment, step: Step) {
        self.last_sequence += 1;
        self.steps.insert((at, self.last_sequence), step);
    }

    pub(super) fn run_steps(&mut self) -> Result<(), DrillError> {
        let end = self.begin + self.script.length;
        let mut reported_second = -1;
        loop {
            let now = reactor::now();
            while let Some(entry) = self
                .steps
                .first_entry()
                .filter(|entry| entry.key().0 <= now)
            {
                let step = entry.remove();
                self.execute_step(step)?;
            }
            let second = (now - self.begin).seconds() as i64;
            if second != reported_second && second >= 0 && second % 2 == 0 {
                reported_second = second;
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

    fn execute_step(&mut self, step: Step) -> Result<(), DrillError> {
        match step {
            Step::Announce(kind) => (self.options.progress)(&format!("trouble: {kind}")),
            Step::SendToNodes(commands) => {
                for command in commands {
                    self.nodes.send(command);
                }
            }
            Step::SendToNetwork(command) => self.network.send(command),
            Step::SetRate { proxies, factor } => self.set_rate(proxies, factor),
            Step::ShiftTraffic { from, to, ratio } => self.shift_traffic(from, to, ratio),
            Step::DrainBatch { nodes, drain } => self.drain_batch(nodes, drain),
            Step::ReplaceNodes { nodes } => self.replace_nodes(nodes),
            Step::AddNodes { count } => self.add_nodes(count),
            Step::SilenceNodes(nodes) => self.silence_nodes(nodes),
            Step::RestoreNodes(nodes) => self.restore_nodes(nodes),
            Step::SetListDelay(delay) => self.list_delay = delay,
            Step::PublishList(list, listed) => self.publish_list(&list, &listed)?,
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
            } => self.change_zones(&id, &nodes, undo, within),
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
            clients.send(ClientCommand::SetRate { proxies, factor });
        }
    }

    fn shift_traffic(&self, from: usize, to: usize, ratio: f64) {
        let zones = self.script.deployment.zones.len();
        let in_zone =
            |zone: usize| (0..self.base_rates.len()).filter(move |proxy| proxy % zones == zone);
        let sum = |zone: usize| {
            in_zone(zone)
                .map(|proxy| self.base_rates[proxy])
                .sum::<f64>()
        };
        let (lost, gained) = (1.0 - ratio, 1.0 + ratio * sum(from) / sum(to).max(1e-9));
        for (zone, factor) in [(from, lost), (to, gained)] {
            self.set_rate(Some(in_zone(zone).collect()), factor);
        }
    }

    fn drain_batch(&mut self, nodes: Vec<usize>, drain: Span) {
        let nodes = self.without_stopped_nodes(nodes);
        for node in &nodes {
            self.fleet[*node].draining = true;
        }
        self.schedule_list_publication();
        self.schedule(reactor::now() + drain, Step::ReplaceNodes { nodes });
    }

    fn replace_nodes(&mut self, nodes: Vec<usize>) {
        for node in nodes {
            if std::mem::replace(&mut self.fleet[node].stopped, true) {
                continue;
            }
            self.nodes.send(NodeCommand::Stop(self.fleet[node].key));
            self.add_cold_node_like(node);
        }
        self.schedule_list_publication();
    }

    fn add_nodes(&mut self, count: usize) {
        for number in 0..count {
            // The fleet grows with each added node, so that the modulus grows too.
            self.add_cold_node_like(number % self.fleet.len());
        }
        self.schedule_list_publication();
    }

    fn add_cold_node_like(&mut self, node: usize) {
        let spec = NodeSpec {
            cold: true,
            ..self.fleet[node].spec.clone()
        };
        self.add_node(spec);
    }

    fn silence_nodes(&mut self, nodes: Vec<usize>) {
        for node in self.without_stopped_nodes(nodes) {
            let fleet_node = &mut self.fleet[node];
            fleet_node.silent = true;
            self.nodes
                .send(NodeCommand::SetSilent(fleet_node.key, true));
        }
    }

    fn restore_nodes(&mut self, nodes: Vec<usize>) {
        for node in nodes {
            let fleet_node = &mut self.fleet[node];
            if std::mem::take(&mut fleet_node.silent) && !fleet_node.stopped {
                fleet_node.started = reactor::now();
                self.nodes
                    .send(NodeCommand::SetSilent(fleet_node.key, false));
            }
        }
        self.schedule_list_publication();
    }

    fn without_stopped_nodes(&self, mut nodes: Vec<usize>) -> Vec<usize> {
        nodes.retain(|node| !self.fleet[*node].stopped);
        nodes
    }

    fn signal_all(&self, numbers: Vec<usize>, signal: Signal) {
        for number in numbers {
            self.signal(number, signal);
        }
    }

    fn slow_channel(&self, factor: f64) -> Result<(), DrillError> {
        let base_rate = self.script.deployment.update_queue.entries_per_second;
        for number in 0..self.controllers.len() {
            self.write_configuration(number, base_rate / factor)?;
            self.signal(number, Signal::HUP);
        }
        Ok(())
    }

    fn order_drains(&self, nodes: Vec<usize>, action: DrainAction, within: Span) {
        for node in self.without_stopped_nodes(nodes) {
            self.order_drain(self.fleet[node].address.to_string(), action, within);
        }
    }

    fn kill_proxies(&self, proxies: Vec<usize>) {
        for proxy in proxies {
            self.proxies.send(ProxyCommand::Kill(proxy));
            if let Some(clients) = &self.clients {
                clients.send(ClientCommand::SetAddress {
                    proxy,
                    address: None,
                });
            }
        }
    }

    fn republish(&mut self, until: Moment) -> Result<(), DrillError> {
        let (_, listed) = self.snapshot_nodes();
        if let Some(even) = &mut self.even_publisher {
            even.publish(&self.script, &listed, &self.zones)?;
        }
        let now = reactor::now();
        if now < until {
            let next = now + REPUBLISH_INTERVAL;
            self.schedule(next, Step::RepublishUntil(until));
        }
        Ok(())
    }
}
