//! Tests every transition of the state machine of a change.

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

struct TransitionRow {
    from: ChangeState,
    event: ChangeEvent,
    next: ChangeState,
    effect: ChangeEffect,
}

const fn transition_row(
    from: ChangeState,
    event: ChangeEvent,
    next: ChangeState,
    effect: ChangeEffect,
) -> TransitionRow {
    TransitionRow {
        from,
        event,
        next,
        effect,
    }
}

fn transition_table() -> Vec<TransitionRow> {
    use ChangeEffect::*;
    use ChangeEvent::*;
    use ChangeState::*;
    vec![
        transition_row(Proposed, ChecksPassed, Checked, Write),
        transition_row(Proposed, ChecksFailed, Refused, Close),
        transition_row(Proposed, BaseOutdated, Refused, Close),
        transition_row(Proposed, DeadlineExceeded, Refused, Close),
        transition_row(Proposed, UndoRequested, Refused, Close),
        transition_row(Checked, Written, Staged, Nothing),
        transition_row(Checked, BaseOutdated, Refused, Close),
        transition_row(Checked, UndoRequested, Refused, Close),
        transition_row(Checked, DeadlineExceeded, Checked, Write),
        transition_row(Staged, ApplyRequested, Applying, ApplyValues),
        transition_row(Staged, BaseOutdated, Refused, Close),
        transition_row(Staged, UndoRequested, Refused, Close),
        transition_row(Staged, DeadlineExceeded, Refused, Close),
        transition_row(Applying, InForce, Watched, Watch),
        transition_row(Applying, UndoRequested, Undoing, RestoreValues),
        transition_row(Applying, DeadlineExceeded, Undoing, RestoreValues),
        transition_row(Watched, WatchCompleted, Kept, Keep),
        transition_row(Watched, UndoRequested, Undoing, RestoreValues),
        transition_row(Watched, DeadlineExceeded, Undoing, RestoreValues),
        transition_row(Kept, UndoRequested, Undoing, RestoreValues),
        transition_row(Undoing, InForce, Undone, Close),
        transition_row(Undoing, DeadlineExceeded, Undoing, RestoreValues),
    ]
}

#[test]
fn every_pair_of_state_and_event_has_the_expected_transition_or_none() {
    let table = transition_table();
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
fn the_only_transition_from_a_final_state_undoes_a_kept_change() {
    for state in STATES.into_iter().filter(|state| state.is_final()) {
        let has_transition = EVENTS
            .into_iter()
            .any(|event| state.transition(event).is_some());
        assert_eq!(has_transition, state == ChangeState::Kept, "{state:?}");
    }
}
