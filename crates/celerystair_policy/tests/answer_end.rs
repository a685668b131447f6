//! The end of a connection alone never proves an answer to be whole.

use celerystair_policy::prelude::*;

const STARTED_UNIX_MS: u64 = 1_000_000;
const SENT_UNIX_MS: u64 = 2_000_000;

const FACTS: AcceptorFacts<'_> = AcceptorFacts {
    started_unix_ms: STARTED_UNIX_MS,
    reported: ReportedStart::NotAsked,
    is_later_listed: false,
    later: &[],
    is_listed: true,
    sent_unix_ms: SENT_UNIX_MS,
    opened_unix_ms: SENT_UNIX_MS,
    accepted_unix_ms: SENT_UNIX_MS + 50,
};

#[test]
fn an_answer_is_whole_by_its_framing_or_while_its_upstream_stays() {
    assert!(AnswerEnd::Marked.is_whole());
    assert!(AnswerEnd::by_upstream(Listening::Accepts(Acceptor::Same)).is_whole());
}

#[test]
fn an_answer_is_not_whole_after_its_upstream_or_if_nothing_tells() {
    let (later, unknown) = (Acceptor::Later, Acceptor::Unknown);
    for listening in [
        Listening::Refuses,
        Listening::Silent,
        Listening::Accepts(later),
        Listening::Accepts(unknown),
    ] {
        assert!(
            !AnswerEnd::by_upstream(listening).is_whole(),
            "{listening:?}"
        );
    }
}

// A process that has taken over the address accepted the connection.
#[test]
fn a_later_process_at_the_address_proves_nothing() {
    let end = AnswerEnd::by_upstream(Listening::Accepts(Acceptor::Later));
    assert_eq!(end, AnswerEnd::UpstreamEnded);
}

/// A process that wasn't listed yet was taken for the upstream that had ended behind a cut.
#[test]
fn a_process_that_accepts_is_the_upstream_only_by_proof() {
    let late_unix_ms = SENT_UNIX_MS + 1000;
    let report = ReportedStart::UnixMs;
    for (reported, is_later_listed, is_listed, accepted_unix_ms, expected) in [
        (
            report(STARTED_UNIX_MS),
            false,
            true,
            late_unix_ms,
            Acceptor::Same,
        ),
        (
            report(STARTED_UNIX_MS),
            false,
            false,
            late_unix_ms,
            Acceptor::Same,
        ),
        (
            report(STARTED_UNIX_MS),
            true,
            false,
            late_unix_ms,
            Acceptor::Later,
        ),
        (
            report(STARTED_UNIX_MS + 1),
            false,
            true,
            late_unix_ms,
            Acceptor::Later,
        ),
        // The clock of an instance has gone back.
        (
            report(STARTED_UNIX_MS - 1),
            false,
            false,
            late_unix_ms,
            Acceptor::Later,
        ),
        (
            ReportedStart::Untold,
            false,
            true,
            late_unix_ms,
            Acceptor::Unknown,
        ),
        (
            ReportedStart::NotAsked,
            false,
            true,
            late_unix_ms,
            Acceptor::Same,
        ),
        (
            ReportedStart::NotAsked,
            true,
            true,
            SENT_UNIX_MS,
            Acceptor::Later,
        ),
        (
            ReportedStart::NotAsked,
            false,
            false,
            late_unix_ms - 1,
            Acceptor::Same,
        ),
        (
            ReportedStart::NotAsked,
            false,
            false,
            late_unix_ms,
            Acceptor::Unknown,
        ),
    ] {
        let facts = AcceptorFacts {
            reported,
            is_later_listed,
            is_listed,
            accepted_unix_ms,
            ..FACTS
        };
        assert_eq!(acceptor(&facts), expected, "{facts:?}");
    }
}
