use super::next_state;
use super::HealthInput::{self, EjectionOver, Failing, Working};
use super::HealthState::{self, Ejected, Healthy, Probation};

/// All valid transitions: state, input, next state.
const TRANSITIONS: [(HealthState, HealthInput, HealthState); 4] = [
    (Healthy, Failing, Ejected),
    (Ejected, EjectionOver, Probation),
    (Probation, Failing, Ejected),
    (Probation, Working, Healthy),
];

#[test]
fn health_changes_by_the_listed_transitions_and_no_others() {
    for state in [Healthy, Ejected, Probation] {
        for input in [Failing, Working, EjectionOver] {
            let row = TRANSITIONS
                .iter()
                .find(|row| (row.0, row.1) == (state, input));
            let expected = row.map(|row| row.2);
            assert_eq!(next_state(state, input), expected, "{state:?}, {input:?}");
        }
    }
}
