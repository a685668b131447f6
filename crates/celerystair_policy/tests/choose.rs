//! Situations that mislead the choice of an upstream: stale reports, bursts and waiting requests.

use celerystair_core::prelude::*;
use celerystair_policy::prelude::*;

fn candidate(upstream: &UpstreamId) -> Candidate<'_> {
    Candidate {
        upstream,
        slots: 48,
        reported_load: 0,
        own_load: 0,
        sent_since_report: 0,
        prefill_tokens: 0,
        is_same_domain: false,
        is_in_backoff: false,
    }
}

fn ids(count: usize) -> Vec<UpstreamId> {
    (0..count)
        .map(|n| UpstreamId::from(format!("u{n}")))
        .collect()
}

/// Five routers with the same stale load report send two hundred requests before the next one. The
/// upstream that the report shows as idle must not get them all.
#[test]
fn a_stale_report_does_not_send_all_requests_to_the_idle_upstream() {
    let ids = ids(4);
    let mut total = vec![20_u32, 20, 20, 0];
    let reported = total.clone();
    for _router in 0..5 {
        let mut own = [0_u32; 4];
        for request in 0..40 {
            let candidates: Vec<Candidate<'_>> = ids
                .iter()
                .enumerate()
                .map(|(index, id)| Candidate {
                    reported_load: reported[index],
                    own_load: own[index],
                    sent_since_report: own[index],
                    ..candidate(id)
                })
                .collect();
            let chosen = choose_upstream(&candidates, &format!("prompt-{request}"));
            let chosen = chosen.expect("one of the four upstreams is chosen");
            own[chosen] += 1;
            total[chosen] += 1;
        }
    }
    let busiest = total.iter().max().expect("there are four upstreams");
    let mean = total.iter().sum::<u32>() / 4;
    assert!(*busiest < mean * 2, "{total:?}");
}

/// The last report of a frozen agent shows an idle upstream for as long as it is frozen; the
/// requests that were sent there since must count.
#[test]
fn requests_sent_since_the_last_report_count_as_load() {
    let ids = ids(2);
    let frozen = Candidate {
        sent_since_report: 30,
        own_load: 30,
        ..candidate(&ids[0])
    };
    let busy = Candidate {
        reported_load: 15,
        ..candidate(&ids[1])
    };
    assert_eq!(choose_upstream(&[frozen, busy], "p"), Some(1));
}

#[test]
fn an_upstream_in_backoff_is_used_only_if_there_is_no_other() {
    let ids = ids(2);
    let in_backoff = Candidate {
        is_in_backoff: true,
        is_same_domain: true,
        ..candidate(&ids[0])
    };
    let full = Candidate {
        reported_load: 47,
        ..candidate(&ids[1])
    };
    assert_eq!(choose_upstream(&[in_backoff, full], "p"), Some(1));
    assert_eq!(choose_upstream(&[in_backoff], "p"), Some(0));
    assert_eq!(choose_upstream(&[], "p"), None);
}

#[test]
fn the_same_failure_domain_is_preferred_only_at_similar_load() {
    let ids = ids(2);
    let same_domain = Candidate {
        is_same_domain: true,
        reported_load: 3,
        ..candidate(&ids[0])
    };
    let other_domain = candidate(&ids[1]);
    assert_eq!(choose_upstream(&[same_domain, other_domain], "p"), Some(0));
    let busy = Candidate {
        reported_load: 40,
        ..same_domain
    };
    assert_eq!(choose_upstream(&[busy, other_domain], "p"), Some(1));
}

/// Requests arrive four at a time, each with a prompt of 700 tokens. An engine that prefills two of
/// them together stalls its streams, so each of the four replicas must get one.
#[test]
fn prompts_that_arrive_together_are_spread_over_the_replicas() {
    let ids = ids(4);
    for burst in 0..20 {
        let mut prefill = [0_u64; 4];
        for number in 0..4 {
            let candidates: Vec<Candidate<'_>> = ids
                .iter()
                .enumerate()
                .map(|(index, id)| Candidate {
                    reported_load: 5,
                    prefill_tokens: prefill[index],
                    is_same_domain: index == 0,
                    ..candidate(id)
                })
                .collect();
            let chosen = choose_upstream(&candidates, &format!("r-{burst}-{number}"));
            prefill[chosen.expect("one of the four upstreams is chosen")] += 700;
        }
        assert_eq!(prefill, [700; 4]);
    }
}

/// One engine has just loaded a model, and twenty requests wait for it at each of 25 routers. Until
/// the next report the routers must not send more than the engine runs and queues.
#[test]
fn requests_waiting_at_all_routers_do_not_overload_the_first_replica() {
    const ROUTERS: u32 = 25;
    let (slots, queue) = (32, 96);
    let id = UpstreamId::from("u");
    let mut sent_by_all = 0;
    for _router in 0..ROUTERS {
        let mut sent = 0;
        for _waiting in 0..20 {
            let upstream = Candidate {
                slots,
                own_load: sent,
                sent_since_report: sent,
                ..candidate(&id)
            };
            sent += u32::from(has_capacity(&upstream, 1.25, ROUTERS));
        }
        sent_by_all += sent;
    }
    assert!(sent_by_all <= slots + queue, "{sent_by_all} sent");
    assert!(
        sent_by_all >= slots,
        "{sent_by_all} sent although slots are free"
    );
}

#[test]
fn a_single_router_uses_the_whole_capacity_of_an_upstream() {
    let id = UpstreamId::from("u");
    let with_load = |sent| Candidate {
        slots: 32,
        own_load: sent,
        sent_since_report: sent,
        ..candidate(&id)
    };
    assert!(has_capacity(&with_load(39), 1.25, 1));
    assert!(!has_capacity(&with_load(40), 1.25, 1));
}

/// Three of twelve engines are left at a version, and new streams fill them before 71 streams of it are taken
/// up at five routers.
#[test]
fn streams_that_are_taken_up_find_room_at_engines_that_new_ones_fill() {
    const ROUTERS: u32 = 5;
    const TAKEN_UP: u32 = 71;
    let ids = ids(3);
    for (is_ongoing, expected) in [(false, 0), (true, TAKEN_UP)] {
        let load_per_slot_max = engine_load_per_slot_max(is_ongoing);
        let mut sent = 0;
        for _router in 0..ROUTERS {
            let mut own = [0; 3];
            for _stream in 0..TAKEN_UP.div_ceil(ROUTERS) {
                let candidates = ids.iter().zip(own).map(|(id, own)| Candidate {
                    reported_load: 60,
                    own_load: own,
                    sent_since_report: own,
                    ..candidate(id)
                });
                let has_room =
                    |candidate: &Candidate<'_>| has_capacity(candidate, load_per_slot_max, ROUTERS);
                let candidates: Vec<Candidate<'_>> = candidates.filter(has_room).collect();
                let Some(chosen) = choose_upstream(&candidates, &format!("r{sent}")) else {
                    continue;
                };
                let index = ids.iter().position(|id| id == candidates[chosen].upstream);
                own[index.expect("it is one of them")] += 1;
                sent += 1;
            }
        }
        assert_eq!(sent.min(TAKEN_UP), expected, "{is_ongoing}");
    }
    for (rank, is_ongoing, expected) in [(2, false, 2), (12, false, 9), (2, true, 0), (0, true, 0)]
    {
        assert_eq!(engine_urgency(rank, is_ongoing), expected);
    }
}
