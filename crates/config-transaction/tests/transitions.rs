//! The state machine of a change, transition by transition.

use wheelspread_config_transaction::{ChangeEffect, ChangeEvent, ChangeState, Transition};

const STATES: [ChangeState; 9] = [
    ChangeState::Proposed,
    ChangeState::Checked,
    ChangeState::Staged,
    ChangeState::Applying,
    ChangeState::Watched,
    ChangeState::Kept,
    ChangeState::Undoing,
    ChangeState::Undone,
    ChangeState::Refused,
];
const EVENTS: [ChangeEvent; 9] = [
    ChangeEvent::ChecksPassed,
    ChangeEvent::ChecksFailed,
    ChangeEvent::Written,
    ChangeEvent::BaseOutdated,
    ChangeEvent::ApplyRequested,
    ChangeEvent::InForce,
    ChangeEvent::UndoRequested,
    ChangeEvent::WatchCompleted,
    ChangeEvent::DeadlineExceeded,
];

struct Row {
    from: ChangeState,
    event: ChangeEvent,
    next: ChangeState,
    effect: ChangeEffect,
}

const fn row(
    from: ChangeState,
    event: ChangeEvent,
    next: ChangeState,
    effect: ChangeEffect,
) -> Row {
    Row {
        from,
        event,
        next,
        effect,
    }
}

fn table() -> Vec<Row> {
    use ChangeEffect::*;
    use ChangeEvent::*;
    use ChangeState::*;
    vec![
        row(Proposed, ChecksPassed, Checked, Write),
        row(Proposed, ChecksFailed, Refused, Close),
        row(Proposed, BaseOutdated, Refused, Close),
        row(Proposed, DeadlineExceeded, Refused, Close),
        row(Proposed, UndoRequested, Refused, Close),
        row(Checked, Written, Staged, Nothing),
        row(Checked, BaseOutdated, Refused, Close),
        row(Checked, UndoRequested, Refused, Close),
        row(Checked, DeadlineExceeded, Checked, Write),
        row(Staged, ApplyRequested, Applying, ApplyValues),
        row(Staged, BaseOutdated, Refused, Close),
        row(Staged, UndoRequested, Refused, Close),
        row(Staged, DeadlineExceeded, Refused, Close),
        row(Applying, InForce, Watched, Watch),
        row(Applying, UndoRequested, Undoing, RestoreValues),
        row(Applying, DeadlineExceeded, Undoing, RestoreValues),
        row(Watched, WatchCompleted, Kept, Keep),
        row(Watched, UndoRequested, Undoing, RestoreValues),
        row(Watched, DeadlineExceeded, Undoing, RestoreValues),
        row(Kept, UndoRequested, Undoing, RestoreValues),
        row(Undoing, InForce, Undone, Close),
        row(Undoing, DeadlineExceeded, Undoing, RestoreValues),
    ]
}

#[test]
fn every_pair_of_state_and_event_has_its_transition_or_none() {
    let table = table();
    for state in STATES {
        for event in EVENTS {
            let expected = table
                .iter()
                .find(|row| row.from == state && row.event == event)
                .map(|row| Transition {
                    next: row.next,
                    effect: row.effect,
                });
            assert_eq!(state.transition(event), expected, "{state:?} {event:?}");
        }
    }
}

#[test]
fn a_final_state_is_left_only_to_undo_a_change_in_force() {
    for state in STATES.into_iter().filter(|state| state.is_final()) {
        let leaves = EVENTS
            .into_iter()
            .any(|event| state.transition(event).is_some());
        assert_eq!(leaves, state == ChangeState::Kept, "{state:?}");
    }
}
