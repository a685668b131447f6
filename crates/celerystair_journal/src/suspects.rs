//! Requests that were running when an upstream crashed. See `docs/AT_MOST_ONCE.md`.

use celerystair_core::prelude::*;
use celerystair_platform::prelude::{CallPriority, Expected, Store, StoreError};
use serde::{Deserialize, Serialize};

/// Keys of suspects start with this; the rest is the fingerprint in hexadecimal digits.
pub const SUSPECTS: &str = "suspects/";
/// From this many crashes on, a request is refused, if it ran alone at one of them at least.
pub const CRASHES_MAX: u32 = 2;
/// Tries to write over a competing change.
const TRIES_MAX: u32 = 4;

/// The object at `suspects/<fingerprint>`. Deleting it clears the request.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SuspectObject {
    /// Upstreams that crashed while they ran it.
    pub crashes: u32,
    /// Those among them at which nothing else ran. A crash beside others only makes a suspect:
    /// any of them may have caused it.
    #[serde(default)]
    pub crashes_alone: u32,
    /// The attempts that were running, so that a write whose answer was lost counts once.
    pub attempts: Vec<AttemptId>,
    /// From then on it is no longer suspected.
    pub expires_unix_ms: u64,
}

impl SuspectObject {
    /// Whether it is suspected at `now_unix_ms`.
    pub fn holds_at(&self, now_unix_ms: u64) -> bool {
        now_unix_ms < self.expires_unix_ms
    }

    /// Whether it is refused at `now_unix_ms`.
    pub fn is_refused_at(&self, now_unix_ms: u64) -> bool {
        self.holds_at(now_unix_ms) && self.is_convicted()
    }

    fn is_convicted(&self) -> bool {
        self.crashes >= CRASHES_MAX && self.crashes_alone > 0
    }
}

/// The name of a suspect below [`SUSPECTS`].
pub fn suspect_name(fingerprint: u64) -> String {
    format!("{fingerprint:016x}")
}

/// One crash with which a request is charged.
#[derive(Clone, Debug)]
pub struct CrashReport {
    /// The request.
    pub fingerprint: u64,
    /// Its attempt that was running.
    pub attempt: AttemptId,
    /// Whether nothing else ran at that upstream.
    pub ran_alone: bool,
    /// From then on it is no longer suspected.
    pub expires_unix_ms: u64,
}

/// Counts a crash against the request; gives what is known of it then.
///
/// # Errors
/// [`StoreError`] if it could not be written.
pub async fn record_crash(store: &Store, crash: &CrashReport) -> Result<SuspectObject, StoreError> {
    let key = format!("{SUSPECTS}{}", suspect_name(crash.fingerprint));
    let mut last = Ok(SuspectObject::default());
    for _ in 0..TRIES_MAX {
        last = try_record_crash(store, &key, crash).await;
        if last.is_ok() {
            break;
        }
    }
    last
}

async fn try_record_crash(
    store: &Store,
    key: &str,
    crash: &CrashReport,
) -> Result<SuspectObject, StoreError> {
    let found = store.get(key).await?;
    let (expected, mut suspect) = match &found {
        Some(object) => (
            Expected::Version(object.version),
            object.read::<SuspectObject>()?,
        ),
        None => (Expected::Absent, SuspectObject::default()),
    };
    if suspect.attempts.contains(&crash.attempt) {
        return Ok(suspect);
    }
    if !suspect.holds_at(now_unix_ms()) {
        suspect = SuspectObject::default();
    }
    suspect.crashes += 1;
    suspect.crashes_alone += u32::from(crash.ran_alone);
    suspect.attempts.push(crash.attempt.clone());
    suspect.expires_unix_ms = crash.expires_unix_ms;
    store
        .put(key, &suspect, expected, CallPriority::Urgent)
        .await?;
    Ok(suspect)
}

/// Clears a request that has finished without a crash, unless it is refused already.
///
/// # Errors
/// [`StoreError`] if it could not be deleted; it then expires.
pub async fn clear_suspect(store: &Store, fingerprint: u64) -> Result<(), StoreError> {
    let key = format!("{SUSPECTS}{}", suspect_name(fingerprint));
    let Some(object) = store.get(&key).await? else {
        return Ok(());
    };
    if object.read::<SuspectObject>()?.is_convicted() {
        return Ok(());
    }
    store.delete(&key, object.version).await
}
