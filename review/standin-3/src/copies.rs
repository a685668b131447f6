//! A request that crashes the servers that run it comes again, with repeats at once.

use std::{
    sync::atomic::{AtomicBool, Ordering},
    time::Duration,
};

use crate::{
    Case, STABLE_MS, Verdict,
    server::{CRASHING_BODY, Kind, Server, FIRST_EVENT},
};

const SERVERS: usize = 4;
/// The request and the repeats that some clients send at once: `retry_abuse`, 3 more.
const COPIES: usize = 1 + 3;
const ROUNDS: usize = 4;
const ROUND: Duration = Duration::from_secs(6);
const TARGET: &str = "/approve/7f";

pub fn play(case: &mut Case) -> Result<Verdict, Verdict> {
    let zone = |index: usize| ["zone-a", "zone-b"][index % 2];
    let kind = |name: String, index: usize| Kind {
        name,
        service: "desk",
        zone: zone(index),
        slots: 6,
        models: None,
        events: 0,
        event_gap: Duration::ZERO,
        crashes: case.has_trouble,
        down: Duration::from_secs(2),
        keeps_id: false,
        halves_gap: None,
        version: "v1",
        first_event: FIRST_EVENT,
    };
    let servers: Vec<Server> = (0..SERVERS)
        .map(|index| case.start_server(kind(format!("desk-{}", index + 1), index), 31 + index as u8))
        .collect();
    let engines: Vec<Server> = (0..2)
        .map(|index| {
            let engine = Kind {
                service: "llm",
                slots: 48,
                models: Some(vec!["m1"]),
                crashes: false,
                ..kind(format!("engine-{}", index + 1), index)
            };
            case.start_server(engine, 11 + index as u8)
        })
        .collect();
    case.system.start_router(1, zone(0));
    case.system.start_router(2, zone(1));
    for engine in &engines {
        case.system.start_agent(engine);
    }
    case.settle()?;
    let routers = case.system.routers();
    let case = &*case;
    let (is_over, router) = (AtomicBool::new(false), |round: usize| routers[round % routers.len()]);
    let deadline = [("celerystair-deadline-ms", "1500".to_owned())];
    std::thread::scope(|scope| {
        // Sound requests go on all the while.
        scope.spawn(|| {
            for number in 0.. {
                if is_over.load(Ordering::Relaxed) {
                    return;
                }
                let target = format!("/approve/{number}-ok");
                case.ask(router(number), &target, &deadline, target.as_bytes());
                std::thread::sleep(Duration::from_millis(500));
            }
        });
        for round in 0..ROUNDS {
            case.record.write(format!("round {round}"));
            std::thread::scope(|copies| {
                for _ in 0..COPIES {
                    copies.spawn(|| case.ask(router(round), TARGET, &deadline, CRASHING_BODY));
                }
            });
            std::thread::sleep(ROUND);
        }
        is_over.store(true, Ordering::Relaxed);
    });
    case.system.record_logs(&["\"request_suspected\"", "\"suspect_learned\""]);
    let mut crashes: Vec<u64> = servers.iter().flat_map(Server::crashes).collect();
    crashes.sort_unstable();
    let runs: Vec<u64> = servers
        .iter()
        .flat_map(Server::runs)
        .filter(|run| run.target == TARGET)
        .map(|run| run.at_ms)
        .collect();
    let Some(third_ms) = crashes.get(2).copied() else {
        let text = format!("{} runs, {} crashes", runs.len(), crashes.len());
        return Ok(Verdict::Held(text));
    };
    let late = runs.iter().filter(|at_ms| **at_ms > third_ms + STABLE_MS).count();
    let text = format!(
        "BUDGET: the third crash at {third_ms} ms; {late} repeats reached servers more than {STABLE_MS} ms later, \
         {} runs and {} crashes in all",
        runs.len(),
        crashes.len()
    );
    Ok(if late > 3 { Verdict::Broken(text) } else { Verdict::Held(text) })
}
