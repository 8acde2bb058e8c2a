//! Encoding of the balancer's actions into the simulator's frames.

use crate::codes::{action, retry, ALL_PEERS, ALL_TABLES};
use crate::decode::ControllerId;
use wheelspread::ids::{NodeId, OperationId, PeerId, TimerId};
use wheelspread::time::Span;
use wheelspread::{Action, RetryPolicy};

/// Maximum length of a text on the wire, in bytes.
const MAX_TEXT_BYTES: usize = 1000;

/// Appends one action of a controller to `output`.
pub fn write_action(controller: ControllerId, action: &Action, output: &mut Vec<u8>) {
    write_header(code_of(action), controller, output);
    match action {
        Action::SendGossip { peer, payload } => write_gossip(*peer, payload, output),
        Action::SendMarker { marker, to_all } => {
            output.extend(marker.0.to_le_bytes());
            write_flag(*to_all, output);
        }
        Action::RequestEndpointList => {}
        Action::Log { message } => write_text(message, output),
        Action::EjectNode { node, ejected } => {
            write_node(*node, output);
            write_flag(*ejected, output);
        }
        Action::BindTable {
            proxy,
            table,
            operations,
        } => {
            output.extend(proxy.0.to_le_bytes());
            output.extend(table.0.to_le_bytes());
            write_operations(operations, output);
        }
        Action::SetWeight {
            table,
            node,
            weight,
        } => {
            output.extend(table.0.to_le_bytes());
            write_node(*node, output);
            output.extend((*weight as f32).to_le_bytes());
        }
        Action::ClearTable { table } => output.extend(table.0.to_le_bytes()),
        Action::SetTimer { after, timer } => write_timer(*after, *timer, output),
        Action::SetAdmission {
            table,
            operations,
            limit,
            retry,
        } => {
            output.extend(table.map_or(ALL_TABLES, |table| table.0).to_le_bytes());
            write_operations(operations, output);
            write_limit(*limit, *retry, output);
        }
        Action::WatchEndpoints { enabled } => write_flag(*enabled, output),
        Action::ProbeNode { node } => write_node(*node, output),
    }
}

/// Appends the action that reports a failed balancer to the simulator.
pub fn write_failure(controller: ControllerId, text: &str, output: &mut Vec<u8>) {
    write_header(action::FAILURE, controller, output);
    write_text(text, output);
}

fn code_of(action: &Action) -> u8 {
    match action {
        Action::SendGossip { .. } => action::GOSSIP,
        Action::SendMarker { .. } => action::MARKER,
        Action::RequestEndpointList => action::REQUEST_ENDPOINT_LIST,
        Action::Log { .. } => action::LOG,
        Action::EjectNode { .. } => action::EJECT,
        Action::BindTable { .. } => action::BIND_TABLE,
        Action::SetWeight { .. } => action::SET_WEIGHT,
        Action::ClearTable { .. } => action::CLEAR_TABLE,
        Action::SetTimer { .. } => action::SET_TIMER,
        Action::SetAdmission { .. } => action::SET_ADMISSION,
        Action::WatchEndpoints { .. } => action::WATCH_ENDPOINTS,
        Action::ProbeNode { .. } => action::PROBE,
    }
}

fn retry_code(policy: RetryPolicy) -> u8 {
    match policy {
        RetryPolicy::Never => retry::NEVER,
        RetryPolicy::IfUnprocessed => retry::IF_UNPROCESSED,
        RetryPolicy::OnceOnAnyFailure => retry::ONCE_ON_ANY_FAILURE,
        RetryPolicy::TwiceOnAnyFailure => retry::TWICE_ON_ANY_FAILURE,
    }
}

fn write_gossip(peer: Option<PeerId>, payload: &[u8], output: &mut Vec<u8>) {
    let peer = peer.map_or(ALL_PEERS, |peer| peer.0);
    output.extend(peer.to_le_bytes());
    output.extend((payload.len() as u16).to_le_bytes());
    output.extend(payload);
}

fn write_timer(after: Span, timer: TimerId, output: &mut Vec<u8>) {
    output.extend(after.seconds().to_le_bytes());
    output.extend(timer.0.to_le_bytes());
}

fn write_limit(limit: f64, retry: RetryPolicy, output: &mut Vec<u8>) {
    output.extend((limit as f32).to_le_bytes());
    output.push(retry_code(retry));
}

/// Writes the operations as a bit mask; 0 means all operations. An operation whose number exceeds the width of the
/// mask is left out.
fn write_operations(operations: &[OperationId], output: &mut Vec<u8>) {
    let mask = operations.iter().fold(0u16, |mask, operation| {
        mask | 1u16.checked_shl(operation.0.into()).unwrap_or(0)
    });
    output.extend(mask.to_le_bytes());
}

fn write_header(code: u8, controller: ControllerId, output: &mut Vec<u8>) {
    output.push(code);
    output.extend(controller.0.to_le_bytes());
}

fn write_flag(flag: bool, output: &mut Vec<u8>) {
    output.push(u8::from(flag));
}

fn write_node(node: NodeId, output: &mut Vec<u8>) {
    output.extend(node.address);
    output.extend(node.port.to_le_bytes());
}

/// Writes the length of a text and its bytes. A text of more than `MAX_TEXT_BYTES` is truncated after a whole
/// character.
fn write_text(text: &str, output: &mut Vec<u8>) {
    let end = (0..=text.len().min(MAX_TEXT_BYTES))
        .rev()
        .find(|end| text.is_char_boundary(*end))
        .unwrap_or(0);
    output.extend((end as u16).to_le_bytes());
    output.extend(&text.as_bytes()[..end]);
}
