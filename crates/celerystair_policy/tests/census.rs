//! The estimated number of routers, from the counts that agents report.

use celerystair_policy::prelude::*;

/// Agents that know of few routers report their count among others that know of all.
#[test]
fn a_low_count_does_not_replace_a_higher_one() {
    arbtest::arbtest(|u| {
        let mut estimate = RouterCountEstimate::default();
        let mut now_unix_ms = 100_000;
        let mut reported: Vec<(u64, u32)> = Vec::new();
        for _ in 0..200 {
            now_unix_ms += u.int_in_range(0..=3000)?;
            let routers = u.int_in_range(0..=5)?;
            estimate.record_count(routers, now_unix_ms);
            reported.push((now_unix_ms, routers));
            let in_window = reported.iter().filter(|(at, _)| now_unix_ms < at + 60_000);
            let highest = in_window.map(|(_, routers)| *routers).max();
            assert_eq!(
                estimate.routers(now_unix_ms),
                highest.filter(|most| *most > 0)
            );
        }
        Ok(())
    });
}

#[test]
fn the_estimate_follows_a_fleet_that_has_shrunk_after_the_window() {
    let mut estimate = RouterCountEstimate::default();
    estimate.record_count(24, 1000);
    estimate.record_count(5, 30_000);
    assert_eq!(estimate.routers(60_999), Some(24));
    assert_eq!(estimate.routers(61_000), Some(5));
    assert_eq!(estimate.routers(90_000), None);
}
