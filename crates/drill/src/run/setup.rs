//! Set-up of a drill: nodes, controllers, proxies and clients start, and the first tables are awaited.

use super::{named, Drill, DrillError};
use crate::clients::{ClientOrder, Clients};
use crate::even::Sabotage;
use crate::gateways::{name, plan};
use crate::records::Record;
use crate::watch::Watch;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::path::PathBuf;
use wheelspread::time::Span;
use wheelspread_files::Root;
use wheelspread_reactor as reactor;

impl Drill<'_> {
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

    pub(super) fn start_gateway(&mut self, gateway: usize) -> Result<(), DrillError> {
        let address = Some(self.add_gateway(gateway)?);
        self.clients
            .iter()
            .for_each(|clients| clients.order(ClientOrder::At { gateway, address }));
        Ok(())
    }

    pub(super) fn play(&mut self) -> Result<(), DrillError> {
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
}
