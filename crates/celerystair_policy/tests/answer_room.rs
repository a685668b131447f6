//! Replays of answers that share a router's room.

use celerystair_core::prelude::*;
use celerystair_policy::prelude::*;

const MB: usize = 1024 * 1024;
const ANSWER_MAX_BYTES: usize = 8 * MB;
const ROOM_MAX_BYTES: usize = 32 * MB;

fn room() -> AnswerRoom {
    AnswerRoom::new(ANSWER_MAX_BYTES, ROOM_MAX_BYTES)
}

fn begin(room: &mut AnswerRoom, upstream: &str) -> AnswerTicket {
    room.begin(UpstreamId::from(upstream))
}

// Four answers held just below their limit made each sound one of 6 MB fail.
#[test]
fn answers_of_a_faulty_upstream_give_way_to_those_of_sound_ones() {
    let mut room = room();
    let faulty: Vec<AnswerTicket> = (0..4).map(|_| begin(&mut room, "faulty")).collect();
    for ticket in &faulty {
        assert_eq!(room.add(*ticket, ANSWER_MAX_BYTES - 1), Ok(false));
    }
    for sound in ["sound-1", "sound-2", "sound-1"] {
        let ticket = begin(&mut room, sound);
        let mut gave_way = 0;
        for _ in 0..6 {
            gave_way += usize::from(room.add(ticket, MB).expect("a sound answer is served"));
        }
        assert!(gave_way <= 1, "{gave_way} pieces made others give way");
        assert!(room.held_bytes() <= ROOM_MAX_BYTES);
    }
    let gave_way = faulty.iter().filter(|ticket| room.gives_way(**ticket));
    assert_eq!(gave_way.count(), 3);
}

/// Answers before it (upstream, MB), what is added of "a" in MB, and what that gives.
type Case<'a> = (&'a [(&'a str, usize)], usize, Result<bool, AnswerLimit>);

#[test]
fn an_answer_is_refused_for_its_own_length_or_for_what_its_upstream_holds() {
    let cases: [Case; 5] = [
        (&[], 8, Ok(false)),
        (&[], 9, Err(AnswerLimit::Answer)),
        (&[("a", 8), ("a", 8), ("a", 8)], 8, Ok(false)),
        (
            &[("a", 7), ("a", 7), ("a", 7), ("a", 7)],
            8,
            Err(AnswerLimit::Room),
        ),
        (&[("b", 8), ("b", 8), ("a", 7), ("b", 8)], 2, Ok(true)),
    ];
    for (held, added_mb, expected) in cases {
        let mut room = room();
        for (upstream, mb) in held {
            let ticket = begin(&mut room, upstream);
            room.add(ticket, mb * MB).expect("there is room");
        }
        let ticket = begin(&mut room, "a");
        assert_eq!(room.add(ticket, added_mb * MB), expected, "{held:?}");
        room.end(ticket);
    }
}

#[test]
fn the_room_of_an_answer_that_has_ended_is_free_again() {
    let mut room = room();
    for _ in 0..100 {
        let ticket = begin(&mut room, "a");
        assert_eq!(room.add(ticket, ANSWER_MAX_BYTES), Ok(false));
        room.end(ticket);
    }
    assert_eq!(room.held_bytes(), 0);
}
