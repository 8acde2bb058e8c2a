//! A traffic director for fleets of sidecar proxies. `balance` holds every decision; the other
//! modules hold what it speaks with (`interface`) and the plain types it is written in.

pub mod balance;
pub mod facts;
pub mod ids;
pub mod interface;
mod measure;
pub mod pcg;
pub mod ring;
pub mod state;
pub mod time;

#[cfg(test)]
mod scenarios;
