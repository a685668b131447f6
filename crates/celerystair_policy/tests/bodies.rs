//! Bodies of all sizes that come at once, wait, are given up and end.

use celerystair_policy::{bodies::BodyTicket, prelude::*};

const MEMORY_BYTES: u64 = 160 * 1024 * 1024;
/// A quarter of the memory.
const ROOM_BYTES: u64 = MEMORY_BYTES / 4;
const LARGE_BYTES: u64 = 4_000_000;
const SMALL_BYTES: u64 = 4000;

/// A sequence of numbers below a bound.
struct Draws(u64);

impl Draws {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % bound
    }
}

fn join(room: &mut BodyRoom, bytes: u64) -> BodyTicket {
    room.join(bytes).expect("the body may wait")
}

#[test]
fn large_bodies_at_once_hold_no_more_than_the_room_and_all_get_their_turn() {
    let mut room = BodyRoom::new(MEMORY_BYTES);
    let mut waiting: Vec<BodyTicket> = (0..100).map(|_| join(&mut room, LARGE_BYTES)).collect();
    let mut rounds = 0;
    while !waiting.is_empty() {
        let before = waiting.len();
        let mut admitted = 0;
        waiting.retain(|ticket| {
            let is_admitted = room.admit(*ticket);
            admitted += u64::from(is_admitted);
            !is_admitted
        });
        assert!(waiting.len() < before, "none of {before} gets room");
        assert!(room.held_bytes() <= ROOM_BYTES);
        (0..admitted).for_each(|_| room.release(LARGE_BYTES));
        rounds += 1;
    }
    assert!(rounds > 1);
    assert_eq!(room.held_bytes(), 0);
}

#[test]
fn small_bodies_find_room_beside_large_ones_that_wait() {
    let mut room = BodyRoom::new(MEMORY_BYTES);
    let large: Vec<BodyTicket> = (0..100).map(|_| join(&mut room, LARGE_BYTES)).collect();
    let admitted = large.iter().filter(|ticket| room.admit(**ticket)).count();
    assert!(admitted < large.len());
    for _ in 0..200 {
        let small = join(&mut room, SMALL_BYTES);
        assert!(room.admit(small));
    }
    assert!(room.held_bytes() <= ROOM_BYTES);
}

#[test]
fn bodies_that_outgrow_their_room_leave_small_ones_theirs() {
    let mut room = BodyRoom::new(MEMORY_BYTES);
    let mut outgrown = 0;
    for _ in 0..300 {
        let small = join(&mut room, SMALL_BODY_MAX_BYTES);
        assert!(room.admit(small));
        outgrown += u64::from(room.outgrow(SMALL_BODY_MAX_BYTES));
        assert!(room.held_bytes() <= ROOM_BYTES);
    }
    assert!(0 < outgrown && outgrown < 300, "{outgrown}");
    let small = join(&mut room, SMALL_BYTES);
    assert!(room.admit(small));
    (0..outgrown).for_each(|_| room.release_begun(SMALL_BODY_MAX_BYTES));
    room.release(SMALL_BYTES);
    assert_eq!(room.held_bytes(), 0);
}

// Bodies without a length kept the room of the longest ones, so a few hundred small ones filled it.
#[test]
fn short_bodies_without_a_length_find_room_beside_each_other_while_their_requests_run() {
    let mut room = BodyRoom::new(MEMORY_BYTES);
    for number in 0..600 {
        let body = join(&mut room, SMALL_BODY_MAX_BYTES);
        assert!(room.admit(body), "body {number}");
        room.shrink(SMALL_BODY_MAX_BYTES, SMALL_BYTES);
    }
    assert_eq!(room.held_bytes(), 600 * SMALL_BYTES);
    (0..600).for_each(|_| room.release(SMALL_BYTES));
    assert_eq!(room.held_bytes(), 0);
}

#[test]
fn bodies_without_a_length_keep_the_room_of_their_class_once_they_have_come() {
    for bytes in [0, SMALL_BYTES, SMALL_BODY_MAX_BYTES, 70_000, LARGE_BYTES] {
        let mut room = BodyRoom::new(MEMORY_BYTES);
        let mut bodies = 0;
        while bodies < 100 {
            let body = join(&mut room, LARGE_BYTES);
            if !room.admit(body) {
                break;
            }
            room.shrink(LARGE_BYTES, bytes);
            bodies += 1;
            assert_eq!(room.held_bytes(), bodies * bytes);
            assert!(room.held_bytes() <= ROOM_BYTES);
        }
        assert_eq!(bodies == 100, bytes <= 70_000, "{bodies} of {bytes} bytes");
        (0..bodies).for_each(|_| room.release(bytes));
        assert_eq!(room.held_bytes(), 0, "{bytes}");
    }
}

#[test]
fn a_body_larger_than_the_room_goes_alone() {
    let mut room = BodyRoom::new(MEMORY_BYTES);
    let first = join(&mut room, LARGE_BYTES);
    let huge = join(&mut room, ROOM_BYTES * 2);
    let after = join(&mut room, LARGE_BYTES);
    assert!(room.admit(first));
    assert!(!room.admit(huge));
    assert!(!room.admit(after), "the larger one came first");
    room.release(LARGE_BYTES);
    assert!(room.admit(huge));
    assert!(!room.admit(after));
    room.release(ROOM_BYTES * 2);
    assert!(room.admit(after));
}

#[test]
fn too_many_waiting_bodies_are_refused() {
    let mut room = BodyRoom::new(MEMORY_BYTES);
    let tickets: Vec<Option<BodyTicket>> = (0..500).map(|_| room.join(LARGE_BYTES)).collect();
    assert!(tickets.iter().any(Option::is_none));
    tickets
        .iter()
        .flatten()
        .for_each(|ticket| room.leave(*ticket));
    assert!(room.join(LARGE_BYTES).is_some());
}

/// Bodies come, wait, are admitted, given up and ended in any order: the room is kept, and whatever
/// still waits gets room once all before it have ended.
#[test]
fn bodies_in_any_order_keep_the_room_and_never_wait_for_each_other() {
    for seed in 0..200 {
        let mut draws = Draws(seed);
        let mut room = BodyRoom::new(MEMORY_BYTES);
        let (mut waiting, mut held) = (Vec::new(), Vec::new());
        for _ in 0..500 {
            let is_small = draws.below(2) == 0;
            let bytes = 1 + draws.below(if is_small { 60_000 } else { 8_000_000 });
            match draws.below(4) {
                0 | 1 => waiting.extend(room.join(bytes).map(|ticket| (ticket, bytes))),
                2 if !waiting.is_empty() => {
                    let index = draws.below(waiting.len() as u64) as usize;
                    let (ticket, _) = waiting.remove(index);
                    room.leave(ticket);
                }
                _ if !held.is_empty() => {
                    let index = draws.below(held.len() as u64) as usize;
                    let bytes = held.remove(index);
                    if draws.below(2) == 0 {
                        room.release(bytes);
                    } else {
                        let kept_bytes = draws.below(bytes + 1);
                        room.shrink(bytes, kept_bytes);
                        held.push(kept_bytes);
                    }
                }
                _ => {}
            }
            waiting.retain(|(ticket, bytes)| {
                let is_admitted = room.admit(*ticket);
                if is_admitted {
                    held.push(*bytes);
                }
                !is_admitted
            });
            assert!(room.held_bytes() <= ROOM_BYTES, "seed {seed}");
            assert_eq!(room.held_bytes(), held.iter().sum::<u64>(), "seed {seed}");
        }
        while !(waiting.is_empty() && held.is_empty()) {
            let before = waiting.len() + held.len();
            held.drain(..).for_each(|bytes| room.release(bytes));
            waiting.retain(|(ticket, bytes)| {
                let is_admitted = room.admit(*ticket);
                if is_admitted {
                    held.push(*bytes);
                }
                !is_admitted
            });
            assert!(
                waiting.len() + held.len() < before || !held.is_empty(),
                "seed {seed}"
            );
        }
    }
}
