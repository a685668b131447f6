//! Another writer leaves entries among those of the servers whose values are lists of small objects. The routers are
//! then stopped and started again in turn.

use std::{
    sync::atomic::{AtomicBool, AtomicUsize, Ordering},
    time::Duration,
};

use serde_json::{Value, json};

use crate::{
    Case, Verdict,
    server::{FIRST_EVENT, Kind, Server},
};

/// The memory that the settings name.
const MEMORY_MB: u64 = 260;
const ENTRIES: usize = 4;
/// The size of each, which is below the store's limit of 1,048,576 bytes.
const OBJECTS: usize = 120_000;
const WATCHED: Duration = Duration::from_secs(20);

pub fn play(case: &mut Case) -> Result<Verdict, Verdict> {
    let kind = |name: String, index: usize| Kind {
        name,
        service: "desk",
        zone: ["zone-a", "zone-b"][index % 2],
        slots: 6,
        models: None,
        events: 0,
        event_gap: Duration::ZERO,
        crashes: false,
        down: Duration::from_secs(2),
        keeps_id: false,
        halves_gap: None,
        version: "v1",
        first_event: FIRST_EVENT,
    };
    let _desks: Vec<Server> = (0..3)
        .map(|index| case.start_server(kind(format!("desk-{}", index + 1), index), 31 + index as u8))
        .collect();
    let engines: Vec<Server> = (0..2)
        .map(|index| {
            let engine = Kind {
                service: "llm",
                slots: 48,
                models: Some(vec!["m1"]),
                ..kind(format!("engine-{}", index + 1), index)
            };
            case.start_server(engine, 11 + index as u8)
        })
        .collect();
    case.system.start_router(1, "zone-a");
    case.system.start_router(2, "zone-b");
    for engine in &engines {
        case.system.start_agent(engine);
    }
    case.settle()?;
    let routers = case.system.routers();
    let mut system = std::mem::replace(
        &mut case.system,
        crate::system::System::new(&case.store, &case.record),
    );
    let case = &*case;
    let (is_over, served, asked) = (AtomicBool::new(false), AtomicUsize::new(0), AtomicUsize::new(0));
    std::thread::scope(|scope| {
        let is_over = &is_over;
        scope.spawn(|| {
            let deadline = [("celerystair-deadline-ms", "1500".to_owned())];
            for number in 0.. {
                if is_over.load(Ordering::Relaxed) {
                    return;
                }
                let (_, answer) =
                    case.ask(routers[number % routers.len()], &format!("/status/{number}"), &deadline, b"");
                asked.fetch_add(1, Ordering::Relaxed);
                served.fetch_add(usize::from(answer.status() == 200), Ordering::Relaxed);
                std::thread::sleep(Duration::from_millis(100));
            }
        });
        std::thread::sleep(Duration::from_secs(2));
        if case.has_trouble {
            let small: Vec<Value> = (0..OBJECTS).map(|_| json!({"a": 1})).collect();
            let value = Value::from(small);
            case.record.write(format!(
                "another writer writes {ENTRIES} entries of {} bytes",
                value.to_string().len()
            ));
            for entry in 0..ENTRIES {
                case.store.write("servers", &format!("odd-{entry}"), value.clone());
            }
        }
        std::thread::sleep(Duration::from_secs(2));
        for process in &system.processes {
            case.record.write(format!("{} has had {} kB in use at most", process.name, process.peak_kb()));
        }
        // Planned work: the routers are stopped and started again in turn.
        system.restart_routers();
        scope.spawn(|| {
            std::thread::sleep(WATCHED);
            is_over.store(true, Ordering::Relaxed);
        });
        system.keep_memory_limit(MEMORY_MB, is_over);
    });
    let ended: Vec<(&str, usize)> =
        system.processes.iter().map(|process| (process.name.as_str(), process.memory_ends)).collect();
    let text = format!(
        "{} of {} requests were served; processes that exceeded their memory, and how often: {ended:?}",
        served.load(Ordering::Relaxed),
        asked.load(Ordering::Relaxed)
    );
    for process in &system.processes {
        case.record.write(format!("{} has had {} kB in use at most", process.name, process.peak_kb()));
    }
    let machines = ended.iter().filter(|(_, ends)| *ends >= 3).count();
    Ok(if machines >= 2 { Verdict::Broken(format!("Fault: {text}")) } else { Verdict::Held(text) })
}
