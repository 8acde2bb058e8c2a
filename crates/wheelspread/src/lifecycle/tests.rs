use super::transition;
use super::Lifecycle::{self, Draining, Ready, Unlisted, WarmingUp};
use super::LifecycleInput::{self, ListedDraining, ListedReady, Removed, Restarted, WarmedUp};
use super::Measurements::{self, DiscardAll, DiscardPaths, Keep};

/// All valid transitions: state, input, next state, and the measurements that are kept.
const TRANSITIONS: [(Lifecycle, LifecycleInput, Lifecycle, Measurements); 13] = [
    (Unlisted, ListedReady, Ready, DiscardPaths),
    (Unlisted, Restarted, WarmingUp, DiscardAll),
    (Unlisted, ListedDraining, Draining, Keep),
    (WarmingUp, Restarted, WarmingUp, DiscardAll),
    (WarmingUp, WarmedUp, Ready, Keep),
    (WarmingUp, ListedDraining, Draining, Keep),
    (WarmingUp, Removed, Unlisted, DiscardPaths),
    (Ready, Restarted, WarmingUp, DiscardAll),
    (Ready, ListedDraining, Draining, Keep),
    (Ready, Removed, Unlisted, DiscardPaths),
    (Draining, ListedReady, Ready, DiscardPaths),
    (Draining, Restarted, WarmingUp, DiscardAll),
    (Draining, Removed, Unlisted, DiscardPaths),
];

#[test]
fn lifecycle_changes_by_the_listed_transitions_and_no_others() {
    for state in [Unlisted, WarmingUp, Ready, Draining] {
        for input in [ListedReady, Restarted, ListedDraining, Removed, WarmedUp] {
            let row = TRANSITIONS
                .iter()
                .find(|row| (row.0, row.1) == (state, input));
            let expected = row.map(|row| (row.2, row.3));
            assert_eq!(transition(state, input), expected, "{state:?}, {input:?}");
        }
    }
}
