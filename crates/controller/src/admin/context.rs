//! The parts of a controller that requests read and change.

use crate::drains::DrainOrders;
use crate::file::ControllerFile;
use wheelspread::time::Moment;
use wheelspread_config_rollout::Rollout;
use wheelspread_controller_core::ControllerCore;

/// The parts of a controller that a request may read or change.
pub struct AdminContext<'a> {
    /// The core, with endpoint list, tables and proxies.
    pub core: &'a mut ControllerCore,
    /// Changes of configuration.
    pub rollout: &'a mut Rollout,
    /// Drains ordered by operators.
    pub drains: &'a mut DrainOrders,
    /// Name, number and start time of the controller.
    pub identity: &'a Identity,
}

/// A controller's name, number and start time, which do not change during a run.
#[derive(Debug)]
pub struct Identity {
    /// The controller's name, from its file.
    pub name: String,
    /// The controller's number among those that share the proxies.
    pub number: u32,
    /// When the controller started.
    pub started_at: Moment,
}

impl Identity {
    /// The identity of a controller with this file that starts now.
    pub fn new(file: &ControllerFile, now: Moment) -> Identity {
        Identity {
            name: file.conductor.name.clone(),
            number: file.conductor.number,
            started_at: now,
        }
    }
}
