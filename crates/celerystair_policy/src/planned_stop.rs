//! Whether a request is taken while a planned stop is under way. What still runs when the process ends
//! is cut, so a request that is expected to run longer is refused before it is passed on: its caller then
//! finds a router that stays. See `docs/PLATFORM.md`, "Planned stops".

use std::collections::VecDeque;

use celerystair_core::prelude::*;

use crate::fleet::{RequestKind, Route};

/// How many answers of a route are remembered: enough to hold a long one among many short ones.
const ANSWERS_MAX: usize = 64;
/// The most routes whose answers are remembered; operators may name new ones with each version.
const ROUTES_MAX: usize = 1024;
/// How many times as long as the longest remembered answer the next one may take, by how many are
/// remembered at least, at each [`Confidence`]. It holds for answers whose lengths spread as widely as those
/// of streams do (log-normal with a sigma of 1.0).
const LONGEST_MULTIPLES: [LongestMultiple; 7] = [
    LongestMultiple::new(64, 1.25, 1.25),
    LongestMultiple::new(32, 1.25, 1.75),
    LongestMultiple::new(16, 1.25, 2.5),
    LongestMultiple::new(8, 1.75, 3.75),
    LongestMultiple::new(4, 2.75, 6.5),
    LongestMultiple::new(2, 5.0, 12.5),
    LongestMultiple::new(1, 10.5, 30.0),
];
/// How many times as long as the time after which it was given up an answer may take. One that an upstream
/// held back says little of the others.
const UNFINISHED_MULTIPLE: f64 = 1.25;
/// How many times the operator's target a plain answer may take where none is remembered.
const TARGET_MULTIPLE: u64 = 4;

/// How sure it is that an answer takes no longer than expected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Confidence {
    /// Fewer than one in twenty take longer.
    Percent95,
    /// Fewer than one in a hundred take longer.
    Percent99,
}

struct LongestMultiple {
    least_answers: usize,
    percent_95: f64,
    percent_99: f64,
}

impl LongestMultiple {
    const fn new(least_answers: usize, percent_95: f64, percent_99: f64) -> Self {
        Self {
            least_answers,
            percent_95,
            percent_99,
        }
    }

    fn at(&self, confidence: Confidence) -> f64 {
        match confidence {
            Confidence::Percent95 => self.percent_95,
            Confidence::Percent99 => self.percent_99,
        }
    }
}

/// How long an answer is expected to take at most, and what that is known from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ExpectedAnswer {
    /// From when its request is passed on to its end; `None` if nothing is known.
    pub at_most_ms: Option<u64>,
    /// The number of remembered answers.
    pub answers: usize,
}

/// How long the latest answers of each route took, from when their request was passed on to their end.
#[derive(Debug, Default)]
pub struct AnswerDurations {
    by_route: HashMap<String, RouteAnswers>,
}

#[derive(Debug, Default)]
struct RouteAnswers {
    /// How long the latest whole answers took.
    whole_ms: VecDeque<u64>,
    /// The longest time after which one was given up, and how many whole answers came since.
    unfinished_ms: Option<(u64, usize)>,
}

impl RouteAnswers {
    fn longest_whole_ms(&self) -> u64 {
        self.whole_ms.iter().copied().max().unwrap_or(0)
    }

    /// Returns how long the next answer may take by what the whole ones took; `None` if there is none.
    fn by_whole_ms(&self, confidence: Confidence) -> Option<u64> {
        let mut multiples = LONGEST_MULTIPLES.iter();
        let known = multiples.find(|multiple| multiple.least_answers <= self.whole_ms.len());
        known.map(|multiple| (self.longest_whole_ms() as f64 * multiple.at(confidence)) as u64)
    }

    /// Returns how long the next answer may take by those that were given up.
    fn by_unfinished_ms(&self) -> u64 {
        let (longest_ms, _) = self.unfinished_ms.unwrap_or_default();
        (longest_ms as f64 * UNFINISHED_MULTIPLE) as u64
    }
}

impl AnswerDurations {
    /// Records an answer that was passed on whole.
    pub fn record(&mut self, route: &str, duration_ms: u64) {
        let answers = self.route(route);
        if answers.whole_ms.len() >= ANSWERS_MAX {
            answers.whole_ms.pop_front();
        }
        answers.whole_ms.push_back(duration_ms);
        if let Some((ms, whole_since)) = answers.unfinished_ms {
            let is_remembered = whole_since + 1 < ANSWERS_MAX;
            answers.unfinished_ms = is_remembered.then_some((ms, whole_since + 1));
        }
    }

    /// Records an answer that was not whole after so long: it would have taken longer.
    pub fn record_unfinished(&mut self, route: &str, duration_ms: u64) {
        let answers = self.route(route);
        let (longest_ms, _) = answers.unfinished_ms.unwrap_or_default();
        if duration_ms > longest_ms.max(answers.longest_whole_ms()) {
            answers.unfinished_ms = Some((duration_ms, 0));
        }
    }

    /// Returns how long an answer of the route is expected to take at most, however few are remembered. Where
    /// none is, the operator's target tells of a plain answer, and nothing of a stream, whose target is its
    /// first event's.
    pub fn expected(&self, route: &Route, confidence: Confidence) -> ExpectedAnswer {
        let remembered = self.by_route.get(&route.name);
        let by_whole_ms = remembered.and_then(|answers| answers.by_whole_ms(confidence));
        let known_ms = match route.kind {
            _ if by_whole_ms.is_some() => by_whole_ms,
            RequestKind::Stream => None,
            _ => Some(route.target_latency_ms.saturating_mul(TARGET_MULTIPLE)),
        };
        let by_unfinished_ms = remembered.map_or(0, RouteAnswers::by_unfinished_ms);
        ExpectedAnswer {
            at_most_ms: known_ms.map(|ms| ms.max(by_unfinished_ms)),
            answers: remembered.map_or(0, |answers| answers.whole_ms.len()),
        }
    }

    fn route(&mut self, route: &str) -> &mut RouteAnswers {
        if !self.by_route.contains_key(route) && self.by_route.len() >= ROUTES_MAX {
            self.by_route.clear();
        }
        self.by_route.entry(route.to_owned()).or_default()
    }
}

/// When a planned stop began, and when it cuts what still runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlannedStop {
    /// When it was asked for.
    pub began_unix_ms: u64,
    /// When its listener closes.
    pub closes_unix_ms: u64,
    /// When the process begins to cut what runs.
    pub cuts_unix_ms: u64,
}

impl PlannedStop {
    /// Returns how sure the end of a request's answer must be that was read at `read_unix_ms`. As long as
    /// callers are sent here, a refusal costs many of them; later ones are few, and have little time.
    pub fn confidence(&self, read_unix_ms: u64) -> Confidence {
        if read_unix_ms < self.closes_unix_ms {
            Confidence::Percent95
        } else {
            Confidence::Percent99
        }
    }
}

/// Returns whether a request that is passed on at `sent_unix_ms`, now or when what it waits for is
/// expected, gets its answer by `ends_unix_ms`, when the process begins to cut what runs. By its deadline
/// it has one in any case, and one of which nothing is expected may take until then.
pub fn can_end_before_stop(
    expected_ms: Option<u64>,
    deadline_unix_ms: u64,
    ends_unix_ms: u64,
    sent_unix_ms: u64,
) -> bool {
    let expected_unix_ms = expected_ms.map(|ms| sent_unix_ms.saturating_add(ms));
    let answered_unix_ms = expected_unix_ms.map_or(deadline_unix_ms, |at| at.min(deadline_unix_ms));
    answered_unix_ms <= ends_unix_ms
}
