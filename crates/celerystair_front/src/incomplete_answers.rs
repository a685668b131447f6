//! The room that the incomplete responses of all upstreams share.

use std::cell::RefCell;

use celerystair_core::prelude::*;
use celerystair_policy::prelude::*;
use event_listener::Event;

/// The longest response that is buffered. An upstream in trouble may send bytes without end.
pub const RESPONSE_MAX_BYTES: usize = 8 * 1024 * 1024;
/// The most bytes of incomplete responses that a router buffers at a time: a fifth of the memory of
/// the smallest instances that run one.
const INCOMPLETE_RESPONSES_MAX_BYTES: usize = 32 * 1024 * 1024;

/// The incomplete responses that a router buffers.
#[derive(Debug)]
pub struct IncompleteAnswers {
    room: RefCell<AnswerRoom>,
    gave_way: Event,
}

impl Default for IncompleteAnswers {
    fn default() -> Self {
        Self {
            room: RefCell::new(AnswerRoom::new(
                RESPONSE_MAX_BYTES,
                INCOMPLETE_RESPONSES_MAX_BYTES,
            )),
            gave_way: Event::new(),
        }
    }
}

/// The part of the room that one response takes until this is dropped.
pub struct AnswerReservation<'a> {
    answers: &'a IncompleteAnswers,
    ticket: AnswerTicket,
}

impl<'a> AnswerReservation<'a> {
    /// Begins a response of which nothing has been read.
    pub fn new(answers: &'a IncompleteAnswers, upstream: UpstreamId) -> Self {
        let ticket = answers.room.borrow_mut().begin(upstream);
        Self { answers, ticket }
    }

    /// Counts more bytes of the response.
    ///
    /// # Errors
    /// The limit beyond which they may not be buffered.
    pub fn add(&self, bytes: usize) -> Result<(), AnswerLimit> {
        let others_give_way = self.answers.room.borrow_mut().add(self.ticket, bytes)?;
        if others_give_way {
            self.answers.gave_way.notify(usize::MAX);
        }
        Ok(())
    }

    /// Returns the bytes that were counted.
    pub fn bytes(&self) -> usize {
        self.answers.room.borrow().bytes(self.ticket)
    }

    /// Waits until the response must give way, also while its upstream sends nothing.
    pub async fn give_way(&self) {
        loop {
            let gave_way = self.answers.gave_way.listen();
            if self.answers.room.borrow().gives_way(self.ticket) {
                return;
            }
            gave_way.await;
        }
    }
}

impl Drop for AnswerReservation<'_> {
    fn drop(&mut self) {
        self.answers.room.borrow_mut().end(self.ticket);
    }
}
