//! The steps of a drill's plan.

use crate::even::ListedNode;
use crate::network::NetworkCommand;
use crate::stand_in_server::NodeCommand;
use wheelspread::time::{Moment, Span};
use wheelspread_controller_core::endpoint_list::EndpointSnapshot;
use wheelspread_drain::DrainAction;

/// What is to be done at a time.
pub(super) enum Step {
    Orders(Vec<NodeCommand>),
    Wire(NetworkCommand),
    Rate {
        proxies: Option<Vec<usize>>,
        factor: f64,
    },
    /// A part of what comes to a zone's proxies comes to another zone's from then on.
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
    KillControllers(Vec<usize>),
    StartControllers(Vec<usize>),
    Pace {
        factor: f64,
    },
    Stall(Vec<usize>, bool),
    /// Told to all controllers, again where it failed, until this long after.
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
    KillProxies(Vec<usize>),
    StartProxies(Vec<usize>),
    Swarm {
        until: Moment,
    },
    Tell(String),
}
