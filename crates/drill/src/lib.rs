//! Drills: a fleet of stand-in nodes and clients on loopback, real proxies and controllers, and a script of
//! faults. Afterwards the five rules are checked on what was observed on sockets and in directories; nothing
//! that a controller reports about itself is used.

mod audit;
mod client_population;
mod error;
mod even_publisher;
pub mod load;
mod machine;
mod network;
mod proxies;
mod records;
mod run;
mod script;
mod stand_in_server;
mod watch;
mod worker;

pub use audit::{judge, CheckedValue, RuleResult, Verdict};
pub use error::{DrillError, PublishError, ScriptError};
pub use even_publisher::RuleViolation;
pub use machine::{cpu_of, free_port, own_port};
pub use proxies::proxy_name;
pub use records::{Record, Records};
pub use run::{run, Options, Report};
pub use script::{DayScript, Fault, FaultKind, Script, BUILT_IN};
