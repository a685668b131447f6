//! Which requests are refused because they crash upstreams: a request may take down each upstream
//! that runs it while its caller keeps sending it again.
//!
//! An incarnation of an upstream crashes at most once. So the answers that identical requests lose
//! at one incarnation count as one crash at most, also when a broken link loses all of them without
//! any crash. For the same reason, runs of identical requests that overlap in time at one router
//! count once: a broken link or a restarted switch cuts off several upstreams in one moment, while a
//! request that crashes upstreams is sent again only after the crash before.
//!
//! A caller retries at other routers, so the crashes are counted over all of them: routers and
//! agents exchange [`SuspectReport`]s, each of which adds to what its receiver knows. A crash has an
//! identifier of its own, so a report that arrives twice, late or over other processes counts once.
//!
//! Upstreams that crash lose the answers of harmless requests, too. A request that was answered before
//! is refused only after one crash more, and of its crashes those don't count that a refused request
//! explains which was never answered.
//!
//! A lost answer is no proof of a crash. So a proven answer clears the crashes recorded so far, see
//! [`is_proven_answer`], and an incarnation that is still listed seconds later counts as alive.

use celerystair_core::{prelude::*, rendezvous::fingerprint as hash_bytes};

use crate::recent_answers::RecentAnswers;

/// Crashes after which a request is refused that was never answered.
pub const CRASHES_MAX: u32 = 3;
/// Crashes after which a request is refused that was answered before.
pub const ANSWERED_CRASHES_MAX: u32 = 4;
/// How often a router reports a change: a datagram may be lost, or its relay be frozen.
pub const ROUTER_CHANGE_SENDS: u32 = 3;
/// How often an agent reports a change further; each agent of its failure domain does.
pub const AGENT_CHANGE_SENDS: u32 = 2;
/// The shortest time between two rounds of reports of a process.
pub const REPORT_ROUND_MS: u64 = 150;
/// How often a process reports back that a request of which it is told was answered.
const CORRECTION_SENDS: u32 = 1;
/// How often a process reports suspects that have not changed.
pub const REPORT_SAMPLE_MS: u64 = 1000;
/// A request is forgotten when it has caused no crash for this long.
const RETENTION_MS: u64 = 120_000;
/// An upstream that has crashed is no longer listed after this time: entries expire after three
/// heartbeats of about a second, and reach routers within one or two.
pub const UNLISTED_AFTER_MS: u64 = 10_000;
/// The most requests that are remembered; of those with the fewest crashes, the oldest is dropped
/// first.
const SUSPECTS_MAX: usize = 256;
/// The most crashes that are remembered of one request. Routers that learn of a crash at the same time
/// may exceed [`CRASHES_MAX`], and some crashes may be explained by another request.
const CRASHES_REMEMBERED_MAX: usize = 8;
/// The most cleared crashes that are remembered of one request. One that is forgotten counts again if
/// a process reports it that has not heard of the clearing.
const CLEARED_MAX: usize = 16;

/// Returns the fingerprint by which the repeats of a request are recognised, whatever their ids. The
/// method and the host are part of it, as other callers' requests may have the same path.
pub fn request_fingerprint(method: &str, host: &str, target: &str, body: &[u8]) -> u64 {
    let fields = [
        method.as_bytes(),
        &host.to_ascii_lowercase().into_bytes(),
        target.as_bytes(),
        body,
    ];
    let mut bytes = Vec::with_capacity(fields.iter().map(|field| field.len() + 8).sum());
    for field in fields {
        // The length keeps the end of one field apart from the start of the next.
        bytes.extend_from_slice(&(field.len() as u64).to_le_bytes());
        bytes.extend_from_slice(field);
    }
    hash_bytes(&bytes)
}

/// Whether a response proves that its request crashes no upstream. An upstream that fails a part of
/// its requests may write an error before it begins the work that would crash it, and a response
/// whose end is not marked may have been cut off by the crash.
pub fn is_proven_answer(is_success: bool, is_end_marked: bool) -> bool {
    is_success && is_end_marked
}

/// One run of an upstream's process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpstreamIncarnation {
    /// The upstream.
    pub upstream: UpstreamId,
    /// When it started, which tells apart incarnations under the same identifier.
    pub started_unix_ms: u64,
}

impl UpstreamIncarnation {
    /// Returns the identifier of this incarnation's crash, which is the same at every process.
    pub fn crash_id(&self) -> CrashId {
        let mut bytes = self.upstream.as_bytes().to_vec();
        bytes.extend_from_slice(&self.started_unix_ms.to_le_bytes());
        CrashId(hash_bytes(&bytes))
    }
}

/// Identifies the crash of one incarnation of an upstream: a hash of the incarnation.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct CrashId(pub u64);

/// How many crashes of one incarnation are told apart: all but the last were false.
const CRASHES_PER_INCARNATION_MAX: usize = 4;

impl CrashId {
    /// Returns the identifiers of the crashes of the incarnation with this first one, of which each
    /// stands for a crash after the one before was cleared.
    fn of_incarnation(self) -> impl Iterator<Item = CrashId> {
        let next = |id: &CrashId| Some(CrashId(hash_bytes(&id.0.to_le_bytes())));
        std::iter::successors(Some(self), next).take(CRASHES_PER_INCARNATION_MAX)
    }
}

/// A run of a request that ended without a complete answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LostRun {
    /// The incarnation that ran the request.
    pub incarnation: UpstreamIncarnation,
    /// When the request was sent.
    pub sent_unix_ms: u64,
    /// When the connection was lost.
    pub ended_unix_ms: u64,
}

/// What one process tells another about one request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SuspectReport {
    /// The request's fingerprint.
    pub fingerprint: u64,
    /// The crashes of upstreams that ran it.
    pub crashes: Vec<CrashId>,
    /// Crashes that were recorded of it and don't count any more.
    pub cleared: Vec<CrashId>,
    /// Whether it has got a proven answer.
    pub is_answered: bool,
    /// Time until the report expires. A duration, because clocks differ between processes.
    pub expires_in_ms: u64,
}

/// What became of a crash that a process has seen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CrashOutcome {
    /// It counts from now on.
    Counted,
    /// The crash of this incarnation was known.
    Known,
    /// The crash of this incarnation was cleared before, as no crash of the request's making.
    Cleared,
    /// The run overlaps another one that counts, so the same event may have ended both.
    SameEvent,
    /// As many crashes of the request are known as are remembered.
    Surplus,
}

impl CrashOutcome {
    /// Returns the form that logs use.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Counted => "counted",
            Self::Known => "known",
            Self::Cleared => "cleared",
            Self::SameEvent => "same_event",
            Self::Surplus => "surplus",
        }
    }
}

/// The number of requests that a [`Suspects`] holds.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SuspectCounts {
    /// Requests with at least one recorded crash.
    pub remembered: u32,
    /// Those of them that are refused.
    pub refused: u32,
}

/// Requests whose upstream may have crashed while it ran them, by fingerprint.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    by_fingerprint: HashMap<u64, Suspect>,
    answered: RecentAnswers<u64>,
}

#[derive(Clone, Copy, Debug)]
struct KnownCrash {
    id: CrashId,
    learned_unix_ms: u64,
}

#[derive(Clone, Debug, Default)]
struct Suspect {
    crashes: Vec<KnownCrash>,
    cleared: Vec<CrashId>,
    /// When this process's own runs that count as crashes were sent, and when they ended.
    own_run_spans_unix_ms: Vec<(u64, u64)>,
    forget_unix_ms: u64,
    is_answered: bool,
    /// How often the request is still to be reported since it last changed.
    pending_sends: u32,
}

impl Suspect {
    fn crashes_max(&self) -> usize {
        let crashes_max = if self.is_answered {
            ANSWERED_CRASHES_MAX
        } else {
            CRASHES_MAX
        };
        crashes_max as usize
    }

    /// Whether it is refused if nothing else explains its crashes.
    fn has_enough_crashes(&self) -> bool {
        self.crashes.len() >= self.crashes_max()
    }

    /// Returns the identifier of the incarnation's next crash. An upstream that was alive after all may
    /// still crash, but one that loses answers of a request that was answered before rather does not.
    fn next_crash_id(&self, incarnation: &UpstreamIncarnation) -> CrashId {
        let first = incarnation.crash_id();
        let mut ids = first.of_incarnation();
        let next = ids.find(|id| !self.cleared.contains(id) && !self.is_answered);
        next.unwrap_or(first)
    }

    /// Adds a crash unless it is known or cleared.
    fn add_crash(&mut self, id: CrashId, now_unix_ms: u64) -> CrashOutcome {
        if self.crashes.iter().any(|known| known.id == id) {
            return CrashOutcome::Known;
        }
        if self.cleared.contains(&id) {
            return CrashOutcome::Cleared;
        }
        if self.crashes.len() >= CRASHES_REMEMBERED_MAX {
            return CrashOutcome::Surplus;
        }
        self.crashes.push(KnownCrash {
            id,
            learned_unix_ms: now_unix_ms,
        });
        CrashOutcome::Counted
    }

    /// Marks a crash as one that doesn't count; returns whether that changed anything.
    fn clear_crash(&mut self, id: CrashId) -> bool {
        self.crashes.retain(|known| known.id != id);
        let is_new = !self.cleared.contains(&id);
        if is_new {
            let surplus = (self.cleared.len() + 1).saturating_sub(CLEARED_MAX);
            self.cleared.drain(..surplus);
            self.cleared.push(id);
        }
        is_new
    }

    fn report(&self, fingerprint: u64, now_unix_ms: u64) -> SuspectReport {
        SuspectReport {
            fingerprint,
            crashes: self.crashes.iter().map(|crash| crash.id).collect(),
            cleared: self.cleared.clone(),
            is_answered: self.is_answered,
            expires_in_ms: self.forget_unix_ms.saturating_sub(now_unix_ms),
        }
    }
}

impl Suspects {
    /// Records that an incarnation may have crashed while it ran the request, to be reported
    /// `sends` times. Returns the number of crashes so far, and whether this one counts.
    pub fn record_crash(
        &mut self,
        fingerprint: u64,
        run: &LostRun,
        sends: u32,
        now_unix_ms: u64,
    ) -> (u32, CrashOutcome) {
        let suspect = self.entry(fingerprint, now_unix_ms);
        suspect.forget_unix_ms = now_unix_ms + RETENTION_MS;
        let overlaps = |(sent_unix_ms, ended_unix_ms): &(u64, u64)| {
            *sent_unix_ms < run.ended_unix_ms && run.sent_unix_ms < *ended_unix_ms
        };
        let is_same_event = suspect.own_run_spans_unix_ms.iter().any(overlaps);
        let outcome = if is_same_event {
            CrashOutcome::SameEvent
        } else {
            let id = suspect.next_crash_id(&run.incarnation);
            suspect.add_crash(id, now_unix_ms)
        };
        if outcome == CrashOutcome::Counted {
            let span = (run.sent_unix_ms, run.ended_unix_ms);
            suspect.own_run_spans_unix_ms.push(span);
            suspect.pending_sends = sends;
        }
        (suspect.crashes.len() as u32, outcome)
    }

    /// Adds what another process reports, to be reported further `sends` times. Returns the number
    /// of crashes that are known now if the report held anything new.
    pub fn merge(&mut self, report: &SuspectReport, sends: u32, now_unix_ms: u64) -> Option<u32> {
        if report.expires_in_ms == 0 {
            return None;
        }
        let suspect = self.entry(report.fingerprint, now_unix_ms);
        let forget_unix_ms = now_unix_ms + report.expires_in_ms.min(RETENTION_MS);
        suspect.forget_unix_ms = suspect.forget_unix_ms.max(forget_unix_ms);
        let mut is_new = report.is_answered && !suspect.is_answered;
        suspect.is_answered |= report.is_answered;
        // The sender may not know of an answer that this process has seen.
        if suspect.is_answered && !report.is_answered {
            suspect.pending_sends = suspect.pending_sends.max(CORRECTION_SENDS);
        }
        for crash in report.cleared.iter().take(CLEARED_MAX) {
            is_new |= suspect.clear_crash(*crash);
        }
        for crash in &report.crashes {
            is_new |= suspect.add_crash(*crash, now_unix_ms) == CrashOutcome::Counted;
        }
        if is_new {
            suspect.pending_sends = suspect.pending_sends.max(sends);
        }
        is_new.then_some(suspect.crashes.len() as u32)
    }

    /// Clears a request that received a proven answer and so doesn't crash upstreams, to be
    /// reported `sends` times. Returns the number of crashes that were recorded for it.
    pub fn clear(&mut self, fingerprint: u64, sends: u32, now_unix_ms: u64) -> u32 {
        self.answered.insert(fingerprint, now_unix_ms);
        let Some(suspect) = self.by_fingerprint.get_mut(&fingerprint) else {
            return 0;
        };
        suspect.is_answered = true;
        let crashes = std::mem::take(&mut suspect.crashes);
        for crash in &crashes {
            suspect.clear_crash(crash.id);
        }
        suspect.own_run_spans_unix_ms.clear();
        if !crashes.is_empty() {
            suspect.pending_sends = sends;
        }
        crashes.len() as u32
    }

    /// Clears the crashes of incarnations that are still alive when the list of upstreams should have
    /// dropped them, to be reported `sends` times. Returns the fingerprints of the requests that had
    /// any.
    pub fn clear_alive(&mut self, alive: &[CrashId], sends: u32, now_unix_ms: u64) -> Vec<u64> {
        self.clear_crashes(sends, |crash| {
            let mut ids = alive.iter().flat_map(|alive| alive.of_incarnation());
            now_unix_ms >= crash.learned_unix_ms + UNLISTED_AFTER_MS && ids.any(|id| id == crash.id)
        })
    }

    /// Clears the crash of an incarnation that has answered since, to be reported `sends` times.
    /// Returns the fingerprints of the requests that had it.
    pub fn clear_false_crash(&mut self, id: CrashId, sends: u32) -> Vec<u64> {
        let ids: Vec<CrashId> = id.of_incarnation().collect();
        self.clear_crashes(sends, |crash| ids.contains(&crash.id))
    }

    fn clear_crashes(&mut self, sends: u32, is_false: impl Fn(&KnownCrash) -> bool) -> Vec<u64> {
        let mut cleared = Vec::new();
        for (fingerprint, suspect) in &mut self.by_fingerprint {
            let crashes = suspect.crashes.iter();
            let false_crashes: Vec<CrashId> = crashes
                .filter(|crash| is_false(crash))
                .map(|crash| crash.id)
                .collect();
            for id in &false_crashes {
                suspect.clear_crash(*id);
            }
            if !false_crashes.is_empty() {
                suspect.pending_sends = sends;
                cleared.push(*fingerprint);
            }
        }
        cleared
    }

    /// Whether the request has caused enough crashes to be refused.
    pub fn is_refused(&self, fingerprint: u64, now_unix_ms: u64) -> bool {
        self.refused_until_unix_ms(fingerprint, now_unix_ms, |_| false)
            .is_some()
    }

    /// Returns the crashes, in order, of each request that was never answered and has caused enough of
    /// them to be refused.
    pub fn crashing_requests(&self, now_unix_ms: u64) -> Vec<Vec<CrashId>> {
        let mut requests: Vec<Vec<CrashId>> = self
            .crashing_unanswered(now_unix_ms)
            .map(|suspect| {
                let mut ids: Vec<CrashId> = suspect.crashes.iter().map(|crash| crash.id).collect();
                ids.sort_unstable_by_key(|id| id.0);
                ids
            })
            .collect();
        requests.sort_unstable_by_key(|ids| ids.first().map(|id| id.0));
        requests
    }

    /// Returns until when the request is refused, or `None` if it isn't. A request that was never
    /// answered is not refused if something else explains all of its crashes; for one that was answered,
    /// each explained crash counts for nothing.
    pub fn refused_until_unix_ms(
        &self,
        fingerprint: u64,
        now_unix_ms: u64,
        mut is_explained: impl FnMut(CrashId) -> bool,
    ) -> Option<u64> {
        let suspect = self.by_fingerprint.get(&fingerprint)?;
        if !suspect.has_enough_crashes() || suspect.forget_unix_ms <= now_unix_ms {
            return None;
        }
        let (explained, unexplained_min) = if suspect.is_answered {
            let others = self.crashing_unanswered(now_unix_ms);
            let crashes = others.flat_map(|other| &other.crashes);
            let explained: HashSet<CrashId> = crashes.map(|crash| crash.id).collect();
            (explained, suspect.crashes_max())
        } else {
            (HashSet::default(), 1)
        };
        let crashes = suspect.crashes.iter();
        let unexplained = crashes
            .filter(|crash| !explained.contains(&crash.id) && !is_explained(crash.id))
            .count();
        (unexplained >= unexplained_min).then_some(suspect.forget_unix_ms)
    }

    /// Returns the requests that were never answered and have caused enough crashes to be refused.
    fn crashing_unanswered(&self, now_unix_ms: u64) -> impl Iterator<Item = &Suspect> {
        let suspects = self.by_fingerprint.values();
        suspects.filter(move |suspect| {
            !suspect.is_answered
                && suspect.has_enough_crashes()
                && suspect.forget_unix_ms > now_unix_ms
        })
    }

    /// Whether [`Suspects::take_pending`] would return anything.
    pub fn has_pending(&self) -> bool {
        let mut suspects = self.by_fingerprint.values();
        suspects.any(|suspect| suspect.pending_sends > 0)
    }

    /// Returns reports of up to `count` requests that changed: first those that were reported least
    /// often since, and of them those with the most crashes.
    pub fn take_pending(&mut self, count: usize, now_unix_ms: u64) -> Vec<SuspectReport> {
        self.remove_expired(now_unix_ms);
        let suspects = self.by_fingerprint.iter_mut();
        let mut pending: Vec<(&u64, &mut Suspect)> =
            suspects.filter(|(_, s)| s.pending_sends > 0).collect();
        pending.sort_by_key(|(_, s)| std::cmp::Reverse((s.pending_sends, s.crashes.len())));
        let taken = pending.into_iter().take(count);
        taken
            .map(|(fingerprint, suspect)| {
                suspect.pending_sends -= 1;
                suspect.report(*fingerprint, now_unix_ms)
            })
            .collect()
    }

    /// Returns reports of up to `count` requests, for a receiver that may have missed them or
    /// started since: first those that are refused, then others, of which `draw` selects.
    pub fn sample(&mut self, count: usize, draw: u64, now_unix_ms: u64) -> Vec<SuspectReport> {
        self.remove_expired(now_unix_ms);
        let mut suspects: Vec<(&u64, &Suspect)> = self.by_fingerprint.iter().collect();
        suspects.sort_by_key(|(fingerprint, suspect)| {
            let order = hash_bytes(&(*fingerprint ^ draw).to_le_bytes());
            (!suspect.has_enough_crashes(), order)
        });
        let selected = suspects.into_iter().take(count);
        selected
            .map(|(fingerprint, suspect)| suspect.report(*fingerprint, now_unix_ms))
            .collect()
    }

    /// Returns how many requests are remembered, and how many of them are refused.
    pub fn counts(&self, now_unix_ms: u64) -> SuspectCounts {
        let suspects = self.by_fingerprint.values();
        let remembered =
            suspects.filter(|s| !s.crashes.is_empty() && s.forget_unix_ms > now_unix_ms);
        let mut counts = SuspectCounts::default();
        for suspect in remembered {
            counts.remembered += 1;
            counts.refused += u32::from(suspect.has_enough_crashes());
        }
        counts
    }

    fn remove_expired(&mut self, now_unix_ms: u64) {
        self.by_fingerprint
            .retain(|_, suspect| suspect.forget_unix_ms > now_unix_ms);
    }

    /// Returns the request's entry, for which it drops another one if too many are remembered.
    fn entry(&mut self, fingerprint: u64, now_unix_ms: u64) -> &mut Suspect {
        self.remove_expired(now_unix_ms);
        let is_new = !self.by_fingerprint.contains_key(&fingerprint);
        if is_new && self.by_fingerprint.len() >= SUSPECTS_MAX {
            let suspects = self.by_fingerprint.iter();
            // An upstream that crashes makes suspects of all the requests that it ran, so those with
            // one crash are many, and those near refusal are few.
            let dropped =
                suspects.min_by_key(|(_, suspect)| (suspect.crashes.len(), suspect.forget_unix_ms));
            if let Some(dropped) = dropped.map(|(fingerprint, _)| *fingerprint) {
                self.by_fingerprint.remove(&dropped);
            }
        }
        let is_answered = self.answered.get(fingerprint).is_some();
        let suspect = self.by_fingerprint.entry(fingerprint).or_default();
        suspect.is_answered |= is_answered;
        suspect
    }
}
