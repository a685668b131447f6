//! A caller that keeps sending a request that crashes each upstream that runs it, or unlike requests
//! with a part of their prompts that does, while routers and agents are killed.

use std::{
    io::Write,
    net::{SocketAddr, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use rand::seq::IndexedRandom;

use crate::{
    fleet::{Fleet, STABLE},
    plan::{Plan, Step},
    support::{Request, upstream::CRASHING_PATH},
};

/// What crashes upstreams.
#[derive(Clone, Copy, Debug)]
pub enum Cause {
    /// One request, which is sent again and again.
    Request,
    /// A part of the prompt of requests that are not alike.
    PromptPart,
}

impl Cause {
    /// Crashes after which every router must refuse the requests.
    fn crashes_max(self) -> usize {
        match self {
            Self::Request => 3,
            Self::PromptPart => 5,
        }
    }

    fn request(self, number: u64) -> Request {
        let id = format!("crashing-{number}");
        match self {
            Self::Request => Request::new(&format!("GET /read{CRASHING_PATH}"), &id),
            Self::PromptPart => {
                let path = format!("POST /resumed/{number}");
                let prompt = format!("a1:60,{CRASHING_PART}:20,g{number}:5");
                Request::stream_with_prompt(&path, &id, "m1", &prompt)
            }
        }
    }
}

/// The part of prompts that crashes engines.
const CRASHING_PART: &str = "bad";
/// Runs that the platform allows later than [`STABLE`] after those.
const LATE_RUNS_MAX: usize = 3;
/// Pause between two of the caller's retries: so long that no router sees enough crashes by itself
/// before [`STABLE`] has passed.
const PAUSE: Duration = Duration::from_millis(700);

/// Sends the requests to routers drawn at random until it is stopped.
fn send_until(is_stopped: &AtomicBool, cause: Cause, routers: &[SocketAddr]) {
    let mut number = 0;
    while !is_stopped.load(Ordering::SeqCst) {
        number += 1;
        let request = cause.request(number);
        let router = routers.choose(&mut rand::rng()).expect("a router");
        // A router that was just killed refuses the connection.
        if let Ok(mut stream) = TcpStream::connect(router) {
            stream.write_all(&request.bytes()).ok();
            stream.set_read_timeout(Some(PAUSE)).ok();
            std::io::Read::read(&mut stream, &mut [0; 1024]).ok();
        }
        std::thread::sleep(PAUSE);
    }
}

/// Counts the crashes after `since` that the platform doesn't excuse: those within [`STABLE`] of a
/// router's kill may come from the router that was killed.
fn late_runs(crashes: &[Instant], since: Instant, kills: &[Instant]) -> usize {
    let is_excused = |crash: &Instant| {
        let mut kills = kills.iter();
        kills.any(|kill| *crash >= *kill && *crash < *kill + STABLE)
    };
    let late = crashes.iter().filter(|crash| **crash >= since);
    late.filter(|crash| !is_excused(crash)).count()
}

/// Plays the kills of all routers and then of all agents, one after the other; gives what did not
/// hold.
pub fn play(fleet: &mut Fleet, cause: Cause, routers: usize, agents: usize) -> Vec<String> {
    fleet.set_crashing_part(CRASHING_PART);
    let is_stopped = Arc::new(AtomicBool::new(false));
    let (stopped, addresses) = (is_stopped.clone(), fleet.router_addresses());
    let caller = std::thread::spawn(move || send_until(&stopped, cause, &addresses));
    let calm = |for_ms| Plan::of([(for_ms, Step::Configure)]);
    let mut broken = fleet.carry_out(&calm(12_000));
    let mut kills = Vec::new();
    for process in 0..routers + agents {
        if process < routers {
            kills.push(Instant::now());
        }
        broken.extend(fleet.carry_out(&Plan::of([(0, Step::Kill(process))])));
        broken.extend(fleet.carry_out(&calm(400)));
    }
    broken.extend(fleet.carry_out(&calm(4000)));
    is_stopped.store(true, Ordering::SeqCst);
    caller.join().expect("the caller ends");
    let crashes = fleet.crashes();
    // A part of prompts may be refused before the crashes that the platform allows.
    let Some(decisive) = crashes.get(cause.crashes_max() - 1).or(crashes.last()) else {
        broken.push("nothing crashed".to_owned());
        return broken;
    };
    if matches!(cause, Cause::Request) && crashes.len() < cause.crashes_max() {
        broken.push(format!("the request crashed {} upstreams", crashes.len()));
    }
    let late = late_runs(&crashes, *decisive + STABLE, &kills);
    println!("{} upstreams crashed, {late} of them late", crashes.len());
    if late > LATE_RUNS_MAX {
        broken.push(format!("{late} late runs of requests that crash upstreams"));
    }
    broken
}
