//! Requests that crash upstreams: how crashes are counted over a fleet, and how soon all routers
//! know of them.

use std::net::{Ipv4Addr, SocketAddr};

use celerystair_core::prelude::*;
use celerystair_policy::{prelude::*, suspects::CRASHES_MAX};

const FINGERPRINT: u64 = 7;
const START_UNIX_MS: u64 = 1_000_000;
/// The most reports that a process sends in one round.
const REPORTS_MAX: usize = 16;

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
        assert_eq!(second.clear(FINGERPRINT, 0), 1);
        first.merge(&report_of(&mut second, START_UNIX_MS), 0, START_UNIX_MS);
        assert!(!first.is_refused(FINGERPRINT, START_UNIX_MS));
    }
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

/// The processes of a fleet, which exchange suspects as routers and agents do.
struct Fleet {
    routers: Vec<Process>,
    agents: Vec<Process>,
    random: u64,
}

struct Process {
    peer: Peer,
    suspects: Suspects,
}

impl Fleet {
    fn new(routers: usize, agents: usize, domains: usize) -> Self {
        let process = |number: usize, can_relay: bool| Process {
            peer: Peer {
                address: SocketAddr::new(Ipv4Addr::from(number as u32).into(), 1),
                domain: FailureDomain::from(format!("domain-{}", number % domains)),
                can_relay,
            },
            suspects: Suspects::default(),
        };
        Self {
            routers: (0..routers).map(|number| process(number, false)).collect(),
            agents: (0..agents)
                .map(|number| process(routers + number, true))
                .collect(),
            random: 1,
        }
    }

    /// Returns whether a datagram is lost: one in ten is.
    fn loses_datagram(&mut self) -> bool {
        self.random = self
            .random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.random >> 33).is_multiple_of(10)
    }

    fn deliver(&mut self, reports: &[SuspectReport], targets: &[GossipTarget], now_unix_ms: u64) {
        let routers = self.routers.len();
        for target in targets {
            let SocketAddr::V4(address) = target.address else {
                continue;
            };
            if self.loses_datagram() {
                continue;
            }
            let number = u32::from(*address.ip()) as usize;
            for report in reports {
                if number < routers {
                    let suspects = &mut self.routers[number].suspects;
                    suspects.merge(report, 0, now_unix_ms);
                } else {
                    let suspects = &mut self.agents[number - routers].suspects;
                    suspects.merge(report, AGENT_CHANGE_SENDS, now_unix_ms);
                }
            }
        }
    }

    /// Plays one round of every process.
    fn play_round(&mut self, round: u64, now_unix_ms: u64) {
        let agents: Vec<Peer> = self.agents.iter().map(|p| p.peer.clone()).collect();
        let mut all = agents.clone();
        all.extend(self.routers.iter().map(|p| p.peer.clone()));
        let is_sample_round = round.is_multiple_of(REPORT_SAMPLE_MS / REPORT_ROUND_MS);
        for number in 0..self.routers.len() {
            let router = &mut self.routers[number];
            let domain = router.peer.domain.clone();
            let reports = router.suspects.take_pending(REPORTS_MAX, now_unix_ms);
            if !reports.is_empty() {
                let targets = gossip_targets(&domain, &agents, round + number as u64);
                self.deliver(&reports, &targets, now_unix_ms);
            }
        }
        for number in 0..self.agents.len() {
            let draw = round * 10_000 + number as u64;
            let agent = &mut self.agents[number];
            let domain = agent.peer.domain.clone();
            let changes = agent.suspects.take_pending(REPORTS_MAX, now_unix_ms);
            let sample = agent.suspects.sample(REPORTS_MAX, draw, now_unix_ms);
            if !changes.is_empty() {
                let targets = suspect_change_targets(&domain, &all, draw);
                self.deliver(&changes, &targets, now_unix_ms);
            }
            if is_sample_round && !sample.is_empty() {
                let targets = suspect_sample_targets(&domain, &all, draw);
                self.deliver(&sample, &targets, now_unix_ms);
            }
        }
    }

    fn routers_that_run_it(&self, now_unix_ms: u64) -> usize {
        let routers = self.routers.iter();
        routers
            .filter(|router| !router.suspects.is_refused(FINGERPRINT, now_unix_ms))
            .count()
    }
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
        if fleet.routers_that_run_it(now) == 0 {
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
        for process in fleet.routers.iter_mut().chain(&mut fleet.agents) {
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
        assert_eq!(fleet.routers_that_run_it(now), 0, "{routers} routers");
    }
}
