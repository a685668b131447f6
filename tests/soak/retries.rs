//! The fleet's bound on retries, and the deadlines that they bear: by what callers sent and what
//! upstreams received, over all routers and all their lives.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use crate::{
    callers::Told,
    fleet::Fleet,
    support::{
        system::{ENGINE_SERVICE, PLAIN_SERVICE},
        upstream::Arrival,
    },
};

/// Retries for each request, by the settings of the soak's processes.
const RATIO: f64 = 0.2;
/// Retries that need no request.
const SLACK: f64 = 56.0;
const WINDOW: Duration = Duration::from_secs(10);
/// How far windows that are looked at lie apart.
const STEP: Duration = Duration::from_millis(20);
/// What callers give their requests.
const DEADLINE: Duration = Duration::from_secs(3);
/// How much longer than that an attempt may bear.
const DEADLINE_SLACK: Duration = Duration::from_millis(500);
/// So many attempts may bear too long a deadline, and at most a fifth of all.
const TOO_LONG_MAX: usize = 20;

/// What did not hold.
pub fn check(fleet: &Fleet, told: &[Told]) -> Vec<String> {
    let mut broken = Vec::new();
    for service in [PLAIN_SERVICE, ENGINE_SERVICE] {
        let arrivals = fleet.arrivals(service);
        let sent: Vec<Instant> = told
            .iter()
            .filter(|told| told.kind.service() == service)
            .map(|told| told.sent_at)
            .collect();
        if let Some(window) = worst_window(&sent, &repeats(&arrivals)) {
            println!("{service}: {window}");
            if window.repeats as f64 > window.allowed() {
                broken.push(format!("{service}: retries over the bound: {window}"));
            }
        }
        broken.extend(check_deadlines(service, told, &arrivals));
    }
    broken
}

/// When requests arrived that had arrived before.
fn repeats(arrivals: &[Arrival]) -> Vec<Instant> {
    let mut by_time: Vec<&Arrival> = arrivals.iter().collect();
    by_time.sort_by_key(|arrival| arrival.read_at);
    let mut known = BTreeSet::new();
    let again = by_time.iter().filter(|arrival| !known.insert(&arrival.id));
    again.map(|arrival| arrival.read_at).collect()
}

/// One window.
struct Window {
    after_first: Duration,
    repeats: usize,
    requests: usize,
}

impl Window {
    fn allowed(&self) -> f64 {
        RATIO * self.requests as f64 + SLACK
    }
}

impl std::fmt::Display for Window {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "{} repeats in the 10 s from {:?} on, {:.1} allowed for {} requests",
            self.repeats,
            self.after_first,
            self.allowed(),
            self.requests
        )
    }
}

/// The window that is furthest over the bound, or nearest to it.
fn worst_window(sent: &[Instant], repeats: &[Instant]) -> Option<Window> {
    let first = sent.iter().min()?;
    let last = repeats.iter().max()?;
    let count = |times: &[Instant], from: Instant| {
        let inside = times
            .iter()
            .filter(|at| **at >= from && **at <= from + WINDOW);
        inside.count()
    };
    let mut from = *first;
    let mut windows = Vec::new();
    while from <= *last {
        let before = from.checked_sub(WINDOW)?;
        let half_before = from.checked_sub(WINDOW / 2)?;
        let requests = [from, half_before, before].map(|from| count(sent, from));
        windows.push(Window {
            after_first: from - *first,
            repeats: count(repeats, from),
            requests: requests.into_iter().max().unwrap_or_default(),
        });
        from += STEP;
    }
    let over = |window: &Window| window.repeats as f64 - window.allowed();
    windows
        .into_iter()
        .max_by(|a, b| over(a).total_cmp(&over(b)))
}

/// Attempts must not bear more time than their callers gave, nor end later if sent once more.
fn check_deadlines(service: &str, told: &[Told], arrivals: &[Arrival]) -> Option<String> {
    let sent: BTreeMap<&str, Instant> = told.iter().map(|t| (t.id.as_str(), t.sent_at)).collect();
    let mut first: BTreeMap<&str, Instant> = BTreeMap::new();
    let mut too_long = 0;
    for arrival in arrivals {
        let Some(sent_at) = sent.get(arrival.id.as_str()) else {
            continue;
        };
        let first = *first.entry(&arrival.id).or_insert(arrival.read_at);
        let left = arrival.deadline_ms.map(Duration::from_millis);
        let is_late_retry = arrival.read_at > first + DEADLINE_SLACK;
        too_long += usize::from(left.is_none_or(|left| {
            left > DEADLINE + DEADLINE_SLACK
                || (is_late_retry && arrival.read_at + left > *sent_at + DEADLINE + DEADLINE_SLACK)
        }));
    }
    (too_long > TOO_LONG_MAX && too_long * 5 > arrivals.len()).then(|| {
        format!(
            "{service}: {too_long} of {} attempts bear too long a deadline",
            arrivals.len()
        )
    })
}
