//! Decoding of the records in the simulator's batches.

use crate::codes::{endpoint_status, event, list_kind, PROBE_SUCCESS_STATUS};
use std::string::FromUtf8Error;
use wheelspread::ids::*;
use wheelspread::time::{Moment, Span};
use wheelspread::{EndpointEntry, EndpointListKind, EndpointStatus, Event};

/// An error in the encoding of a batch header or a record.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The data ends inside a field.
    #[error("field is truncated: expected {expected} bytes, {remaining} remain")]
    Truncated {
        /// Length of the field in bytes.
        expected: usize,
        /// Bytes that remain in the data.
        remaining: usize,
    },
    /// The record starts with a code that is not in [`event`].
    #[error("unknown event code {0}")]
    UnknownEvent(u8),
    /// The code of an endpoint list's kind is not in [`list_kind`].
    #[error("unknown endpoint list kind {0}")]
    UnknownListKind(u8),
    /// The code of an endpoint's status is not in [`endpoint_status`].
    #[error("unknown status {0} in an endpoint entry")]
    UnknownEndpointStatus(u8),
    /// The settings of a boot record are not valid UTF-8.
    #[error("settings are not valid UTF-8: {0}")]
    InvalidSettingsText(#[from] FromUtf8Error),
}

/// Reads consecutive fields from a byte slice. Integers and floating-point numbers are little-endian.
pub struct Reader<'a> {
    bytes: &'a [u8],
    /// Offset of the next unread byte.
    pub offset: usize,
}

impl<'a> Reader<'a> {
    /// A reader that starts at the first byte.
    pub fn new(bytes: &'a [u8]) -> Reader<'a> {
        Reader { bytes, offset: 0 }
    }

    /// Number of unread bytes.
    pub fn remaining(&self) -> usize {
        self.bytes.len() - self.offset
    }

    fn read_bytes(&mut self, count: usize) -> Result<&'a [u8], DecodeError> {
        if self.remaining() < count {
            return Err(DecodeError::Truncated {
                expected: count,
                remaining: self.remaining(),
            });
        }
        self.offset += count;
        Ok(&self.bytes[self.offset - count..self.offset])
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

    /// Reads a `u32`.
    pub fn read_u32(&mut self) -> Result<u32, DecodeError> {
        Ok(u32::from_le_bytes(self.read_array()?))
    }

    fn read_u64(&mut self) -> Result<u64, DecodeError> {
        Ok(u64::from_le_bytes(self.read_array()?))
    }

    fn read_f32(&mut self) -> Result<f64, DecodeError> {
        Ok(f64::from(f32::from_le_bytes(self.read_array()?)))
    }

    /// Reads an `f64`.
    pub fn read_f64(&mut self) -> Result<f64, DecodeError> {
        Ok(f64::from_le_bytes(self.read_array()?))
    }

    fn read_flag(&mut self) -> Result<bool, DecodeError> {
        Ok(self.read_u8()? != 0)
    }

    /// Reads a number of requests or attempts, encoded as a `u32`.
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

/// The number of a controller in the simulator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ControllerId(pub u16);

/// The instruction in a record.
pub enum RecordBody {
    /// Starts the controller.
    Boot {
        /// Seed of the balancer's random number generator.
        seed: u64,
        /// The settings as JSON text.
        settings: String,
    },
    /// Stops the controller.
    Stop,
    /// Passes an event to the controller's balancer.
    Event(Event),
}

/// One record of a batch.
pub struct Record {
    /// The controller to which the record applies.
    pub controller: ControllerId,
    /// The instruction.
    pub body: RecordBody,
}

/// Reads one record: its code, the controller's number, and the fields that belong to the code.
pub fn read_record(reader: &mut Reader) -> Result<Record, DecodeError> {
    let code = reader.read_u8()?;
    if !event::CODE_RANGE.contains(&code) {
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

// The wire format has the fields in the order in which they are read here.
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
            succeeded: reader.read_u16()? == PROBE_SUCCESS_STATUS,
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
    // The version of the list is skipped: the balancer does not use it.
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
