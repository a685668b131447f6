//! Replays of load at an upstream that has named a rate limit, over fleets of all sizes.

use celerystair_policy::{
    prelude::*,
    rate_limit::{TOLERATED_EXTRA, TOLERATED_FACTOR, WINDOW_SECONDS},
};

const STEP_MS: u64 = 20;
const DURATION_MS: u64 = 60_000;
const START_UNIX_MS: u64 = 1_000_000;

/// A sequence of numbers from 0 to 1.
struct Draws(u64);

impl Draws {
    fn next(&mut self) -> f64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 11) as f64 / (1_u64 << 53) as f64
    }
}

/// The times at which a fleet sends requests to one upstream. `requests` returns how many requests a
/// router has for it, by the router's index and the time since the start.
fn sent_ms(
    routers: u32,
    per_second: f64,
    seed: u64,
    requests: impl Fn(u32, u64) -> usize,
) -> Vec<u64> {
    let mut draws = Draws(seed);
    let mut limits: Vec<RateLimit> = (0..routers)
        .map(|_| RateLimit::new(per_second, draws.next(), START_UNIX_MS))
        .collect();
    let mut sent = Vec::new();
    for time_ms in (0..DURATION_MS).step_by(STEP_MS as usize) {
        let now = START_UNIX_MS + time_ms;
        for (router, limit) in (0..routers).zip(&mut limits) {
            for _ in 0..requests(router, time_ms) {
                if limit.next_unix_ms(routers, now) > now {
                    break;
                }
                limit.spend(routers, now);
                sent.push(time_ms);
            }
        }
    }
    sent
}

fn most_in_window(sent_ms: &[u64]) -> usize {
    let window_ms = (WINDOW_SECONDS * 1000.0) as u64;
    let counts = sent_ms.iter().enumerate().map(|(first, begin_ms)| {
        let later = &sent_ms[first..];
        later.partition_point(|time_ms| *time_ms < begin_ms + window_ms)
    });
    counts.max().unwrap_or(0)
}

fn allowed(per_second: f64) -> f64 {
    per_second * WINDOW_SECONDS * TOLERATED_FACTOR + TOLERATED_EXTRA
}

const FLEETS: [u32; 6] = [1, 4, 5, 24, 25, 340];
const LIMITS_PER_SECOND: [f64; 6] = [0.0, 0.5, 2.9, 3.8, 12.0, 100.0];

#[test]
fn the_limit_is_kept_under_constant_load_and_after_a_pause_at_all_routers() {
    for routers in FLEETS {
        for per_second in LIMITS_PER_SECOND {
            for seed in 1..=5 {
                let constant = sent_ms(routers, per_second, seed, |_, _| usize::MAX);
                // All routers have requests at the same moment, after all had none.
                let bursts = sent_ms(routers, per_second, seed, |_, ms| {
                    if ms % 20_000 > 14_000 { usize::MAX } else { 0 }
                });
                // Each router has a request every few seconds.
                let sparse = sent_ms(routers, per_second, seed, |router, ms| {
                    usize::from(ms % 5000 == u64::from(router * 20 % 4000))
                });
                for sent in [constant, bursts, sparse] {
                    let most = most_in_window(&sent);
                    assert!(
                        most as f64 <= allowed(per_second),
                        "{routers} routers, {per_second} a second, seed {seed}: {most}"
                    );
                }
            }
        }
    }
}

/// Keeping to a limit must not cost callers what the upstream takes.
#[test]
fn most_of_the_limit_is_used_under_constant_load() {
    for routers in FLEETS {
        for per_second in [2.9, 3.8, 12.0, 100.0] {
            let sent = sent_ms(routers, per_second, 7, |_, _| usize::MAX);
            let used = sent.len() as f64 / (DURATION_MS as f64 / 1000.0);
            assert!(
                used >= per_second * 0.7,
                "{routers} routers, {per_second} a second: {used}"
            );
        }
    }
}

#[test]
fn an_upstream_that_takes_nothing_still_gets_a_request_now_and_then() {
    for routers in [1, 5, 25] {
        let sent = sent_ms(routers, 0.0, 3, |_, _| usize::MAX);
        assert!(!sent.is_empty(), "{routers} routers");
    }
}
