//! Execution of the plan: each step at its time, until the drill's end.

use super::{Drill, DrillError, Step};
use crate::client_population::ClientCommand;
use crate::proxies::ProxyCommand;
use crate::stand_in_server::{NodeCommand, NodeSpec};
use rustix::process::Signal;
use wheelspread::time::{Moment, Span};
use wheelspread_reactor as reactor;

impl Drill<'_> {
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
            Step::Tell(kind) => (self.options.progress)(&format!("trouble: {kind}")),
            Step::Orders(orders) => orders.into_iter().for_each(|order| self.nodes.send(order)),
            Step::Wire(order) => self.network.send(order),
            Step::Rate { proxies, factor } => {
                self.clients.iter().for_each(|clients| {
                    clients.send(ClientCommand::Rate {
                        proxies: proxies.clone(),
                        factor,
                    })
                });
            }
            Step::Shift { from, to, part } => {
                let zones = self.script.deployment.zones.len();
                let of =
                    |zone: usize| (0..self.usual.len()).filter(move |proxy| proxy % zones == zone);
                let sum = |zone: usize| of(zone).map(|proxy| self.usual[proxy]).sum::<f64>();
                let (lost, gained) = (1.0 - part, 1.0 + part * sum(from) / sum(to).max(1e-9));
                for (zone, factor) in [(from, lost), (to, gained)] {
                    let proxies: Vec<usize> = of(zone).collect();
                    if let Some(clients) = &self.clients {
                        clients.send(ClientCommand::Rate {
                            proxies: Some(proxies),
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
                    self.nodes.send(NodeCommand::Stop(self.fleet[node].key));
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
                        .send(NodeCommand::Silent(self.fleet[node].key, true));
                }
            }
            Step::Return(struck) => {
                for node in struck {
                    let known = &mut self.fleet[node];
                    if std::mem::take(&mut known.silent) && !known.gone {
                        known.started = reactor::now();
                        self.nodes.send(NodeCommand::Silent(known.key, false));
                    }
                }
                self.list_changes();
            }
            Step::ListDelay(delay) => self.list_delay = delay,
            Step::Publish(list, plain) => self.publish(&list, &plain)?,
            Step::KillControllers(some) => some
                .into_iter()
                .for_each(|number| self.kill_controller(number)),
            Step::StartControllers(some) => some
                .into_iter()
                .try_for_each(|number| self.start_controller(number))?,
            Step::Pace { factor } => {
                for number in 0..self.controllers.len() {
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
            Step::KillProxies(some) => {
                for proxy in some {
                    self.proxies.send(ProxyCommand::Die(proxy));
                    let gone = || ClientCommand::At {
                        proxy,
                        address: None,
                    };
                    self.clients.iter().for_each(|clients| clients.send(gone()));
                }
            }
            Step::StartProxies(some) => some
                .into_iter()
                .try_for_each(|proxy| self.start_proxy(proxy))?,
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
