//! The processes of a fleet, which exchange what they suspect as routers and agents do, with a tenth of
//! the datagrams lost.

#![allow(dead_code)]

use std::net::{Ipv4Addr, SocketAddr};

use celerystair_core::prelude::*;
use celerystair_policy::prelude::*;

/// The most reports of each kind that a process sends in one round.
const REPORTS_MAX: usize = 16;

/// Routers and agents in a number of failure domains.
pub struct Fleet {
    /// The routers.
    pub routers: Vec<Process>,
    agents: Vec<Process>,
    /// Routers that have started since the last round.
    started: Vec<usize>,
    /// State of the generator of random numbers.
    pub random: u64,
}

/// A router or an agent.
pub struct Process {
    peer: Peer,
    /// Requests that it suspects.
    pub suspects: Suspects,
    /// Parts of prompts that it suspects.
    pub parts: SuspectParts,
}

impl Fleet {
    /// Starts processes that suspect nothing.
    pub fn new(routers: usize, agents: usize, domains: usize) -> Self {
        let process = |number: usize, can_relay: bool| Process {
            peer: Peer {
                address: SocketAddr::new(Ipv4Addr::from(number as u32).into(), 1),
                domain: FailureDomain::from(format!("domain-{}", number % domains)),
                can_relay,
            },
            suspects: Suspects::default(),
            parts: SuspectParts::default(),
        };
        Self {
            routers: (0..routers).map(|number| process(number, false)).collect(),
            agents: (0..agents)
                .map(|number| process(routers + number, true))
                .collect(),
            started: Vec::new(),
            random: 1,
        }
    }

    /// Returns all processes.
    pub fn processes_mut(&mut self) -> impl Iterator<Item = &mut Process> {
        self.routers.iter_mut().chain(&mut self.agents)
    }

    /// Restarts a router, which asks agents for suspects.
    pub fn restart_router(&mut self, router: usize) {
        self.routers[router].suspects = Suspects::default();
        self.routers[router].parts = SuspectParts::default();
        self.started.push(router);
    }

    /// Lets a router ask agents for suspects, with a tenth of the questions and answers lost.
    fn query_suspects(&mut self, router: usize, draw: u64, now_unix_ms: u64) {
        let agents: Vec<Peer> = self.agents.iter().map(|p| p.peer.clone()).collect();
        let answer_to = GossipTarget {
            address: self.routers[router].peer.address,
            is_relay: false,
        };
        for target in suspect_query_targets(&agents, draw) {
            if self.draw(10) == 0 {
                continue;
            }
            let mut asked = self.agents.iter_mut();
            let Some(agent) = asked.find(|agent| agent.peer.address == target.address) else {
                continue;
            };
            let requests = agent.suspects.sample(REPORTS_MAX, draw, now_unix_ms);
            let parts = agent.parts.sample(REPORTS_MAX, draw, now_unix_ms);
            self.deliver(&requests, &parts, &[answer_to], now_unix_ms);
        }
    }

    /// Returns the next random number below `bound`.
    pub fn draw(&mut self, bound: u64) -> u64 {
        self.random = self
            .random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.random >> 33) % bound
    }

    fn deliver(
        &mut self,
        requests: &[SuspectReport],
        parts: &[PartReport],
        targets: &[GossipTarget],
        now_unix_ms: u64,
    ) {
        let routers = self.routers.len();
        for target in targets {
            let SocketAddr::V4(address) = target.address else {
                continue;
            };
            if self.draw(10) == 0 {
                continue;
            }
            let number = u32::from(*address.ip()) as usize;
            let (process, sends) = if number < routers {
                (&mut self.routers[number], 0)
            } else {
                (&mut self.agents[number - routers], AGENT_CHANGE_SENDS)
            };
            for report in requests {
                process.suspects.merge(report, sends, now_unix_ms);
            }
            for report in parts {
                process.parts.merge(report, sends, now_unix_ms);
            }
        }
    }

    /// Plays one round of every process.
    pub fn play_round(&mut self, round: u64, now_unix_ms: u64) {
        let agents: Vec<Peer> = self.agents.iter().map(|p| p.peer.clone()).collect();
        let mut all = agents.clone();
        all.extend(self.routers.iter().map(|p| p.peer.clone()));
        for router in std::mem::take(&mut self.started) {
            self.query_suspects(router, round, now_unix_ms);
        }
        let is_sample_round = round.is_multiple_of(REPORT_SAMPLE_MS / REPORT_ROUND_MS);
        for number in 0..self.routers.len() {
            let router = &mut self.routers[number];
            let domain = router.peer.domain.clone();
            let requests = router.suspects.take_pending(REPORTS_MAX, now_unix_ms);
            let parts = router.parts.take_pending(REPORTS_MAX, now_unix_ms);
            if !requests.is_empty() || !parts.is_empty() {
                let targets = gossip_targets(&domain, &agents, round + number as u64);
                self.deliver(&requests, &parts, &targets, now_unix_ms);
            }
        }
        for number in 0..self.agents.len() {
            let draw = round * 10_000 + number as u64;
            let agent = &mut self.agents[number];
            let domain = agent.peer.domain.clone();
            let requests = agent.suspects.take_pending(REPORTS_MAX, now_unix_ms);
            let parts = agent.parts.take_pending(REPORTS_MAX, now_unix_ms);
            if !requests.is_empty() || !parts.is_empty() {
                let targets = suspect_change_targets(&domain, &all, draw);
                self.deliver(&requests, &parts, &targets, now_unix_ms);
            }
            if !is_sample_round {
                continue;
            }
            let agent = &mut self.agents[number];
            let requests = agent.suspects.sample(REPORTS_MAX, draw, now_unix_ms);
            let parts = agent.parts.sample(REPORTS_MAX, draw, now_unix_ms);
            if !requests.is_empty() || !parts.is_empty() {
                let targets = suspect_sample_targets(&domain, &all, draw);
                self.deliver(&requests, &parts, &targets, now_unix_ms);
            }
        }
    }
}
