//! How many routers share what is meant for all, by what agents have told.

use celerystair_policy::prelude::*;

/// Agents that hear of few routers tell it beside others that hear of all.
#[test]
fn a_low_count_does_not_replace_a_higher_one() {
    arbtest::arbtest(|u| {
        let mut census = RouterCountEstimate::default();
        let mut now_unix_ms = 100_000;
        let mut told: Vec<(u64, u32)> = Vec::new();
        for _ in 0..200 {
            now_unix_ms += u.int_in_range(0..=3000)?;
            let routers = u.int_in_range(0..=5)?;
            census.record_count(routers, now_unix_ms);
            told.push((now_unix_ms, routers));
            let of_late = told.iter().filter(|(at, _)| now_unix_ms < at + 60_000);
            let highest = of_late.map(|(_, routers)| *routers).max();
            assert_eq!(
                census.routers(now_unix_ms),
                highest.filter(|most| *most > 0)
            );
        }
        Ok(())
    });
}

#[test]
fn a_fleet_that_has_shrunk_is_counted_anew_after_a_while() {
    let mut census = RouterCountEstimate::default();
    census.record_count(24, 1000);
    census.record_count(5, 30_000);
    assert_eq!(census.routers(60_999), Some(24));
    assert_eq!(census.routers(61_000), Some(5));
    assert_eq!(census.routers(90_000), None);
}
