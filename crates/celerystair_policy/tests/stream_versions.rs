//! Streams that their callers take up at other routers: replays of the records that agents hold, with
//! lost datagrams, agents that restart, and routers whose lists of agents differ.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use celerystair_core::prelude::*;
use celerystair_policy::{
    prelude::*,
    stream_holders::HOLDERS_PER_ROLE,
    stream_versions::{ListCoverage, VersionHistory, assumed_version},
};

const START_UNIX_MS: u64 = 1_000_000;
const TIMEOUT_MS: u64 = 12_000;
/// A stream may be taken up for this long, as two minutes are longer than twice the timeout.
const STREAM_LIFE_MS: u64 = 120_000;

fn agents(count: usize, domains: usize) -> Vec<Peer> {
    let agent = |number: usize| Peer {
        address: SocketAddr::new(Ipv4Addr::from(number as u32).into(), 1),
        domain: FailureDomain::from(format!("domain-{}", number % domains)),
        can_relay: true,
    };
    (0..count).map(agent).collect()
}

/// No process of these replays is at this address.
const OUTSIDE: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::BROADCAST), 1);

/// A fleet of which no router is known, so that agents alone hold records.
fn without_routers(agents: &[Peer]) -> HolderPeers {
    HolderPeers {
        agents: agents.to_vec(),
        routers: Vec::new(),
    }
}

fn agent_holders(stream: StreamId, agents: &[Peer]) -> Vec<SocketAddr> {
    origin_holders(stream, StreamKey::SharedBytes, &without_routers(agents))
}

fn agents_asked(stream: StreamId, staying: &[Peer], all: &[Peer]) -> Vec<SocketAddr> {
    holders_asked(
        stream,
        StreamKey::SharedBytes,
        &without_routers(staying),
        all,
    )
}

/// What a router has told of streams.
#[derive(Clone, Default)]
struct Told {
    origins: StreamOrigins,
    held: HeldStreams,
}

impl Told {
    fn record(&mut self, stream: StreamId, holders: Vec<SocketAddr>) {
        self.origins.insert(stream, origin("v1"), START_UNIX_MS);
        let key = StreamKey::SharedBytes;
        self.held.record_told(stream, key, holders, START_UNIX_MS);
    }

    fn retell(
        &mut self,
        agents: &[Peer],
        now_unix_ms: u64,
    ) -> HashMap<SocketAddr, Vec<OriginRecord>> {
        let peers = without_routers(agents);
        self.held
            .retell(&self.origins, &peers, OUTSIDE, now_unix_ms)
    }
}

fn origin(version: &str) -> StreamOrigin {
    StreamOrigin {
        service: ServiceName::from("engines"),
        version: SoftwareVersion::from(version),
    }
}

/// The loads that the replay is played with: routers matter only by their lists of agents.
const FLEETS: [(usize, usize); 3] = [(12, 4), (44, 5), (1000, 10)];
const STREAMS: u64 = 400;
/// How often a router asks the holders within the time that it waits.
const ASKS: u64 = ORIGIN_WAIT_MS / ORIGIN_RETRY_MS;

struct Replay {
    random: u64,
}

impl Replay {
    fn draw(&mut self, bound: u64) -> u64 {
        self.random = self
            .random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.random >> 33) % bound
    }

    /// A tenth of the datagrams is lost.
    fn is_delivered(&mut self) -> bool {
        self.draw(10) > 0
    }

    /// Returns how many of the streams are found by routers that list `asked` agents, after routers that
    /// list `told` have told of them and one in `restart_divisor` agents has restarted.
    fn found(&mut self, told: &[Peer], asked: &[Peer], restart_divisor: u64) -> u64 {
        let mut held: HashMap<SocketAddr, StreamOrigins> = HashMap::default();
        let streams: Vec<(StreamId, StreamOrigin)> = (0..STREAMS)
            .map(|number| {
                let request = RequestId::from(format!("request-{number}"));
                let version = if number % 3 == 0 { "v2" } else { "v1" };
                (StreamId::begun_by(&request), origin(version))
            })
            .collect();
        for (stream, origin) in &streams {
            for holder in agent_holders(*stream, told) {
                if self.is_delivered() {
                    let origins = held.entry(holder).or_default();
                    origins.insert(*stream, origin.clone(), START_UNIX_MS);
                }
            }
        }
        for agent in told {
            if restart_divisor > 0 && self.draw(restart_divisor) == 0 {
                held.remove(&agent.address);
            }
        }
        let mut found = 0;
        for (stream, origin) in &streams {
            let holders = agent_holders(*stream, asked);
            let mut answer = None;
            for _ in 0..ASKS {
                for holder in &holders {
                    let known = held.get(holder).and_then(|origins| origins.get(*stream));
                    let is_answered = self.is_delivered() && self.is_delivered();
                    answer = answer.or(known.filter(|_| is_answered).cloned());
                }
            }
            assert!(answer.as_ref().is_none_or(|answer| answer == origin));
            found += u64::from(answer.is_some());
        }
        found
    }
}

/// Routers tell of streams, a share of the servers is replaced one after the other, with the agents beside
/// them, and then all routers are killed.
struct Release {
    fleet: (usize, usize),
    /// Of so many servers, one stays.
    one_stays_in: usize,
    /// Whether routers tell others once an agent leaves.
    are_retold: bool,
    /// Whether routers that take a stream up ask more agents than were told.
    are_more_asked: bool,
}

impl Release {
    fn found(&self) -> u64 {
        let (count, domains) = self.fleet;
        let mut replay = Replay { random: 3 };
        let all = agents(2 * count, domains);
        let mut listed = all[..count].to_vec();
        let mut held: HashMap<SocketAddr, StreamOrigins> = HashMap::default();
        let mut told = Told::default();
        let streams: Vec<StreamId> = (0..STREAMS)
            .map(|number| StreamId::begun_by(&RequestId::from(format!("request-{number}"))))
            .collect();
        let tell = |held: &mut HashMap<SocketAddr, StreamOrigins>, to, stream| {
            let origins: &mut StreamOrigins = held.entry(to).or_default();
            origins.insert(stream, origin("v1"), START_UNIX_MS);
        };
        for stream in &streams {
            let holders = agent_holders(*stream, &listed);
            for holder in &holders {
                if replay.is_delivered() {
                    tell(&mut held, *holder, *stream);
                }
            }
            told.record(*stream, holders);
        }
        for number in 0..count {
            if number % self.one_stays_in == 0 {
                continue;
            }
            listed.push(all[count + number].clone());
            listed.retain(|agent| agent.address != all[number].address);
            held.remove(&all[number].address);
            if !self.are_retold {
                continue;
            }
            for (to, records) in told.retell(&listed, START_UNIX_MS) {
                for record in records {
                    if replay.is_delivered() {
                        tell(&mut held, to, record.stream);
                    }
                }
            }
        }
        let is_found = |stream: &&StreamId| {
            let holders = if self.are_more_asked {
                agents_asked(**stream, &listed, &listed)
            } else {
                agent_holders(**stream, &listed)
            };
            let known = |holder: &SocketAddr| {
                let origins = held.get(holder);
                origins.is_some_and(|origins| origins.get(**stream).is_some())
            };
            holders.iter().any(known)
        };
        streams.iter().filter(is_found).count() as u64
    }
}

/// The records must not leave with the servers: while two servers of a version are left, at least half of
/// its streams must go on, as the platform's rule says.
#[test]
fn streams_are_found_after_a_release_of_most_servers() {
    for fleet in FLEETS {
        for one_stays_in in [2, 6] {
            let found = |are_retold, are_more_asked| {
                let release = Release {
                    fleet,
                    one_stays_in,
                    are_retold,
                    are_more_asked,
                };
                release.found()
            };
            let retold = found(true, true);
            println!(
                "{} agents, one in {one_stays_in} stays: {} of {STREAMS}; more asked: {}; retold: {retold}",
                fleet.0,
                found(false, false),
                found(false, true),
            );
            assert!(retold >= STREAMS * 95 / 100, "{fleet:?}: {retold}");
        }
    }
}

/// Nobody is told again while all holders stay, and a router remembers a bounded number of streams.
#[test]
fn only_streams_whose_holders_left_are_told_again() {
    let all = agents(12, 4);
    let mut told = Told::default();
    for number in 0..20_000 {
        let stream = StreamId(number);
        let holders = agent_holders(stream, &all);
        told.record(stream, holders);
    }
    assert!(told.retell(&all, START_UNIX_MS).is_empty());
    let mut late = told.clone();
    assert!(late.retell(&all[1..], START_UNIX_MS + 60_000).is_empty());
    let messages = told.retell(&all[1..], START_UNIX_MS);
    let records: usize = messages.values().map(Vec::len).sum();
    assert!((1..8192).contains(&records), "{records}");
    assert!(told.retell(&all[1..], START_UNIX_MS).is_empty());
}

/// Agents that have said that they leave are told nothing more, and are still asked.
#[test]
fn agents_that_leave_are_still_asked() {
    let all = agents(12, 4);
    for number in 0..100 {
        let stream = StreamId(number);
        let holders = agent_holders(stream, &all);
        let stays = |agent: &&Peer| !holders.contains(&agent.address);
        let staying: Vec<Peer> = all.iter().filter(stays).cloned().collect();
        let asked = agents_asked(stream, &staying, &all);
        let is_asked = |holder: &SocketAddr| asked.contains(holder);
        assert!(holders.iter().all(is_asked));
        assert!(agent_holders(stream, &staying).iter().all(is_asked));
    }
}

/// At least half of the streams that callers take up must go on, as the platform's rule says.
#[test]
fn streams_are_found_although_datagrams_are_lost_and_agents_restart() {
    for (count, domains) in FLEETS {
        let all = agents(count, domains);
        // One agent is new to one router, and another one is gone for the other.
        let (told, asked) = (&all[1..], &all[..count - 1]);
        for restart_divisor in [0, 10, 3] {
            let found = Replay { random: 1 }.found(told, asked, restart_divisor);
            println!("{count} agents, one in {restart_divisor} restarts: {found} of {STREAMS}");
            assert!(found >= STREAMS / 2, "{count} agents: {found} of {STREAMS}");
        }
    }
}

/// Identical requests begin two streams at two versions, and agents restart in between, so that many know
/// only the second one.
#[test]
fn a_named_stream_is_never_taken_for_an_identical_one() {
    for (count, domains) in FLEETS {
        let all = agents(count, domains);
        let mut replay = Replay { random: 1 };
        let mut held: HashMap<SocketAddr, StreamOrigins> = HashMap::default();
        let mut tell = |replay: &mut Replay, stream: u64, begun: &RequestId, version: &str| {
            let identical = StreamId::of_identical(stream, None, &[]);
            for holder in agent_holders(identical, &all) {
                if replay.is_delivered() {
                    let origins = held.entry(holder).or_default();
                    origins.insert(StreamId::begun_by(begun), origin(version), START_UNIX_MS);
                    origins.insert(identical, origin(version), START_UNIX_MS);
                }
            }
            if replay.draw(2) == 0 {
                held.retain(|_, _| replay.draw(3) > 0);
            }
            held.clone()
        };
        let mut found = 0;
        for stream in 0..STREAMS {
            let first = RequestId::from(format!("first-{stream}"));
            let second = RequestId::from(format!("second-{stream}"));
            tell(&mut replay, stream, &first, "v1");
            let held = tell(&mut replay, stream, &second, "v2");
            let identical = StreamId::of_identical(stream, None, &[]);
            let wanted = StreamId::taken_up(Some(&first), identical);
            let holders = agent_holders(identical, &all);
            for holder in holders {
                let known = held.get(&holder).and_then(|origins| origins.get(wanted));
                assert!(known.is_none_or(|known| *known == origin("v1")));
                found += u64::from(known.is_some());
            }
        }
        assert!(found > 0, "{count} agents know some of them");
    }
}

/// Identical requests begin streams at two versions, and their callers name none of them.
#[test]
fn an_unnamed_stream_is_known_only_while_identical_ones_began_at_one_version() {
    let (first, second) = (origin("v1"), origin("v2"));
    let stream = StreamId(1);
    let mut origins = StreamOrigins::default();
    let mut now = START_UNIX_MS;
    origins.insert(stream, first.clone(), now);
    origins.insert(stream, first.clone(), now);
    assert_eq!(origins.get(stream), Some(&first));
    now += 59_000;
    origins.insert(stream, second.clone(), now);
    assert_eq!(origins.get(stream), None);
    assert_eq!(origins.all(stream).count(), 2);
    // The first one is held until no caller takes such a stream up.
    now += 60_000;
    origins.insert(stream, second.clone(), now);
    assert_eq!(origins.get(stream), None);
    now += 2000;
    origins.insert(stream, second.clone(), now);
    assert_eq!(origins.get(stream), Some(&second));
}

/// Streams of different prompts aren't taken for one, although their requests have the same bytes.
#[test]
fn streams_of_another_model_or_prompt_are_not_identical() {
    let model = |name: &str| ModelRef::parse(name);
    let (m1, m2) = (model("m1"), model("m2"));
    let (a, b) = (PromptPartId(1), PromptPartId(2));
    let ids = [
        StreamId::of_identical(1, Some(&m1), &[a]),
        StreamId::of_identical(2, Some(&m1), &[a]),
        StreamId::of_identical(1, Some(&m2), &[a]),
        StreamId::of_identical(1, None, &[a]),
        StreamId::of_identical(1, Some(&m1), &[b]),
        StreamId::of_identical(1, Some(&m1), &[a, b]),
    ];
    let distinct: HashSet<StreamId> = ids.iter().copied().collect();
    assert_eq!(distinct.len(), ids.len());
    assert_eq!(StreamId::of_identical(1, Some(&m1), &[a]), ids[0]);
}

/// The loss of a failure domain must not lose the records of a stream.
#[test]
fn holders_stand_in_different_failure_domains() {
    for (count, domains) in FLEETS {
        let all = agents(count, domains);
        for number in 0..100 {
            let stream = StreamId(number);
            let holders = agent_holders(stream, &all);
            let domain_of = |address: &SocketAddr| {
                let agent = all.iter().find(|agent| agent.address == *address);
                agent.expect("a holder is an agent").domain.clone()
            };
            let distinct: HashSet<FailureDomain> = holders.iter().map(domain_of).collect();
            assert_eq!(distinct.len(), HOLDERS_PER_ROLE);
        }
    }
    let one_domain = agents(5, 1);
    assert_eq!(
        agent_holders(StreamId(1), &one_domain).len(),
        HOLDERS_PER_ROLE
    );
    assert!(agent_holders(StreamId(1), &[]).is_empty());
}

#[test]
fn a_version_is_assumed_only_if_no_other_one_can_have_begun_the_stream() {
    let (v1, v2) = (SoftwareVersion::from("v1"), SoftwareVersion::from("v2"));
    let mut history = VersionHistory::default();
    history.record([v1.clone()], START_UNIX_MS);
    let now = START_UNIX_MS + STREAM_LIFE_MS;
    history.record([v1.clone()], now);
    let assumed = |history: &VersionHistory, since: Option<u64>, now: u64| {
        assumed_version(history, TIMEOUT_MS, since, now)
    };
    assert_eq!(
        assumed(&history, Some(START_UNIX_MS), now),
        Some(v1.clone())
    );
    assert_eq!(assumed(&history, None, now), None, "the list can't be read");
    assert_eq!(
        assumed(&history, Some(now - TIMEOUT_MS), now),
        None,
        "another version may have been listed before this router's list was current"
    );
    assert_eq!(
        assumed(&history, Some(START_UNIX_MS + 1), now),
        None,
        "the route's timeout may have been longer when the stream began"
    );
    assert_eq!(
        assumed_version(&history, STREAM_LIFE_MS, Some(START_UNIX_MS), now),
        None,
        "streams with a longer timeout live longer"
    );
    history.record([v1.clone(), v2.clone()], now);
    assert_eq!(assumed(&history, Some(START_UNIX_MS), now), None);
    let later = now + TIMEOUT_MS;
    history.record([v2.clone()], later);
    assert_eq!(
        assumed(&history, Some(START_UNIX_MS), later),
        None,
        "callers still take up streams of the version that has left"
    );
    let much_later = now + STREAM_LIFE_MS + 1;
    history.record([v2.clone()], much_later);
    assert_eq!(assumed(&history, Some(START_UNIX_MS), much_later), Some(v2));
    assert_eq!(history.retry_after_ms(&v1, much_later), 0);
    assert!(history.retry_after_ms(&v1, now + 1000) > 0);
}

/// Replays releases from one version to the next beside routers that are killed, frozen, or see the
/// routes' timeout change: a router that assumes the version of a stream which no process knows must not
/// be wrong, and must assume one once it can be told.
#[test]
fn a_version_is_never_assumed_wrongly_beside_releases_kills_freezes_and_changed_timeouts() {
    const STEP_MS: u64 = 500;
    let mut replay = Replay { random: 7 };
    let mut assumed_count = 0;
    for _ in 0..100 {
        let (mut serving, mut next_version) = (vec![1], 2);
        let (mut history, mut coverage) = (VersionHistory::default(), ListCoverage::default());
        let (mut timeout_ms, mut longest_timeout_ms) = (TIMEOUT_MS, 0);
        let mut frozen_until_unix_ms = 0;
        // Version and last event of the streams that callers may still take up.
        let mut streams: Vec<(u64, u64)> = Vec::new();
        for step in 0..1200 {
            let now = START_UNIX_MS + step * STEP_MS;
            // Begun or taken up a last time at another router, at a version that was listed half a
            // second ago; a caller takes its stream up four times at most, each within a timeout.
            streams.push((serving[replay.draw(serving.len() as u64) as usize], now));
            streams.retain(|(_, last_unix_ms)| now <= last_unix_ms + 4 * TIMEOUT_MS);
            match replay.draw(300) {
                0 if serving.len() == 1 => {
                    serving.push(next_version);
                    next_version += 1;
                }
                1 | 2 if serving.len() > 1 => {
                    serving.remove(0);
                }
                3 => (history, coverage, longest_timeout_ms) = Default::default(),
                4 => frozen_until_unix_ms = now + 4000 + replay.draw(30_000),
                5 => timeout_ms = [1000, 4000, TIMEOUT_MS][replay.draw(3) as usize],
                _ => {}
            }
            if now < frozen_until_unix_ms {
                continue;
            }
            let listed = serving
                .iter()
                .map(|v| SoftwareVersion::from(format!("v{v}")));
            let taken_up = streams[replay.draw(streams.len() as u64) as usize].0;
            longest_timeout_ms = timeout_ms.max(longest_timeout_ms);
            // A request may come before the router looks at its list.
            for has_looked in [false, true] {
                if has_looked {
                    history.record(listed.clone(), now);
                    coverage.record_look(now);
                }
                let since = coverage.since_unix_ms(now);
                let assumed = assumed_version(&history, longest_timeout_ms, since, now);
                let expected = SoftwareVersion::from(format!("v{taken_up}"));
                assert!(assumed.is_none_or(|assumed| {
                    assumed_count += 1;
                    assumed == expected
                }));
            }
        }
    }
    assert!(assumed_count > 0, "a version is assumed if it can be told");
}

/// While a router is frozen, a version may come, begin streams and leave.
#[test]
fn a_version_is_not_assumed_for_streams_that_may_have_begun_while_the_router_was_frozen() {
    let v1 = SoftwareVersion::from("v1");
    let (mut history, mut coverage) = (VersionHistory::default(), ListCoverage::default());
    let mut now = START_UNIX_MS;
    let mut look_for = |duration_ms: u64, now: &mut u64, coverage: &mut ListCoverage| {
        for _ in 0..duration_ms / 1000 {
            *now += 1000;
            history.record([v1.clone()], *now);
            coverage.record_look(*now);
        }
        history.clone()
    };
    let assumed = |history: &VersionHistory, coverage: &ListCoverage, now: u64| {
        assumed_version(history, TIMEOUT_MS, coverage.since_unix_ms(now), now)
    };
    let history = look_for(2 * STREAM_LIFE_MS, &mut now, &mut coverage);
    assert_eq!(assumed(&history, &coverage, now), Some(v1.clone()));
    now += 30_000;
    let before_look = assumed(&history, &coverage, now);
    assert_eq!(before_look, None, "it has not looked at its list yet");
    let history = look_for(STREAM_LIFE_MS, &mut now, &mut coverage);
    assert_eq!(assumed(&history, &coverage, now), None);
    let history = look_for(1000, &mut now, &mut coverage);
    assert_eq!(assumed(&history, &coverage, now), Some(v1.clone()));
}

/// A router passes on streams for as long as it runs.
#[test]
fn origins_are_held_for_a_minute_and_not_for_ever() {
    let mut origins = StreamOrigins::default();
    let mut now = START_UNIX_MS;
    origins.insert(StreamId(0), origin("v1"), now);
    now += 59_000;
    origins.insert(StreamId(1), origin("v1"), now);
    assert_eq!(origins.get(StreamId(0)), Some(&origin("v1")));
    for number in 2..6 {
        now += 60_000;
        origins.insert(StreamId(number), origin("v1"), now);
    }
    assert_eq!(origins.get(StreamId(0)), None);
    for number in 100..200_000 {
        origins.insert(StreamId(number), origin("v1"), now);
    }
    assert_eq!(origins.get(StreamId(100)), None);
    assert_eq!(origins.get(StreamId(199_999)), Some(&origin("v1")));
}

/// An upstream starts again under its id, with or without the time of its start in its entry, and at
/// another address or version or not; its entry is renewed in between.
#[test]
fn an_entry_with_another_version_tells_of_another_run() {
    let entry = |started_unix_ms: u64, port: u16, version: &str, slots: u32| UpstreamEntry {
        id: UpstreamId::from("engine-1"),
        service: ServiceName::from("engines"),
        address: SocketAddr::new(Ipv4Addr::LOCALHOST.into(), port),
        failure_domain: FailureDomain::from("domain-1"),
        software_version: SoftwareVersion::from(version),
        slots,
        state: UpstreamState::Ready,
        started_unix_ms,
        loaded: Vec::new(),
    };
    let first = entry(0, 1, "v1", 8);
    assert!(first.is_same_run(&entry(0, 1, "v1", 4)), "it is renewed");
    assert!(
        !first.is_same_run(&entry(0, 1, "v2", 8)),
        "its start isn't told"
    );
    assert!(!first.is_same_run(&entry(1, 1, "v1", 8)));
    assert!(!first.is_same_run(&entry(0, 2, "v1", 8)));
}

fn route_to(services: &[&str]) -> Route {
    let target = |service: &&str| RouteTarget {
        service: ServiceName::from(*service),
        weight: 1.0,
    };
    Route {
        name: "a".to_owned(),
        host: "desk.example".to_owned(),
        path_prefix: "/a/".to_owned(),
        kind: RequestKind::Stream,
        timeout_ms: 12_000,
        target_latency_ms: 500,
        urgency_rank: 1,
        targets: services.iter().map(target).collect(),
        attempts_max: 2,
        can_resume: true,
        pause_max_ms: 150,
    }
}

// A stream that began at the service to which its route led before was taken for one of the present service.
#[test]
fn a_route_that_has_moved_tells_nothing_of_streams_that_began_before() {
    let mut targets = RouteTargets::default();
    assert_eq!(targets.since_unix_ms(&route_to(&["a"])), None);
    targets.record(&[route_to(&["a"])], 1000);
    targets.record(&[route_to(&["a"])], 2000);
    assert_eq!(targets.since_unix_ms(&route_to(&["a"])), Some(1000));
    targets.record(&[route_to(&["b"])], 3000);
    assert_eq!(targets.since_unix_ms(&route_to(&["a"])), None);
    assert_eq!(targets.since_unix_ms(&route_to(&["b"])), Some(3000));
    targets.record(&[route_to(&["b", "a"])], 4000);
    targets.record(&[], 5000);
    targets.record(&[route_to(&["b"])], 6000);
    assert_eq!(targets.since_unix_ms(&route_to(&["b"])), Some(6000));
}

/// A watch that waits is answered late, and says nothing of what came since.
#[test]
fn a_list_is_proven_only_by_a_call_that_was_made_since() {
    let mut proof = ListProof::default();
    assert!(!proof.covers(0));
    proof.record(1000, true);
    assert!(proof.covers(1000));
    assert!(!proof.covers(1001));
    proof.record(2000, false);
    assert!(proof.covers(1000));
    assert!(!proof.covers(2000), "not answered");
    assert!(proof.has_failed_since(2000));
    assert!(!proof.has_failed_since(2001));
}

/// 340 routers that all prove their lists without a pause make fewer calls than the store allows.
#[test]
fn the_calls_that_prove_lists_do_not_grow_with_the_routers() {
    let mut proof = ListProof::default();
    assert_eq!(proof.next_call_unix_ms(340), 0);
    proof.record(START_UNIX_MS, true);
    for routers in [1, 4, 50, 340, 1000] {
        let interval_ms = proof.next_call_unix_ms(routers) - START_UNIX_MS;
        let calls_per_second = u64::from(routers) * 1000 / interval_ms;
        assert!(
            calls_per_second <= 500,
            "{calls_per_second} by {routers} routers"
        );
    }
}

/// A store whose calls fail now and then is asked again; one that is away isn't waited for.
#[test]
fn one_failed_call_refuses_no_stream_that_can_wait() {
    let mut proof = ListProof::default();
    proof.record(START_UNIX_MS + 10, false);
    assert!(!proof.is_hopeless(START_UNIX_MS, START_UNIX_MS + 10));
    assert!(!proof.is_hopeless(START_UNIX_MS, 0), "answered since");
    let long_ago_unix_ms = START_UNIX_MS - LIST_PROOF_WAIT_MS;
    assert!(proof.is_hopeless(START_UNIX_MS, long_ago_unix_ms));
    assert!(!proof.is_hopeless(START_UNIX_MS + 20, long_ago_unix_ms));
}

/// An agent that starts again is at the address of the one before, and knows nothing.
#[test]
fn an_agent_that_has_started_again_is_told_again() {
    let all = agents(12, 4);
    let mut told = Told::default();
    let streams: Vec<StreamId> = (0..100).map(StreamId).collect();
    for stream in &streams {
        let holders = agent_holders(*stream, &all);
        told.record(*stream, holders);
    }
    for agent in &all {
        told.held.record_start(agent.address, 1);
    }
    let retold = told.retell(&all, START_UNIX_MS);
    assert!(
        all.iter().all(|agent| retold.contains_key(&agent.address)),
        "they may have started before they were heard of"
    );
    for agent in &all {
        told.held.record_start(agent.address, 1);
    }
    assert!(told.retell(&all, START_UNIX_MS).is_empty());
    for agent in &all {
        told.held.record_start(agent.address, 2);
        let messages = told.retell(&all, START_UNIX_MS);
        let holds = |stream: &&StreamId| agent_holders(**stream, &all).contains(&agent.address);
        let held: Vec<StreamId> = streams.iter().filter(holds).copied().collect();
        let retold = messages.get(&agent.address).into_iter().flatten();
        let mut retold: Vec<StreamId> = retold.map(|record| record.stream).collect();
        retold.sort_unstable_by_key(|stream| stream.0);
        assert_eq!(retold, held);
        assert_eq!(
            messages.len(),
            usize::from(!held.is_empty()),
            "others hold it"
        );
    }
}
