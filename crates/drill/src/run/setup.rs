//! Set-up of a drill: starts nodes, controllers, proxies and clients, and waits for the first tables.

use super::{io_error, Drill, DrillError};
use crate::client_population::{ClientCommand, ClientPopulation};
use crate::even_publisher::RuleViolation;
use crate::proxies::{proxy_config, proxy_name};
use crate::records::Record;
use crate::watch::TableDirectoryWatch;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::path::PathBuf;
use wheelspread::time::Span;
use wheelspread_files::TableRoot;
use wheelspread_reactor as reactor;

/// The timeout for the first tables of all proxies.
const FIRST_TABLES_TIMEOUT: Span = Span::from_seconds(8.0);

impl Drill<'_> {
    fn add_proxy(&mut self, proxy: usize) -> Result<std::net::SocketAddr, DrillError> {
        let controllers: Vec<(SocketAddrV4, PathBuf)> = self
            .network
            .addresses
            .iter()
            .zip(&self.controllers)
            .map(|(address, process)| (*address, process.directory.join("tables")))
            .collect();
        let (seed, even) = (self.options.seed, self.even_publisher.is_some());
        let treats_all_as_idempotent = self.options.violation == Some(RuleViolation::RetryUnsafe);
        let controllers = if even {
            &controllers[..1]
        } else {
            &controllers[..]
        };
        let config = proxy_config(
            &self.script,
            proxy,
            self.zones[proxy],
            controllers,
            seed,
            treats_all_as_idempotent,
            even,
        );
        let address = self.proxies.add(config, proxy);
        address.ok_or(DrillError::ProxyNotStarted { proxy })
    }

    pub(super) fn start_proxy(&mut self, proxy: usize) -> Result<(), DrillError> {
        let address = Some(self.add_proxy(proxy)?);
        self.clients
            .iter()
            .for_each(|clients| clients.send(ClientCommand::SetAddress { proxy, address }));
        Ok(())
    }

    pub(super) fn run(&mut self) -> Result<(), DrillError> {
        self.add_initial_nodes();
        let (list, listed) = self.snapshot_nodes();
        let mut directories = BTreeMap::new();
        for (controller, process) in self.controllers.iter().enumerate() {
            for proxy in 0..self.script.proxies {
                let directory =
                    TableRoot::new(process.directory.join("tables")).proxy(&proxy_name(proxy));
                std::fs::create_dir_all(&directory)
                    .map_err(io_error(directory.display().to_string()))?;
                directories.insert(directory, (controller, proxy));
            }
        }
        let watch = TableDirectoryWatch::start(directories.clone(), self.recorder.clone())
            .map_err(io_error("cannot watch the table directories"))?;
        self.publish_list(&list, &listed)?;
        for number in 0..self.controllers.len() {
            self.start_controller(number)?;
        }
        let mut addresses = Vec::new();
        for proxy in 0..self.script.proxies {
            addresses.push(Some(self.add_proxy(proxy)?));
        }
        self.wait_for_tables(&directories)?;
        self.begin = reactor::now() + Span::from_seconds(0.2);
        let rates = self.initial_rates();
        self.base_rates = rates.clone();
        let clients = ClientPopulation::start(
            &self.script,
            rates,
            addresses,
            self.recorder.clone(),
            self.options.seed ^ 0x5eed,
        );
        self.clients = Some(clients.map_err(io_error("cannot start the stand-in clients"))?);
        for fault in self.script.faults.clone() {
            self.plan_fault(&fault);
        }
        for kind in self.options.not_injected.clone() {
            self.recorder.record(
                self.begin,
                Record::Fault {
                    kind,
                    injected: false,
                    span: 0.0,
                },
            );
        }
        if self.options.violation.is_some() {
            self.plan_violation();
        }
        self.run_steps()?;
        drop(watch);
        Ok(())
    }

    fn initial_rates(&mut self) -> Vec<f64> {
        let spread = self.script.traffic.spread;
        let weights: Vec<f64> = (0..self.script.proxies)
            .map(|_| spread.powf(self.rng.unit()))
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
        let is_preferred = |(_, (controller, proxy)): &(&PathBuf, &(usize, usize))| {
            let preferred_controller = if self.even_publisher.is_some() {
                0
            } else {
                proxy % self.controllers.len()
            };
            *controller == preferred_controller
        };
        for (directory, (_, proxy)) in directories.iter().filter(is_preferred) {
            let streams = !self.script.deployment.table_delivery.files;
            let waits = || match streams {
                true => !self.proxies.has_tables(*proxy),
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
