//! Decoding of the simulator's frames: bytes into records.

use crate::codes::{endpoint_status, event, list_kind, PROBE_SUCCEEDED};
use std::string::FromUtf8Error;
use wheelspread::ids::*;
use wheelspread::time::{Moment, Span};
use wheelspread::{EndpointEntry, EndpointListKind, EndpointStatus, Event};

/// Why bytes are no record.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The batch ends within a field.
    #[error("{wanted} bytes wanted, {left} left")]
    Truncated {
        /// Bytes of the field.
        wanted: usize,
        /// Bytes that are there.
        left: usize,
    },
    /// No event has this code.
    #[error("unknown event code {0}")]
    UnknownEvent(u8),
    /// No kind of endpoint list has this code.
    #[error("unknown kind of list {0}")]
    UnknownListKind(u8),
    /// No endpoint status has this code.
    #[error("unknown mode {0} in a list entry")]
    UnknownEndpointStatus(u8),
    /// The settings are no UTF-8.
    #[error("settings: {0}")]
    Settings(#[from] FromUtf8Error),
}

/// Reads fields from the front of a frame. Integers and floats are little-endian.
pub struct Reader<'a> {
    bytes: &'a [u8],
    /// How much has been read.
    pub position: usize,
}

impl<'a> Reader<'a> {
    /// A reader at the beginning of these bytes.
    pub fn new(bytes: &'a [u8]) -> Reader<'a> {
        Reader { bytes, position: 0 }
    }

    /// Bytes that have not been read.
    pub fn remaining(&self) -> usize {
        self.bytes.len() - self.position
    }

    fn read_bytes(&mut self, count: usize) -> Result<&'a [u8], DecodeError> {
        if self.remaining() < count {
            return Err(DecodeError::Truncated {
                wanted: count,
                left: self.remaining(),
            });
        }
        self.position += count;
        Ok(&self.bytes[self.position - count..self.position])
    }

    fn read_array<const N: usize>(&mut self) -> Result<[u8; N], DecodeError> {
        let mut array = [0; N];
        array.copy_from_slice(self.read_bytes(N)?);
        Ok(array)
    }

    fn read_u8(&mut self) -> Result<u8, DecodeError> {
        Ok(u8::from_le_bytes(self.read_array()?))
    }

    fn read_u16(&mut self) -> Result<u16, DecodeError> {
        Ok(u16::from_le_bytes(self.read_array()?))
    }

    /// Reads four bytes as an unsigned number.
    pub fn read_u32(&mut self) -> Result<u32, DecodeError> {
        Ok(u32::from_le_bytes(self.read_array()?))
    }

    fn read_u64(&mut self) -> Result<u64, DecodeError> {
        Ok(u64::from_le_bytes(self.read_array()?))
    }

    fn read_f32(&mut self) -> Result<f64, DecodeError> {
        Ok(f64::from(f32::from_le_bytes(self.read_array()?)))
    }

    /// Reads eight bytes as a floating-point number.
    pub fn read_f64(&mut self) -> Result<f64, DecodeError> {
        Ok(f64::from_le_bytes(self.read_array()?))
    }

    fn read_flag(&mut self) -> Result<bool, DecodeError> {
        Ok(self.read_u8()? != 0)
    }

    /// A number of requests or attempts.
    fn read_count(&mut self) -> Result<f64, DecodeError> {
        Ok(f64::from(self.read_u32()?))
    }

    fn read_span(&mut self) -> Result<Span, DecodeError> {
        Ok(Span::from_seconds(self.read_f64()?))
    }

    fn read_node(&mut self) -> Result<NodeId, DecodeError> {
        Ok(NodeId {
            address: self.read_array()?,
            port: self.read_u16()?,
        })
    }

    fn read_proxy(&mut self) -> Result<ProxyId, DecodeError> {
        self.read_u16().map(ProxyId)
    }

    fn read_zone(&mut self) -> Result<ZoneId, DecodeError> {
        self.read_u16().map(ZoneId)
    }

    fn read_slice(&mut self) -> Result<SliceId, DecodeError> {
        self.read_u16().map(SliceId)
    }

    fn read_operation(&mut self) -> Result<OperationId, DecodeError> {
        self.read_u8().map(OperationId)
    }

    fn read_metrics(&mut self) -> Result<Vec<f64>, DecodeError> {
        let count = self.read_u8()?;
        (0..count).map(|_| self.read_f32()).collect()
    }
}

/// Identifies a controller in the simulator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ControllerId(pub u16);

/// What a record orders.
pub enum RecordBody {
    /// Start the controller.
    Boot {
        /// The seed of its random choices.
        seed: u64,
        /// Its settings as JSON text.
        settings: String,
    },
    /// Stop the controller.
    Stop,
    /// Pass an event to the controller.
    Event(Event),
}

/// One record of a batch.
pub struct Record {
    /// The controller that it is for.
    pub controller: ControllerId,
    /// What it orders.
    pub body: RecordBody,
}

/// Reads one record. The controller's number follows the code directly.
pub fn read_record(reader: &mut Reader) -> Result<Record, DecodeError> {
    let code = reader.read_u8()?;
    if !event::ALL.contains(&code) {
        return Err(DecodeError::UnknownEvent(code));
    }
    let controller = ControllerId(reader.read_u16()?);
    let body = match code {
        event::BOOT => read_boot(reader)?,
        event::STOP => RecordBody::Stop,
        _ => RecordBody::Event(read_event(code, reader)?),
    };
    Ok(Record { controller, body })
}

fn read_boot(reader: &mut Reader) -> Result<RecordBody, DecodeError> {
    let seed = reader.read_u64()?;
    let length = reader.read_u32()?;
    let settings = reader.read_bytes(length as usize)?;
    Ok(RecordBody::Boot {
        seed,
        settings: String::from_utf8(settings.to_vec())?,
    })
}

// Fields are read in the order in which they are written here.
fn read_event(code: u8, reader: &mut Reader) -> Result<Event, DecodeError> {
    match code {
        event::TIMER => Ok(Event::TimerFired {
            timer: TimerId(reader.read_u64()?),
        }),
        event::GOSSIP => read_gossip(reader),
        event::NODE_LOAD => read_node_load(reader),
        event::SLICE_OWNERSHIP => Ok(Event::SliceOwnership {
            slice: reader.read_slice()?,
            owned: reader.read_flag()?,
        }),
        event::PROXY_LEFT => Ok(Event::ProxyLeft {
            proxy: reader.read_proxy()?,
        }),
        event::DEMAND => Ok(Event::DemandReport {
            proxy: reader.read_proxy()?,
            operation: reader.read_operation()?,
            requests: reader.read_count()?,
            failures: reader.read_count()?,
            window: reader.read_span()?,
        }),
        event::SLICE_DEMAND => read_slice_demand(reader),
        event::PROXY_JOINED => Ok(Event::ProxyJoined {
            proxy: reader.read_proxy()?,
            zone: reader.read_zone()?,
            usual_rate: reader.read_f32()?,
            holds_no_table: reader.read_flag()?,
        }),
        event::PROBE_COMPLETED => Ok(Event::ProbeCompleted {
            node: reader.read_node()?,
            succeeded: reader.read_u16()? == PROBE_SUCCEEDED,
            latency: reader.read_span()?,
            metrics: reader.read_metrics()?,
        }),
        event::MARKER_ACKNOWLEDGED => Ok(Event::MarkerAcknowledged {
            proxy: reader.read_proxy()?,
            marker: MarkerId(reader.read_u32()?),
            latency: reader.read_span()?,
        }),
        event::ENDPOINT_LIST => read_endpoint_list(reader),
        event::SLICE_ASSIGNMENT => read_slice_assignment(reader),
        other => Err(DecodeError::UnknownEvent(other)),
    }
}

fn read_gossip(reader: &mut Reader) -> Result<Event, DecodeError> {
    let from = PeerId(reader.read_u32()?);
    let length = reader.read_u16()?;
    Ok(Event::PeerGossip {
        from,
        payload: reader.read_bytes(length.into())?.to_vec(),
    })
}

fn read_node_load(reader: &mut Reader) -> Result<Event, DecodeError> {
    Ok(Event::NodeLoadReport {
        zone: reader.read_zone()?,
        node: reader.read_node()?,
        attempts: reader.read_count()?,
        failures: reader.read_count()?,
        mean_latency: reader.read_span()?,
        window: reader.read_span()?,
        metrics: reader.read_metrics()?,
    })
}

fn read_slice_demand(reader: &mut Reader) -> Result<Event, DecodeError> {
    let operation = reader.read_operation()?;
    let failures = reader.read_count()?;
    let requests = reader.read_count()?;
    Ok(Event::SliceDemandReport {
        slice: reader.read_slice()?,
        operation,
        requests,
        failures,
        window: reader.read_span()?,
    })
}

fn read_slice_assignment(reader: &mut Reader) -> Result<Event, DecodeError> {
    let node = reader.read_node()?;
    Ok(Event::SliceAssignment {
        slice: reader.read_slice()?,
        node,
        weight: reader.read_f32()?,
    })
}

fn read_endpoint_list(reader: &mut Reader) -> Result<Event, DecodeError> {
    let kind = match reader.read_u8()? {
        list_kind::CACHED => EndpointListKind::Cached,
        list_kind::CHANGES => EndpointListKind::Changes,
        list_kind::COMPLETE => EndpointListKind::Complete,
        list_kind::UNAVAILABLE => EndpointListKind::Unavailable,
        other => return Err(DecodeError::UnknownListKind(other)),
    };
    // The list's version: the balancer has no use for it.
    reader.read_u32()?;
    let count = reader.read_u32()?;
    let mut entries = Vec::new();
    for _ in 0..count {
        entries.push(read_endpoint_entry(reader)?);
    }
    Ok(Event::EndpointList { kind, entries })
}

fn read_endpoint_entry(reader: &mut Reader) -> Result<EndpointEntry, DecodeError> {
    Ok(EndpointEntry {
        node: reader.read_node()?,
        zone: reader.read_zone()?,
        kind: KindId(reader.read_u8()?),
        cell: CellId(reader.read_u16()?),
        status: match reader.read_u8()? {
            endpoint_status::GONE => EndpointStatus::Gone,
            endpoint_status::READY => EndpointStatus::Ready,
            endpoint_status::DRAINING => EndpointStatus::Draining,
            other => return Err(DecodeError::UnknownEndpointStatus(other)),
        },
        weight: reader.read_f32()?,
        started: Some(reader.read_f64()?)
            .filter(|seconds| *seconds > 0.0)
            .map(Moment::from_seconds),
    })
}
