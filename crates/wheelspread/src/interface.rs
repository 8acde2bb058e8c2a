//! What the module is told and what it orders. Times are `Moment`s and `Span`s, rates are a second.

use crate::ids::*;
use crate::time::{Moment, Span};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listing {
    Ready,
    Draining,
    Gone,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    Cached,
    Changes,
    Complete,
    Unavailable,
}

#[derive(Clone, Debug, PartialEq)]
pub struct ListEntry {
    pub node: NodeId,
    pub zone: ZoneId,
    pub kind: KindId,
    pub cell: CellId,
    pub listing: Listing,
    pub weight: f64,
    /// `None`: long ago.
    pub started: Option<Moment>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    List {
        kind: ListKind,
        entries: Vec<ListEntry>,
    },
    ProxyJoined {
        proxy: ProxyId,
        zone: ZoneId,
        usual_rate: f64,
        fresh: bool,
    },
    ProxyLeft {
        proxy: ProxyId,
    },
    /// What the proxies of a zone met at a node; `load` is in the order the settings name.
    NodeSums {
        zone: ZoneId,
        node: NodeId,
        tries: f64,
        errored: f64,
        latency: Span,
        over: Span,
        load: Vec<f64>,
    },
    /// What came to a proxy for one operation.
    Offered {
        proxy: ProxyId,
        operation: OperationId,
        count: f64,
        errored: f64,
        over: Span,
    },
    SliceOffered {
        slice: SliceId,
        operation: OperationId,
        count: f64,
        errored: f64,
        over: Span,
    },
    SliceCharge {
        slice: SliceId,
        ours: bool,
    },
    SliceLine {
        slice: SliceId,
        node: NodeId,
        weight: f64,
    },
    Acked {
        proxy: ProxyId,
        mark: MarkId,
        took: Span,
    },
    Probed {
        node: NodeId,
        answered: bool,
        took: Span,
        load: Vec<f64>,
    },
    PeerNote {
        from: PeerId,
        bytes: Vec<u8>,
    },
    Timer {
        timer: TimerId,
    },
}

impl Event {
    /// Figures that can't be: they must change nothing.
    pub fn check(&self) -> Result<(), String> {
        let fine = |over: &Span| *over > Span::ZERO && over.seconds() < 3600.0;
        match self {
            Event::NodeSums {
                tries,
                errored,
                over,
                ..
            } if !fine(over) || errored > tries => Err(format!(
                "sums of {tries} tries, {errored} errored, over {} s",
                over.seconds()
            )),
            Event::Offered { count, over, .. } if !fine(over) || count.is_nan() || *count < 0.0 => {
                Err(format!("{count} invocations over {} s", over.seconds()))
            }
            _ => Ok(()),
        }
    }
}

/// When a proxy tries another node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retry {
    Never,
    AfterProofItNeverRan,
    OnceAfterAnyFailure,
    TwiceAfterAnyFailure,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    SetLine {
        table: TableId,
        node: NodeId,
        weight: f64,
    },
    ClearTable {
        table: TableId,
    },
    /// No operations named: all of them.
    Bind {
        proxy: ProxyId,
        table: TableId,
        operations: Vec<OperationId>,
    },
    /// No table named: all joined proxies.
    SetLevel {
        table: Option<TableId>,
        operations: Vec<OperationId>,
        quota: f64,
        retry: Retry,
    },
    Withdraw {
        node: NodeId,
        out: bool,
    },
    Mark {
        mark: MarkId,
        everyone: bool,
    },
    Probe {
        node: NodeId,
    },
    /// No peer named: all of them.
    Tell {
        peer: Option<PeerId>,
        bytes: Vec<u8>,
    },
    SetTimer {
        after: Span,
        timer: TimerId,
    },
    ReadList,
    Watch {
        on: bool,
    },
    Remark {
        text: String,
    },
}
