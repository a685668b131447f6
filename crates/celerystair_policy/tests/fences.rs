//! Fencing tokens over restarts of the agent and of the store.

use celerystair_policy::prelude::*;

/// The store has lost the last tokens, and the agent that held them has restarted.
#[test]
fn a_fence_in_a_new_era_is_above_all_of_the_era_before() {
    let first = next_fence(None, None, 1);
    assert_eq!(first, Some(1));
    let mut highest = first;
    for _ in 0..1000 {
        highest = next_fence(highest, highest, 1);
    }
    let after_restart = next_fence(first, None, 2);
    assert!(after_restart > highest, "{after_restart:?} {highest:?}");
}

#[test]
fn a_fence_is_above_the_stored_and_the_held_one_in_any_era() {
    for era in [0, 1, 2, 3, u64::MAX] {
        for (stored, held) in [(3, 9), (9, 3), (700_000, 2), (2, 700_000)] {
            let next = next_fence(Some(stored), Some(held), era);
            assert!(
                next > Some(stored) && next > Some(held),
                "{era} {stored} {held}"
            );
        }
    }
    assert_eq!(next_fence(Some(u64::MAX), None, 2), None);
}
