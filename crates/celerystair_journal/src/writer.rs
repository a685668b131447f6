//! The task that writes one shard. It takes all changes that wait into one conditional update;
//! those that come while a write is under way share the next.

use celerystair_core::prelude::*;
use celerystair_platform::prelude::{CallPriority, Expected, StoreError};

use crate::{
    entry::{JOURNAL, ShardObject},
    journal::{ClaimOutcome, Inner, JournalError, Shard},
    operation::{Applied, Draft, Operation, apply},
};

const RETRY_MIN_MS: u64 = 5;
const RETRY_MAX_MS: u64 = 500;

/// Writes until nothing waits.
pub(crate) async fn write_shard(inner: &Inner, number: u64, shard: &Shard) {
    let key = format!("{JOURNAL}{number}");
    let mut batch: Vec<Operation> = Vec::new();
    let mut retry_ms = RETRY_MIN_MS;
    loop {
        batch.append(&mut shard.pending.borrow_mut());
        let now = now_unix_ms();
        batch.retain_mut(|operation| operation.is_wanted(now));
        if batch.is_empty() {
            break;
        }
        if write_once(inner, &key, shard, &mut batch).await.is_ok() {
            retry_ms = RETRY_MIN_MS;
        } else {
            sleep_ms(rand::random_range(retry_ms / 2..=retry_ms)).await;
            retry_ms = (retry_ms * 2).min(RETRY_MAX_MS);
        }
    }
    shard.is_writing.set(false);
    inner.writers.set(inner.writers.get() - 1);
    inner.idle.notify(usize::MAX);
}

/// Tries to write the batch, and empties it if that succeeds.
async fn write_once(
    inner: &Inner,
    key: &str,
    shard: &Shard,
    batch: &mut Vec<Operation>,
) -> Result<(), StoreError> {
    let cached = shard.known.borrow_mut().take();
    let was_cached = cached.is_some();
    let (version, before) = match cached {
        Some(known) => known,
        None => read(inner, key, shard).await?,
    };
    let mut after = before.clone();
    // What has expired goes first, so that its room is there for what comes.
    after.forget(now_unix_ms());
    let mut draft = Draft::new(after);
    let applied: Vec<Applied> = batch
        .iter()
        .map(|operation| apply(&mut draft, &operation.change))
        .collect();
    let after = draft.finish();
    if was_cached && applied.iter().any(|applied| !is_granted(&applied.result)) {
        // Another process may have changed since what stands in the way of the claim.
        return Ok(());
    }
    if !applied.iter().any(|applied| applied.changed) {
        *shard.known.borrow_mut() = Some((version, before));
        answer(batch, applied);
        return Ok(());
    }
    let expected = match version {
        0 => Expected::Absent,
        version => Expected::Version(version),
    };
    match inner
        .store
        .put(key, &after, expected, CallPriority::Urgent)
        .await
    {
        Ok(version) => {
            shard.version_min.set(version);
            *shard.known.borrow_mut() = Some((version, after));
            answer(batch, applied);
            Ok(())
        }
        Err(StoreError::Conflict {
            current_version, ..
        }) => {
            let version_min = shard.version_min.get().max(current_version);
            shard.version_min.set(version_min);
            Ok(())
        }
        Err(error) => {
            if matches!(error, StoreError::OutcomeUnknown { .. }) {
                for operation in batch.iter_mut() {
                    operation.maybe_written = true;
                }
            }
            Err(error)
        }
    }
}

fn is_granted(result: &Result<ClaimOutcome, JournalError>) -> bool {
    matches!(result, Ok(ClaimOutcome::Granted))
}

/// Tells each who waits. A granted claim that nobody waits for any more stays in the batch, to
/// be released.
fn answer(batch: &mut Vec<Operation>, applied: Vec<Applied>) {
    let mut results = applied.into_iter();
    batch.retain_mut(|operation| {
        let Some(Applied { result, .. }) = results.next() else {
            return false;
        };
        let granted = is_granted(&result);
        let unheard = operation.reply.try_send(result).is_err();
        operation.maybe_written = granted;
        unheard && granted && matches!(operation.change, crate::operation::Change::Claim(_))
    });
}

/// Reads the shard, and refuses a copy that is older than what is known to have been written.
async fn read(inner: &Inner, key: &str, shard: &Shard) -> Result<(u64, ShardObject), StoreError> {
    let (version, object) = match inner.store.get(key).await? {
        Some(object) => (object.version, object.read::<ShardObject>()?),
        None => (0, ShardObject::default()),
    };
    if version < shard.version_min.get() {
        return Err(StoreError::Failed {
            detail: format!("{key}: a stale copy was read"),
        });
    }
    Ok((version, object))
}
