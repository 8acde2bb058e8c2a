//! Drills: a fleet of stand-ins on loopback, real conductors, a script of troubles, and afterwards the
//! five rules judged by what went over sockets and into directories. Nothing that a conductor says of
//! itself is used.

mod audit;
mod clients;
mod even;
pub mod gateways;
pub mod load;
mod machine;
mod node;
mod records;
mod run;
mod script;
mod watch;
mod wire;
mod worker;

pub use audit::{judge, Judged, RuleJudged, Verdict};
pub use even::Sabotage;
pub use machine::{cpu_of, free_port, own_port};
pub use records::{Record, Records};
pub use run::{run, DrillError, Options, Report};
pub use script::{Script, Trouble, TroubleKind, BUILT_IN};
