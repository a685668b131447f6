//! The end of a connection alone never proves an answer to be whole.

use celerystair_policy::prelude::*;

#[test]
fn an_answer_is_whole_by_its_framing_or_while_its_upstream_stays() {
    assert!(AnswerEnd::Marked.is_whole());
    assert!(AnswerEnd::by_upstream(Listening::Accepts, false).is_whole());
}

#[test]
fn an_answer_is_not_whole_after_its_upstream_or_if_nothing_tells() {
    for listening in [Listening::Refuses, Listening::Silent] {
        for is_later_process in [false, true] {
            let end = AnswerEnd::by_upstream(listening, is_later_process);
            assert!(!end.is_whole(), "{listening:?}, {is_later_process}");
        }
    }
}

// A process that has taken over the address accepted the connection.
#[test]
fn a_later_process_at_the_address_proves_nothing() {
    let end = AnswerEnd::by_upstream(Listening::Accepts, true);
    assert_eq!(end, AnswerEnd::UpstreamEnded);
}
