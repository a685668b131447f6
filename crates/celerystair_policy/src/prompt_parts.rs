//! Which parts of prompts crash upstreams: one part may take down each upstream that begins to write
//! an answer on it, whatever else the request holds, so the requests themselves are never alike.
//!
//! A crash cuts off all requests at the upstream, with all of their parts, and only one part of one
//! of them has caused it. What tells that part from the others, of which some are in most requests:
//!
//! * No request with it gets an answer that begins after a crash and is complete, or still coming
//!   [`FRESH_MS`] later. Such an answer shows that the parts of its prompt caused neither that crash
//!   nor earlier ones.
//! * A part whose requests never got a complete answer needs less evidence than one that was
//!   answered before. Only those of its crashes count that come as an answer begins.
//! * It crashes one upstream after the other. Crashes within [`SAME_CAUSE_MS`] may have a common
//!   cause, such as a rack that lost power.
//! * Several requests contain it. If all crashes are one request's, that request is refused, see
//!   [`Suspects`](crate::suspects::Suspects).
//! * It explains crashes: those of a part that is refused count neither for other parts nor for a
//!   request that ran at no other crash.
//! * No single request explains all of them. A request that ran at each crash of a part is the
//!   narrower cause, and refusing it shows which one it is: the next crash has the part or has not.
//!
//! The crashes are added up over all routers by [`PartReport`]s, as for single requests.
//! `docs/PLATFORM.md` tells what else was weighed.

use celerystair_core::{prelude::*, rendezvous::fingerprint as hash_bytes};

use crate::{
    recent_answers::RecentAnswers,
    suspect_part::{
        CRASHES_REMEMBERED_MAX, PART_CRASHES_MAX, PartCrash, PartReport, PromptPartId,
        RETENTION_MS, SuspectPart,
    },
    suspects::{CrashId, UNLISTED_AFTER_MS},
};

/// How often a process reports back that a crash which it is told of no longer counts.
const CORRECTION_SENDS: u32 = 3;
/// The most parts that are suspected at a time; of those with the fewest crashes, the oldest is
/// dropped first.
const PARTS_MAX: usize = 1024;

/// Why a part is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PartRefusal {
    /// The part.
    pub part: PromptPartId,
    /// The crashes that count.
    pub crashes: u32,
    /// How many of them this process saw itself.
    pub own_crashes: u32,
    /// When the part is forgotten.
    pub until_unix_ms: u64,
}

/// The number of parts that a [`SuspectParts`] holds.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PartCounts {
    /// Parts with at least one recorded crash.
    pub remembered: u32,
    /// Those of them that are refused.
    pub refused: u32,
}

/// A part whose evidence suffices.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    part: PromptPartId,
    is_answered: bool,
    position: u32,
    crashes: usize,
}

/// The parts that are refused, as of the last change.
#[derive(Clone, Debug, Default)]
struct Attribution {
    refused: HashMap<PromptPartId, u32>,
    /// The crashes of these parts.
    explained: HashSet<CrashId>,
    /// When the attribution changes without any change of the evidence.
    valid_until_unix_ms: u64,
}

/// Parts of prompts that were in flight when upstreams crashed.
#[derive(Clone, Debug, Default)]
pub struct SuspectParts {
    parts: HashMap<PromptPartId, SuspectPart>,
    answered: RecentAnswers<PromptPartId>,
    /// The crashes of each request that has caused enough of them, see
    /// [`SuspectParts::set_crashing_requests`].
    crashing_requests: Vec<Vec<CrashId>>,
    attribution: Attribution,
}

impl SuspectParts {
    /// Records that an upstream ended while it ran a request with the part, to be reported `sends`
    /// times. `position` counts from the start of the prompt.
    pub fn record_crash(
        &mut self,
        part: PromptPartId,
        position: u32,
        crash: &PartCrash,
        sends: u32,
        now_unix_ms: u64,
    ) {
        let answered_unix_ms = self.answered.get(part);
        let suspect = self.entry(part, now_unix_ms);
        suspect.position = suspect.position.max(position);
        if let Some(began_unix_ms) = answered_unix_ms {
            suspect.mark_answered(began_unix_ms);
        }
        suspect.extend_retention(RETENTION_MS, now_unix_ms);
        if suspect.add_crash(crash) {
            suspect.pending_sends = sends;
        }
        if !suspect.own.contains(&crash.id) && suspect.own.len() < CRASHES_REMEMBERED_MAX {
            suspect.own.push(crash.id);
        }
        self.attribution.valid_until_unix_ms = 0;
    }

    /// Records a complete answer that began at `began_unix_ms` to a request with these parts, to be
    /// reported `sends` times where it changes anything.
    pub fn record_answer(
        &mut self,
        parts: impl IntoIterator<Item = PromptPartId>,
        began_unix_ms: u64,
        sends: u32,
    ) {
        for part in parts {
            self.answered.insert(part, began_unix_ms);
            let Some(suspect) = self.parts.get_mut(&part) else {
                continue;
            };
            if suspect.mark_answered(began_unix_ms) {
                suspect.pending_sends = sends;
                self.attribution.valid_until_unix_ms = 0;
            }
        }
    }

    /// Records an answer that began at `began_unix_ms` to a request with these parts and has been
    /// coming for [`FRESH_MS`], to be reported `sends` times where it changes anything.
    pub fn record_survival(
        &mut self,
        parts: impl IntoIterator<Item = PromptPartId>,
        began_unix_ms: u64,
        sends: u32,
    ) {
        for part in parts {
            let Some(suspect) = self.parts.get_mut(&part) else {
                continue;
            };
            if suspect.mark_known_good(began_unix_ms) {
                suspect.pending_sends = sends;
                self.attribution.valid_until_unix_ms = 0;
            }
        }
    }

    /// Adds what another process reports, to be reported further `sends` times. Returns whether the
    /// report held anything new.
    pub fn merge(&mut self, report: &PartReport, sends: u32, now_unix_ms: u64) -> bool {
        if report.expires_in_ms == 0 {
            return false;
        }
        let answered_unix_ms = self.answered.get(report.part);
        let suspect = self.entry(report.part, now_unix_ms);
        if let Some(began_unix_ms) = answered_unix_ms {
            suspect.mark_answered(began_unix_ms);
        }
        suspect.position = suspect.position.max(report.position);
        let mut is_new = report.is_answered && !suspect.is_answered;
        suspect.is_answered |= report.is_answered;
        if let Some(known_good_ms_ago) = report.known_good_ms_ago {
            is_new |= suspect.mark_known_good(now_unix_ms.saturating_sub(known_good_ms_ago));
        }
        suspect.extend_retention(report.expires_in_ms, now_unix_ms);
        let mut is_outdated = suspect.is_answered && !report.is_answered;
        for id in report.cleared.iter().take(CRASHES_REMEMBERED_MAX) {
            is_new |= suspect.clear_crash(*id);
        }
        for crash in &report.crashes {
            let crash = PartCrash {
                id: crash.id,
                request: crash.request,
                since_unix_ms: now_unix_ms.saturating_sub(crash.since_ms_ago),
                ended_unix_ms: now_unix_ms.saturating_sub(crash.ended_ms_ago),
                is_fresh: crash.is_fresh,
            };
            is_outdated |= suspect
                .known_good_unix_ms
                .is_some_and(|t| t >= crash.ended_unix_ms);
            is_new |= suspect.add_crash(&crash);
        }
        if is_outdated {
            suspect.pending_sends = suspect.pending_sends.max(CORRECTION_SENDS);
        }
        if is_new {
            suspect.pending_sends = suspect.pending_sends.max(sends);
            self.attribution.valid_until_unix_ms = 0;
        }
        is_new
    }

    /// Clears crashes of upstreams that turned out to be alive, to be reported `sends` times.
    pub fn clear_crashes(&mut self, ids: &[CrashId], sends: u32) {
        for suspect in self.parts.values_mut() {
            for id in ids {
                if suspect.crashes.iter().any(|crash| crash.id == *id) {
                    suspect.clear_crash(*id);
                    suspect.pending_sends = sends;
                }
            }
        }
        self.attribution.valid_until_unix_ms = 0;
    }

    /// Returns the crashes of those incarnations that are still alive when the list of upstreams
    /// should have dropped them.
    pub fn false_crashes(&self, alive: &[CrashId], now_unix_ms: u64) -> Vec<CrashId> {
        let crashes = self.parts.values().flat_map(|suspect| &suspect.crashes);
        let old = crashes.filter(|crash| now_unix_ms >= crash.ended_unix_ms + UNLISTED_AFTER_MS);
        let known: HashSet<CrashId> = old.map(|crash| crash.id).collect();
        let alive = alive.iter().copied();
        alive.filter(|id| known.contains(id)).collect()
    }

    /// Sets the crashes of single requests that have caused enough of them to be refused, as
    /// [`Suspects::crashing_requests`](crate::suspects::Suspects::crashing_requests) returns them.
    pub fn set_crashing_requests(&mut self, crashes_by_request: Vec<Vec<CrashId>>) {
        if self.crashing_requests != crashes_by_request {
            self.crashing_requests = crashes_by_request;
            self.attribution.valid_until_unix_ms = 0;
        }
    }

    /// Whether no part is suspected.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// Returns why a request with these parts is refused, or `None` if it isn't.
    pub fn refusal(
        &mut self,
        parts: impl IntoIterator<Item = PromptPartId>,
        now_unix_ms: u64,
    ) -> Option<PartRefusal> {
        if self.parts.is_empty() {
            return None;
        }
        self.update_attribution(now_unix_ms);
        let refused = &self.attribution.refused;
        let mut parts = parts.into_iter();
        let part = parts.find(|part| refused.contains_key(part))?;
        let suspect = self.parts.get(&part)?;
        let own = suspect.own.iter();
        let is_counted = |id: &&CrashId| suspect.crashes.iter().any(|crash| crash.id == **id);
        Some(PartRefusal {
            part,
            crashes: refused[&part],
            own_crashes: own.filter(is_counted).count() as u32,
            until_unix_ms: suspect.forget_unix_ms,
        })
    }

    /// Returns whether a part that is refused explains the crash, which then counts for nothing
    /// else.
    pub fn is_explained(&mut self, crash: CrashId, now_unix_ms: u64) -> bool {
        self.update_attribution(now_unix_ms);
        self.attribution.explained.contains(&crash)
    }

    /// Returns the parts that are refused.
    pub fn refused_parts(&mut self, now_unix_ms: u64) -> Vec<PromptPartId> {
        self.update_attribution(now_unix_ms);
        self.attribution.refused.keys().copied().collect()
    }

    /// Returns how many parts are remembered, and how many of them are refused.
    pub fn part_counts(&mut self, now_unix_ms: u64) -> PartCounts {
        self.update_attribution(now_unix_ms);
        let suspects = self.parts.values();
        PartCounts {
            remembered: suspects.filter(|part| !part.crashes.is_empty()).count() as u32,
            refused: self.attribution.refused.len() as u32,
        }
    }

    /// Whether [`SuspectParts::take_pending`] would return anything.
    pub fn has_pending(&self) -> bool {
        self.parts.values().any(|suspect| suspect.pending_sends > 0)
    }

    /// Returns reports of up to `count` parts that changed: first those that were reported least
    /// often since, and of them those with the most crashes.
    pub fn take_pending(&mut self, count: usize, now_unix_ms: u64) -> Vec<PartReport> {
        self.remove_expired(now_unix_ms);
        let mut pending: Vec<(&PromptPartId, &mut SuspectPart)> = self
            .parts
            .iter_mut()
            .filter(|(_, suspect)| suspect.pending_sends > 0)
            .collect();
        pending.sort_by_key(|(_, suspect)| {
            std::cmp::Reverse((suspect.pending_sends, suspect.crashes.len()))
        });
        let taken = pending.into_iter().take(count);
        taken
            .map(|(part, suspect)| {
                suspect.pending_sends -= 1;
                suspect.report(*part, now_unix_ms)
            })
            .collect()
    }

    /// Returns reports of up to `count` parts, for a receiver that may have missed them or started
    /// since: first those that are refused, then others, of which `draw` selects.
    pub fn sample(&mut self, count: usize, draw: u64, now_unix_ms: u64) -> Vec<PartReport> {
        self.update_attribution(now_unix_ms);
        let mut parts: Vec<(&PromptPartId, &SuspectPart)> = self.parts.iter().collect();
        parts.sort_by_cached_key(|(part, _)| {
            let order = hash_bytes(&(part.0 ^ draw).to_le_bytes());
            (!self.attribution.refused.contains_key(part), order)
        });
        let selected = parts.into_iter().take(count);
        selected
            .map(|(part, suspect)| suspect.report(*part, now_unix_ms))
            .collect()
    }

    /// Finds the parts that explain the crashes: those with the most evidence first, each with the
    /// crashes that no other one explains.
    fn update_attribution(&mut self, now_unix_ms: u64) {
        if now_unix_ms < self.attribution.valid_until_unix_ms {
            return;
        }
        self.remove_expired(now_unix_ms);
        let mut attribution = Attribution {
            valid_until_unix_ms: u64::MAX,
            ..Attribution::default()
        };
        let mut order: Vec<PromptPartId> = Vec::new();
        while let Some(candidate) = self.strongest_suspect(&mut attribution, now_unix_ms) {
            let part = candidate.part;
            let suspect = &self.parts[&part];
            attribution
                .explained
                .extend(suspect.crashes.iter().map(|crash| crash.id));
            attribution.refused.insert(part, candidate.crashes as u32);
            order.push(part);
        }
        // Of parts that are each explained by the others, the weakest was refused on too little.
        order.sort_by_key(|part| (self.parts[part].crashes.len(), part.0));
        for part in order {
            let others = attribution.refused.keys().filter(|other| **other != part);
            let explained = others.flat_map(|other| &self.parts[other].crashes);
            let explained: HashSet<CrashId> = explained.map(|crash| crash.id).collect();
            if self.parts[&part].evidence(&explained).crashes == 0 {
                attribution.refused.remove(&part);
            }
        }
        let next_expiry = self
            .parts
            .values()
            .map(|suspect| suspect.forget_unix_ms)
            .min();
        let valid_until_unix_ms = next_expiry.unwrap_or(u64::MAX);
        attribution.valid_until_unix_ms = attribution.valid_until_unix_ms.min(valid_until_unix_ms);
        self.attribution = attribution;
    }

    /// Returns the part that most probably caused the crashes that nothing explains yet, if its
    /// evidence suffices.
    fn strongest_suspect(
        &self,
        attribution: &mut Attribution,
        now_unix_ms: u64,
    ) -> Option<Candidate> {
        let mut candidates = Vec::new();
        for (part, suspect) in &self.parts {
            let has_enough = suspect.crashes.len() >= PART_CRASHES_MAX;
            if !has_enough || attribution.refused.contains_key(part) {
                continue;
            }
            if self.is_explained_by_request(suspect, &attribution.explained) {
                continue;
            }
            let evidence = suspect.evidence(&attribution.explained);
            match suspect.refused_from_unix_ms(&evidence) {
                Some(from_unix_ms) if from_unix_ms > now_unix_ms => {
                    attribution.valid_until_unix_ms =
                        attribution.valid_until_unix_ms.min(from_unix_ms);
                }
                Some(_) => candidates.push(Candidate {
                    part: *part,
                    is_answered: suspect.is_answered,
                    position: suspect.position,
                    crashes: evidence.crashes,
                }),
                None => {}
            }
        }
        choose_candidate(candidates)
    }

    /// Returns whether one request ran at each crash that counts for the part.
    fn is_explained_by_request(&self, suspect: &SuspectPart, explained: &HashSet<CrashId>) -> bool {
        self.crashing_requests.iter().any(|crashes| {
            let mut counted = suspect.counted(explained);
            counted.all(|crash| crashes.contains(&crash.id))
        })
    }

    fn remove_expired(&mut self, now_unix_ms: u64) {
        let count = self.parts.len();
        self.parts
            .retain(|_, suspect| suspect.forget_unix_ms > now_unix_ms);
        if self.parts.len() < count {
            self.attribution.valid_until_unix_ms = 0;
        }
    }

    /// Returns the part's entry, for which it drops another one if too many are remembered.
    fn entry(&mut self, part: PromptPartId, now_unix_ms: u64) -> &mut SuspectPart {
        self.remove_expired(now_unix_ms);
        if !self.parts.contains_key(&part) && self.parts.len() >= PARTS_MAX {
            let none = HashSet::default();
            let parts = self.parts.iter();
            let dropped = parts.min_by_key(|(_, suspect)| {
                (suspect.counted(&none).count(), suspect.forget_unix_ms)
            });
            if let Some(dropped) = dropped.map(|(part, _)| *part) {
                self.parts.remove(&dropped);
            }
        }
        self.parts.entry(part).or_default()
    }
}

/// Chooses the most probable of the candidates: one that was never answered, and one with many
/// crashes. A part that comes later in prompts is in fewer requests, and the parts before it are in
/// flight at its crashes too, so it goes before those with a few more.
fn choose_candidate(mut candidates: Vec<Candidate>) -> Option<Candidate> {
    if candidates.iter().any(|candidate| !candidate.is_answered) {
        candidates.retain(|candidate| !candidate.is_answered);
    }
    let crashes_max = candidates.iter().map(|candidate| candidate.crashes).max()?;
    candidates.retain(|candidate| candidate.crashes * 3 >= crashes_max * 2);
    let key = |candidate: &Candidate| (candidate.position, candidate.crashes, candidate.part.0);
    candidates.into_iter().max_by_key(key)
}
