//! What requests are answered from, and act on.

use crate::drains::DrainOrders;
use crate::file::ControllerFile;
use wheelspread::time::Moment;
use wheelspread_config_rollout::Rollout;
use wheelspread_controller_core::ControllerCore;

/// The parts of a controller that a request may read or order.
pub struct AdminContext<'a> {
    /// Decisions, tables and proxies.
    pub core: &'a mut ControllerCore,
    /// Changes of configuration.
    pub rollout: &'a mut Rollout,
    /// Drains by order.
    pub drains: &'a mut DrainOrders,
    /// What stays the same while the controller runs.
    pub identity: &'a Identity,
}

/// What stays the same while a controller runs.
#[derive(Debug)]
pub struct Identity {
    /// Its name, as the file has it.
    pub name: String,
    /// Its number among the controllers that share the proxies.
    pub number: u32,
    /// When it started.
    pub started_at: Moment,
}

impl Identity {
    /// As the file has it.
    pub fn new(file: &ControllerFile, now: Moment) -> Identity {
        Identity {
            name: file.conductor.name.clone(),
            number: file.conductor.number,
            started_at: now,
        }
    }
}
