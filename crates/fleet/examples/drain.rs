//! Drains a node at every controller of a fleet file and prints the outcome.
//!
//!     cargo run -p wheelspread-fleet --example drain -- fleet.yaml 127.0.0.1:9001

use std::path::Path;
use wheelspread_drain::DrainAction;
use wheelspread_fleet::{drain_order, FleetFile, Request};

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, file, node] = &arguments[..] else {
        return Err("a fleet file and a node are expected".into());
    };
    let fleet = FleetFile::read(Path::new(file))?.open()?;
    for (name, answer) in fleet.call_all(
        &Request::get(format!("/v1/where/{node}")),
        fleet.answer_timeout,
    ) {
        println!("{name}: {answer:?}");
    }
    let body = drain_order(node, DrainAction::Drain, "example", &[]);
    let ordered = fleet.order(&Request::post("/v1/drains", body), fleet.order_timeout, 1);
    println!("{:?}: {:#?}", ordered.outcome, ordered.controllers);
    Ok(())
}
