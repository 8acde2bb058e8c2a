//! Target weights under each host's capacity and a cost that favours billed value. `solve` takes a fleet
//! and gives loads, weights, admitted shares and shadow prices; `steady` keeps weights from moving for
//! little; `Estimate` corrects capacities by what was seen. No I/O, no clock: whoever calls brings a
//! deadline as something to ask.

pub mod estimate;
pub mod explain;
pub mod fleet;
pub mod flow;
pub mod robust;
pub mod solution;
pub mod steady;

pub use fleet::{Fleet, Gateway, Host, HostState, Operation, SolveError};
pub use solution::{solve, AdmissionResult, FlowResult, HostResult, Solution, Status};
