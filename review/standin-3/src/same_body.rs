//! A request that crashes engines comes again and again, while another caller sends a sound request with the
//! same path and body to another model.

use std::{
    sync::atomic::{AtomicBool, Ordering},
    time::Duration,
};

use crate::{
    Case, STABLE_MS, Verdict,
    server::{CRASHING_BODY, CRASHING_MODEL, Kind, Server, FIRST_EVENT},
};

const ENGINES: usize = 3;
const ROUNDS: usize = 9;
const ROUND: Duration = Duration::from_secs(4);
const SOUND_MODEL: &str = "m1";
const SOUND_GAP: Duration = Duration::from_millis(300);

pub fn play(case: &mut Case) -> Result<Verdict, Verdict> {
    let zone = |index: usize| ["zone-a", "zone-b"][index % 2];
    let engines: Vec<Server> = (0..ENGINES)
        .map(|index| {
            let kind = Kind {
                name: format!("engine-{}", index + 1),
                service: "llm",
                zone: zone(index),
                slots: 48,
                models: Some(vec![SOUND_MODEL, CRASHING_MODEL]),
                events: 8,
                event_gap: Duration::from_millis(20),
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
    let ask = |model: &str, number: usize| {
        let headers = [
            ("celerystair-model", model.to_owned()),
            ("celerystair-token-counts", "300,48".to_owned()),
            ("celerystair-prompt-prefix", format!("5c1e07a2:250,{model}{number:x}:50")),
            ("celerystair-deadline-ms", "4000".to_owned()),
        ];
        case.ask(routers[number % routers.len()], "/once/7f", &headers, CRASHING_BODY);
    };
    std::thread::scope(|scope| {
        scope.spawn(|| {
            for number in 0.. {
                if is_over.load(Ordering::Relaxed) {
                    return;
                }
                ask(SOUND_MODEL, number);
                std::thread::sleep(SOUND_GAP);
            }
        });
        for round in 0..ROUNDS {
            std::thread::sleep(ROUND);
            ask(CRASHING_MODEL, round);
        }
        is_over.store(true, Ordering::Relaxed);
    });
    case.system.record_logs(&["\"request_suspected\"", "\"suspicion_cleared\""]);
    let mut crashes: Vec<u64> = engines.iter().flat_map(Server::crashes).collect();
    crashes.sort_unstable();
    let runs: Vec<u64> = engines
        .iter()
        .flat_map(Server::runs)
        .filter(|run| run.model == CRASHING_MODEL)
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
