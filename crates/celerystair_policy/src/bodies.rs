//! Whose body a router reads next. Bodies take memory from the time that they may be sent until their
//! requests have ended, so a caller sends its body only when there is room for all of it.

use std::collections::VecDeque;

/// Bodies of up to this many bytes are small: some room is kept for them, so that they don't wait behind
/// large ones.
pub const SMALL_BODY_MAX_BYTES: u64 = 64 * 1024;
/// Bodies may take one part in this many of a process's memory.
const MEMORY_DIVISOR: u64 = 4;
/// One part in this many of the room is kept for small bodies.
const SMALL_DIVISOR: u64 = 4;
/// The most bodies that may wait for room.
const WAITING_MAX: usize = 400;

/// The place of a body among those that wait.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BodyTicket(u64);

#[derive(Clone, Copy, Debug)]
struct WaitingBody {
    ticket: BodyTicket,
    bytes: u64,
}

/// The room for bodies of one process. A body gets the room for its whole length at once, and none
/// waits while it holds some that another needs, so bodies can't wait for each other.
#[derive(Debug)]
pub struct BodyRoom {
    max_bytes: u64,
    held_small_bytes: u64,
    held_large_bytes: u64,
    /// Bytes of bodies without a length that have come and wait for the room of a large body.
    begun_bytes: u64,
    small: VecDeque<WaitingBody>,
    large: VecDeque<WaitingBody>,
    tickets: u64,
}

impl BodyRoom {
    /// Creates the room of a process that may use `memory_bytes`.
    pub fn new(memory_bytes: u64) -> Self {
        Self {
            max_bytes: memory_bytes / MEMORY_DIVISOR,
            held_small_bytes: 0,
            held_large_bytes: 0,
            begun_bytes: 0,
            small: VecDeque::new(),
            large: VecDeque::new(),
            tickets: 0,
        }
    }

    /// Returns the bytes that bodies hold.
    pub fn held_bytes(&self) -> u64 {
        self.held_small_bytes + self.held_large_bytes + self.begun_bytes
    }

    /// Returns how many bodies wait.
    pub fn waiting(&self) -> usize {
        self.small.len() + self.large.len()
    }

    /// Adds a body to those that wait; `None` if too many do.
    pub fn join(&mut self, bytes: u64) -> Option<BodyTicket> {
        if self.waiting() >= WAITING_MAX {
            return None;
        }
        self.tickets += 1;
        let ticket = BodyTicket(self.tickets);
        self.queue(bytes).push_back(WaitingBody { ticket, bytes });
        Some(ticket)
    }

    /// Lets the body of `ticket` take its room if it is next and the room is there. Returns whether it
    /// has; it then holds the room until it is [released](Self::release).
    pub fn admit(&mut self, ticket: BodyTicket) -> bool {
        let is_next = |body: &&WaitingBody| body.ticket == ticket;
        let next = self.small.front().filter(is_next);
        let Some(&WaitingBody { bytes, .. }) = next.or(self.large.front().filter(is_next)) else {
            return false;
        };
        if !self.has_room(bytes) {
            return false;
        }
        self.queue(bytes).pop_front();
        *self.held(bytes) += bytes;
        true
    }

    /// Takes a body that no longer waits out of the queue.
    pub fn leave(&mut self, ticket: BodyTicket) {
        self.small.retain(|body| body.ticket != ticket);
        self.large.retain(|body| body.ticket != ticket);
    }

    /// Gives the room of a body back.
    pub fn release(&mut self, bytes: u64) {
        let held = self.held(bytes);
        *held = held.saturating_sub(bytes);
    }

    /// Gives back what a body without a length got beyond the `bytes` that have come of it. What it keeps
    /// may be the room of a small body although it was admitted as a large one.
    pub fn shrink(&mut self, admitted_bytes: u64, bytes: u64) {
        let kept_bytes = bytes.min(admitted_bytes);
        self.release(admitted_bytes);
        *self.held(kept_bytes) += kept_bytes;
    }

    /// Turns the room of a small body that proves large into the bytes that have come of it, so that
    /// it doesn't keep small ones waiting. Returns whether it may wait for more room: what such bodies
    /// hold meanwhile is bounded too.
    pub fn outgrow(&mut self, bytes: u64) -> bool {
        self.release(bytes);
        let may_wait = self.begun_bytes + bytes <= self.small_bytes();
        if may_wait {
            self.begun_bytes += bytes;
        }
        may_wait
    }

    /// Gives back what a body [has outgrown](Self::outgrow), because its room is now counted whole or
    /// it has ended.
    pub fn release_begun(&mut self, bytes: u64) {
        self.begun_bytes = self.begun_bytes.saturating_sub(bytes);
    }

    /// The room that is kept for small bodies.
    fn small_bytes(&self) -> u64 {
        self.max_bytes / SMALL_DIVISOR
    }

    fn has_room(&self, bytes: u64) -> bool {
        // Room is kept for small bodies, and as much for those that have outgrown it.
        let kept_bytes = self.small_bytes();
        if bytes <= SMALL_BODY_MAX_BYTES {
            let is_in_kept = self.held_small_bytes + bytes <= kept_bytes;
            let total = self.held_small_bytes + self.held_large_bytes + kept_bytes + bytes;
            return is_in_kept || (self.large.is_empty() && total <= self.max_bytes);
        }
        // One that is larger than all the room would never get its turn beside others.
        let total = self.held_large_bytes + self.held_small_bytes.max(kept_bytes) + kept_bytes;
        self.held_large_bytes == 0 || total + bytes <= self.max_bytes
    }

    fn queue(&mut self, bytes: u64) -> &mut VecDeque<WaitingBody> {
        if bytes <= SMALL_BODY_MAX_BYTES {
            &mut self.small
        } else {
            &mut self.large
        }
    }

    fn held(&mut self, bytes: u64) -> &mut u64 {
        if bytes <= SMALL_BODY_MAX_BYTES {
            &mut self.held_small_bytes
        } else {
            &mut self.held_large_bytes
        }
    }
}
