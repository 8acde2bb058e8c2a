//! The steps of the plan of a drill.

use crate::even_publisher::ListedNode;
use crate::network::NetworkCommand;
use crate::stand_in_server::NodeCommand;
use wheelspread::time::{Moment, Span};
use wheelspread_controller_core::endpoint_list::EndpointSnapshot;
use wheelspread_drain::DrainAction;

/// A scheduled step. Nodes, proxies and controllers are identified by their indices in the drill.
pub(super) enum Step {
    /// Sends commands to the stand-in servers.
    SendToNodes(Vec<NodeCommand>),
    /// Sends a command to the network between proxies and controllers.
    SendToNetwork(NetworkCommand),
    /// Sets the factor on the base rate of the given proxies, or of all.
    SetRate {
        proxies: Option<Vec<usize>>,
        factor: f64,
    },
    /// Moves a ratio of the traffic from the proxies of one zone to those of another, permanently.
    ShiftTraffic { from: usize, to: usize, ratio: f64 },
    /// Drains nodes for the duration `drain` and replaces them then.
    DrainBatch { nodes: Vec<usize>, drain: Span },
    /// Stops nodes and starts cold nodes of the same kinds in their place.
    ReplaceNodes { nodes: Vec<usize> },
    /// Starts additional cold nodes.
    AddNodes { count: usize },
    /// Makes nodes unresponsive; they remain in the endpoint list.
    SilenceNodes(Vec<usize>),
    /// Restarts unresponsive nodes, cold.
    RestoreNodes(Vec<usize>),
    /// Sets the delay of the endpoint list.
    SetListDelay(Span),
    /// Publishes an endpoint list, as of the time of its change, to controllers and to the even-weight publisher.
    PublishList(EndpointSnapshot, Vec<ListedNode>),
    /// Kills controllers without notice.
    KillControllers(Vec<usize>),
    /// Starts killed controllers again.
    StartControllers(Vec<usize>),
    /// Pauses controllers with SIGSTOP.
    PauseControllers(Vec<usize>),
    /// Resumes paused controllers with SIGCONT.
    ResumeControllers(Vec<usize>),
    /// Divides the pacing rate of the update channel by a factor, by configuration file and SIGHUP.
    SlowChannel { factor: f64 },
    /// Sends a drain order or its undo to all controllers, retried on failure until `within` has passed.
    OrderDrain {
        nodes: Vec<usize>,
        action: DrainAction,
        within: Span,
    },
    /// Sends a configuration change that moves nodes to the next zone, or its undo, with the same retries.
    ChangeZones {
        id: String,
        nodes: Vec<usize>,
        undo: bool,
        within: Span,
    },
    /// Kills proxies without notice.
    KillProxies(Vec<usize>),
    /// Starts killed proxies again, on new ports.
    StartProxies(Vec<usize>),
    /// Republishes the tables of the even-weight publisher repeatedly until a time.
    RepublishUntil(Moment),
    /// Writes the kind of a fault that begins to the progress output.
    Announce(String),
}
