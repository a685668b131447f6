//! Requests with a part of prompts that crashes servers come several at a time.

use std::{
    sync::atomic::{AtomicBool, Ordering},
    time::Duration,
};

use crate::{
    Case, STABLE_MS, Verdict,
    server::{CRASHING_PART, Kind, Server, FIRST_EVENT},
};

const ENGINES: usize = 6;
/// How many come at a time.
const BURST: usize = 6;
const ROUNDS: usize = 4;
const ROUND: Duration = Duration::from_secs(6);

pub fn play(case: &mut Case) -> Result<Verdict, Verdict> {
    let zone = |index: usize| ["zone-a", "zone-b"][index % 2];
    let engines: Vec<Server> = (0..ENGINES)
        .map(|index| {
            let kind = Kind {
                name: format!("engine-{}", index + 1),
                service: "llm",
                zone: zone(index),
                slots: 48,
                models: Some(vec!["m1"]),
                events: 8,
                event_gap: Duration::from_millis(40),
                crashes: case.has_trouble,
                down: Duration::from_secs(2),
                keeps_id: false,
                halves_gap: None,
                version: "v1",
                first_event: FIRST_EVENT,
            };
            case.start_server(kind, 11 + index as u8)
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
    let is_over = AtomicBool::new(false);
    let ask = |name: String, part: &str, number: usize| {
        let headers = [
            ("celerystair-model", "m1".to_owned()),
            ("celerystair-token-counts", "710,48".to_owned()),
            ("celerystair-prompt-prefix", format!("5c1e07a2:250,{part}:410,{name}:50")),
            ("celerystair-deadline-ms", "4000".to_owned()),
        ];
        let target = format!("/once/{name}");
        case.ask(routers[number % routers.len()], &target, &headers, name.as_bytes());
    };
    std::thread::scope(|scope| {
        // Sound requests with the same first part go on all the while.
        scope.spawn(|| {
            for number in 0.. {
                if is_over.load(Ordering::Relaxed) {
                    return;
                }
                ask(format!("c{number:x}"), "91bd3f06", number);
                std::thread::sleep(Duration::from_millis(300));
            }
        });
        for round in 0..ROUNDS {
            case.record.write(format!("round {round}"));
            std::thread::scope(|burst| {
                for number in 0..BURST {
                    let ask = &ask;
                    burst.spawn(move || ask(format!("d{round}{number}"), CRASHING_PART, number));
                }
            });
            std::thread::sleep(ROUND);
        }
        is_over.store(true, Ordering::Relaxed);
    });
    case.system.record_logs(&["\"request_suspected\"", "\"prompt_part_refused\""]);
    let mut crashes: Vec<u64> = engines.iter().flat_map(Server::crashes).collect();
    crashes.sort_unstable();
    let runs: Vec<u64> = engines
        .iter()
        .flat_map(Server::runs)
        .filter(|run| run.prompt.contains(CRASHING_PART))
        .map(|run| run.at_ms)
        .collect();
    let Some(fifth_ms) = crashes.get(4).copied() else {
        let text = format!("{} runs, {} crashes", runs.len(), crashes.len());
        return Ok(Verdict::Held(text));
    };
    let late = runs.iter().filter(|at_ms| **at_ms > fifth_ms + STABLE_MS).count();
    let text = format!(
        "BUDGET: the fifth crash at {fifth_ms} ms; {late} requests with the part reached servers more than \
         {STABLE_MS} ms later, {} runs and {} crashes in all",
        runs.len(),
        crashes.len()
    );
    Ok(if late > 3 { Verdict::Broken(text) } else { Verdict::Held(text) })
}
