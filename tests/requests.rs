//! Calls that may not be repeated, refusals that say "not run", and planned stops.

#[path = "support/requests.rs"]
mod requests;
mod support;

use std::pin::pin;

use celerystair::{
    core::prelude::*,
    journal::entry::{EntryState, JOURNAL_KEY_PREFIX, JournalEntry, ShardObject},
    platform::{
        objects::AGENT_KEY_PREFIX,
        prelude::{AgentObject, CallPriority, Expected},
    },
    standin::platform::PlatformFaults,
    trial::{caller::CallTarget, prelude::*},
};
use futures_util::future::{Either, join, join_all, select};
use requests::{post, refused, requests_trial, start, store_of};
use support::block_on;

const UPSTREAMS: usize = 5;
/// Work that a slow machine still finds under way, and whose end a test waits for.
const LONG_WORK_MS: u64 = 2000;
/// Work that is under way until the test has ended it.
const ENDLESS_WORK_MS: u64 = 20_000;

fn executions(fleet: &FaultFleet, key: &str) -> u32 {
    fleet
        .witness
        .observations()
        .executions
        .get(key)
        .copied()
        .unwrap_or_default()
}

async fn executed(fleet: &FaultFleet, key: &str) {
    while executions(fleet, key) == 0 {
        sleep_ms(5).await;
    }
}

#[test]
fn one_key_at_two_routers_at_once_runs_once_and_both_get_its_answer() {
    block_on(async {
        let (mut fleet, caller) = start(&requests_trial()).await;
        let routers = [fleet.router_address(0), fleet.router_address(1)];
        let calls: Vec<Call> = (0..40)
            .map(|number| post(routers[number % 2], &format!("k{}", number / 4)))
            .collect();
        let received = join_all(calls.iter().map(|call| caller.call(call))).await;
        for received in received {
            assert_eq!(received.outcome, Outcome::Answered);
        }
        for key in 0..10 {
            assert_eq!(executions(&fleet, &format!("k{key}")), 1);
        }
        fleet.end();
    });
}

#[test]
fn a_key_sent_again_after_all_agents_restarted_gets_the_recorded_answer() {
    block_on(async {
        let (mut fleet, caller) = start(&requests_trial()).await;
        let first = caller.call(&post(fleet.router_address(0), "k")).await;
        assert_eq!(first.outcome, Outcome::Answered);
        journal_has_outcomes(&fleet).await;
        for index in 0..UPSTREAMS {
            fleet.restart_agent(index).expect("the agent starts");
        }
        fleet.restart_router(1).expect("the router starts");
        fleet
            .wait_until_router_ready(1)
            .await
            .expect("the router is ready");
        let again = caller.call(&post(fleet.router_address(1), "k")).await;
        assert_eq!(again.outcome, Outcome::Answered);
        assert_eq!(executions(&fleet, "k"), 1);
        fleet.end();
    });
}

/// Returns once no entry of the journal is left as started.
async fn journal_has_outcomes(fleet: &FaultFleet) {
    let store = store_of(fleet);
    loop {
        let shards = store
            .list(JOURNAL_KEY_PREFIX)
            .await
            .expect("the store answers")
            .objects;
        let text = format!("{shards:?}");
        if !text.contains("started") && text.contains("done") {
            return;
        }
        sleep_ms(5).await;
    }
}

#[test]
fn a_key_with_another_request_is_refused() {
    block_on(async {
        let (mut fleet, caller) = start(&requests_trial()).await;
        let call = post(fleet.router_address(0), "k");
        assert_eq!(caller.call(&call).await.outcome, Outcome::Answered);
        let mut other = call.clone();
        other.target = CallTarget::Service {
            method: http::Method::POST,
            path: "/services/ledger/entries?another=1".to_owned(),
            key: "k".to_owned(),
        };
        let expected = refused(RefusalReason::KeyReused, RunState::NotRun);
        assert_eq!(caller.call(&other).await.outcome, expected);
        // Another organisation's key of the same name is another key.
        other.organisation = "hangang".into();
        assert_eq!(caller.call(&other).await.outcome, Outcome::Answered);
        fleet.end();
    });
}

#[test]
fn a_started_call_goes_on_without_its_caller_and_its_answer_is_kept() {
    block_on(async {
        let mut settings = requests_trial();
        settings.pools[1].service.work_ms = LONG_WORK_MS;
        let (mut fleet, caller) = start(&settings).await;
        let call = post(fleet.router_address(0), "k");
        {
            let answer = pin!(caller.call(&call));
            let started = pin!(journal_has_started(&fleet));
            let left = select(answer, started).await;
            assert!(matches!(left, Either::Right(_)), "the caller leaves first");
        }
        let again = caller.call(&post(fleet.router_address(1), "k")).await;
        assert_eq!(again.outcome, Outcome::Answered);
        assert_eq!(executions(&fleet, "k"), 1);
        fleet.end();
    });
}

#[test]
fn while_the_store_is_down_a_call_has_not_run_and_afterwards_it_does() {
    block_on(async {
        let (mut fleet, caller) = start(&requests_trial()).await;
        let down = PlatformFaults {
            down: true,
            ..PlatformFaults::default()
        };
        fleet.set_faults(&down).await.expect("faults are set");
        let mut call = post(fleet.router_address(0), "k");
        call.timeout_ms = 1000;
        let expected = refused(RefusalReason::StoreUnavailable, RunState::NotRun);
        assert_eq!(caller.call(&call).await.outcome, expected);
        assert_eq!(executions(&fleet, "k"), 0);
        call.timeout_ms = 30_000;
        let mended = async {
            sleep_ms(200).await;
            let none = PlatformFaults::default();
            fleet.set_faults(&none).await.expect("faults are set");
        };
        let (received, ()) = join(caller.call(&call), mended).await;
        assert_eq!(received.outcome, Outcome::Answered);
        assert_eq!(executions(&fleet, "k"), 1);
        fleet.end();
    });
}

#[test]
fn journal_writes_whose_answers_are_lost_are_read_back() {
    block_on(async {
        let (mut fleet, caller) = start(&requests_trial()).await;
        let lossy = PlatformFaults {
            lose_write_answers_percent: 100,
            stale_reads_percent: 50,
            ..PlatformFaults::default()
        };
        fleet.set_faults(&lossy).await.expect("faults are set");
        let calls: Vec<Call> = (0..20)
            .map(|number| {
                post(
                    fleet.router_address(number % 2),
                    &format!("k{}", number / 2),
                )
            })
            .collect();
        for received in join_all(calls.iter().map(|call| caller.call(call))).await {
            assert_eq!(received.outcome, Outcome::Answered);
        }
        for key in 0..10 {
            assert_eq!(executions(&fleet, &format!("k{key}")), 1);
        }
        fleet.end();
    });
}

#[test]
fn a_call_whose_answer_was_lost_stays_unknown_and_never_runs_again() {
    block_on(async {
        let mut settings = requests_trial();
        settings.pools[1].service.lose_answer_every = 1;
        let (mut fleet, caller) = start(&settings).await;
        let first = caller.call(&post(fleet.router_address(0), "k")).await;
        let expected = refused(RefusalReason::UpstreamFailed, RunState::Unknown);
        assert_eq!(first.outcome, expected);
        let again = caller.call(&post(fleet.router_address(1), "k")).await;
        let Outcome::Refused { run, .. } = again.outcome else {
            panic!("{:?}", again.outcome);
        };
        assert_eq!(run, RunState::Unknown);
        assert_eq!(executions(&fleet, "k"), 1);
        fleet.end();
    });
}

#[test]
fn an_agent_killed_within_a_call_leaves_it_unknown_at_every_router() {
    block_on(async {
        let mut settings = requests_trial();
        settings.pools[1].service.work_ms = ENDLESS_WORK_MS;
        let (mut fleet, caller) = start(&settings).await;
        let call = post(fleet.router_address(0), "k");
        let caller_of_first = caller.clone();
        let first = compio::runtime::spawn(async move { caller_of_first.call(&call).await });
        journal_has_started(&fleet).await;
        for index in 0..UPSTREAMS {
            fleet.kill_agent(index);
        }
        for index in 0..UPSTREAMS {
            fleet.restart_agent(index).expect("the agent starts");
        }
        let first = first.await.expect("the caller's task").outcome;
        let Outcome::Refused { run, .. } = first else {
            panic!("{first:?}");
        };
        assert_eq!(run, RunState::Unknown);
        let again = caller.call(&post(fleet.router_address(1), "k")).await;
        let expected = refused(RefusalReason::OutcomeUnknown, RunState::Unknown);
        assert_eq!(again.outcome, expected);
        assert!(executions(&fleet, "k") <= 1);
        fleet.end();
    });
}

#[test]
fn a_call_at_an_agent_that_has_claimed_a_moment_ago_is_followed_to_its_answer() {
    block_on(async {
        let (mut fleet, caller) = start(&requests_trial()).await;
        let call = post(fleet.router_address(0), "k");
        assert_eq!(caller.call(&call).await.outcome, Outcome::Answered);
        journal_has_outcomes(&fleet).await;
        // Watches tell late of changes that come in series; here they never do.
        let missed = PlatformFaults {
            missed_watches_percent: 100,
            ..PlatformFaults::default()
        };
        fleet.set_faults(&missed).await.expect("faults are set");
        let done = give_entry_to_new_agent(&fleet).await;
        let again = async { caller.call(&call).await.outcome };
        let write_later = async {
            sleep_ms(300).await;
            put_entry(&fleet, done).await;
        };
        let (again, ()) = join(again, write_later).await;
        assert_eq!(again, Outcome::Answered);
        assert_eq!(executions(&fleet, "k"), 1);
        fleet.end();
    });
}

/// Makes the journal's one entry a call that an agent runs of which only the store knows. Gives the
/// entry as it was.
async fn give_entry_to_new_agent(fleet: &FaultFleet) -> JournalEntry {
    let store = store_of(fleet);
    let agents = store
        .list(AGENT_KEY_PREFIX)
        .await
        .expect("the store answers")
        .objects;
    let mut agent: AgentObject = agents[0].read().expect("an agent's object");
    "a-new-life".clone_into(&mut agent.claim_id);
    let key = format!("{AGENT_KEY_PREFIX}new");
    let written = store.put(&key, &agent, Expected::Absent, CallPriority::Urgent);
    written.await.expect("the agent is written");
    let shards = store
        .list(JOURNAL_KEY_PREFIX)
        .await
        .expect("the store answers");
    let shard: ShardObject = shards.objects[0].read().expect("a shard");
    let done = shard.entries[0].clone();
    let started = JournalEntry {
        upstream: "new".into(),
        incarnation: agent.claim_id,
        attempt: "its-attempt".into(),
        state: EntryState::Started,
        ..done.clone()
    };
    put_entry(fleet, started).await;
    done
}

async fn put_entry(fleet: &FaultFleet, entry: JournalEntry) {
    let store = store_of(fleet);
    let shards = store
        .list(JOURNAL_KEY_PREFIX)
        .await
        .expect("the store answers");
    let found = &shards.objects[0];
    let shard = ShardObject {
        entries: vec![entry],
    };
    let expected = Expected::Version(found.version);
    let written = store.put(&found.key, &shard, expected, CallPriority::Urgent);
    written.await.expect("the shard is written");
}

#[test]
fn a_router_that_missed_where_agents_listen_now_reads_it_once_they_are_out_of_reach() {
    block_on(async {
        let (mut fleet, caller) = start(&requests_trial()).await;
        let missed = PlatformFaults {
            missed_watches_percent: 100,
            ..PlatformFaults::default()
        };
        fleet.set_faults(&missed).await.expect("faults are set");
        for index in 0..UPSTREAMS {
            fleet.restart_agent(index).expect("the agent starts");
        }
        all_have_claimed_again(&fleet).await;
        // Routers gather changes for a second at most before they renew a watch.
        sleep_ms(2000).await;
        fleet
            .set_faults(&PlatformFaults::default())
            .await
            .expect("faults are set");
        let received = caller.call(&post(fleet.router_address(0), "k")).await;
        assert_eq!(received.outcome, Outcome::Answered);
        fleet.end();
    });
}

/// Calls to a service ran at an engine whose agent had taken over the address of the service's.
#[test]
fn a_call_to_an_agent_whose_address_belongs_to_another_upstream_now_runs_nowhere_else() {
    const ENGINE: usize = 0;
    const SERVICE: usize = 2;
    block_on(async {
        let (mut fleet, caller) = start(&requests_trial()).await;
        // The store's entries keep the killed agents' addresses.
        for index in SERVICE + 1..UPSTREAMS {
            fleet.kill_agent(index);
        }
        let moved = fleet.restart_agent_at_address_of(ENGINE, SERVICE);
        moved.expect("the engine's agent starts");
        for key in 0..5 {
            let mut call = post(fleet.router_address(0), &format!("k{key}"));
            call.timeout_ms = 1000;
            let outcome = caller.call(&call).await.outcome;
            assert!(
                matches!(outcome, Outcome::Refused { .. }),
                "k{key}: {outcome:?}"
            );
        }
        fleet.restart_agent(SERVICE).expect("the agent starts");
        let received = caller.call(&post(fleet.router_address(0), "k0")).await;
        assert_eq!(received.outcome, Outcome::Answered);
        fleet.end();
    });
}

/// Returns once a second life of each agent has claimed.
async fn all_have_claimed_again(fleet: &FaultFleet) {
    let store = store_of(fleet);
    loop {
        let agents = store
            .list(AGENT_KEY_PREFIX)
            .await
            .expect("the store answers")
            .objects;
        let mut fences = agents.iter().map(|object| {
            let agent = object.read::<AgentObject>().expect("an agent's object");
            agent.fence
        });
        if agents.len() == UPSTREAMS && fences.all(|fence| fence >= 2) {
            return;
        }
        sleep_ms(5).await;
    }
}

/// Returns once the journal has an entry.
async fn journal_has_started(fleet: &FaultFleet) {
    let store = store_of(fleet);
    while store
        .list(JOURNAL_KEY_PREFIX)
        .await
        .expect("the store answers")
        .objects
        .is_empty()
    {
        sleep_ms(5).await;
    }
}

#[test]
fn planned_stops_of_all_at_once_cut_off_no_request() {
    block_on(async {
        let mut settings = requests_trial();
        settings.pools[1].service.work_ms = 200;
        let (mut fleet, caller) = start(&settings).await;
        let calls: Vec<Call> = (0..24)
            .map(|number| post(fleet.router_address(number % 2), &format!("k{number}")))
            .collect();
        let calls = calls.iter().map(|call| caller.call(call));
        let stop = async {
            executed(&fleet, "k0").await;
            fleet.stop_router(0);
            fleet.stop_router(1);
            for index in 0..UPSTREAMS {
                fleet.stop_agent(index).await.expect("the platform answers");
            }
            fleet.wait_until_router_stopped(0).await;
            fleet.wait_until_router_stopped(1).await;
            for index in 0..UPSTREAMS {
                fleet.wait_until_agent_stopped(index).await;
            }
        };
        let (received, ()) = join(join_all(calls), stop).await;
        for (number, received) in received.iter().enumerate() {
            let runs = executions(&fleet, &format!("k{number}"));
            match &received.outcome {
                Outcome::Answered => assert_eq!(runs, 1),
                Outcome::Refused {
                    run: RunState::NotRun,
                    ..
                } => assert_eq!(runs, 0),
                other => panic!("k{number}: {other:?}"),
            }
        }
        fleet.end();
    });
}

#[test]
fn a_caller_that_joined_a_call_is_served_when_the_first_caller_leaves() {
    block_on(async {
        let mut settings = requests_trial();
        settings.pools[1].service.work_ms = 100;
        let (mut fleet, caller) = start(&settings).await;
        let down = PlatformFaults {
            down: true,
            ..PlatformFaults::default()
        };
        fleet.set_faults(&down).await.expect("faults are set");
        let first = post(fleet.router_address(0), "k");
        let second = post(fleet.router_address(1), "k");
        let calling = caller.clone();
        let joined = {
            let first = pin!(caller.call(&first));
            let joining = pin!(async {
                sleep_ms(300).await;
                let joined = compio::runtime::spawn(async move { calling.call(&second).await });
                sleep_ms(300).await;
                Ok::<_, Refusal>(joined)
            });
            match select(first, joining).await {
                Either::Left((received, _)) => panic!("{received:?}"),
                Either::Right((joined, _)) => joined.expect("it joins"),
            }
        };
        sleep_ms(300).await;
        let none = PlatformFaults::default();
        fleet.set_faults(&none).await.expect("faults are set");
        let received = joined.await.expect("the caller's task");
        assert_eq!(received.outcome, Outcome::Answered);
        assert_eq!(executions(&fleet, "k"), 1);
        fleet.end();
    });
}
