//! Framing: bytes into events and actions into bytes.

use wheelspread::ids::*;
use wheelspread::time::{Moment, Span};
use wheelspread::*;

pub struct Reader<'a> {
    bytes: &'a [u8],
    pub at: usize,
}

type Read<T> = Result<T, String>;

impl<'a> Reader<'a> {
    pub fn new(bytes: &'a [u8]) -> Reader<'a> {
        Reader { bytes, at: 0 }
    }

    pub fn left(&self) -> usize {
        self.bytes.len() - self.at
    }

    pub fn take(&mut self, count: usize) -> Read<&'a [u8]> {
        if self.left() < count {
            return Err(format!("{count} bytes wanted, {} left", self.left()));
        }
        self.at += count;
        Ok(&self.bytes[self.at - count..self.at])
    }

    fn array<const N: usize>(&mut self) -> Read<[u8; N]> {
        Ok(self.take(N)?.try_into().expect("as long as asked for"))
    }

    pub fn u8(&mut self) -> Read<u8> {
        Ok(self.array::<1>()?[0])
    }

    pub fn u16(&mut self) -> Read<u16> {
        Ok(u16::from_le_bytes(self.array()?))
    }

    pub fn u32(&mut self) -> Read<u32> {
        Ok(u32::from_le_bytes(self.array()?))
    }

    pub fn u64(&mut self) -> Read<u64> {
        Ok(u64::from_le_bytes(self.array()?))
    }

    pub fn f32(&mut self) -> Read<f64> {
        Ok(f64::from(f32::from_le_bytes(self.array()?)))
    }

    pub fn f64(&mut self) -> Read<f64> {
        Ok(f64::from_le_bytes(self.array()?))
    }

    fn node(&mut self) -> Read<NodeId> {
        Ok(NodeId {
            address: self.array()?,
            port: self.u16()?,
        })
    }

    fn span(&mut self) -> Read<Span> {
        Ok(Span::from_seconds(self.f64()?))
    }

    fn load(&mut self) -> Read<Vec<f64>> {
        let count = self.u8()?;
        (0..count).map(|_| self.f32()).collect()
    }
}

pub enum Record {
    Boot { seed: u64, settings: String },
    Stop,
    Event(Event),
}

/// One event record; its conductor comes first so that a bad rest can still be blamed on it.
pub fn record(reader: &mut Reader) -> Read<(u16, Record)> {
    let code = reader.u8()?;
    if !(16..=29).contains(&code) {
        return Err(format!("unknown event code {code}"));
    }
    let conductor = reader.u16()?;
    let event = match code {
        16 => Event::TimerFired {
            timer: TimerId(reader.u64()?),
        },
        17 => {
            let from = PeerId(reader.u32()?);
            let count = reader.u16()?;
            Event::PeerGossip {
                from,
                payload: reader.take(count.into())?.to_vec(),
            }
        }
        18 => Event::NodeLoadReport {
            zone: ZoneId(reader.u16()?),
            node: reader.node()?,
            attempts: f64::from(reader.u32()?),
            failures: f64::from(reader.u32()?),
            mean_latency: reader.span()?,
            window: reader.span()?,
            metrics: reader.load()?,
        },
        19 => Event::SliceOwnership {
            slice: SliceId(reader.u16()?),
            owned: reader.u8()? != 0,
        },
        20 => Event::ProxyLeft {
            proxy: ProxyId(reader.u16()?),
        },
        21 => {
            let seed = reader.u64()?;
            let count = reader.u32()?;
            let text = reader.take(count as usize)?;
            let settings =
                String::from_utf8(text.to_vec()).map_err(|e| format!("settings: {e}"))?;
            return Ok((conductor, Record::Boot { seed, settings }));
        }
        22 => Event::DemandReport {
            proxy: ProxyId(reader.u16()?),
            operation: OperationId(reader.u8()?),
            requests: f64::from(reader.u32()?),
            failures: f64::from(reader.u32()?),
            window: reader.span()?,
        },
        23 => {
            let operation = OperationId(reader.u8()?);
            let errored = f64::from(reader.u32()?);
            let count = f64::from(reader.u32()?);
            let slice = SliceId(reader.u16()?);
            Event::SliceDemandReport {
                slice,
                operation,
                requests: count,
                failures: errored,
                window: reader.span()?,
            }
        }
        24 => Event::ProxyJoined {
            proxy: ProxyId(reader.u16()?),
            zone: ZoneId(reader.u16()?),
            usual_rate: reader.f32()?,
            fresh: reader.u8()? != 0,
        },
        25 => Event::ProbeCompleted {
            node: reader.node()?,
            succeeded: reader.u16()? == 200,
            latency: reader.span()?,
            metrics: reader.load()?,
        },
        26 => Event::MarkerAcknowledged {
            proxy: ProxyId(reader.u16()?),
            marker: MarkerId(reader.u32()?),
            latency: reader.span()?,
        },
        27 => return Ok((conductor, Record::Stop)),
        28 => {
            let kind = match reader.u8()? {
                0 => EndpointListKind::Cached,
                1 => EndpointListKind::Changes,
                2 => EndpointListKind::Complete,
                3 => EndpointListKind::Unavailable,
                other => return Err(format!("unknown kind of list {other}")),
            };
            reader.u32()?;
            let count = reader.u32()?;
            let mut entries = Vec::new();
            for _ in 0..count {
                entries.push(entry(reader)?);
            }
            Event::EndpointList { kind, entries }
        }
        _ => {
            let node = reader.node()?;
            let slice = SliceId(reader.u16()?);
            Event::SliceAssignment {
                slice,
                node,
                weight: reader.f32()?,
            }
        }
    };
    Ok((conductor, Record::Event(event)))
}

fn entry(reader: &mut Reader) -> Read<EndpointEntry> {
    Ok(EndpointEntry {
        node: reader.node()?,
        zone: ZoneId(reader.u16()?),
        kind: KindId(reader.u8()?),
        cell: CellId(reader.u16()?),
        status: match reader.u8()? {
            0 => EndpointStatus::Gone,
            1 => EndpointStatus::Ready,
            2 => EndpointStatus::Draining,
            other => return Err(format!("unknown mode {other} in a list entry")),
        },
        weight: reader.f32()?,
        started: Some(reader.f64()?)
            .filter(|at| *at > 0.0)
            .map(Moment::from_seconds),
    })
}

fn mask(operations: &[OperationId]) -> u16 {
    operations.iter().fold(0, |sum, operation| {
        sum | 1u16.checked_shl(operation.0.into()).unwrap_or(0)
    })
}

pub fn write(conductor: u16, action: &Action, out: &mut Vec<u8>) {
    let start = |code: u8, out: &mut Vec<u8>| {
        out.push(code);
        out.extend(conductor.to_le_bytes());
    };
    let node = |node: &NodeId, out: &mut Vec<u8>| {
        out.extend(node.address);
        out.extend(node.port.to_le_bytes());
    };
    match action {
        Action::SendGossip {
            peer,
            payload: bytes,
        } => {
            start(16, out);
            out.extend(peer.map_or(u32::MAX, |peer| peer.0).to_le_bytes());
            out.extend((bytes.len() as u16).to_le_bytes());
            out.extend(bytes);
        }
        Action::SendMarker {
            marker: mark,
            to_all: everyone,
        } => {
            start(17, out);
            out.extend(mark.0.to_le_bytes());
            out.push(u8::from(*everyone));
        }
        Action::RequestEndpointList => start(18, out),
        Action::Log { message: text } => write_text(19, conductor, text, out),
        Action::EjectNode {
            node: id,
            ejected: is_out,
        } => {
            start(20, out);
            node(id, out);
            out.push(u8::from(*is_out));
        }
        Action::BindTable {
            proxy,
            table,
            operations,
        } => {
            start(21, out);
            out.extend(proxy.0.to_le_bytes());
            out.extend(table.0.to_le_bytes());
            out.extend(mask(operations).to_le_bytes());
        }
        Action::SetWeight {
            table,
            node: id,
            weight,
        } => {
            start(22, out);
            out.extend(table.0.to_le_bytes());
            node(id, out);
            out.extend((*weight as f32).to_le_bytes());
        }
        Action::ClearTable { table } => {
            start(23, out);
            out.extend(table.0.to_le_bytes());
        }
        Action::SetTimer { after, timer } => {
            start(24, out);
            out.extend(after.seconds().to_le_bytes());
            out.extend(timer.0.to_le_bytes());
        }
        Action::SetAdmission {
            table,
            operations,
            limit: quota,
            retry,
        } => {
            start(25, out);
            out.extend(table.map_or(u16::MAX, |table| table.0).to_le_bytes());
            out.extend(mask(operations).to_le_bytes());
            out.extend((*quota as f32).to_le_bytes());
            out.push(match retry {
                RetryPolicy::Never => 0,
                RetryPolicy::IfUnprocessed => 1,
                RetryPolicy::OnceOnAnyFailure => 2,
                RetryPolicy::TwiceOnAnyFailure => 3,
            });
        }
        Action::WatchEndpoints { enabled: on } => {
            start(26, out);
            out.push(u8::from(*on));
        }
        Action::ProbeNode { node: id } => {
            start(28, out);
            node(id, out);
        }
    }
}

fn write_text(code: u8, conductor: u16, text: &str, out: &mut Vec<u8>) {
    let end = (0..=text.len().min(1000))
        .rev()
        .find(|at| text.is_char_boundary(*at))
        .unwrap_or(0);
    out.push(code);
    out.extend(conductor.to_le_bytes());
    out.extend((end as u16).to_le_bytes());
    out.extend(&text.as_bytes()[..end]);
}

/// The wire's way to say that the decisions have failed.
pub fn write_failure(conductor: u16, text: &str, out: &mut Vec<u8>) {
    write_text(27, conductor, text, out);
}
