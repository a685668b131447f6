//! The whole path over real sockets: router, agent, engine and platform.

mod support;

use celerystair::{
    core::prelude::*,
    trial::{caller::CallTarget, prelude::*},
};
use support::{block_on, call_to, small_trial};

#[test]
fn streamed_request_wakes_a_cold_model() {
    block_on(async {
        let settings = small_trial();
        let mut fleet = Fleet::start(&settings).await.expect("the fleet starts");
        let caller = Caller::new().expect("a caller");
        let completion = CallTarget::Completion {
            model: "m-1:a1".to_owned(),
            tokens: 8,
            stream: true,
            marker: "first".to_owned(),
        };
        let received = caller.call(&call_to(&fleet, completion)).await;
        assert_eq!(received.outcome, Outcome::Answered);
        assert!(received.cold_start_ms > 0, "the model was cold");
        let seen = fleet.witness.observations();
        assert_eq!(seen.replicas_peak.get("m-1"), Some(&1));
        assert_eq!(seen.completions.get("first"), Some(&1));
        fleet.end();
    });
}

#[test]
fn a_call_that_may_not_be_repeated_needs_a_key() {
    block_on(async {
        let settings = small_trial();
        let mut fleet = Fleet::start(&settings).await.expect("the fleet starts");
        let caller = Caller::new().expect("a caller");
        let post = |key: &str| CallTarget::Service {
            method: http::Method::POST,
            path: "/services/ledger/entries".to_owned(),
            key: key.to_owned(),
        };
        let refused = caller.call(&call_to(&fleet, post(""))).await;
        let expected = Outcome::Refused {
            reason: RefusalReason::KeyRequired,
            run: RunState::NotRun,
        };
        assert_eq!(refused.outcome, expected);
        let answered = caller.call(&call_to(&fleet, post("k1"))).await;
        assert_eq!(answered.outcome, Outcome::Answered);
        assert_eq!(fleet.witness.observations().executions.get("k1"), Some(&1));
        fleet.end();
    });
}

#[test]
fn an_unknown_model_is_refused_as_not_run() {
    block_on(async {
        let settings = small_trial();
        let mut fleet = Fleet::start(&settings).await.expect("the fleet starts");
        let caller = Caller::new().expect("a caller");
        let completion = CallTarget::Completion {
            model: "nobody".to_owned(),
            tokens: 1,
            stream: false,
            marker: "x".to_owned(),
        };
        let refused = caller.call(&call_to(&fleet, completion)).await;
        let expected = Outcome::Refused {
            reason: RefusalReason::UnknownModel,
            run: RunState::NotRun,
        };
        assert_eq!(refused.outcome, expected);
        fleet.end();
    });
}
