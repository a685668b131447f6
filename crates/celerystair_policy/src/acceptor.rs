//! Which process accepted a connection to an upstream. An upstream may start again under its identifier and
//! at its address, with another version of its software. What arrives on a connection is of the process that
//! accepted it, whichever listens by then: after a cut it may be of a process that has long ended.
//!
//! A process knows when it began to open a connection and when it learnt of a start, both by its own clock.
//! A connection that was opened after that is of this start or a later one. One that was opened before is of any
//! start since the one that it was meant for, unless the process has told on it.

use celerystair_core::prelude::*;

use crate::suspects::UpstreamIncarnation;

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
