//! Which process accepted a connection to an upstream. An upstream may start again under its identifier and
//! at its address, with another version of its software. What arrives on a connection is of the process that
//! accepted it, whichever listens by then: after a cut it may be of a process that has long ended.
//!
//! A process knows when it began to open a connection and when it learnt of a start, both by its own clock.
//! A connection that was opened after that is of this start or a later one. One that was opened before is of any
//! start since the one that it was meant for, unless the process has told on it.

use celerystair_core::prelude::*;

use crate::suspects::UpstreamIncarnation;

/// A process that ends takes at least this long to serve again at its address.
const RESTART_MIN_MS: u64 = 1000;
/// The most starts that are remembered of one upstream.
const STARTS_MAX: usize = 4;
/// How long starts are remembered of an upstream that nobody tells of.
const RETENTION_MS: u64 = 600_000;

/// A start of an upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KnownStart {
    /// When the upstream started, by its own clock.
    pub started_unix_ms: u64,
    /// The version of the software that it started with; `None` if nobody has told.
    pub software_version: Option<SoftwareVersion>,
    /// When this process learnt of the start, by its own clock.
    pub known_unix_ms: u64,
}

/// Who tells of starts. Each tells of one after the other, whatever the clocks say.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartSource {
    /// The upstream's agent.
    Agent,
    /// The list of upstreams.
    List,
}

/// The starts of all upstreams that this process knows of.
#[derive(Clone, Debug, Default)]
pub struct KnownStarts(HashMap<UpstreamId, StartsOfUpstream>);

#[derive(Clone, Debug, Default)]
struct StartsOfUpstream {
    /// In the order of their times.
    starts: Vec<KnownStart>,
    told_by_agent_unix_ms: Option<u64>,
    told_by_list_unix_ms: Option<u64>,
    last_told_unix_ms: u64,
}

impl StartsOfUpstream {
    /// Returns the start that the source has told of last.
    fn last_told(&mut self, source: StartSource) -> &mut Option<u64> {
        match source {
            StartSource::Agent => &mut self.told_by_agent_unix_ms,
            StartSource::List => &mut self.told_by_list_unix_ms,
        }
    }
}

impl KnownStarts {
    /// Records that `source` tells of a run of an upstream as the present one.
    pub fn record(
        &mut self,
        run: &UpstreamIncarnation,
        software_version: Option<&SoftwareVersion>,
        source: StartSource,
        now_unix_ms: u64,
    ) {
        let known = self.0.entry(run.upstream.clone()).or_default();
        known.last_told_unix_ms = now_unix_ms;
        let started_unix_ms = run.started_unix_ms;
        let before = known.last_told(source).replace(started_unix_ms);
        if let Some(before) = before.filter(|before| *before > started_unix_ms) {
            // The upstream's clock has gone back: the run with the later time has ended.
            known.starts.retain(|start| start.started_unix_ms != before);
        }
        let position = known
            .starts
            .binary_search_by_key(&started_unix_ms, |start| start.started_unix_ms);
        match position {
            Ok(index) => {
                let start = &mut known.starts[index];
                if start.software_version.is_none() {
                    start.software_version = software_version.cloned();
                }
            }
            Err(index) => {
                let start = KnownStart {
                    started_unix_ms,
                    software_version: software_version.cloned(),
                    known_unix_ms: now_unix_ms,
                };
                known.starts.insert(index, start);
                let surplus = known.starts.len().saturating_sub(STARTS_MAX);
                known.starts.drain(..surplus);
            }
        }
    }

    /// Returns the starts that come after a run, in their order.
    pub fn later_than(&self, run: &UpstreamIncarnation) -> &[KnownStart] {
        let Some(known) = self.0.get(&run.upstream) else {
            return &[];
        };
        let is_later = |start: &KnownStart| start.started_unix_ms > run.started_unix_ms;
        let first = known.starts.partition_point(|start| !is_later(start));
        &known.starts[first..]
    }

    /// Forgets upstreams that nobody has told of for long, except those that `is_listed`.
    pub fn forget(&mut self, is_listed: impl Fn(&UpstreamId) -> bool, now_unix_ms: u64) {
        self.0.retain(|upstream, known| {
            let end_unix_ms = known.last_told_unix_ms.saturating_add(RETENTION_MS);
            now_unix_ms < end_unix_ms || is_listed(upstream)
        });
    }
}

/// Returns the last of these starts that was known when a connection began to be opened, which is the first
/// that may have accepted it.
fn known_before_opening(later: &[KnownStart], opened_unix_ms: u64) -> Option<usize> {
    later
        .iter()
        .rposition(|start| start.known_unix_ms < opened_unix_ms)
}

/// Returns the software version of the process that accepted a connection which was meant for a run of the
/// version `meant_for`, if all processes that may have accepted it have the same. `later` are the known starts
/// after that run.
pub fn accepting_version(
    meant_for: &SoftwareVersion,
    later: &[KnownStart],
    opened_unix_ms: u64,
) -> Option<SoftwareVersion> {
    let versions = |starts: &[KnownStart], version: Option<&SoftwareVersion>| {
        let mut others = starts.iter().map(|start| start.software_version.as_ref());
        others
            .all(|other| other == version)
            .then(|| version.cloned())
            .flatten()
    };
    match known_before_opening(later, opened_unix_ms) {
        Some(first) => versions(&later[first..], later[first].software_version.as_ref()),
        None => versions(later, Some(meant_for)),
    }
}

/// Which process accepts connections at an upstream's address.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Acceptor {
    /// The one that began the answer.
    Same,
    /// One that started later.
    Later,
    /// It can't be told.
    Unknown,
}

/// What the process that accepts connections has told of its start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReportedStart {
    /// It isn't asked, as only engines report it.
    NotAsked,
    /// It has not told in time.
    Untold,
    /// It started then, by its own clock.
    UnixMs(u64),
}

/// What is known of the process that accepts connections at an upstream's address.
#[derive(Clone, Copy, Debug)]
pub struct AcceptorFacts<'a> {
    /// When the upstream started that began the answer, by its own clock.
    pub started_unix_ms: u64,
    /// What the process has told.
    pub reported: ReportedStart,
    /// Whether the list names a later process at the address or under the upstream's id.
    pub is_later_listed: bool,
    /// The known starts of the upstream after the one that began the answer.
    pub later: &'a [KnownStart],
    /// Whether the list still names the upstream.
    pub is_listed: bool,
    /// When the request was sent, which its upstream has answered.
    pub sent_unix_ms: u64,
    /// When the connection began to be opened.
    pub opened_unix_ms: u64,
    /// When the connection was accepted.
    pub accepted_unix_ms: u64,
}

/// Returns which process accepts connections. That one does is no proof that it is the upstream: after a cut
/// the end of the connection arrives late, when a later process may listen that the list doesn't name yet.
pub fn acceptor(facts: &AcceptorFacts<'_>) -> Acceptor {
    let is_later_known = known_before_opening(facts.later, facts.opened_unix_ms).is_some();
    if facts.is_later_listed || is_later_known {
        return Acceptor::Later;
    }
    match facts.reported {
        ReportedStart::UnixMs(started) if started == facts.started_unix_ms => Acceptor::Same,
        ReportedStart::UnixMs(_) => Acceptor::Later,
        ReportedStart::Untold => Acceptor::Unknown,
        ReportedStart::NotAsked if !facts.later.is_empty() => Acceptor::Unknown,
        ReportedStart::NotAsked => {
            let restarted_unix_ms = facts.sent_unix_ms.saturating_add(RESTART_MIN_MS);
            if facts.is_listed || facts.accepted_unix_ms < restarted_unix_ms {
                Acceptor::Same
            } else {
                Acceptor::Unknown
            }
        }
    }
}
