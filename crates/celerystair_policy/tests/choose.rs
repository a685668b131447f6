//! Loads under which the choice of upstream goes wrong.

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

/// Five routers with the same stale news send two hundred requests between two pieces of news.
/// The upstream that the news calls empty must not get them all.
#[test]
fn stale_news_sends_no_herd_to_the_empty_upstream() {
    let ids = ids(4);
    let mut total = vec![20_u32, 20, 20, 0];
    let news = total.clone();
    for _router in 0..5 {
        let mut own = [0_u32; 4];
        for request in 0..40 {
            let candidates: Vec<Candidate<'_>> = ids
                .iter()
                .enumerate()
                .map(|(index, id)| Candidate {
                    reported_load: news[index],
                    own_load: own[index],
                    sent_since_report: own[index],
                    ..candidate(id)
                })
                .collect();
            let chosen = choose_upstream(&candidates, &format!("prompt-{request}"));
            let chosen = chosen.expect("one of four");
            own[chosen] += 1;
            total[chosen] += 1;
        }
    }
    let busiest = total.iter().max().expect("four");
    let mean = total.iter().sum::<u32>() / 4;
    assert!(*busiest < mean * 2, "{total:?}");
}

/// A frozen agent's news says "empty" for as long as it stands still; what was sent there must
/// count all the same.
#[test]
fn what_was_sent_since_the_news_counts() {
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
fn a_doubted_upstream_comes_last_and_is_used_when_it_is_the_only_one() {
    let ids = ids(2);
    let doubted = Candidate {
        is_in_backoff: true,
        is_same_domain: true,
        ..candidate(&ids[0])
    };
    let full = Candidate {
        reported_load: 47,
        ..candidate(&ids[1])
    };
    assert_eq!(choose_upstream(&[doubted, full], "p"), Some(1));
    assert_eq!(choose_upstream(&[doubted], "p"), Some(0));
    assert_eq!(choose_upstream(&[], "p"), None);
}

#[test]
fn nearness_decides_among_upstreams_with_room_and_not_against_a_queue() {
    let ids = ids(2);
    let near = Candidate {
        is_same_domain: true,
        reported_load: 3,
        ..candidate(&ids[0])
    };
    let far = candidate(&ids[1]);
    assert_eq!(choose_upstream(&[near, far], "p"), Some(0));
    let crowded = Candidate {
        reported_load: 40,
        ..near
    };
    assert_eq!(choose_upstream(&[crowded, far], "p"), Some(1));
}

/// Drafts arrive four at a time, each with a prompt of 700 tokens: an engine that reads two of
/// them at once holds up its streams. Each of four replicas gets one.
#[test]
fn prompts_that_arrive_together_are_spread() {
    let ids = ids(4);
    for burst in 0..20 {
        let mut unread = [0_u64; 4];
        for number in 0..4 {
            let candidates: Vec<Candidate<'_>> = ids
                .iter()
                .enumerate()
                .map(|(index, id)| Candidate {
                    reported_load: 5,
                    prefill_tokens: unread[index],
                    is_same_domain: index == 0,
                    ..candidate(id)
                })
                .collect();
            let chosen = choose_upstream(&candidates, &format!("r-{burst}-{number}"));
            unread[chosen.expect("one of four")] += 700;
        }
        assert_eq!(unread, [700; 4]);
    }
}

/// A model has just been loaded by one engine, and twenty requests wait for it at each of 25
/// routers. Until the next news they must not send more than the engine runs and queues.
#[test]
fn requests_that_wait_everywhere_do_not_overrun_the_first_replica() {
    const ROUTERS: u32 = 25;
    let (slots, queue) = (32, 96);
    let id = UpstreamId::from("u");
    let mut sent_by_all = 0;
    for _router in 0..ROUTERS {
        let mut sent = 0;
        for _waiting in 0..20 {
            let seen = Candidate {
                slots,
                own_load: sent,
                sent_since_report: sent,
                ..candidate(&id)
            };
            sent += u32::from(has_capacity(&seen, 1.25, ROUTERS));
        }
        sent_by_all += sent;
    }
    assert!(sent_by_all <= slots + queue, "{sent_by_all} sent");
    assert!(
        sent_by_all >= slots,
        "{sent_by_all} sent, and slots are free"
    );
}

#[test]
fn a_router_alone_fills_the_upstream() {
    let id = UpstreamId::from("u");
    let seen = |sent| Candidate {
        slots: 32,
        own_load: sent,
        sent_since_report: sent,
        ..candidate(&id)
    };
    assert!(has_capacity(&seen(39), 1.25, 1));
    assert!(!has_capacity(&seen(40), 1.25, 1));
}
