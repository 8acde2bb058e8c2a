//! `wheelspread measure`: measures the latency, CPU time and memory of parts of the program on this machine. Figures are
//! comparable only within one run.

mod controller;
mod controller_process;
mod error;
mod file_proxies;
mod fleet;
mod fleet_config;
mod proxy;
mod sampling;
mod solver;
mod state;
mod streams;

pub use error::MeasureError;

use clap::{Args, Subcommand};
use std::net::{SocketAddrV4, TcpStream};
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// Arguments of `wheelspread measure`.
#[derive(Args)]
pub struct MeasureArguments {
    #[command(subcommand)]
    measurement: Measurement,
}

#[derive(Subcommand)]
enum Measurement {
    /// Measures the time from a replaced endpoint list to the proxies' swapped links, and the controller's CPU time, at
    /// three fleet sizes.
    Conductor {
        /// The number of rounds of one second at each size.
        #[arg(long, default_value_t = 15)]
        rounds: u32,
        #[arg(long)]
        json: bool,
    },
    /// Compares discovery streams with files: time until all clients hold a change, bytes and entries, memory and CPU time.
    Streams {
        /// The number of changes at each size, one per second.
        #[arg(long, default_value_t = 10)]
        rounds: u32,
        /// The number of streams at the last size, which has 20 nodes.
        #[arg(long, default_value_t = 10_000)]
        many: usize,
        /// Measures only the last size.
        #[arg(long)]
        last: bool,
    },
    /// Measures the writes and bytes of one persisted change, and the restart time of a killed controller.
    State,
    /// Measures the time of a complete answer by the number of controllers, and the cost of polling one controller ten
    /// times per second.
    Fleet {
        /// The number of rounds of one second for each run of the polled controller.
        #[arg(long, default_value_t = 12)]
        rounds: u32,
    },
    /// Compares the solver with a general linear programming solver on the same input, at growing sizes.
    Solve,
    /// Compares requests through the proxy with requests sent directly to the node: throughput, latency, CPU time and
    /// memory; then sends side-effecting requests with faults and counts their executions at the nodes.
    Proxy {
        /// The seconds of load at each number of connections.
        #[arg(long, default_value_t = 3.0)]
        seconds: f64,
        #[arg(long, default_value_t = 1_000_000)]
        effects: u64,
    },
}

/// Numbers of nodes and proxies, from the size of the first acceptance run to the expected size of the largest
/// deployment.
const SIZES: [(usize, usize); 3] = [(20, 12), (100, 220), (400, 890)];

/// Runs one measurement and prints its figures.
pub fn measure(arguments: MeasureArguments) -> Result<(), MeasureError> {
    match arguments.measurement {
        Measurement::Conductor { rounds, json } => controller::run(rounds, json),
        Measurement::Streams { rounds, many, last } => streams::run(rounds, many, last),
        Measurement::State => state::run(),
        Measurement::Fleet { rounds } => fleet::run(rounds),
        Measurement::Solve => {
            solver::run();
            Ok(())
        }
        Measurement::Proxy { seconds, effects } => proxy::run(seconds, effects),
    }
}

/// The path of the running executable, which the measurements start as controllers and proxies.
fn program() -> Result<PathBuf, MeasureError> {
    std::env::current_exe().map_err(MeasureError::Executable)
}

/// The interval between two attempts to connect to a process that is starting.
const CONNECT_INTERVAL: Duration = Duration::from_millis(10);

/// Waits until a started process accepts connections.
fn wait_until_listening(
    address: SocketAddrV4,
    timeout: Duration,
    failure: &'static str,
) -> Result<(), MeasureError> {
    let deadline = Instant::now() + timeout;
    while TcpStream::connect(address).is_err() {
        if Instant::now() > deadline {
            return Err(error::not_ready(failure));
        }
        std::thread::sleep(CONNECT_INTERVAL);
    }
    Ok(())
}
