//! Requests that crash upstreams: how crashes are counted over a fleet, and how soon all routers
//! know of them.

mod gossip;

use celerystair_core::prelude::*;
use celerystair_policy::{prelude::*, suspects::CRASHES_MAX};
use gossip::Fleet;

const FINGERPRINT: u64 = 7;
const START_UNIX_MS: u64 = 1_000_000;

/// A run at the incarnation with this number, after the runs at all earlier ones.
fn lost_run(number: u64) -> LostRun {
    LostRun {
        incarnation: UpstreamIncarnation {
            upstream: UpstreamId::from("u1"),
            started_unix_ms: number,
        },
        sent_unix_ms: START_UNIX_MS + number * 10,
        ended_unix_ms: START_UNIX_MS + number * 10 + 5,
    }
}

/// Otherwise the answer to one request would clear another one, or the crashes of one refuse it.
#[test]
fn requests_that_differ_in_any_field_have_different_fingerprints() {
    let known = request_fingerprint("GET", "a.example", "/x?y=1", b"body");
    assert_eq!(
        known,
        request_fingerprint("GET", "A.Example", "/x?y=1", b"body")
    );
    let others = [
        request_fingerprint("POST", "a.example", "/x?y=1", b"body"),
        request_fingerprint("GET", "b.example", "/x?y=1", b"body"),
        request_fingerprint("GET", "a.example", "/x?y=2", b"body"),
        request_fingerprint("GET", "a.example", "/x?y=1", b"other"),
        request_fingerprint("GET", "a.example", "/x?y=1b", b"ody"),
    ];
    assert!(!others.contains(&known));
}

fn report_of(suspects: &mut Suspects, now_unix_ms: u64) -> SuspectReport {
    suspects.sample(1, 0, now_unix_ms).remove(0)
}

#[test]
fn a_report_that_arrives_twice_counts_once() {
    let (mut first, mut second) = (Suspects::default(), Suspects::default());
    first.record_crash(FINGERPRINT, &lost_run(1), 0, START_UNIX_MS);
    second.record_crash(FINGERPRINT, &lost_run(2), 0, START_UNIX_MS);
    let report = report_of(&mut first, START_UNIX_MS);
    assert_eq!(second.merge(&report, 0, START_UNIX_MS), Some(2));
    assert_eq!(second.merge(&report, 0, START_UNIX_MS), None);
    assert!(!second.is_refused(FINGERPRINT, START_UNIX_MS));
    second.record_crash(FINGERPRINT, &lost_run(3), 0, START_UNIX_MS);
    assert!(second.is_refused(FINGERPRINT, START_UNIX_MS));
}

/// Otherwise two processes that keep reporting a suspect to each other would refuse it forever.
#[test]
fn a_suspect_that_is_reported_back_and_forth_expires() {
    const RETENTION_MS: u64 = 120_000;
    let (mut first, mut second) = (Suspects::default(), Suspects::default());
    for number in 1..=3 {
        first.record_crash(FINGERPRINT, &lost_run(number), 0, START_UNIX_MS);
    }
    let mut now = START_UNIX_MS;
    while now < START_UNIX_MS + RETENTION_MS {
        assert!(first.is_refused(FINGERPRINT, now));
        for report in first.sample(1, 0, now) {
            second.merge(&report, 0, now);
        }
        for report in second.sample(1, 0, now) {
            first.merge(&report, 0, now);
        }
        now += 700;
    }
    assert!(!first.is_refused(FINGERPRINT, START_UNIX_MS + RETENTION_MS));
    assert!(!second.is_refused(FINGERPRINT, START_UNIX_MS + RETENTION_MS));
}

/// A good request loses an answer at one router now and then, and is answered at another between.
#[test]
fn an_answer_at_one_router_clears_the_crashes_that_others_recorded() {
    let (mut first, mut second) = (Suspects::default(), Suspects::default());
    for number in 1..=6 {
        first.record_crash(FINGERPRINT, &lost_run(number), 0, START_UNIX_MS);
        second.merge(&report_of(&mut first, START_UNIX_MS), 0, START_UNIX_MS);
        assert_eq!(second.clear(FINGERPRINT, 0, START_UNIX_MS), 1);
        first.merge(&report_of(&mut second, START_UNIX_MS), 0, START_UNIX_MS);
        assert!(!first.is_refused(FINGERPRINT, START_UNIX_MS));
    }
}

/// A request that is sent often loses answers again and again, and one process hears of no clearing.
#[test]
fn crashes_that_were_cleared_long_ago_do_not_count_again() {
    const LOST_ANSWERS: u64 = 10;
    let mut router = Suspects::default();
    for number in 1..=LOST_ANSWERS {
        router.record_crash(FINGERPRINT, &lost_run(number), 0, START_UNIX_MS);
        router.clear(FINGERPRINT, 0, START_UNIX_MS);
    }
    let late = SuspectReport {
        fingerprint: FINGERPRINT,
        crashes: (1..=3)
            .map(|number| lost_run(number).incarnation.crash_id())
            .collect(),
        cleared: Vec::new(),
        is_answered: false,
        expires_in_ms: 1000,
    };
    assert_eq!(router.merge(&late, 0, START_UNIX_MS), None);
    assert!(!router.is_refused(FINGERPRINT, START_UNIX_MS));
}

/// A harmless request that is sent often is in flight whenever the crashing one ends an upstream.
#[test]
fn an_answered_request_beside_one_that_crashes_upstreams_is_served() {
    const HARMLESS: u64 = 8;
    let (mut first, mut second) = (Suspects::default(), Suspects::default());
    second.clear(HARMLESS, 0, START_UNIX_MS);
    for number in 1..=4 {
        first.record_crash(FINGERPRINT, &lost_run(number), 0, START_UNIX_MS);
        first.record_crash(HARMLESS, &lost_run(number), 0, START_UNIX_MS);
    }
    // Only the other router knows of the answer.
    for report in first.sample(2, 0, START_UNIX_MS) {
        second.merge(&report, 0, START_UNIX_MS);
    }
    for report in second.take_pending(2, START_UNIX_MS) {
        first.merge(&report, 0, START_UNIX_MS);
    }
    for suspects in [&first, &second] {
        assert!(suspects.is_refused(FINGERPRINT, START_UNIX_MS));
        assert!(!suspects.is_refused(HARMLESS, START_UNIX_MS));
    }
    for number in 11..=14 {
        first.record_crash(HARMLESS, &lost_run(number), 0, START_UNIX_MS);
    }
    assert!(
        first.is_refused(HARMLESS, START_UNIX_MS),
        "four crashes that nothing else explains suffice"
    );
}

/// An upstream resets a connection under the request, answers others, and then crashes under it.
#[test]
fn a_crash_of_an_upstream_counts_although_an_earlier_one_was_false() {
    let mut suspects = Suspects::default();
    for number in 1..=3 {
        let reset = LostRun {
            sent_unix_ms: START_UNIX_MS + number * 1000,
            ended_unix_ms: START_UNIX_MS + number * 1000 + 5,
            ..lost_run(number)
        };
        suspects.record_crash(FINGERPRINT, &reset, 0, reset.ended_unix_ms);
        let cleared = suspects.clear_false_crash(reset.incarnation.crash_id(), 0);
        assert_eq!(cleared, [FINGERPRINT]);
        assert!(!suspects.is_refused(FINGERPRINT, reset.ended_unix_ms));
        let crash = LostRun {
            sent_unix_ms: reset.sent_unix_ms + 500,
            ended_unix_ms: reset.ended_unix_ms + 500,
            ..reset
        };
        suspects.record_crash(FINGERPRINT, &crash, 0, crash.ended_unix_ms);
    }
    assert!(suspects.is_refused(FINGERPRINT, START_UNIX_MS + 4000));
}

/// A router's links fail for a moment under a request that is sent often: it loses answers at three
/// upstreams, which run on.
#[test]
fn a_request_whose_upstreams_are_still_alive_is_served_again() {
    let mut suspects = Suspects::default();
    let runs: Vec<LostRun> = (1..=3).map(lost_run).collect();
    for run in &runs {
        suspects.record_crash(FINGERPRINT, run, 0, START_UNIX_MS);
    }
    let alive: Vec<CrashId> = runs.iter().map(|run| run.incarnation.crash_id()).collect();
    // The list still holds an upstream for some time after it has crashed.
    let now = START_UNIX_MS + 4_000;
    assert_eq!(suspects.clear_alive(&alive, 0, now), []);
    assert!(suspects.is_refused(FINGERPRINT, now));
    let now = START_UNIX_MS + 10_000;
    assert_eq!(suspects.clear_alive(&alive[..1], 0, now), [FINGERPRINT]);
    assert!(!suspects.is_refused(FINGERPRINT, now));
    assert_eq!(
        suspects.counts(now).remembered,
        1,
        "two crashes still count"
    );
}

fn routers_that_run_it(fleet: &Fleet, now_unix_ms: u64) -> usize {
    let routers = fleet.routers.iter();
    routers
        .filter(|router| !router.suspects.is_refused(FINGERPRINT, now_unix_ms))
        .count()
}

/// The shortest time that the platform allows for it.
const SPREAD_MAX_MS: u64 = 3000;

/// Returns when all routers refuse a request that three of them saw crash one upstream each.
fn time_until_all_refuse_ms(routers: usize, agents: usize, domains: usize) -> u64 {
    let mut fleet = Fleet::new(routers, agents, domains);
    for number in 0..u64::from(CRASHES_MAX) {
        let suspects = &mut fleet.routers[number as usize].suspects;
        let run = lost_run(number);
        suspects.record_crash(FINGERPRINT, &run, ROUTER_CHANGE_SENDS, START_UNIX_MS);
    }
    let mut now = START_UNIX_MS;
    for round in 1.. {
        now += REPORT_ROUND_MS;
        fleet.play_round(round, now);
        if routers_that_run_it(&fleet, now) == 0 {
            break;
        }
        assert!(now < START_UNIX_MS + 60_000, "not all routers learn of it");
    }
    now - START_UNIX_MS
}

#[test]
fn all_routers_of_a_fleet_of_any_size_refuse_a_crashing_request_in_time() {
    for (routers, agents, domains) in [(4, 12, 4), (5, 12, 3), (24, 44, 5), (340, 1000, 10)] {
        let time_ms = time_until_all_refuse_ms(routers, agents, domains);
        assert!(time_ms <= SPREAD_MAX_MS, "{routers} routers: {time_ms} ms");
    }
}

/// When nothing changes any more, a router that starts learns of the suspects from samples.
#[test]
fn a_router_that_starts_later_learns_of_suspects_in_time() {
    for (routers, agents, domains) in [(4, 12, 4), (5, 12, 3), (24, 44, 5), (340, 1000, 10)] {
        let mut fleet = Fleet::new(routers, agents, domains);
        for process in fleet.processes_mut() {
            for number in 0..u64::from(CRASHES_MAX) {
                let run = lost_run(number);
                let suspects = &mut process.suspects;
                suspects.record_crash(FINGERPRINT, &run, 0, START_UNIX_MS);
            }
        }
        fleet.routers[1].suspects = Suspects::default();
        let mut now = START_UNIX_MS;
        for round in 1..=SPREAD_MAX_MS / REPORT_ROUND_MS {
            now += REPORT_ROUND_MS;
            fleet.play_round(round, now);
        }
        assert_eq!(routers_that_run_it(&fleet, now), 0, "{routers} routers");
    }
}
