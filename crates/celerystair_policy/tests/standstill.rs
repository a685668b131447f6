//! A process that stands still for a while beside peers that are silent, and beside sound ones.

use celerystair_policy::standstill::{RunningClock, TICK_INTERVAL_MS};

const SILENCE_MS: u64 = 1000;

/// Runs the clock from `from_unix_ms` to `until_unix_ms`.
fn run(clock: &mut RunningClock, from_unix_ms: u64, until_unix_ms: u64) {
    for now in (from_unix_ms..=until_unix_ms).step_by(TICK_INTERVAL_MS as usize) {
        clock.tick(now);
    }
}

#[test]
fn silence_while_the_process_runs_counts_in_full() {
    let mut clock = RunningClock::start(10_000);
    let wait = clock.begin_wait(10_000);
    run(&mut clock, 10_000, 10_950);
    assert_eq!(clock.silence_left_ms(wait, SILENCE_MS, 10_960), 40);
    assert_eq!(clock.silence_left_ms(wait, SILENCE_MS, 11_000), 0);
}

#[test]
fn a_standstill_is_no_silence_of_a_peer() {
    let mut clock = RunningClock::start(10_000);
    let wait = clock.begin_wait(10_000);
    run(&mut clock, 10_000, 10_300);
    // The wait's timer may run before the tick that ends the standstill.
    assert_eq!(clock.silence_left_ms(wait, SILENCE_MS, 11_800), 700);
    assert_eq!(clock.tick(11_800), Some(1500));
    assert_eq!(clock.silence_left_ms(wait, SILENCE_MS, 11_800), 700);
    run(&mut clock, 11_850, 12_500);
    assert_eq!(clock.silence_left_ms(wait, SILENCE_MS, 12_500), 0);
}

#[test]
fn a_process_that_stood_still_as_a_silence_ended_reads_first() {
    let mut clock = RunningClock::start(10_000);
    let wait = clock.begin_wait(10_000);
    run(&mut clock, 10_000, 10_950);
    clock.tick(10_995);
    assert!(clock.silence_left_ms(wait, SILENCE_MS, 12_500) >= 50);
    clock.tick(12_500);
    assert!(clock.silence_left_ms(wait, SILENCE_MS, 12_505) >= 50);
    run(&mut clock, 12_550, 12_600);
    assert_eq!(clock.silence_left_ms(wait, SILENCE_MS, 12_600), 0);
}

#[test]
fn silence_goes_on_counting_over_many_short_standstills() {
    let mut clock = RunningClock::start(0);
    let wait = clock.begin_wait(0);
    let mut now = 0;
    while clock.silence_left_ms(wait, SILENCE_MS, now) > 0 {
        assert!(now < 4 * SILENCE_MS, "it never ends");
        run(&mut clock, now, now + 300);
        now += 300 + 200;
        clock.tick(now);
        run(&mut clock, now, now + 100);
        now += 100;
    }
}

#[test]
fn a_standstill_before_the_wait_delays_nothing() {
    let mut clock = RunningClock::start(0);
    assert_eq!(clock.tick(2000), Some(2000));
    let wait = clock.begin_wait(2010);
    run(&mut clock, 2050, 2200);
    assert_eq!(clock.bounded_wait_left_ms(wait, 100, 2150), 0);
}

#[test]
fn a_bounded_wait_counts_a_standstill_and_reads_after_it() {
    let mut clock = RunningClock::start(0);
    let wait = clock.begin_wait(0);
    clock.tick(50);
    let left_ms = clock.bounded_wait_left_ms(wait, 200, 1550);
    assert!((50..=200).contains(&left_ms), "{left_ms}");
    clock.tick(1550);
    assert_eq!(clock.bounded_wait_left_ms(wait, 200, 1650), 0);
}
