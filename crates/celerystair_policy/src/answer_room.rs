//! Whose incomplete answer gives way when a router holds too many bytes of them. All upstreams share the
//! room, so one that sends without end would otherwise leave none for the answers of the others.

use celerystair_core::prelude::*;

/// The limit that an upstream's answer exceeded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerLimit {
    /// That on a head, with the interim responses and empty lines before it.
    Head,
    /// That on one answer.
    Answer,
    /// That on all incomplete answers together.
    Room,
}

impl AnswerLimit {
    /// Returns the limit's name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Head => "head",
            Self::Answer => "answer",
            Self::Room => "room",
        }
    }

    /// Whether the upstream is at fault: the room may be taken by sound answers of many requests.
    pub fn is_upstream_at_fault(self) -> bool {
        self != Self::Room
    }
}

/// An incomplete answer in an [`AnswerRoom`].
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct AnswerTicket(u64);

#[derive(Debug)]
struct HeldAnswer {
    upstream: UpstreamId,
    bytes: usize,
    gives_way: bool,
}

/// The room for the incomplete answers that a process buffers.
#[derive(Debug)]
pub struct AnswerRoom {
    answer_max_bytes: usize,
    max_bytes: usize,
    held_bytes: usize,
    answers: HashMap<AnswerTicket, HeldAnswer>,
    tickets: u64,
}

impl AnswerRoom {
    /// Creates a room of `max_bytes` for answers of up to `answer_max_bytes` each.
    pub fn new(answer_max_bytes: usize, max_bytes: usize) -> Self {
        Self {
            answer_max_bytes,
            max_bytes,
            held_bytes: 0,
            answers: HashMap::default(),
            tickets: 0,
        }
    }

    /// Returns the bytes of all answers that don't give way.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// Adds an answer of which nothing has been read.
    pub fn begin(&mut self, upstream: UpstreamId) -> AnswerTicket {
        let ticket = AnswerTicket(self.tickets);
        self.tickets += 1;
        let answer = HeldAnswer {
            upstream,
            bytes: 0,
            gives_way: false,
        };
        self.answers.insert(ticket, answer);
        ticket
    }

    /// Counts more bytes of an answer. If all together become too many, the largest answers of the upstream
    /// that holds most give way. Returns whether that concerns answers other than this one.
    ///
    /// # Errors
    /// The limit that this answer exceeds, after which nothing more of it may be buffered.
    pub fn add(&mut self, ticket: AnswerTicket, bytes: usize) -> Result<bool, AnswerLimit> {
        let answer = self.answers.get_mut(&ticket).ok_or(AnswerLimit::Room)?;
        if answer.gives_way {
            return Err(AnswerLimit::Room);
        }
        if answer.bytes + bytes > self.answer_max_bytes {
            return Err(AnswerLimit::Answer);
        }
        answer.bytes += bytes;
        self.held_bytes += bytes;
        let mut has_others = false;
        while self.held_bytes > self.max_bytes {
            let Some(largest) = self.largest_of_largest_holder() else {
                break;
            };
            self.give_way(largest);
            if largest == ticket {
                return Err(AnswerLimit::Room);
            }
            has_others = true;
        }
        Ok(has_others)
    }

    /// Returns the bytes that were counted of an answer.
    pub fn bytes(&self, ticket: AnswerTicket) -> usize {
        self.answers.get(&ticket).map_or(0, |answer| answer.bytes)
    }

    /// Whether an answer must give way.
    pub fn gives_way(&self, ticket: AnswerTicket) -> bool {
        let answer = self.answers.get(&ticket);
        answer.is_some_and(|answer| answer.gives_way)
    }

    /// Removes an answer that is complete or is no longer read.
    pub fn end(&mut self, ticket: AnswerTicket) {
        self.give_way(ticket);
        self.answers.remove(&ticket);
    }

    fn give_way(&mut self, ticket: AnswerTicket) {
        if let Some(answer) = self.answers.get_mut(&ticket)
            && !answer.gives_way
        {
            answer.gives_way = true;
            self.held_bytes -= answer.bytes;
        }
    }

    fn largest_of_largest_holder(&self) -> Option<AnswerTicket> {
        let held = || self.answers.iter().filter(|(_, answer)| !answer.gives_way);
        let mut by_upstream: HashMap<&UpstreamId, usize> = HashMap::default();
        for (_, answer) in held() {
            *by_upstream.entry(&answer.upstream).or_default() += answer.bytes;
        }
        let (holder, _) = by_upstream
            .into_iter()
            .max_by_key(|(upstream, bytes)| (*bytes, *upstream))?;
        held()
            .filter(|(_, answer)| answer.upstream == *holder)
            .max_by_key(|(ticket, answer)| (answer.bytes, **ticket))
            .map(|(ticket, _)| *ticket)
    }
}
