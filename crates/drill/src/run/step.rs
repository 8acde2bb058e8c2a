//! The steps of a drill's plan.

use crate::even::ListedNode;
use crate::node::NodeOrder;
use crate::wire::WireOrder;
use wheelspread::time::{Moment, Span};
use wheelspread_controller_core::endpoint_list::EndpointSnapshot;
use wheelspread_drain::DrainAction;

/// What is to be done at a time.
pub(super) enum Step {
    Orders(Vec<NodeOrder>),
    Wire(WireOrder),
    Rate {
        gateways: Option<Vec<usize>>,
        factor: f64,
    },
    /// A part of what comes to a zone's gateways comes to another zone's from then on.
    Shift {
        from: usize,
        to: usize,
        part: f64,
    },
    Batch {
        out: Vec<usize>,
        drain: Span,
    },
    Swap {
        out: Vec<usize>,
    },
    Come {
        count: usize,
    },
    Vanish(Vec<usize>),
    Return(Vec<usize>),
    ListDelay(Span),
    Publish(EndpointSnapshot, Vec<ListedNode>),
    KillConductors(Vec<usize>),
    StartConductors(Vec<usize>),
    Pace {
        factor: f64,
    },
    Stall(Vec<usize>, bool),
    /// Told to all conductors, again where it failed, until this long after.
    Order {
        nodes: Vec<usize>,
        word: DrainAction,
        within: Span,
    },
    /// A change of configuration that moves nodes to the next zone, or its undo, told in the same way.
    Change {
        id: String,
        nodes: Vec<usize>,
        undo: bool,
        within: Span,
    },
    KillGateways(Vec<usize>),
    StartGateways(Vec<usize>),
    Swarm {
        until: Moment,
    },
    Tell(String),
}
