//! Simulates callers that reuse connections by the limits they know, while configurations change.

use celerystair_policy::prelude::*;

/// A time at which a simulation begins.
const START_UNIX_MS: u64 = 1_000_000_000;

fn limits(idle_timeout_ms: u64) -> CallerLimits {
    CallerLimits {
        idle_timeout_ms,
        ..CallerLimits::default()
    }
}

/// Returns the history after the changes, each with its time from the start.
fn history(changes: &[(u64, u64)]) -> CallerLimitHistory {
    let mut history = CallerLimitHistory::default();
    for (at_ms, limit_ms) in changes {
        history.record(&limits(*limit_ms), START_UNIX_MS + at_ms);
    }
    history
}

fn idle_ms(history: &CallerLimitHistory, since_ms: u64) -> u64 {
    history.idle_until_unix_ms(START_UNIX_MS + since_ms) - (START_UNIX_MS + since_ms)
}

#[test]
fn a_rise_holds_for_connections_that_are_idle_already() {
    let history = history(&[(0, 5_000), (100_000, 60_000)]);
    assert!(idle_ms(&history, 99_000) >= 60_000);
}

#[test]
fn a_fall_holds_only_once_callers_have_learned_of_it() {
    let history = history(&[(0, 60_000), (100_000, 5_000)]);
    for since_ms in [50_000, 99_999, 100_000, 110_000] {
        assert!(idle_ms(&history, since_ms) >= 60_000, "{since_ms}");
    }
    assert!(idle_ms(&history, 140_000) < 10_000);
}

#[test]
fn an_idle_connection_ends_soon_after_its_limit_if_nothing_changes() {
    for limit_ms in [0, 1, 1_000, 15_000] {
        let history = history(&[(0, limit_ms)]);
        let idle_ms = idle_ms(&history, 500_000);
        assert!(
            (limit_ms..=limit_ms + 3_000).contains(&idle_ms),
            "{idle_ms}"
        );
    }
}

/// The default is this router's own guess, on which no caller relies.
#[test]
fn the_first_limits_replace_the_default_ones() {
    let default_ms = CallerLimits::default().idle_timeout_ms;
    assert!(idle_ms(&CallerLimitHistory::default(), 0) >= default_ms);
    let history = history(&[(1000, 1000)]);
    assert!(idle_ms(&history, 0) < default_ms);
}

#[test]
fn a_first_request_has_the_time_that_a_head_may_take() {
    let history = history(&[(0, 0)]);
    let until_unix_ms = history.first_request_until_unix_ms(START_UNIX_MS);
    assert!(until_unix_ms - START_UNIX_MS >= limits(0).head_timeout_ms);
}

#[test]
fn an_absurd_limit_neither_overflows_nor_keeps_connections_for_ever() {
    let history = history(&[(0, u64::MAX), (1000, 1000)]);
    assert!(idle_ms(&history, 0) <= 25 * 3600 * 1000);
    assert_eq!(history.idle_until_unix_ms(u64::MAX), u64::MAX);
}

/// Callers learn of each version up to 20 s after the router, and use a connection up to four fifths of
/// the limit that they know.
#[test]
fn no_connection_is_closed_that_its_caller_may_still_reuse_in_a_storm_of_changes() {
    arbtest::arbtest(|random| {
        const LEARN_MAX_MS: u64 = 20_000;
        const ROUTER_STEP_MS: u64 = 500;
        let mut at_ms = 1_000_000_u64;
        let mut versions = vec![(at_ms, random.int_in_range(500..=60_000)?)];
        for _ in 0..random.int_in_range(0..=90)? {
            at_ms += random.int_in_range(200..=40_000)?;
            versions.push((at_ms, random.int_in_range(500..=60_000)?));
        }
        let idle_since_ms = random.int_in_range(1_000_000..=at_ms + 60_000)?;
        let lag_ms = random.int_in_range(0..=LEARN_MAX_MS)?;
        let known_by_caller = |now_ms: u64| {
            let known = versions.iter().rev().find(|(at, _)| at + lag_ms <= now_ms);
            known.unwrap_or(&versions[0]).1
        };
        // The router closes the connection at the first time at which its limit is over.
        let mut history = CallerLimitHistory::default();
        let mut recorded = 0;
        let mut now_ms = 1_000_000;
        loop {
            while recorded < versions.len() && versions[recorded].0 <= now_ms {
                let (at, limit_ms) = versions[recorded];
                history.record(&limits(limit_ms), at);
                recorded += 1;
            }
            if now_ms >= idle_since_ms {
                let until_ms = history.idle_until_unix_ms(idle_since_ms);
                if until_ms <= now_ms {
                    break;
                }
            }
            now_ms += ROUTER_STEP_MS;
        }
        let idle_ms = now_ms - idle_since_ms;
        assert!(
            idle_ms > known_by_caller(now_ms) * 4 / 5,
            "closed after {idle_ms} ms, the caller knows {}",
            known_by_caller(now_ms)
        );
        assert!(idle_ms <= 63_000, "an idle connection ends: {idle_ms}");
        Ok(())
    });
}
