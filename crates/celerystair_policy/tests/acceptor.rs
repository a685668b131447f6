//! Which process accepted a connection, and at which software version it began a stream.

use celerystair_core::prelude::*;
use celerystair_policy::prelude::*;

const STARTED_UNIX_MS: u64 = 1_000_000;
const OPENED_UNIX_MS: u64 = 2_000_000;

fn start(number: u64, version: &str, known_unix_ms: u64) -> KnownStart {
    KnownStart {
        started_unix_ms: STARTED_UNIX_MS + number,
        software_version: (!version.is_empty()).then(|| version.into()),
        known_unix_ms,
    }
}

/// Late events of a start before were taken for ones of the later start.
#[test]
fn a_stream_is_of_the_version_of_the_process_that_accepted_its_connection() {
    let (before, after) = (OPENED_UNIX_MS - 1, OPENED_UNIX_MS + 1);
    for (later, expected) in [
        (vec![], Some("v1")),
        (vec![start(1, "v2", before)], Some("v2")),
        // The later start may have accepted it before this process learnt of it.
        (vec![start(1, "v2", after)], None),
        (vec![start(1, "v2", OPENED_UNIX_MS)], None),
        (vec![start(1, "v1", after)], Some("v1")),
        (vec![start(1, "", before)], None),
        (vec![start(1, "", after)], None),
        (
            vec![start(1, "v2", before), start(2, "v2", after)],
            Some("v2"),
        ),
        (vec![start(1, "v2", before), start(2, "v1", after)], None),
        (vec![start(1, "v2", after), start(2, "v1", after)], None),
        (
            vec![start(1, "v2", before), start(2, "v3", before)],
            Some("v3"),
        ),
    ] {
        let version = accepting_version(&"v1".into(), &later, OPENED_UNIX_MS);
        assert_eq!(version, expected.map(SoftwareVersion::from), "{later:?}");
    }
}

#[test]
fn a_later_start_counts_by_when_it_became_known() {
    let same = ReportedStart::UnixMs(STARTED_UNIX_MS);
    for (known_unix_ms, reported, expected) in [
        (OPENED_UNIX_MS - 1, same, Acceptor::Later),
        (OPENED_UNIX_MS + 1, same, Acceptor::Same),
        (OPENED_UNIX_MS - 1, ReportedStart::NotAsked, Acceptor::Later),
        (
            OPENED_UNIX_MS + 1,
            ReportedStart::NotAsked,
            Acceptor::Unknown,
        ),
        (OPENED_UNIX_MS + 1, ReportedStart::Untold, Acceptor::Unknown),
    ] {
        let facts = AcceptorFacts {
            started_unix_ms: STARTED_UNIX_MS,
            reported,
            is_later_listed: false,
            later: &[start(1, "v2", known_unix_ms)],
            is_listed: true,
            sent_unix_ms: OPENED_UNIX_MS,
            opened_unix_ms: OPENED_UNIX_MS,
            accepted_unix_ms: OPENED_UNIX_MS,
        };
        assert_eq!(acceptor(&facts), expected, "{facts:?}");
    }
}

fn run(started_unix_ms: u64) -> UpstreamIncarnation {
    UpstreamIncarnation {
        upstream: "engine-1".into(),
        started_unix_ms,
    }
}

#[test]
fn a_start_is_known_since_it_was_told_of_first() {
    let mut starts = KnownStarts::default();
    starts.record(&run(10), Some(&"v1".into()), StartSource::List, 1);
    starts.record(&run(20), None, StartSource::Agent, 2);
    // The list lags behind the agent.
    starts.record(&run(10), Some(&"v1".into()), StartSource::List, 3);
    starts.record(&run(20), Some(&"v2".into()), StartSource::List, 4);
    starts.record(&run(20), Some(&"v3".into()), StartSource::Agent, 5);
    let later = KnownStart {
        started_unix_ms: 20,
        software_version: Some("v2".into()),
        known_unix_ms: 2,
    };
    assert_eq!(starts.later_than(&run(10)), [later]);
    assert!(starts.later_than(&run(20)).is_empty());
}

#[test]
fn a_run_that_ended_before_its_upstreams_clock_went_back_is_not_later() {
    let mut starts = KnownStarts::default();
    starts.record(&run(20), Some(&"v1".into()), StartSource::Agent, 1);
    starts.record(&run(10), Some(&"v2".into()), StartSource::Agent, 2);
    assert!(starts.later_than(&run(10)).is_empty());
}

#[test]
fn starts_are_forgotten_once_nobody_tells_of_their_upstream() {
    const LONG_MS: u64 = 3_600_000;
    let mut starts = KnownStarts::default();
    for number in 1..100 {
        starts.record(&run(number), None, StartSource::Agent, number);
    }
    assert!(starts.later_than(&run(0)).len() < 10, "some are remembered");
    starts.forget(|_| true, LONG_MS);
    starts.forget(|_| false, 100);
    assert!(!starts.later_than(&run(0)).is_empty());
    starts.forget(|_| false, LONG_MS);
    assert!(starts.later_than(&run(0)).is_empty());
}
