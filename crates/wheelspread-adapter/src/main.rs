//! Hosts one module instance for each conductor and speaks the simulator's wire on standard input
//! and output. Nothing is decided here.

mod wire;

use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, Read, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};
use wheelspread::time::Moment;
use wheelspread::Action;
use wheelspread::Balancer;
use wire::Record;

const HEADER: usize = 16;

#[derive(Default)]
struct Host {
    instances: BTreeMap<u16, Balancer>,
    failed: BTreeSet<u16>,
}

struct Reply {
    count: u32,
    bytes: Vec<u8>,
}

impl Reply {
    fn actions(&mut self, conductor: u16, actions: &[Action]) {
        for action in actions {
            wire::write(conductor, action, &mut self.bytes);
            self.count += 1;
        }
    }

    fn failure(&mut self, conductor: u16, text: &str) {
        eprintln!("conductor {conductor}: {text}");
        wire::write_failure(conductor, text, &mut self.bytes);
        self.count += 1;
    }
}

impl Host {
    /// Plays one batch. What can't be read is named on standard error with its record and offset;
    /// the rest of such a batch can't be told apart any more and is left out.
    fn batch(&mut self, now: Moment, count: u32, body: &[u8]) -> Reply {
        let mut reply = Reply {
            count: 0,
            bytes: Vec::new(),
        };
        let mut reader = wire::Reader::new(body);
        let mut touched = BTreeSet::new();
        for number in 0..count {
            let offset = reader.at;
            match wire::record(&mut reader) {
                Ok((conductor, record)) => {
                    if let Err(text) = self.record(now, conductor, record, &mut reply) {
                        eprintln!("record {number} at offset {offset}: {text}");
                    }
                    touched.insert(conductor);
                }
                Err(text) => {
                    eprintln!(
                        "record {number} at offset {offset}: {text}; rest of the batch left out"
                    );
                    break;
                }
            }
        }
        if reader.left() > 0 {
            eprintln!(
                "{} bytes left after {count} records at offset {}",
                reader.left(),
                reader.at
            );
        }
        for conductor in touched {
            self.call(conductor, &mut reply, |balancer, actions| {
                balancer.decide(now, actions);
                Ok(())
            });
        }
        reply
    }

    fn record(
        &mut self,
        now: Moment,
        conductor: u16,
        record: Record,
        reply: &mut Reply,
    ) -> Result<(), String> {
        match record {
            Record::Boot { seed, settings } => {
                self.failed.remove(&conductor);
                self.instances.remove(&conductor);
                match wheelspread_settings::read(&settings).and_then(|facts| {
                    Balancer::start(now, seed, facts).map_err(|error| error.to_string())
                }) {
                    Ok(balancer) => drop(self.instances.insert(conductor, balancer)),
                    Err(text) => {
                        self.failed.insert(conductor);
                        reply.failure(conductor, &text);
                    }
                }
                Ok(())
            }
            Record::Stop => match self.instances.remove(&conductor) {
                Some(_) => Ok(()),
                None => Err(format!("conductor {conductor} is stopped but never booted")),
            },
            Record::Event(_) if self.failed.contains(&conductor) => Ok(()),
            Record::Event(_) if !self.instances.contains_key(&conductor) => Err(format!(
                "event for conductor {conductor}, which never booted"
            )),
            Record::Event(event) => {
                let mut said = Ok(());
                self.call(conductor, reply, |balancer, _| {
                    said = balancer
                        .handle_event(now, &event)
                        .map_err(|error| error.to_string());
                    Ok(())
                });
                said
            }
        }
    }

    /// Runs the module. If it fails inside, the wire is told so and the instance acts no more.
    fn call<F>(&mut self, conductor: u16, reply: &mut Reply, run: F)
    where
        F: FnOnce(&mut Balancer, &mut Vec<Action>) -> Result<(), String>,
    {
        let Some(balancer) = self.instances.get_mut(&conductor) else {
            return;
        };
        let mut actions = Vec::new();
        match catch_unwind(AssertUnwindSafe(|| run(balancer, &mut actions))) {
            Ok(Ok(())) => reply.actions(conductor, &actions),
            Ok(Err(text)) => self.fail(conductor, &text, reply),
            Err(_) => self.fail(conductor, "the decisions failed, see standard error", reply),
        }
    }

    fn fail(&mut self, conductor: u16, text: &str, reply: &mut Reply) {
        self.instances.remove(&conductor);
        self.failed.insert(conductor);
        reply.failure(conductor, text);
    }
}

fn main() -> io::Result<()> {
    let mut input = io::stdin().lock();
    let mut output = io::BufWriter::new(io::stdout().lock());
    let mut host = Host::default();
    loop {
        let mut header = Vec::with_capacity(HEADER);
        input
            .by_ref()
            .take(HEADER as u64)
            .read_to_end(&mut header)?;
        if header.is_empty() {
            return Ok(());
        }
        let mut fields = wire::Reader::new(&header);
        let (Ok(size), Ok(clock), Ok(count)) = (fields.u32(), fields.f64(), fields.u32()) else {
            eprintln!(
                "input ends inside a batch header, {} of {HEADER} bytes",
                header.len()
            );
            std::process::exit(1);
        };
        let mut body = Vec::new();
        input
            .by_ref()
            .take(u64::from(size))
            .read_to_end(&mut body)?;
        if body.len() < size as usize {
            eprintln!("input ends inside a batch, {} of {size} bytes", body.len());
            std::process::exit(1);
        }
        let reply = host.batch(Moment::from_seconds(clock), count, &body);
        output.write_all(&reply.count.to_le_bytes())?;
        output.write_all(&(reply.bytes.len() as u32).to_le_bytes())?;
        output.write_all(&reply.bytes)?;
        output.flush()?;
    }
}
