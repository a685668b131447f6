//! The smaller decisions: admission, failed attempts, missing upstreams, health, suspects, routes,
//! demand.

use celerystair_core::prelude::*;
use celerystair_policy::{
    departures::REAPPEARANCE_GRACE_MS, prelude::*, suspects::CRASHES_MAX, waiting::retry_after_ms,
};

const INPUTS: WaitInputs = WaitInputs {
    ready_unix_ms: 11_000,
    caller_gives_up_unix_ms: 12_000,
    deadline_unix_ms: 22_000,
    waiting: 0,
    waiting_max: 10,
};

/// Callers that give up after two seconds request a model that takes six seconds to load. Each must
/// be refused at once, with a retry delay that it honours.
#[test]
fn a_request_that_cannot_be_served_in_time_is_refused_at_once() {
    let late = WaitInputs {
        ready_unix_ms: 16_000,
        ..INPUTS
    };
    assert_eq!(
        decide_wait(&late, 10_000),
        WaitDecision::Refuse {
            retry_after_ms: 4_000
        }
    );
    let never = WaitInputs {
        ready_unix_ms: u64::MAX,
        ..INPUTS
    };
    assert_eq!(
        decide_wait(&never, 10_000),
        WaitDecision::Refuse {
            retry_after_ms: 4_000
        }
    );
}

#[test]
fn a_request_that_can_be_served_in_time_waits_until_shortly_before_its_caller_gives_up() {
    let WaitDecision::Wait { until_unix_ms } = decide_wait(&INPUTS, 10_000) else {
        panic!("the request must wait");
    };
    assert!(until_unix_ms < INPUTS.caller_gives_up_unix_ms);
    let after = decide_wait(&INPUTS, until_unix_ms);
    assert!(matches!(after, WaitDecision::Refuse { .. }));
}

#[test]
fn a_request_is_refused_if_the_queue_is_full() {
    let full = WaitInputs {
        waiting: 10,
        ..INPUTS
    };
    assert!(matches!(
        decide_wait(&full, 10_000),
        WaitDecision::Refuse { .. }
    ));
}

#[test]
fn retry_after_is_the_expected_wait_within_bounds() {
    assert_eq!(retry_after_ms(10_700, 40_000, 10_000), 700);
    assert_eq!(
        retry_after_ms(9_000, 40_000, 10_000),
        100,
        "the shortest delay"
    );
    assert_eq!(
        retry_after_ms(90_000, 40_000, 10_000),
        10_000,
        "the longest delay that callers honour"
    );
    assert_eq!(retry_after_ms(90_000, 10_000, 10_000), 0, "no time is left");
}

/// For any sequence of failures, a request that may run at most once is sent again only while no
/// upstream may have run it, and the caller is told that it has not run only if that is true.
#[test]
fn a_non_repeatable_request_that_may_have_run_is_not_sent_again() {
    // States independently of the code under test what each failure means for the caller.
    const NOT_RUN: [AttemptFailure; 4] = [
        AttemptFailure::Unreachable,
        AttemptFailure::Declined,
        AttemptFailure::NotLoaded,
        AttemptFailure::Misdirected,
    ];
    const MAY_HAVE_RUN: [AttemptFailure; 4] = [
        AttemptFailure::AnswerLost,
        AttemptFailure::InvalidAnswer,
        AttemptFailure::Failed,
        AttemptFailure::Silent,
    ];
    arbtest::arbtest(|u| {
        let attempts_max = u.int_in_range(1..=4)?;
        let is_repeatable: bool = u.arbitrary()?;
        let (mut may_have_run, mut sent, mut runs) = (false, 0, 0);
        for _ in 0..8 {
            let has_run = u.arbitrary()?;
            let failures = if has_run { &MAY_HAVE_RUN } else { &NOT_RUN };
            let failure = *u.choose(failures)?;
            sent += u32::from(failure.has_reached_intended_upstream());
            runs += u32::from(has_run);
            let step = next_step(failure, may_have_run, is_repeatable, sent, attempts_max);
            may_have_run |= has_run;
            match step {
                NextStep::TryAnother => {
                    assert!(is_repeatable || runs == 0);
                    assert!(sent < attempts_max);
                }
                NextStep::RefuseNotRun => assert_eq!(runs, 0),
                NextStep::Fail => assert!(runs > 0),
            }
            if step != NextStep::TryAnother {
                break;
            }
        }
        Ok(())
    });
}

/// During an outage of the store every entry expires. The upstreams must stay in use until they
/// have had time to reappear.
#[test]
fn upstreams_that_vanish_in_a_store_outage_are_kept_for_a_grace_period() {
    let upstream = UpstreamId::from("u1");
    let mut missing = MissingUpstreams::default();
    missing.record_store_recovery(10_000, 15_000);
    assert!(missing.is_in_grace_period(&upstream, 15_050));
    assert!(missing.is_in_grace_period(&upstream, 15_000 + REAPPEARANCE_GRACE_MS - 1));
    assert!(!missing.is_in_grace_period(&upstream, 15_000 + REAPPEARANCE_GRACE_MS));
    missing.forget(&upstream);
    assert!(
        !missing.is_in_grace_period(&upstream, 40_000),
        "without an outage, a missing upstream is gone at once"
    );
}

#[test]
fn a_short_store_outage_starts_no_grace_period() {
    let mut missing = MissingUpstreams::default();
    missing.record_store_recovery(14_500, 15_000);
    assert!(!missing.is_in_grace_period(&UpstreamId::from("u1"), 15_050));
}

/// Upstreams that had left were used again on the word of a copy of the store.
#[test]
fn an_entry_of_a_run_that_has_left_is_believed_once_it_was_written_since() {
    const LIFE_MS: u64 = 3600;
    const READ_UNIX_MS: u64 = 50_000;
    let copied = Some(READ_UNIX_MS);
    let late_unix_ms = READ_UNIX_MS + LIFE_MS + REAPPEARANCE_GRACE_MS;
    for (started, known, copy_read, now, is_believed) in [
        (7, None, copied, READ_UNIX_MS, true),
        (7, Some(6), copied, READ_UNIX_MS, true),
        (7, Some(7), copied, READ_UNIX_MS, false),
        (7, Some(8), copied, READ_UNIX_MS, false),
        (7, Some(7), copied, late_unix_ms - 1, false),
        (7, Some(7), copied, late_unix_ms, true),
        (7, Some(7), None, READ_UNIX_MS, true),
        // The clock of an instance has gone back.
        (7, Some(8), None, READ_UNIX_MS, true),
    ] {
        assert_eq!(
            is_entry_believed(started, known, copy_read, LIFE_MS, now),
            is_believed,
            "{started} {known:?} {copy_read:?} {now}"
        );
    }
}

/// What is known of a run outlives its entry, within a bound.
#[test]
fn runs_that_have_left_the_list_are_remembered_for_a_while() {
    let run = |name: &str, started_unix_ms| UpstreamIncarnation {
        upstream: UpstreamId::from(name),
        started_unix_ms,
    };
    let mut unlisted = UnlistedRuns::default();
    unlisted.insert(run("u1", 1), "first", 1000);
    unlisted.insert(run("u1", 2), "second", 2000);
    unlisted.insert(run("u2", 1), "other", 3000);
    let u1 = UpstreamId::from("u1");
    assert_eq!(unlisted.latest_start_unix_ms(&u1), Some(2));
    assert_eq!(unlisted.get(&run("u1", 1)), Some(&"first"));
    assert_eq!(unlisted.take(&run("u1", 2)), Some("second"));
    assert_eq!(unlisted.take(&run("u1", 2)), None);
    assert_eq!(unlisted.latest_start_unix_ms(&u1), Some(1));
    unlisted.insert(run("u3", 1), "later", 602_000);
    assert_eq!(unlisted.get(&run("u1", 1)), None, "it left long ago");
    assert_eq!(unlisted.get(&run("u2", 1)), Some(&"other"));
    for number in 0..5000 {
        unlisted.insert(run("storm", number), "one of many", 602_000);
    }
    let remembered = (0..5000).filter(|number| unlisted.get(&run("storm", *number)).is_some());
    assert_eq!(remembered.count(), 1024);
}

/// An upstream may fail many requests while it reports itself as healthy. Repeated failures must
/// cause a backoff, but a single lost answer must not.
#[test]
fn backoff_grows_with_failures_and_ends_with_successes() {
    let mut health = UpstreamHealth::default();
    health.record_failure(false, 1_000);
    assert!(!health.is_in_backoff(1_001));
    health.record_failure(false, 1_100);
    assert!(health.is_in_backoff(1_200));
    assert!(
        !health.is_in_backoff(1_100 + 4_001),
        "the backoff has ended"
    );
    health.record_success();
    health.record_success();
    assert!(!health.is_in_backoff(1_200));
    let mut unreachable = UpstreamHealth::default();
    unreachable.record_failure(true, 1_000);
    assert!(
        unreachable.is_in_backoff(1_100),
        "one conclusive failure is enough"
    );
}

#[test]
fn a_request_that_has_crashed_three_upstreams_is_refused() {
    let mut suspects = Suspects::default();
    for crash in 1..=CRASHES_MAX {
        assert!(!suspects.is_refused(7, 1_000));
        assert_eq!(
            suspects.record_crash(7, &lost_run(crash), 0, 1_000).0,
            crash
        );
        // Another answer that is lost at the same incarnation is not a further crash.
        assert_eq!(
            suspects.record_crash(7, &lost_run(crash), 0, 1_000).0,
            crash
        );
    }
    assert!(suspects.is_refused(7, 1_001));
    assert!(!suspects.is_refused(8, 1_001));
    assert!(
        !suspects.is_refused(7, 1_000 + 200_000),
        "the suspicion has expired"
    );
    for other in 100..1_000 {
        suspects.record_crash(other, &lost_run(1), 0, 2_000);
    }
    suspects.clear(999, 0, 2_000);
    assert!(!suspects.is_refused(999, 2_001));
}

/// The upstreams that a request crashes run others too, and each of those becomes a suspect.
#[test]
fn a_request_near_refusal_is_remembered_while_many_others_become_suspects() {
    let mut suspects = Suspects::default();
    suspects.record_crash(7, &lost_run(1), 0, 1_000);
    suspects.record_crash(7, &lost_run(2), 0, 1_001);
    for other in 100..1_000 {
        suspects.record_crash(other, &lost_run(2), 0, 1_002);
    }
    suspects.record_crash(7, &lost_run(3), 0, 1_003);
    assert!(suspects.is_refused(7, 1_004));
}

/// A run at the incarnation with this number, after the runs at all earlier ones.
fn lost_run(number: u32) -> LostRun {
    LostRun {
        incarnation: UpstreamIncarnation {
            upstream: UpstreamId::from("u1"),
            started_unix_ms: u64::from(number),
        },
        sent_unix_ms: u64::from(number) * 10,
        ended_unix_ms: u64::from(number) * 10 + 5,
    }
}

fn route(name: &str, host: &str, path_prefix: &str, targets: &[(&str, f64)]) -> Route {
    let target = |(service, weight): &(&str, f64)| RouteTarget {
        service: ServiceName::from(*service),
        weight: *weight,
    };
    Route {
        name: name.to_owned(),
        host: host.to_owned(),
        path_prefix: path_prefix.to_owned(),
        kind: RequestKind::Idempotent,
        timeout_ms: 1_000,
        target_latency_ms: 100,
        urgency_rank: 1,
        targets: targets.iter().map(target).collect(),
        attempts_max: 1,
        can_resume: false,
        pause_max_ms: 0,
    }
}

#[test]
fn the_longest_matching_prefix_of_the_host_wins() {
    let config = ServingConfig {
        routes: vec![
            route("short", "a.example", "/x/", &[("s", 1.0)]),
            route("long", "a.example", "/x/y/", &[("s", 1.0)]),
            route("other", "b.example", "/", &[("s", 1.0)]),
        ],
        ..ServingConfig::default()
    };
    let table = RouteTable::new(&config);
    let name = |host: &str, path: &str| table.find(host, path).map(|route| route.name.clone());
    assert_eq!(name("a.example", "/x/y/z").as_deref(), Some("long"));
    assert_eq!(name("A.example:8080", "/x/yy").as_deref(), Some("short"));
    assert_eq!(name("b.example", "/x/y/z").as_deref(), Some("other"));
    assert_eq!(name("a.example", "/"), None);
    assert_eq!(name("c.example", "/x/"), None);
}

#[test]
fn a_split_route_distributes_requests_by_weight() {
    let route = route(
        "split",
        "a",
        "/",
        &[("most", 90.0), ("none", 0.0), ("few", 10.0)],
    );
    let count = |name: &str| {
        let draws = (0..1000).map(|draw| f64::from(draw) / 1000.0);
        draws
            .filter(|draw| choose_service(&route, *draw).is_some_and(|s| &**s == name))
            .count()
    };
    assert_eq!((count("most"), count("none"), count("few")), (900, 0, 100));
}

/// The rate of a model must decay within seconds once it gets no more requests.
#[test]
fn the_rate_of_a_model_decays_without_requests() {
    let (old, new) = (ModelName::from("old"), ModelName::from("new"));
    let mut meter = DemandMeter::default();
    for ms in (0..10_000).step_by(50) {
        meter.record_arrival(&old, 500, ms);
    }
    for ms in (10_000..18_000).step_by(50) {
        meter.record_arrival(&new, 500, ms);
    }
    let rates = meter.rates(18_000).into_iter();
    let rates: HashMap<ModelName, f64> = rates.map(|r| (r.model, r.per_second)).collect();
    assert!((15.0..25.0).contains(&rates[&new]), "{rates:?}");
    assert!(rates[&old] < 4.0, "{rates:?}");
    assert!(meter.rates(200_000).is_empty());
}

/// After a loss of all power, a router knows the engines but has no reports from them. Requests for
/// models that may be on a disk must wait, instead of being refused for the duration of a load from
/// the weight store.
#[test]
fn a_copy_on_disk_is_assumed_until_engines_have_reported() {
    let model = ModelConfig {
        cold_load_ms: 13_200,
        disk_load_ms: 1200,
        memory_load_ms: 600,
        ..ModelConfig::default()
    };
    let copies = |unreported_engines, on_disk| KnownCopies {
        in_memory: false,
        on_disk,
        engines: 46,
        unreported_engines,
    };
    assert_eq!(shortest_load_ms(&model, &copies(46, false)), 1200);
    assert_eq!(shortest_load_ms(&model, &copies(4, false)), 13_200);
    assert_eq!(shortest_load_ms(&model, &copies(4, true)), 1200);
    let now = 100_000;
    let inputs = WaitInputs {
        ready_unix_ms: now + shortest_load_ms(&model, &copies(46, false)) + 300,
        caller_gives_up_unix_ms: now + 2000,
        deadline_unix_ms: now + 12_000,
        waiting: 3,
        waiting_max: 400,
    };
    assert!(matches!(
        decide_wait(&inputs, now),
        WaitDecision::Wait { .. }
    ));
}

/// Every upstream has restarted at its old address, and the old entries have not expired yet.
#[test]
fn an_entry_with_a_later_start_supersedes_others_at_its_address() {
    let entry = |id: &str, port: u16, started_unix_ms| UpstreamEntry {
        software_version: SoftwareVersion::from("v1"),
        id: UpstreamId::from(id),
        service: ServiceName::from("engines"),
        address: ([127, 0, 0, 1], port).into(),
        failure_domain: FailureDomain::default(),
        slots: 8,
        state: UpstreamState::Ready,
        started_unix_ms,
        loaded: Vec::new(),
    };
    let entries = [
        entry("b-old", 2, 100),
        entry("a-new", 1, 200),
        entry("a-old", 1, 100),
        entry("b-new", 2, 200),
        entry("c", 3, 50),
        entry("a-older", 1, 50),
    ];
    let listed: Vec<&UpstreamEntry> = entries.iter().collect();
    let replaced = replaced_entries(&listed, |entry| may_take_over(entry, true, 1000));
    let mut names: Vec<(&str, &str)> = replaced
        .iter()
        .map(|(old, new)| (old.as_str(), new.as_str()))
        .collect();
    names.sort_unstable();
    assert_eq!(
        names,
        [("a-old", "a-new"), ("a-older", "a-new"), ("b-old", "b-new")]
    );
}

/// Another writer left an entry with an upstream's address.
#[test]
fn an_entry_that_no_answer_can_refute_supersedes_none() {
    const NOW_UNIX_MS: u64 = 1_700_000_000_000;
    let sound = UpstreamEntry {
        software_version: SoftwareVersion::from("v1"),
        id: UpstreamId::from("sound"),
        service: ServiceName::from("engines"),
        address: ([127, 0, 0, 1], 1).into(),
        failure_domain: FailureDomain::default(),
        slots: 8,
        state: UpstreamState::Ready,
        started_unix_ms: NOW_UNIX_MS - 5000,
        loaded: Vec::new(),
    };
    let other = |change: fn(&mut UpstreamEntry)| {
        let mut entry = sound.clone();
        entry.id = UpstreamId::from("other");
        entry.started_unix_ms = NOW_UNIX_MS;
        change(&mut entry);
        entry
    };
    let is_superseded_by = |other: &UpstreamEntry| {
        let may_take_over = |entry: &UpstreamEntry| {
            may_take_over(entry, entry.service.as_str() == "engines", NOW_UNIX_MS)
        };
        let one_way = replaced_entries(&[&sound, other], may_take_over);
        let other_way = replaced_entries(&[other, &sound], may_take_over);
        assert_eq!(one_way, other_way);
        one_way.contains_key(&sound.id)
    };
    assert!(is_superseded_by(&other(|_| {})));
    assert!(is_superseded_by(&other(|e| e.started_unix_ms += 6000)));
    assert!(!is_superseded_by(&other(|e| e.started_unix_ms = u64::MAX)));
    assert!(!is_superseded_by(&other(|e| e.started_unix_ms -= 5000)));
    assert!(!is_superseded_by(&other(
        |e| e.state = UpstreamState::Draining
    )));
    assert!(!is_superseded_by(&other(|e| e.service = "nothing".into())));
}
