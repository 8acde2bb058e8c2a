//! The steps of a drill's plan.

use crate::even_publisher::ListedNode;
use crate::network::NetworkCommand;
use crate::stand_in_server::NodeCommand;
use wheelspread::time::{Moment, Span};
use wheelspread_controller_core::endpoint_list::EndpointSnapshot;
use wheelspread_drain::DrainAction;

/// What is to be done at a time. Nodes, proxies and controllers are told by their numbers in the drill.
pub(super) enum Step {
    /// Commands to the stand-in servers.
    Nodes(Vec<NodeCommand>),
    /// A command to the network between proxies and controllers.
    Network(NetworkCommand),
    /// The usual rate times this factor, at some proxies or at all.
    Rate {
        proxies: Option<Vec<usize>>,
        factor: f64,
    },
    /// A part of what comes to a zone's proxies comes to another zone's from then on.
    ShiftTraffic { from: usize, to: usize, ratio: f64 },
    /// Nodes drain for this long and are replaced then.
    DrainBatch { out: Vec<usize>, drain: Span },
    /// Nodes end, and new ones of the same kind start cold in their place.
    ReplaceNodes { out: Vec<usize> },
    /// More nodes start, cold.
    AddNodes { count: usize },
    /// Nodes stop answering; the list still shows them.
    SilenceNodes(Vec<usize>),
    /// Silent nodes come back cold.
    RestoreNodes(Vec<usize>),
    /// How late the list of nodes is from then on.
    SetListDelay(Span),
    /// The list as it was when it changed, for controllers and for the even publisher.
    PublishList(EndpointSnapshot, Vec<ListedNode>),
    /// Controllers are killed without notice.
    KillControllers(Vec<usize>),
    /// Killed controllers start again.
    StartControllers(Vec<usize>),
    /// Controllers are stopped by a signal.
    PauseControllers(Vec<usize>),
    /// Stopped controllers go on.
    ResumeControllers(Vec<usize>),
    /// The pace of the update channel over this factor, by file and SIGHUP.
    SlowChannel { factor: f64 },
    /// A drain, or its undo, told to all controllers, again where it failed, until this long after.
    OrderDrain {
        nodes: Vec<usize>,
        action: DrainAction,
        within: Span,
    },
    /// A change of configuration that moves nodes to the next zone, or its undo, told in the same way.
    ChangeZones {
        id: String,
        nodes: Vec<usize>,
        undo: bool,
        within: Span,
    },
    /// Proxies end without notice.
    KillProxies(Vec<usize>),
    /// Ended proxies start again, on new ports.
    StartProxies(Vec<usize>),
    /// The even publisher swaps its tables again and again until then.
    RepublishUntil(Moment),
    /// The progress output names a fault that begins.
    Announce(String),
}
