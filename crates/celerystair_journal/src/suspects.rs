//! Suspects: requests that were in flight when an upstream crashed. See `docs/AT_MOST_ONCE.md`.

use celerystair_core::prelude::*;
use celerystair_platform::prelude::{CallPriority, Expected, Store, StoreError};
use serde::{Deserialize, Serialize};

/// Prefix of the suspects' store keys; the fingerprint in hexadecimal digits follows.
pub const SUSPECT_KEY_PREFIX: &str = "suspects/";
/// Number of crashes from which a request is refused, if it ran alone in at least one of them.
pub const CRASHES_MAX: u32 = 2;
/// Maximum tries of a write that fails, for example because of a concurrent change.
const TRIES_MAX: u32 = 4;

/// The stored object at `suspects/<fingerprint>`. Deleting it clears the request.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SuspectObject {
    /// Number of crashes of upstreams while they ran the request.
    pub crashes: u32,
    /// Number of those crashes in which the upstream ran no other request. A crash with several
    /// requests running only makes each a suspect, because any of them may have caused it.
    #[serde(default)]
    pub crashes_alone: u32,
    /// The attempts that were running, so that a crash counts once if its write is repeated after a
    /// lost response.
    pub attempts: Vec<AttemptId>,
    /// When the suspicion expires.
    pub expires_unix_ms: u64,
}

impl SuspectObject {
    /// Whether the request is suspected at `now_unix_ms`.
    pub fn is_active_at(&self, now_unix_ms: u64) -> bool {
        now_unix_ms < self.expires_unix_ms
    }

    /// Whether the request is refused at `now_unix_ms`.
    pub fn is_refused_at(&self, now_unix_ms: u64) -> bool {
        self.is_active_at(now_unix_ms) && self.has_reached_crash_limit()
    }

    fn has_reached_crash_limit(&self) -> bool {
        self.crashes >= CRASHES_MAX && self.crashes_alone > 0
    }
}

/// Returns the part of a suspect's key after [`SUSPECT_KEY_PREFIX`].
pub fn suspect_name(fingerprint: u64) -> String {
    format!("{fingerprint:016x}")
}

/// A crash of an upstream while it ran a request.
#[derive(Clone, Debug)]
pub struct CrashReport {
    /// The fingerprint of the request.
    pub fingerprint: u64,
    /// The request's attempt that was running.
    pub attempt: AttemptId,
    /// Whether the upstream ran no other request.
    pub ran_alone: bool,
    /// When the suspicion expires.
    pub expires_unix_ms: u64,
}

/// Records a crash against the request and returns the updated suspect.
///
/// # Errors
/// [`StoreError`] if the suspect can't be written.
pub async fn record_crash(store: &Store, crash: &CrashReport) -> Result<SuspectObject, StoreError> {
    let key = format!("{SUSPECT_KEY_PREFIX}{}", suspect_name(crash.fingerprint));
    let mut result = Ok(SuspectObject::default());
    for _ in 0..TRIES_MAX {
        result = try_record_crash(store, &key, crash).await;
        if result.is_ok() {
            break;
        }
    }
    result
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
    if !suspect.is_active_at(now_unix_ms()) {
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

/// Clears a request that has finished without a crash, unless it has reached the limit of crashes.
///
/// # Errors
/// [`StoreError`] if the suspect can't be deleted; it remains until it expires.
pub async fn clear_suspect(store: &Store, fingerprint: u64) -> Result<(), StoreError> {
    let key = format!("{SUSPECT_KEY_PREFIX}{}", suspect_name(fingerprint));
    let Some(object) = store.get(&key).await? else {
        return Ok(());
    };
    if object.read::<SuspectObject>()?.has_reached_crash_limit() {
        return Ok(());
    }
    store.delete(&key, object.version).await
}
