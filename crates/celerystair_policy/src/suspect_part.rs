//! One part of prompts, with the crashes that may be its doing and what speaks for and against that.

use celerystair_core::{prelude::*, rendezvous::fingerprint as hash_bytes};

use crate::suspects::CrashId;

/// How long a response may have been coming when its upstream ends and still be what ended it. An
/// upstream that is four times as slow as usual ends within this time after the first event.
pub const FRESH_MS: u64 = 500;
/// Crashes within this time may have a common cause.
pub const SAME_CAUSE_MS: u64 = 50;
/// Crashes after which a part is refused if none of its requests ever got a complete answer.
pub const PART_CRASHES_MAX: usize = 3;
/// How many of the crashes must have come one after the other.
const SEQUENCE_MIN: usize = 3;
/// Crashes after which a part is refused although requests with it got complete answers before.
pub const ANSWERED_PART_CRASHES_MAX: usize = 5;
/// How long ago the first of them must be. Within this time an answer would clear a part that is in
/// many requests.
const ANSWERED_WAIT_MS: u64 = 1000;
/// How many different requests must contain a part that is refused.
const REQUESTS_MIN: usize = 2;
/// A part that was never answered is forgotten when it has caused no crash for this long.
pub(crate) const RETENTION_MS: u64 = 3_600_000;
/// The same for a part that was answered before: more callers need it, in case it is refused wrongly.
const ANSWERED_RETENTION_MS: u64 = 600_000;
/// The most crashes, and as many cleared ones, that are remembered of one part: those that are learned
/// first.
pub(crate) const CRASHES_REMEMBERED_MAX: usize = 16;

/// Identifies a part of prompts: a hash of the identifier that callers give it.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct PromptPartId(pub u64);

impl PromptPartId {
    /// Returns the identifier of the part that callers name `text`.
    pub fn new(text: &str) -> Self {
        Self(hash_bytes(text.as_bytes()))
    }
}

/// A crash of an upstream while it ran requests that contain a part.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PartCrash {
    /// The crash.
    pub id: CrashId,
    /// Fingerprint of the request that contained the part; the last one of several.
    pub request: u32,
    /// The earliest time of what ended the upstream.
    pub since_unix_ms: u64,
    /// When the connection was lost, or the upstream was found to be gone.
    pub ended_unix_ms: u64,
    /// Whether no response to a request with the part had been coming for longer than
    /// [`FRESH_MS`], so that the part may have caused the crash.
    pub is_fresh: bool,
}

/// What one process tells another about one part.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PartReport {
    /// The part.
    pub part: PromptPartId,
    /// Its position in prompts, counted from 0; the last one if there are several.
    pub position: u32,
    /// The crashes that were recorded of it.
    pub crashes: Vec<PartCrashReport>,
    /// Crashes that turned out to be none.
    pub cleared: Vec<CrashId>,
    /// Time since the latest of its answers began that shows that the part crashes nothing.
    pub known_good_ms_ago: Option<u64>,
    /// Whether a request with it has got a complete answer.
    pub is_answered: bool,
    /// Time until the report expires.
    pub expires_in_ms: u64,
}

/// A [`PartCrash`] in a report. Times are durations, because clocks differ between processes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PartCrashReport {
    /// The crash.
    pub id: CrashId,
    /// Fingerprint of the request that contained the part.
    pub request: u32,
    /// Time since the earliest time of what ended the upstream.
    pub since_ms_ago: u64,
    /// Time since the connection was lost.
    pub ended_ms_ago: u64,
    /// Whether the part may have caused the crash.
    pub is_fresh: bool,
}

/// A part with the crashes of upstreams that ran requests with it.
#[derive(Clone, Debug, Default)]
pub(crate) struct SuspectPart {
    pub(crate) crashes: Vec<PartCrash>,
    /// The crashes that this process recorded itself.
    pub(crate) own: Vec<CrashId>,
    pub(crate) cleared: Vec<CrashId>,
    /// When the latest of its answers began that shows that the part crashes nothing.
    pub(crate) known_good_unix_ms: Option<u64>,
    /// Whether a request with it has got a complete answer.
    pub(crate) is_answered: bool,
    pub(crate) position: u32,
    pub(crate) forget_unix_ms: u64,
    /// How often the part is still to be reported since it last changed.
    pub(crate) pending_sends: u32,
}

/// What speaks for a part as the cause of crashes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct Evidence {
    pub(crate) crashes: usize,
    /// How many of the crashes came one after the other.
    sequence: usize,
    requests: usize,
    first_ended_unix_ms: u64,
}

impl SuspectPart {
    fn is_counted(&self, crash: &PartCrash) -> bool {
        crash.is_fresh || self.is_answered
    }

    pub(crate) fn counted(&self, explained: &HashSet<CrashId>) -> impl Iterator<Item = &PartCrash> {
        let crashes = self.crashes.iter();
        crashes.filter(|crash| self.is_counted(crash) && !explained.contains(&crash.id))
    }

    pub(crate) fn evidence(&self, explained: &HashSet<CrashId>) -> Evidence {
        let mut counted: Vec<&PartCrash> = self.counted(explained).collect();
        counted.sort_by_key(|crash| crash.ended_unix_ms);
        let mut evidence = Evidence {
            crashes: counted.len(),
            first_ended_unix_ms: counted.first().map_or(0, |first| first.ended_unix_ms),
            ..Evidence::default()
        };
        let mut last_ended_unix_ms = 0;
        for crash in &counted {
            if crash.since_unix_ms >= last_ended_unix_ms {
                evidence.sequence += 1;
                last_ended_unix_ms = crash.ended_unix_ms;
            }
        }
        let requests: HashSet<u32> = counted.iter().map(|crash| crash.request).collect();
        evidence.requests = requests.len();
        evidence
    }

    /// Returns whether the evidence suffices, or from when on it will if nothing else changes.
    pub(crate) fn refused_from_unix_ms(&self, evidence: &Evidence) -> Option<u64> {
        if evidence.requests < REQUESTS_MIN {
            return None;
        }
        let (crashes_max, from_unix_ms) = if self.is_answered {
            let wait_until_unix_ms = evidence.first_ended_unix_ms + ANSWERED_WAIT_MS;
            (ANSWERED_PART_CRASHES_MAX, wait_until_unix_ms)
        } else {
            (PART_CRASHES_MAX, 0)
        };
        let suffices = evidence.crashes >= crashes_max && evidence.sequence >= SEQUENCE_MIN;
        suffices.then_some(from_unix_ms)
    }

    /// Adds a crash, or what another run with the part tells of it; returns whether that is new.
    pub(crate) fn add_crash(&mut self, crash: &PartCrash) -> bool {
        let is_known_good_since = self
            .known_good_unix_ms
            .is_some_and(|t| t >= crash.ended_unix_ms);
        if is_known_good_since || self.cleared.contains(&crash.id) {
            return false;
        }
        let Some(known) = self.crashes.iter_mut().find(|known| known.id == crash.id) else {
            if self.crashes.len() >= CRASHES_REMEMBERED_MAX {
                let mut crashes = self.crashes.iter();
                let replaced = crashes.position(|known| crash.is_fresh && !known.is_fresh);
                let Some(replaced) = replaced else {
                    return false;
                };
                self.crashes.remove(replaced);
            }
            self.crashes.push(*crash);
            return true;
        };
        let was_fresh = known.is_fresh;
        known.is_fresh &= crash.is_fresh;
        if crash.since_unix_ms > known.since_unix_ms {
            known.since_unix_ms = crash.since_unix_ms;
            known.request = crash.request;
        }
        known.ended_unix_ms = known.ended_unix_ms.min(crash.ended_unix_ms);
        was_fresh != known.is_fresh
    }

    /// Marks a crash as none; returns whether that is new.
    pub(crate) fn clear_crash(&mut self, id: CrashId) -> bool {
        self.crashes.retain(|crash| crash.id != id);
        let is_new = !self.cleared.contains(&id);
        if is_new {
            let surplus = (self.cleared.len() + 1).saturating_sub(CRASHES_REMEMBERED_MAX);
            self.cleared.drain(..surplus);
            self.cleared.push(id);
        }
        is_new
    }

    /// Records that an answer that shows that the part crashes nothing began at this time; returns
    /// whether a crash no longer counts.
    pub(crate) fn mark_known_good(&mut self, began_unix_ms: u64) -> bool {
        let known = self.known_good_unix_ms.unwrap_or_default();
        self.known_good_unix_ms = Some(known.max(began_unix_ms));
        let crashes_before = self.crashes.len();
        self.crashes
            .retain(|crash| crash.ended_unix_ms > began_unix_ms);
        self.crashes.len() < crashes_before
    }

    /// Records that a complete answer began at this time; returns whether that changes anything.
    pub(crate) fn mark_answered(&mut self, began_unix_ms: u64) -> bool {
        let was_answered = std::mem::replace(&mut self.is_answered, true);
        self.mark_known_good(began_unix_ms) || !was_answered
    }

    /// Remembers the part for up to this time from now on.
    pub(crate) fn extend_retention(&mut self, retention_ms: u64, now_unix_ms: u64) {
        let max_ms = if self.is_answered {
            ANSWERED_RETENTION_MS
        } else {
            RETENTION_MS
        };
        let forget_unix_ms = now_unix_ms + retention_ms.min(max_ms);
        self.forget_unix_ms = self.forget_unix_ms.max(forget_unix_ms);
    }

    pub(crate) fn report(&self, part: PromptPartId, now_unix_ms: u64) -> PartReport {
        let crashes = self.crashes.iter().map(|crash| PartCrashReport {
            id: crash.id,
            request: crash.request,
            since_ms_ago: now_unix_ms.saturating_sub(crash.since_unix_ms),
            ended_ms_ago: now_unix_ms.saturating_sub(crash.ended_unix_ms),
            is_fresh: crash.is_fresh,
        });
        let known_good_ms_ago = self
            .known_good_unix_ms
            .map(|t| now_unix_ms.saturating_sub(t));
        PartReport {
            part,
            position: self.position,
            crashes: crashes.collect(),
            cleared: self.cleared.clone(),
            known_good_ms_ago,
            is_answered: self.is_answered,
            expires_in_ms: self.forget_unix_ms.saturating_sub(now_unix_ms),
        }
    }
}
