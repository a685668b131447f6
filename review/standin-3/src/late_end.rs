//! A server crashes behind a cut, in the middle of answers that end with their connection. When the cut heals,
//! their end reaches the router, and the server has started again.

use std::{sync::Mutex, time::Duration};

use crate::{
    Case, Verdict,
    link::Link,
    server::{BODY, Kind, Server, FIRST_EVENT},
};

const SERVERS: usize = 5;
const REQUESTS: usize = 20;
/// The time between the halves of an answer.
const HALVES_GAP: Duration = Duration::from_millis(500);
/// How long after the requests were sent the cut begins: in the middle of their answers.
const CUT_AFTER: Duration = Duration::from_millis(250);
/// How long after its beginning the server crashes, and how long it is down.
const CRASH_AFTER: Duration = Duration::from_millis(100);
const DOWN: Duration = Duration::from_millis(1500);
const CUT: Duration = Duration::from_secs(2);

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
        crashes: false,
        down: DOWN,
        keeps_id: false,
        halves_gap: Some(HALVES_GAP),
        version: "v1",
        first_event: FIRST_EVENT,
    };
    let servers: Vec<(Server, Link)> = (0..SERVERS)
        .map(|index| {
            let number = 31 + index as u8;
            let server = case.start_server(kind(format!("desk-{}", index + 1), index), number);
            let link = Link::start(crate::system::ip(number), server.address);
            server.set_link(link.address);
            (server, link)
        })
        .collect();
    let engine = case.start_server(
        Kind {
            service: "llm",
            slots: 48,
            models: Some(vec!["m1"]),
            halves_gap: None,
            ..kind("engine-1".to_owned(), 0)
        },
        11,
    );
    case.system.start_router(1, zone(0));
    case.system.start_router(2, zone(1));
    case.system.start_router(3, zone(0));
    case.system.start_router(4, zone(1));
    case.system.start_agent(&engine);
    case.settle()?;
    // Only this router has requests at the server that is cut off, so it alone notices the cut.
    let router = case.system.routers()[0];
    let case = &*case;
    let answers = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for number in 0..REQUESTS {
            let answers = &answers;
            scope.spawn(move || {
                let deadline = [("celerystair-deadline-ms", "12000".to_owned())];
                let target = format!("/batch/{number}");
                let (id, answer) = case.ask(router, &target, &deadline, target.as_bytes());
                let (status, length) = (answer.status(), answer.body.len());
                case.record.write(format!("{id} {target}: status {status}, {length} bytes, complete as HTTP"));
                answers.lock().expect("answers").push((target, status, answer.body));
            });
        }
        std::thread::sleep(CUT_AFTER);
        if case.has_trouble {
            let (server, link) = &servers[0];
            case.record.write("desk-1 is cut off from the routers and from the store");
            link.set_cut(true);
            server.set_off_store(true);
            std::thread::sleep(CRASH_AFTER);
            server.crash("behind the cut");
            std::thread::sleep(CUT - CRASH_AFTER);
            case.record.write("the cut heals");
            server.set_off_store(false);
            link.set_cut(false);
        }
    });
    case.system.record_logs(&["\"answer_ended_with_connection\"", "\"attempt_failed\""]);
    let answers = answers.lock().expect("answers");
    let served = answers.iter().filter(|(_, status, _)| *status == 200).count();
    let wrong: Vec<&String> = answers
        .iter()
        .filter(|(_, status, body)| *status == 200 && *body != BODY)
        .map(|(target, ..)| target)
        .collect();
    if served == 0 {
        return Err(Verdict::CouldNotRun("nothing was served".to_owned()));
    }
    Ok(if wrong.is_empty() {
        Verdict::Held(format!("{served} of {REQUESTS} requests were served, all with whole bodies"))
    } else {
        Verdict::Broken(format!(
            "MIXED: {} of {served} successes have half of the server's body: {wrong:?}",
            wrong.len()
        ))
    })
}
