//! The task that writes a shard. It batches all pending changes into one conditional update;
//! changes that arrive during a write share the next one.

use celerystair_core::prelude::*;
use celerystair_platform::prelude::{CallPriority, Expected, StoreError};

use crate::{
    entry::{JOURNAL_KEY_PREFIX, ShardObject},
    journal::{ClaimOutcome, JournalError, JournalInner, Shard},
    operation::{Applied, Draft, Operation, apply},
};

/// Bounds of the jittered exponential backoff after a failed write.
const BACKOFF_MIN_MS: u64 = 5;
const BACKOFF_MAX_MS: u64 = 500;

/// Writes batches until no change is pending.
pub(crate) async fn write_shard(inner: &JournalInner, number: u64, shard: &Shard) {
    let key = format!("{JOURNAL_KEY_PREFIX}{number}");
    let mut batch: Vec<Operation> = Vec::new();
    let mut backoff_ms = BACKOFF_MIN_MS;
    loop {
        batch.append(&mut shard.pending.borrow_mut());
        let now = now_unix_ms();
        batch.retain_mut(|operation| operation.is_wanted(now));
        if batch.is_empty() {
            break;
        }
        if write_once(inner, &key, shard, &mut batch).await.is_ok() {
            backoff_ms = BACKOFF_MIN_MS;
        } else {
            sleep_ms(rand::random_range(backoff_ms / 2..=backoff_ms)).await;
            backoff_ms = (backoff_ms * 2).min(BACKOFF_MAX_MS);
        }
    }
    shard.is_writing.set(false);
    inner.active_writers.set(inner.active_writers.get() - 1);
    inner.writer_ended.notify(usize::MAX);
}

/// Tries to write the batch once. Operations whose results were sent are removed from it; after a
/// conflict they all stay for the next try.
async fn write_once(
    inner: &JournalInner,
    key: &str,
    shard: &Shard,
    batch: &mut Vec<Operation>,
) -> Result<(), StoreError> {
    let cached = shard.cached.borrow_mut().take();
    let was_cached = cached.is_some();
    let (version, before) = match cached {
        Some(cached) => cached,
        None => read_shard(inner, key, shard).await?,
    };
    let mut after = before.clone();
    // Removed before the changes are applied, so that they can use the space.
    after.remove_expired(now_unix_ms());
    let mut draft = Draft::new(after);
    let applied: Vec<Applied> = batch
        .iter()
        .map(|operation| apply(&mut draft, &operation.change))
        .collect();
    let after = draft.finish();
    if was_cached && applied.iter().any(|applied| !is_granted(&applied.result)) {
        // The cached copy may be outdated: another process may have removed or changed the entry
        // that blocks the claim. The next try reads the shard anew.
        return Ok(());
    }
    if !applied.iter().any(|applied| applied.is_changed) {
        *shard.cached.borrow_mut() = Some((version, before));
        send_results(batch, applied);
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
            *shard.cached.borrow_mut() = Some((version, after));
            send_results(batch, applied);
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
                    operation.may_be_written = true;
                }
            }
            Err(error)
        }
    }
}

fn is_granted(result: &Result<ClaimOutcome, JournalError>) -> bool {
    matches!(result, Ok(ClaimOutcome::Granted))
}

/// Sends each result to its waiter. A granted claim that nobody waits for stays in the batch, to be
/// released.
fn send_results(batch: &mut Vec<Operation>, applied: Vec<Applied>) {
    let mut results = applied.into_iter();
    batch.retain_mut(|operation| {
        let Some(Applied { result, .. }) = results.next() else {
            return false;
        };
        let granted = is_granted(&result);
        let is_undelivered = operation.reply.try_send(result).is_err();
        operation.may_be_written = granted;
        is_undelivered && granted && matches!(operation.change, crate::operation::Change::Claim(_))
    });
}

/// Reads the shard; fails if the copy is older than a version that the store is known to have had.
async fn read_shard(
    inner: &JournalInner,
    key: &str,
    shard: &Shard,
) -> Result<(u64, ShardObject), StoreError> {
    let (version, object) = match inner.store.get(key).await? {
        Some(object) => (object.version, object.read::<ShardObject>()?),
        None => (0, ShardObject::default()),
    };
    if version < shard.version_min.get() {
        return Err(StoreError::Failed {
            detail: format!("the read of {key} returned a stale copy"),
        });
    }
    Ok((version, object))
}
