//! Requests that crash upstreams, limits of organisations, and shedding.

#[path = "support/requests.rs"]
mod requests;
mod support;

use celerystair::{
    config::prelude::*,
    core::prelude::*,
    journal::suspects::{SUSPECT_KEY_PREFIX, SuspectObject},
    standin::{engine::POISON, platform::PlatformFaults},
    trial::{caller::CallTarget, prelude::*},
};
use futures_util::future::join_all;
use requests::{post, refused, requests_trial, store_of};
use support::block_on;

fn completion(fleet: &FaultFleet, router: usize, marker: &str, tokens: u64) -> Call {
    Call {
        router: fleet.router_address(router),
        organisation: "office".into(),
        kind: "draft".into(),
        target: CallTarget::Completion {
            model: "m-1".to_owned(),
            tokens,
            stream: false,
            marker: marker.to_owned(),
        },
        timeout_ms: 30_000,
    }
}

/// Returns once the first router serves the model.
async fn warm(fleet: &FaultFleet, caller: &Caller) {
    let call = completion(fleet, 0, "warm", 1);
    while caller.call(&call).await.outcome != Outcome::Answered {
        sleep_ms(5).await;
    }
}

fn executions(fleet: &FaultFleet, marker: &str) -> u32 {
    let seen = fleet.witness.observations();
    seen.completions.get(marker).copied().unwrap_or_default()
}

async fn suspects(fleet: &FaultFleet) -> Vec<SuspectObject> {
    let listed = store_of(fleet)
        .list(SUSPECT_KEY_PREFIX)
        .await
        .expect("the store answers");
    let read = listed
        .objects
        .iter()
        .map(celerystair::platform::prelude::Object::read);
    read.collect::<Result<_, _>>()
        .expect("suspects can be read")
}

#[test]
fn a_request_that_crashes_upstreams_is_refused_everywhere_after_the_second_until_it_is_cleared() {
    block_on(async {
        let settings = requests_trial();
        let mut fleet = FaultFleet::start(&settings)
            .await
            .expect("the fleet starts");
        let caller = Caller::new().expect("a caller");
        warm(&fleet, &caller).await;
        let first = caller.call(&completion(&fleet, 0, POISON, 4)).await;
        let Outcome::Refused { run, .. } = first.outcome else {
            panic!("{:?}", first.outcome);
        };
        assert_eq!(run, RunState::Unknown);
        assert_eq!(executions(&fleet, POISON), 2);
        let object = suspects(&fleet).await;
        assert_eq!(object[0].crashes, 2);
        let expected = refused(RefusalReason::Suspect, RunState::NotRun);
        for router in [1, 0] {
            // A router's watch sees the suspect a moment after the store has it.
            while caller
                .call(&completion(&fleet, router, POISON, 4))
                .await
                .outcome
                != expected
            {}
        }
        assert!(
            executions(&fleet, POISON) <= 4,
            "{}",
            executions(&fleet, POISON)
        );
        let before = executions(&fleet, POISON);
        let store = store_of(&fleet);
        for object in store
            .list(SUSPECT_KEY_PREFIX)
            .await
            .expect("the store answers")
            .objects
        {
            store
                .delete(&object.key, object.version)
                .await
                .expect("cleared");
        }
        while executions(&fleet, POISON) == before {
            caller.call(&completion(&fleet, 0, POISON, 4)).await;
        }
        fleet.end();
    });
}

#[test]
fn an_innocent_neighbour_of_a_crash_is_answered_and_cleared() {
    crash_beside_a_neighbour(&requests_trial());
}

#[test]
fn an_innocent_neighbour_is_answered_also_when_no_upstream_takes_work_for_a_while() {
    let mut settings = requests_trial();
    // Long enough that both agents notice, and both say that they take nothing new.
    settings.pools[0].engine.restart_ms = 3_000;
    crash_beside_a_neighbour(&settings);
}

fn crash_beside_a_neighbour(settings: &TrialSettings) {
    block_on(async {
        let mut fleet = FaultFleet::start(settings).await.expect("the fleet starts");
        let caller = Caller::new().expect("a caller");
        warm(&fleet, &caller).await;
        let neighbour = completion(&fleet, 0, "neighbour", 400);
        let calling = caller.clone();
        let neighbour = compio::runtime::spawn(async move { calling.call(&neighbour).await });
        while executions(&fleet, "neighbour") == 0 {
            sleep_ms(1).await;
        }
        caller.call(&completion(&fleet, 0, POISON, 4)).await;
        let neighbour = neighbour.await.expect("the caller's task");
        assert_eq!(neighbour.outcome, Outcome::Answered);
        while suspects(&fleet).await.len() != 1 {
            sleep_ms(5).await;
        }
        assert_eq!(executions(&fleet, "neighbour"), 2);
        assert_eq!(executions(&fleet, POISON), 2);
        fleet.end();
    });
}

#[test]
fn a_organisation_past_its_limit_is_refused_and_another_is_not() {
    block_on(async {
        let mut settings = requests_trial();
        settings.config.exceptions = vec![Exception {
            scope: Scope {
                kind: ScopeKind::Organisation,
                name: "hangang".to_owned(),
            },
            field: "organisation_requests_max".to_owned(),
            value: 2.into(),
            reason: "a test".to_owned(),
            author: "a test".to_owned(),
            from_unix_ms: None,
            until_unix_ms: None,
        }];
        settings.pools[1].service.work_ms = 300;
        let mut fleet = FaultFleet::start(&settings)
            .await
            .expect("the fleet starts");
        let caller = Caller::new().expect("a caller");
        let calls: Vec<Call> = (0..12)
            .map(|number| {
                let mut call = post(fleet.router_address(0), &format!("k{number}"));
                call.organisation = if number < 6 { "hangang" } else { "office" }.into();
                call
            })
            .collect();
        let received = join_all(calls.iter().map(|call| caller.call(call))).await;
        let limit = refused(RefusalReason::OrganisationLimit, RunState::NotRun);
        let limited = received.iter().filter(|r| r.outcome == limit).count();
        let answered = received
            .iter()
            .filter(|r| r.outcome == Outcome::Answered)
            .count();
        assert!(limited > 0 && limited <= 4, "{received:?}");
        assert_eq!(limited + answered, 12, "{received:?}");
        assert!(received[6..].iter().all(|r| r.outcome == Outcome::Answered));
        fleet.end();
    });
}

#[test]
fn calls_that_wait_for_the_store_are_bounded() {
    const CALLS: usize = 120;
    block_on(async {
        let mut settings = requests_trial();
        settings.config.defaults.queue_max = 8;
        let mut fleet = FaultFleet::start(&settings)
            .await
            .expect("the fleet starts");
        let caller = Caller::new().expect("a caller");
        let down = PlatformFaults {
            down: true,
            ..PlatformFaults::default()
        };
        fleet.set_faults(&down).await.expect("faults are set");
        let calls: Vec<Call> = (0..CALLS)
            .map(|number| {
                let mut call = post(fleet.router_address(number % 2), &format!("k{number}"));
                call.timeout_ms = 5_000;
                call
            })
            .collect();
        let received = join_all(calls.iter().map(|call| caller.call(call))).await;
        // Whichever of router and agent gives up first, a call that waited has not run.
        let waited = [
            RefusalReason::StoreUnavailable,
            RefusalReason::DeadlineExceeded,
        ]
        .map(|reason| refused(reason, RunState::NotRun));
        let waited = received
            .iter()
            .filter(|r| waited.contains(&r.outcome))
            .count();
        let over = refused(RefusalReason::Overloaded, RunState::NotRun);
        let over = received.iter().filter(|r| r.outcome == over).count();
        assert_eq!(waited + over, CALLS, "{waited} and {over}: {received:?}");
        // Three agents with four turns and eight places each.
        assert!(waited <= 3 * (4 + 8), "{waited}");
        fleet.end();
    });
}
