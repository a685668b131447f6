//! An order that got no answer is carried out after its engine has crashed and started again under the
//! same identifier.

use std::{
    sync::atomic::{AtomicBool, Ordering},
    time::Duration,
};

use crate::{
    Case, Verdict,
    server::{Kind, LateOrder, FIRST_EVENT},
};

/// The pages say: 2 to 12 s.
const LATE: Duration = Duration::from_secs(11);
const DOWN: Duration = Duration::from_secs(2);
const ADAPTERS: u64 = 8;

pub fn play(case: &mut Case) -> Result<Verdict, Verdict> {
    let kind = Kind {
        name: "engine-1".to_owned(),
        service: "llm",
        zone: "zone-a",
        slots: 48,
        models: Some(vec!["m1"]),
        events: 3,
        event_gap: Duration::from_millis(20),
        crashes: false,
        down: DOWN,
        keeps_id: true,
        halves_gap: None,
        version: "v1",
        first_event: FIRST_EVENT,
    };
    let engine = case.start_server(kind, 11);
    case.system.start_router(1, "zone-a");
    case.system.start_router(2, "zone-b");
    case.system.start_agent(&engine);
    case.settle()?;
    let routers = case.system.routers();
    let ask = |adapter: u64, deadline_ms: u64, turn: usize| {
        let headers = [
            ("celerystair-model", format!("m1/a{adapter}")),
            ("celerystair-token-counts", "300,20".to_owned()),
            ("celerystair-prompt-prefix", format!("5c1e07a2:250,{adapter}{turn}:50")),
            ("celerystair-deadline-ms", deadline_ms.to_string()),
        ];
        let target = format!("/draft/{adapter}-{turn}");
        let (_, answer) = case.ask(routers[turn % routers.len()], &target, &headers, b"x");
        answer.status() == 200
    };
    // Callers use eight adapters.
    for adapter in 1..=ADAPTERS {
        if !(0..20).any(|turn| ask(adapter, 4000, turn)) {
            let detail = format!("adapter a{adapter} was never served");
            return Err(Verdict::CouldNotRun(detail));
        }
    }
    case.record.write(format!("orders and adapters: {:?}", engine.orders_and_adapters()));
    std::thread::sleep(Duration::from_millis(800));
    if case.has_trouble {
        engine.delay_order(LateOrder {
            operation: "load".to_owned(),
            adapter: format!("a{}", ADAPTERS + 1),
            after: LATE,
        });
    }
    // One caller wants a ninth, for a second.
    std::thread::scope(|scope| {
        scope.spawn(|| ask(ADAPTERS + 1, 1000, 0));
        std::thread::sleep(Duration::from_millis(700));
    });
    if case.has_trouble {
        if !engine.has_delayed_order() {
            return Err(Verdict::CouldNotRun("the ninth adapter was not ordered".to_owned()));
        }
        engine.crash("srv_crash");
    }
    // Callers use the eight again, until some time after the late order is due.
    let is_over = AtomicBool::new(false);
    std::thread::scope(|scope| {
        for adapter in 1..=ADAPTERS {
            let (is_over, ask) = (&is_over, &ask);
            scope.spawn(move || {
                let mut turn = adapter as usize;
                while !is_over.load(Ordering::Relaxed) {
                    ask(adapter, 4000, turn);
                    turn += 1;
                    std::thread::sleep(Duration::from_millis(400));
                }
            });
        }
        std::thread::sleep(LATE);
        case.record.write(format!("orders and adapters: {:?}", engine.orders_and_adapters()));
        std::thread::sleep(Duration::from_secs(1));
        is_over.store(true, Ordering::Relaxed);
    });
    case.system.record_logs(&["\"engine_found\"", "\"fence_claimed\""]);
    let overfull = engine.overfull();
    Ok(match overfull.first() {
        Some(order) => Verdict::Broken(format!("LIMIT: {order}")),
        None => Verdict::Held("no order was for more than the engine holds".to_owned()),
    })
}
