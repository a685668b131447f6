//! Which requests are taken while a planned stop is under way, over a replayed load.

use celerystair_policy::prelude::*;

/// When the process begins to cut what runs, after a grace of 8 s.
const CUTS_UNIX_MS: u64 = 7200;

fn route(name: &str, kind: RequestKind) -> Route {
    Route {
        name: name.to_owned(),
        host: "a.example".to_owned(),
        path_prefix: format!("/{name}/"),
        kind,
        timeout_ms: 20_000,
        target_latency_ms: 100,
        urgency_rank: 0,
        targets: Vec::new(),
        attempts_max: 1,
        can_resume: false,
        pause_max_ms: 0,
    }
}

/// Returns when the last request of each kind was taken, of those that come every 10 ms, each with this
/// much time until its deadline; and whether any of these still ran when the process began to cut.
fn replay(durations: &AnswerDurations, route: &Route, lasts_ms: u64, time_ms: u64) -> (u64, bool) {
    let expected_ms = durations.expected(route, Confidence::Percent99).at_most_ms;
    let arrivals = (0..CUTS_UNIX_MS).step_by(10);
    let taken =
        arrivals.filter(|now| can_end_before_stop(expected_ms, now + time_ms, CUTS_UNIX_MS, *now));
    let last = taken.max().unwrap_or(0);
    (last, last + lasts_ms.min(time_ms) > CUTS_UNIX_MS)
}

/// Streams were taken until the end of the grace, and cut there.
#[test]
fn what_is_taken_in_a_stop_ends_before_it_and_short_requests_are_taken_late() {
    let mut durations = AnswerDurations::default();
    for number in 0..200 {
        durations.record("read", 15 + number % 10);
        durations.record("stream", 1000 + number % 20 * 130);
    }
    let read = route("read", RequestKind::Idempotent);
    let stream = route("stream", RequestKind::Stream);
    let unknown = route("new", RequestKind::Stream);
    let unknown_read = route("new-read", RequestKind::Idempotent);
    // The route, how long its longest request lasts, its time, and when the last one is taken.
    let cases = [
        (&read, 24, 1000, 7170),
        (&stream, 3470, 12_000, 2860),
        (&unknown, 12_000, 12_000, 0),
        (&unknown, 4000, 4000, 3200),
        (&unknown_read, 300, 1000, 6800),
    ];
    for (route, lasts_ms, time_ms, last) in cases {
        let replayed = replay(&durations, route, lasts_ms, time_ms);
        let is_never_taken = last == 0;
        assert_eq!(replayed, (last, is_never_taken), "{} {time_ms}", route.name);
    }
}

/// The part of the requests that come in a stop that may be taken and cut, in thousandths, by how sure the
/// router is to be. The targets hold however few answers the process has seen.
const CUT_MAX_THOUSANDTHS: [(Confidence, u64); 2] =
    [(Confidence::Percent95, 50), (Confidence::Percent99, 10)];
/// Processes that stop, for each number of answers and spread of their lengths.
const STOPS: u64 = 1000;

/// Draws lengths of answers.
struct Lengths {
    random: u64,
    median_ms: f64,
    sigma: f64,
}

impl Lengths {
    /// Returns a number above 0 and up to 1.
    fn uniform(&mut self) -> f64 {
        let random = self.random.wrapping_mul(6_364_136_223_846_793_005);
        self.random = random.wrapping_add(1_442_695_040_888_963_407);
        ((self.random >> 33) + 1) as f64 / (1u64 << 31) as f64
    }

    /// Returns a length that is log-normally distributed.
    fn draw_ms(&mut self) -> u64 {
        let radius = (-2.0 * self.uniform().ln()).sqrt();
        let normal = radius * (std::f64::consts::TAU * self.uniform()).cos();
        (self.median_ms * (self.sigma * normal).exp()) as u64
    }

    /// Returns how many of the requests that come in stops of processes that have seen so many answers are
    /// taken, and cut, in thousandths.
    fn taken_and_cut(&mut self, route: &Route, answers: u32, confidence: Confidence) -> (u64, u64) {
        const LONG_TIME_MS: u64 = 60_000;
        let (mut came, mut taken, mut cut) = (0, 0, 0);
        for _ in 0..STOPS {
            let mut durations = AnswerDurations::default();
            for _ in 0..answers {
                durations.record(&route.name, self.draw_ms());
            }
            let expected_ms = durations.expected(route, confidence).at_most_ms;
            for now in (0..CUTS_UNIX_MS).step_by(300) {
                let deadline_unix_ms = now + LONG_TIME_MS;
                let is_taken =
                    can_end_before_stop(expected_ms, deadline_unix_ms, CUTS_UNIX_MS, now);
                let ends_unix_ms = now + self.draw_ms();
                came += 1;
                taken += u64::from(is_taken);
                cut += u64::from(is_taken && ends_unix_ms > CUTS_UNIX_MS);
            }
        }
        (taken * 1000 / came, cut * 1000 / came)
    }
}

/// One remembered answer was taken for as good as 64.
#[test]
fn few_answers_do_not_let_long_requests_into_a_stop() {
    let mut failures = Vec::new();
    let stream = route("stream", RequestKind::Stream);
    for (confidence, cut_max_thousandths) in CUT_MAX_THOUSANDTHS {
        for answers in [0, 1, 2, 3, 4, 7, 8, 16, 31, 64] {
            for sigma in [0.5, 0.75, 1.0] {
                for median_ms in [20.0, 200.0, 1000.0, 2000.0, 4000.0] {
                    let mut lengths = Lengths {
                        random: 52,
                        median_ms,
                        sigma,
                    };
                    let (taken, cut) = lengths.taken_and_cut(&stream, answers, confidence);
                    if cut > cut_max_thousandths {
                        failures.push((confidence, answers, sigma, median_ms, cut));
                    }
                    // Short requests of a route that is known are still taken, most of them also late.
                    let is_known_and_short = answers == 64 && median_ms <= 20.0;
                    assert!(!is_known_and_short || taken > 950, "{sigma} {taken}");
                }
            }
        }
    }
    assert!(
        failures.is_empty(),
        "confidence, answers, sigma, median, cut: {failures:?}"
    );
}

/// A young router refused nearly all streams for all of its stop.
#[test]
fn streams_of_a_second_are_taken_for_half_of_a_stop_after_sixteen_answers() {
    let mut lengths = Lengths {
        random: 52,
        median_ms: 1000.0,
        sigma: 0.5,
    };
    let stream = route("stream", RequestKind::Stream);
    let (taken, _) = lengths.taken_and_cut(&stream, 16, Confidence::Percent95);
    assert!(taken >= 500, "{taken}");
    let planned = PlannedStop {
        began_unix_ms: 0,
        closes_unix_ms: 2300,
        cuts_unix_ms: CUTS_UNIX_MS,
    };
    let confidences = [2299, 2300].map(|read| planned.confidence(read));
    assert_eq!(confidences, [Confidence::Percent95, Confidence::Percent99]);
}

/// A route of another version that was slow long ago.
#[test]
fn a_slow_answer_is_forgotten_after_many_others() {
    let stream = route("stream", RequestKind::Stream);
    for is_whole in [true, false] {
        let mut durations = AnswerDurations::default();
        durations.record("stream", 1000);
        if is_whole {
            durations.record("stream", 60_000);
        } else {
            durations.record_unfinished("stream", 60_000);
        }
        let expected_ms = durations
            .expected(&stream, Confidence::Percent99)
            .at_most_ms;
        assert!(expected_ms >= Some(75_000), "{expected_ms:?}");
        (0..63).for_each(|_| durations.record("stream", 1000));
        let expected_ms = durations
            .expected(&stream, Confidence::Percent99)
            .at_most_ms;
        assert_eq!(expected_ms, Some(75_000), "{is_whole}");
        durations.record("stream", 1000);
        let expected = durations.expected(&stream, Confidence::Percent99);
        let forgotten = ExpectedAnswer {
            at_most_ms: Some(1250),
            answers: 64,
        };
        assert_eq!(expected, forgotten, "{is_whole}");
    }
}

/// A version that was mistyped stood above all later ones.
#[test]
fn a_version_comes_into_force_unless_its_step_is_absurd() {
    let decided = |version, in_force| {
        let config = ServingConfig {
            version,
            caller_limits: CallerLimits::default(),
            ..ServingConfig::default()
        };
        decide_config(&config, in_force).as_str()
    };
    let cases = [
        (u64::MAX, None, "in_force"),
        (2, Some(1), "in_force"),
        (1_764_000_000_000, Some(7), "in_force"),
        (1 << 48, Some(1), "in_force"),
        (1 << 48, Some(0), "refused"),
        (u64::MAX, Some(7), "refused"),
        (7, Some(7), "known"),
        (6, Some(7), "older"),
    ];
    for (version, in_force, expected) in cases {
        assert_eq!(
            decided(version, in_force),
            expected,
            "{version} {in_force:?}"
        );
    }
}
