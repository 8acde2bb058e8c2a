//! Set-up of a drill: nodes, controllers, proxies and clients start, and the first tables are awaited.

use super::{named, Drill, DrillError};
use crate::client_population::{ClientCommand, ClientPopulation};
use crate::even_publisher::Sabotage;
use crate::proxies::{plan, proxy_name};
use crate::records::Record;
use crate::watch::Watch;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::path::PathBuf;
use wheelspread::time::Span;
use wheelspread_files::TableRoot;
use wheelspread_reactor as reactor;

/// How long the first tables are awaited.
const FIRST_TABLES_TIMEOUT: Span = Span::from_seconds(8.0);

impl Drill<'_> {
    fn add_proxy(&mut self, proxy: usize) -> Result<std::net::SocketAddr, DrillError> {
        let controllers: Vec<(SocketAddrV4, PathBuf)> = self
            .network
            .ports
            .iter()
            .zip(&self.controllers)
            .map(|(port, process)| (*port, process.directory.join("tables")))
            .collect();
        let (seed, even) = (self.options.seed, self.even.is_some());
        let trusting = self.options.sabotage == Some(Sabotage::Repeat);
        let controllers = if even {
            &controllers[..1]
        } else {
            &controllers[..]
        };
        let plan = plan(
            &self.script,
            proxy,
            self.zones[proxy],
            controllers,
            seed,
            trusting,
            even,
        );
        let address = self.proxies.add(plan, proxy);
        address.ok_or(DrillError::ProxyNotStarted { proxy })
    }

    pub(super) fn start_proxy(&mut self, proxy: usize) -> Result<(), DrillError> {
        let address = Some(self.add_proxy(proxy)?);
        self.clients
            .iter()
            .for_each(|clients| clients.send(ClientCommand::At { proxy, address }));
        Ok(())
    }

    pub(super) fn play(&mut self) -> Result<(), DrillError> {
        self.first_nodes();
        let (list, plain) = self.list();
        let mut directories = BTreeMap::new();
        for (controller, process) in self.controllers.iter().enumerate() {
            for proxy in 0..self.script.proxies {
                let directory =
                    TableRoot::new(process.directory.join("tables")).proxy(&proxy_name(proxy));
                std::fs::create_dir_all(&directory)
                    .map_err(named(directory.display().to_string()))?;
                directories.insert(directory, (controller, proxy));
            }
        }
        let watch =
            Watch::start(directories.clone(), self.recorder.clone()).map_err(named("a watch"))?;
        self.publish(&list, &plain)?;
        for number in 0..self.controllers.len() {
            self.start_controller(number)?;
        }
        let mut addresses = Vec::new();
        for proxy in 0..self.script.proxies {
            addresses.push(Some(self.add_proxy(proxy)?));
        }
        self.wait_for_tables(&directories)?;
        self.begin = reactor::now() + Span::from_seconds(0.2);
        let rates = self.rates();
        self.usual = rates.clone();
        let clients = ClientPopulation::start(
            &self.script,
            rates,
            addresses,
            self.recorder.clone(),
            self.options.seed ^ 0x5eed,
        );
        self.clients = Some(clients.map_err(named("clients"))?);
        for fault in self.script.faults.clone() {
            self.plan_fault(&fault);
        }
        for kind in self.options.not_injected.clone() {
            self.recorder.note(
                self.begin,
                Record::Fault {
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
        let weights: Vec<f64> = (0..self.script.proxies)
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
        let deadline = reactor::now() + FIRST_TABLES_TIMEOUT;
        let preferred = |(_, (controller, proxy)): &(&PathBuf, &(usize, usize))| {
            let usual = if self.even.is_some() {
                0
            } else {
                proxy % self.controllers.len()
            };
            *controller == usual
        };
        for (directory, (_, proxy)) in directories.iter().filter(preferred) {
            let streams = !self.script.deployment.table_delivery.files;
            let waits = || match streams {
                true => !self.proxies.held(*proxy),
                false => !directory.join(wheelspread_files::CURRENT).exists(),
            };
            while waits() {
                if reactor::now() > deadline {
                    return Err(DrillError::NoTables {
                        proxy: *proxy,
                        within_seconds: FIRST_TABLES_TIMEOUT.seconds(),
                    });
                }
                std::thread::sleep(std::time::Duration::from_millis(10));
            }
        }
        Ok(())
    }
}
