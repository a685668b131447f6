//! Reading callers' bodies. A caller whose body finds no room isn't read from, so it stops sending, until
//! it gets its turn or too little of its time is left.

use std::{cell::RefCell, pin::pin, rc::Rc};

use bytes::Bytes;
use celerystair_core::{prelude::*, time::before_deadline};
use celerystair_policy::prelude::*;
use event_listener::Event;
use futures_util::future::{Either, select};
use http_body::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::front::PlatformRouter;

/// Part of a caller's time that is reserved for running the request and for reading past the body of one
/// that is refused.
const RUN_RESERVE_MS: u64 = 400;
/// `Retry-After` of a request whose body found no room.
const NO_ROOM_RETRY_AFTER_MS: u64 = 500;

/// The room for the bodies that a router holds.
#[derive(Debug)]
pub struct RequestBodies {
    room: RefCell<BodyRoom>,
    changed: Event,
}

impl RequestBodies {
    /// Creates the room of a process that may use `memory_bytes`.
    pub fn new(memory_bytes: u64) -> Rc<Self> {
        Rc::new(Self {
            room: RefCell::new(BodyRoom::new(memory_bytes)),
            changed: Event::new(),
        })
    }

    /// Returns the bytes that bodies hold.
    pub fn held_bytes(&self) -> u64 {
        self.room.borrow().held_bytes()
    }

    /// Returns how many bodies wait for room.
    pub fn waiting(&self) -> usize {
        self.room.borrow().waiting()
    }
}

/// Room for one body, which it has until this is dropped.
#[derive(Debug)]
pub struct BodyReservation {
    bodies: Rc<RequestBodies>,
    bytes: u64,
    /// What has come of a body without a length that waits for more room.
    begun_bytes: u64,
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        let mut room = self.bodies.room.borrow_mut();
        room.release(self.bytes);
        room.release_begun(self.begun_bytes);
        drop(room);
        self.bodies.changed.notify(usize::MAX);
    }
}

/// A body's place in the queue, which it leaves when this is dropped.
struct QueuedBody<'a> {
    bodies: &'a RequestBodies,
    ticket: BodyTicket,
}

impl Drop for QueuedBody<'_> {
    fn drop(&mut self) {
        self.bodies.room.borrow_mut().leave(self.ticket);
        // Another one may be next now.
        self.bodies.changed.notify(usize::MAX);
    }
}

/// Reads the body of a request that is due at `deadline_unix_ms`, once there is room for it.
///
/// # Errors
/// A refusal if the body is too large or breaks off, or if it was not read in time.
pub async fn read_caller_body(
    router: &PlatformRouter,
    request: &RequestId,
    body: &mut Incoming,
    body_max_bytes: usize,
    deadline_unix_ms: u64,
) -> Result<(Bytes, BodyReservation), Refusal> {
    let reading = read_in_turn(router, request, body, body_max_bytes, deadline_unix_ms);
    let reading = before_deadline(deadline_unix_ms, reading);
    let read = match select(pin!(reading), pin!(router.closing.draining())).await {
        Either::Left((Some(read), _)) => read,
        Either::Left((None, _)) => {
            let detail = "the body did not arrive before the deadline";
            Err(Refusal::not_run(RefusalReason::DeadlineExceeded, detail))
        }
        Either::Right(_) => {
            let detail = "this router is shutting down";
            Err(Refusal::not_run(RefusalReason::Leaving, detail)
                .retry_after(NO_ROOM_RETRY_AFTER_MS))
        }
    };
    read.inspect_err(|refusal| router.log_body_refused(request, refusal))
}

async fn read_in_turn(
    router: &PlatformRouter,
    request: &RequestId,
    body: &mut Incoming,
    body_max_bytes: usize,
    deadline_unix_ms: u64,
) -> Result<(Bytes, BodyReservation), Refusal> {
    let max_bytes = body_max_bytes as u64;
    let declared_bytes = body.size_hint().exact();
    if declared_bytes.is_some_and(|bytes| bytes > max_bytes) {
        return Err(too_large(body_max_bytes));
    }
    let wait_until_unix_ms = deadline_unix_ms.saturating_sub(RUN_RESERVE_MS);
    let mut reservation = BodyReservation {
        bodies: router.bodies.clone(),
        bytes: 0,
        begun_bytes: 0,
    };
    let first_bytes = declared_bytes.unwrap_or(max_bytes.min(SMALL_BODY_MAX_BYTES));
    reserve(
        router,
        request,
        &mut reservation,
        first_bytes,
        wait_until_unix_ms,
    )
    .await?;
    let mut bytes = Vec::with_capacity(declared_bytes.unwrap_or(0) as usize);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| {
            let detail = format!("the connection failed before the body was complete: {error}");
            Refusal::not_run(RefusalReason::BadRequest, detail)
        })?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if bytes.len() + data.len() > body_max_bytes {
            return Err(too_large(body_max_bytes));
        }
        if (bytes.len() + data.len()) as u64 > reservation.bytes {
            // Nothing tells how long the rest is, so there must be room for the longest.
            outgrow(&mut reservation)?;
            reserve(
                router,
                request,
                &mut reservation,
                max_bytes,
                wait_until_unix_ms,
            )
            .await?;
            bytes.reserve_exact(body_max_bytes - bytes.len());
        }
        bytes.extend_from_slice(&data);
    }
    bytes.shrink_to_fit();
    shrink(&mut reservation, bytes.len() as u64);
    Ok((Bytes::from(bytes), reservation))
}

fn too_large(body_max_bytes: usize) -> Refusal {
    let detail = format!("the body exceeds the limit of {body_max_bytes} bytes");
    Refusal::not_run(RefusalReason::BodyTooLarge, detail)
}

fn no_room() -> Refusal {
    let detail = "this router has no room for the body beside those of other requests";
    Refusal::not_run(RefusalReason::Overloaded, detail).retry_after(NO_ROOM_RETRY_AFTER_MS)
}

/// Keeps only the room of a body that has come whole, which the request holds until it has ended.
fn shrink(reservation: &mut BodyReservation, bytes: u64) {
    let admitted_bytes = std::mem::replace(&mut reservation.bytes, bytes);
    let bodies = &reservation.bodies;
    bodies.room.borrow_mut().shrink(admitted_bytes, bytes);
    if bytes < admitted_bytes {
        bodies.changed.notify(usize::MAX);
    }
}

fn outgrow(reservation: &mut BodyReservation) -> Result<(), Refusal> {
    let bytes = std::mem::take(&mut reservation.bytes);
    let may_wait = reservation.bodies.room.borrow_mut().outgrow(bytes);
    reservation.bodies.changed.notify(usize::MAX);
    if !may_wait {
        return Err(no_room());
    }
    reservation.begun_bytes = bytes;
    Ok(())
}

/// Waits until there is room for `bytes`, which then belongs to `reservation`.
///
/// # Errors
/// A refusal if there is none at `until_unix_ms`, or if too many bodies wait.
async fn reserve(
    router: &PlatformRouter,
    request: &RequestId,
    reservation: &mut BodyReservation,
    bytes: u64,
    until_unix_ms: u64,
) -> Result<(), Refusal> {
    let bodies = router.bodies.clone();
    let ticket = bodies.room.borrow_mut().join(bytes).ok_or_else(no_room)?;
    let queued = QueuedBody {
        bodies: &bodies,
        ticket,
    };
    let mut has_waited = false;
    loop {
        let changed = bodies.changed.listen();
        if bodies.room.borrow_mut().admit(ticket) {
            break;
        }
        if !has_waited {
            has_waited = true;
            router.log_body_waits(request, bytes);
        }
        if before_deadline(until_unix_ms, changed).await.is_none() {
            return Err(no_room());
        }
    }
    reservation.bytes = bytes;
    let begun_bytes = std::mem::take(&mut reservation.begun_bytes);
    bodies.room.borrow_mut().release_begun(begun_bytes);
    drop(queued);
    Ok(())
}
