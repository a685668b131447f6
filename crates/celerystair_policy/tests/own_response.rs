//! Replays connections whose upstream writes earlier responses once more.

use celerystair_core::prelude::*;
use celerystair_policy::prelude::*;

/// A response that arrives, and whether the upstream wrote it about the request sent last.
struct Arriving {
    named: NamedRequest,
    is_reused: bool,
    is_about_last: bool,
}

/// What can arrive for the request sent last on a connection that has carried `earlier` requests:
/// its own response, or that of each earlier one once more, with the id or without it.
fn arriving(earlier: u32) -> Vec<Arriving> {
    let is_reused = earlier > 0;
    let own = [NamedRequest::Own, NamedRequest::Nobody].map(|named| Arriving {
        named,
        is_reused,
        is_about_last: true,
    });
    let repeats = (0..earlier).flat_map(|_| [NamedRequest::Other, NamedRequest::Nobody]);
    let repeats = repeats.map(|named| Arriving {
        named,
        is_reused,
        is_about_last: false,
    });
    own.into_iter().chain(repeats).collect()
}

#[test]
fn no_response_about_an_earlier_request_is_believed() {
    for earlier in 0..5 {
        for response in arriving(earlier) {
            let is_believed = is_own_response(response.named, response.is_reused);
            assert!(!is_believed || response.is_about_last, "after {earlier}");
        }
    }
}

#[test]
fn a_response_that_names_its_request_is_believed() {
    for is_reused in [false, true] {
        assert!(is_own_response(NamedRequest::Own, is_reused));
    }
}

#[test]
fn a_response_without_a_name_is_believed_on_a_new_connection() {
    assert!(is_own_response(NamedRequest::Nobody, false));
}

#[test]
fn a_connection_never_carries_a_request_again_that_was_refused_on_it() {
    let ids: Vec<RequestId> = (0..20)
        .map(|number| RequestId::from(format!("r{number}").as_str()))
        .collect();
    let mut refused = RefusedRequests::default();
    for (number, id) in ids.iter().enumerate() {
        assert!(refused.allows(id));
        refused.record(id);
        assert!(ids[..=number].iter().all(|id| !refused.allows(id)));
    }
}

/// The memory of a connection does not grow with its age.
#[test]
fn a_connection_on_which_many_requests_were_refused_is_not_kept() {
    let mut refused = RefusedRequests::default();
    let mut recorded = 0;
    while refused.is_connection_kept() {
        refused.record(&RequestId::from(format!("r{recorded}").as_str()));
        recorded += 1;
        assert!(recorded <= 100);
    }
    assert!(recorded > 5, "a new connection for each few refusals");
}
