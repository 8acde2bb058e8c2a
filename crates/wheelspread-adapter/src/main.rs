//! The adapter to the simulator: runs one balancer for each simulated controller and exchanges batches in the
//! simulator's wire format on standard input and output. All decisions are made by the balancers.
//!
//! A batch consists of a header (length of the body in bytes, time, number of records) and a body with the records.
//! Each batch gets one reply: the number of actions, their length in bytes, and the actions.

mod codes;
mod decode;
mod encode;
mod host;

use decode::{DecodeError, Reader};
use host::{Host, Reply};
use std::io::{self, Read, Write};
use std::process::ExitCode;
use wheelspread::time::Moment;

const BATCH_HEADER_BYTES: usize = 16;

/// The header of a batch.
struct BatchHeader {
    body_bytes: u32,
    now: Moment,
    record_count: u32,
}

impl BatchHeader {
    fn decode(bytes: &[u8]) -> Result<BatchHeader, DecodeError> {
        let mut reader = Reader::new(bytes);
        Ok(BatchHeader {
            body_bytes: reader.read_u32()?,
            now: Moment::from_seconds(reader.read_f64()?),
            record_count: reader.read_u32()?,
        })
    }
}

/// An error that ends the adapter before the end of its input.
#[derive(Debug, thiserror::Error)]
enum AdapterError {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error("input ends inside a batch header: received {received} of {BATCH_HEADER_BYTES} bytes")]
    TruncatedHeader { received: usize },
    #[error("input ends inside a batch body: received {received} of {expected} bytes")]
    TruncatedBody { received: usize, expected: u32 },
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

/// Replies to batches until the end of the input.
fn run() -> Result<(), AdapterError> {
    let mut input = io::stdin().lock();
    let mut output = io::BufWriter::new(io::stdout().lock());
    let mut host = Host::default();
    while let Some(header) = read_header(&mut input)? {
        let body = read_body(&mut input, header.body_bytes)?;
        let reply = host.run_batch(header.now, header.record_count, &body);
        write_reply(&mut output, &reply)?;
    }
    Ok(())
}

/// Reads the header of the next batch; `None` at the end of the input.
fn read_header(input: &mut impl Read) -> Result<Option<BatchHeader>, AdapterError> {
    let mut bytes = Vec::with_capacity(BATCH_HEADER_BYTES);
    input
        .take(BATCH_HEADER_BYTES as u64)
        .read_to_end(&mut bytes)?;
    if bytes.is_empty() {
        return Ok(None);
    }
    let header = BatchHeader::decode(&bytes).map_err(|_| AdapterError::TruncatedHeader {
        received: bytes.len(),
    })?;
    Ok(Some(header))
}

fn read_body(input: &mut impl Read, size: u32) -> Result<Vec<u8>, AdapterError> {
    let mut body = Vec::new();
    input.take(u64::from(size)).read_to_end(&mut body)?;
    if body.len() < size as usize {
        return Err(AdapterError::TruncatedBody {
            received: body.len(),
            expected: size,
        });
    }
    Ok(body)
}

fn write_reply(output: &mut impl Write, reply: &Reply) -> io::Result<()> {
    output.write_all(&reply.action_count.to_le_bytes())?;
    output.write_all(&(reply.bytes.len() as u32).to_le_bytes())?;
    output.write_all(&reply.bytes)?;
    output.flush()
}
