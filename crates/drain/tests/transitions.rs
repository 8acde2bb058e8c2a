//! The state machine of a drain, transition by transition.

use wheelspread_drain::{DrainEvent, DrainState};

const STATES: [DrainState; 5] = [
    DrainState::Accepted,
    DrainState::Propagating,
    DrainState::InForce,
    DrainState::Drained,
    DrainState::Withdrawn,
];
const EVENTS: [DrainEvent; 6] = [
    DrainEvent::Persisted,
    DrainEvent::NotInTables,
    DrainEvent::GraceOver,
    DrainEvent::NoTraffic,
    DrainEvent::TrafficSeen,
    DrainEvent::Restarted,
];

fn expected(state: DrainState, event: DrainEvent) -> Option<DrainState> {
    use DrainEvent::*;
    use DrainState::*;
    match (state, event) {
        (Accepted, Persisted) => Some(Propagating),
        (Propagating, NotInTables) => Some(InForce),
        (Propagating, GraceOver) => Some(InForce),
        (InForce, NoTraffic) => Some(Drained),
        (Drained, TrafficSeen) => Some(InForce),
        (Propagating, Restarted) => Some(Propagating),
        (InForce, Restarted) => Some(Propagating),
        (Drained, Restarted) => Some(Propagating),
        _ => None,
    }
}

#[test]
fn every_pair_of_state_and_event_has_its_next_state_or_none() {
    for state in STATES {
        for event in EVENTS {
            assert_eq!(
                state.on_event(event),
                expected(state, event),
                "{state:?} {event:?}"
            );
        }
    }
}
