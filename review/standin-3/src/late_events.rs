//! An engine is cut off from a router while it writes the first events of streams. Behind the cut it crashes, and
//! starts again under its identifier with another version of its software. When the cut heals, the events arrive.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Mutex,
    time::Duration,
};

use crate::{
    Case, Verdict,
    http::Call,
    link::Link,
    server::{Kind, Server},
};

const ENGINES: usize = 5;
const STREAMS: usize = 20;
const FIRST_EVENT: Duration = Duration::from_millis(500);
/// How long after the streams were sent the cut begins: before the first event.
const CUT_AFTER: Duration = Duration::from_millis(250);
/// How long after its beginning the engine crashes, and how long it is down.
const CRASH_AFTER: Duration = Duration::from_millis(1250);
const DOWN: Duration = Duration::from_millis(1500);
const CUT: Duration = Duration::from_secs(5);

pub fn play(case: &mut Case) -> Result<Verdict, Verdict> {
    let engines: Vec<(Server, Link)> = (0..ENGINES)
        .map(|index| {
            let kind = Kind {
                name: format!("engine-{}", index + 1),
                service: "llm",
                zone: ["zone-a", "zone-b"][index % 2],
                slots: 48,
                models: Some(vec!["m1"]),
                events: 30,
                event_gap: Duration::from_millis(300),
                crashes: false,
                down: DOWN,
                keeps_id: true,
                halves_gap: None,
                version: ["v1", "v2"][index % 2],
                first_event: FIRST_EVENT,
            };
            let number = 11 + index as u8;
            let engine = case.start_server(kind, number);
            let link = Link::start(crate::system::ip(number), engine.address);
            engine.set_link(link.address);
            (engine, link)
        })
        .collect();
    case.system.start_router(1, "zone-a");
    case.system.start_router(2, "zone-b");
    case.system.start_router(3, "zone-a");
    case.system.start_router(4, "zone-b");
    for (engine, _) in &engines {
        case.system.start_agent(engine);
    }
    case.settle()?;
    // A router retries little in its first window.
    std::thread::sleep(Duration::from_secs(8));
    // Only this router has requests at the engine that is cut off, so it alone notices the cut.
    let router = case.system.routers()[0];
    let case = &*case;
    let texts: Mutex<BTreeMap<usize, String>> = Mutex::default();
    std::thread::scope(|scope| {
        for stream in 0..STREAMS {
            let texts = &texts;
            scope.spawn(move || {
                let id = case.request_id();
                let headers = [
                    ("celerystair-request-id", id.clone()),
                    ("celerystair-model", "m1".to_owned()),
                    ("celerystair-token-counts", "700,180".to_owned()),
                    ("celerystair-prompt-prefix", format!("5c1e07a2:250,e{stream:x}:450")),
                    ("celerystair-deadline-ms", "25000".to_owned()),
                ];
                let target = format!("/night/{stream}");
                case.record.write(format!("sent {id} {target}"));
                let call = Call::send(router, "POST", &target, &headers, target.as_bytes());
                let Ok(mut call) = call else {
                    return;
                };
                let status = call.head().map_or(0, |head| head.status());
                let mut text = String::new();
                let mut is_complete = false;
                while status == 200 {
                    match call.chunk() {
                        Ok(Some(chunk)) => text += &String::from_utf8_lossy(&chunk),
                        end => {
                            is_complete = end.is_ok();
                            break;
                        }
                    }
                }
                let events = text.matches("id: ").count();
                case.record.write(format!("answered {id} {target} {status}, {events} events, complete: {is_complete}"));
                texts.lock().expect("texts").insert(stream, text);
            });
        }
        if case.has_trouble {
            let (engine, link) = &engines[0];
            std::thread::sleep(CUT_AFTER);
            case.record.write("engine-1 is cut off from the routers");
            link.set_cut(true);
            std::thread::sleep(CRASH_AFTER);
            engine.set_next_version("v2");
            engine.crash("behind the cut");
            std::thread::sleep(CUT - CRASH_AFTER);
            case.record.write("the cut heals");
            link.set_cut(false);
        }
    });
    case.system.record_logs(&["\"stream_resumed\"", "\"stream_broken\"", "\"stream_not_resumed\""]);
    let texts = texts.lock().expect("texts");
    let versions = |text: &String| {
        let lines = text.lines().filter(|line| line.starts_with("data: "));
        lines.filter_map(|line| line.rsplit(' ').next().map(str::to_owned)).collect::<BTreeSet<String>>()
    };
    let mixed: Vec<usize> =
        texts.iter().filter(|(_, text)| versions(text).len() > 1).map(|(stream, _)| *stream).collect();
    let begun = texts.values().filter(|text| !text.is_empty()).count();
    if begun == 0 {
        return Err(Verdict::CouldNotRun("no stream began".to_owned()));
    }
    for (stream, text) in texts.iter().filter(|(stream, _)| mixed.contains(stream)) {
        let events: Vec<&str> = text.lines().filter(|line| line.starts_with("data: ")).collect();
        case.record.write(format!("stream {stream}: {events:?}"));
    }
    let text = format!("{} of {begun} streams hold events of two software versions: {mixed:?}", mixed.len());
    Ok(if mixed.len() > 2 { Verdict::Broken(format!("ORDER: {text}")) } else { Verdict::Held(text) })
}
