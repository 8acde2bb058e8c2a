//! `wheelspread measure`: figures of this machine, as ratios within one run.

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
    /// From a swapped endpoint list to renamed links, and the controller's CPU, at a small and a large fleet.
    Conductor {
        /// Seconds at each size.
        #[arg(long, default_value_t = 15)]
        rounds: u32,
        #[arg(long)]
        json: bool,
    },
    /// Discovery streams beside files: time until all hold a change, bytes and lines, memory and CPU.
    Streams {
        /// Changes at each size, one a second.
        #[arg(long, default_value_t = 10)]
        rounds: u32,
        /// Streams at the last size, which has 20 nodes.
        #[arg(long, default_value_t = 10_000)]
        many: usize,
        /// Leaves out all sizes but the last.
        #[arg(long)]
        last: bool,
    },
    /// Changes over crashes: writes and bytes of one, and how long a killed controller takes to come back.
    State,
    /// A complete answer by the number of controllers, and what being polled ten times a second costs one.
    Fleet {
        /// Seconds for each of the two.
        #[arg(long, default_value_t = 12)]
        rounds: u32,
    },
    /// The solver at growing sizes, beside a general solver of linear programs on the same input.
    Solve,
    /// The proxy beside the same client sending straight to the node: throughput, delay, CPU, memory; then
    /// side-effecting requests with faults, whose effects are counted at the nodes.
    Proxy {
        /// Seconds at each number of connections.
        #[arg(long, default_value_t = 3.0)]
        seconds: f64,
        #[arg(long, default_value_t = 1_000_000)]
        effects: u64,
    },
}

/// Nodes and proxies: as in the first acceptance run, and as the largest deployment is to grow.
const SIZES: [(usize, usize); 3] = [(20, 12), (100, 220), (400, 890)];

/// Makes one measurement and prints its figures.
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

/// The running executable, which the measurements start as controllers and proxies.
fn program() -> Result<PathBuf, MeasureError> {
    std::env::current_exe().map_err(MeasureError::Executable)
}

/// Between two attempts to connect to a process that starts.
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
