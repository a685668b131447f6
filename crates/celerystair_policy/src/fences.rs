//! The fencing tokens of an agent's orders. A later token is always higher, also if the store has lost the
//! tokens of its last seconds.

/// No agent claims more tokens than this in one era of the store.
const FENCES_PER_ERA: u64 = 100_000;
/// Eras beyond so many share their tokens, so that tokens stay within 31 bits.
const ERAS_MAX: u64 = 10_000;

/// Returns the next token after the `stored` and the `held` one, in this era of the store; `None` if there
/// is none. An agent that has restarted holds none, so the era alone puts its token above all before.
pub fn next_fence(stored: Option<u64>, held: Option<u64>, era: u64) -> Option<u64> {
    let next = stored.max(held).unwrap_or(0).checked_add(1)?;
    let first = era.saturating_sub(1).min(ERAS_MAX) * FENCES_PER_ERA + 1;
    Some(next.max(first))
}
