//! Engines of two software versions serve side by side. The only engine of one version that holds a model is lost
//! for good, and callers take up the streams that it wrote.

use std::{
    sync::{
        Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use crate::{
    Case, Verdict,
    http::Call,
    server::{FIRST_EVENT, Kind, Server},
};

const EVENTS: u64 = 40;
const EVENT_GAP: Duration = Duration::from_millis(500);
const DEADLINE_MS: u64 = 25_000;
/// How many streams of the model begin before the engine is lost, over all engines that hold it.
const STREAMS: usize = 54;
/// More of them begin until the engine that is to be lost has so many which began lately, up to a maximum.
const STREAMS_LOST: usize = 15;
const STREAMS_MAX: usize = 74;
const LATELY_MS: u64 = 18_000;
const STREAMS_GAP: Duration = Duration::from_millis(400);
/// How many begin afterwards.
const NEW_STREAMS: usize = 24;
const LOST_AFTER: Duration = Duration::from_millis(500);
/// A caller abandons a stream after this gap: four times the objective.
const GAP_MAX: Duration = Duration::from_secs(12);
const RETRY: Duration = Duration::from_millis(300);
/// The time between two streams of each other model.
const OTHERS_GAP: Duration = Duration::from_millis(400);

struct Callers<'a> {
    case: &'a Case,
    routers: Vec<std::net::SocketAddr>,
    /// Whether each stream that was taken up went on.
    taken_up: Mutex<Vec<(String, bool)>>,
    new_begun: AtomicUsize,
}

impl Callers<'_> {
    fn send(
        &self,
        router: usize,
        model: &str,
        name: &str,
        headers: &[(&str, String)],
    ) -> (String, Option<Call>) {
        let id = self.case.request_id();
        let mut all = vec![
            ("celerystair-request-id", id.clone()),
            ("celerystair-model", model.to_owned()),
            ("celerystair-token-counts", "300,180".to_owned()),
            ("celerystair-prompt-prefix", format!("5c1e07a2:250,{name}:50")),
        ];
        all.extend_from_slice(headers);
        let after = headers.iter().find(|(name, _)| *name == "last-event-id").map(|(_, event)| event);
        self.case.record.write(format!("sent {id} /night/{name} {model}, after event {after:?}"));
        let router = self.routers[router % self.routers.len()];
        let call = Call::send(router, "POST", &format!("/night/{name}"), &all, name.as_bytes());
        (id, call.ok())
    }

    /// Reads events until the stream ends, breaks off or pauses for too long; returns the last one's id.
    fn read(call: &mut Call, mut last: u64) -> (u64, bool) {
        call.set_timeout(GAP_MAX);
        let mut text = String::new();
        loop {
            match call.chunk() {
                Ok(Some(chunk)) => text += &String::from_utf8_lossy(&chunk),
                Ok(None) => return (last, true),
                Err(_) => return (last, false),
            }
            while let Some((event, rest)) = text.split_once("\n\n") {
                let id = event.strip_prefix("id: ").and_then(|event| event.lines().next()?.parse().ok());
                last = id.unwrap_or(last);
                text = rest.to_owned();
            }
        }
    }

    /// Begins a stream, and takes it up again until it is complete or no time is left.
    fn follow(&self, number: usize, model: &str, name: &str, is_new: bool) {
        let record = &self.case.record;
        let begun = Instant::now();
        let left_ms = || DEADLINE_MS.saturating_sub(begun.elapsed().as_millis() as u64);
        let deadline = |left: u64| ("celerystair-deadline-ms", left.to_string());
        let (first_id, call) = self.send(number, model, name, &[deadline(DEADLINE_MS)]);
        let Some(mut call) = call else {
            return;
        };
        call.set_timeout(GAP_MAX);
        let status = call.head().map_or(0, |head| head.status());
        if is_new {
            let begins = status == 200 && matches!(call.chunk(), Ok(Some(_)));
            record.write(format!("answered {first_id} {model} {name}: new, {status}, begins: {begins}"));
            self.new_begun.fetch_add(usize::from(begins), Ordering::Relaxed);
            return;
        }
        let (mut last, is_complete) = if status == 200 { Self::read(&mut call, 0) } else { (0, false) };
        drop(call);
        record.write(format!("answered {first_id} {model} {name}: {status}, {last} events, complete: {is_complete}"));
        if is_complete || last == 0 || model != "m1" {
            return;
        }
        let (mut wait, mut goes_on) = (RETRY, false);
        for attempt in 1.. {
            std::thread::sleep(wait);
            wait *= 2;
            if left_ms() < 500 {
                break;
            }
            let headers = [
                deadline(left_ms()),
                ("last-event-id", last.to_string()),
                ("resumes", first_id.clone()),
            ];
            let (id, call) = self.send(number + attempt, model, name, &headers);
            let Some(mut call) = call else {
                continue;
            };
            call.set_timeout(GAP_MAX);
            let head = call.head().unwrap_or_default();
            if head.status() == 200 {
                let (until, is_complete) = Self::read(&mut call, last);
                record.write(format!("answered {id} {name}: goes on from {last} to {until}, complete: {is_complete}"));
                goes_on = until > last;
                last = until;
                if goes_on {
                    break;
                }
            } else {
                let body = call.body(&head).unwrap_or_default();
                let body = String::from_utf8_lossy(&body);
                record.write(format!("answered {id} {name} after event {last}: {} {body}", head.status()));
            }
        }
        self.taken_up.lock().expect("take-ups").push((name.to_owned(), goes_on));
    }
}

pub fn play(case: &mut Case) -> Result<Verdict, Verdict> {
    let kinds: [(&'static str, [&'static str; 2]); 7] = [
        ("v1", ["m1", "m2"]),
        ("v1", ["m2", "m3"]),
        ("v1", ["m2", "m3"]),
        ("v2", ["m1", "m2"]),
        ("v2", ["m1", "m3"]),
        ("v2", ["m2", "m3"]),
        ("v2", ["m2", "m3"]),
    ];
    let engines: Vec<Server> = kinds
        .into_iter()
        .enumerate()
        .map(|(index, (version, models))| {
            let kind = Kind {
                name: format!("engine-{}", index + 1),
                service: "llm",
                zone: ["zone-a", "zone-b"][index % 2],
                slots: 48,
                models: Some(models.to_vec()),
                events: EVENTS,
                event_gap: EVENT_GAP,
                crashes: false,
                // Lost for good.
                down: Duration::from_secs(1000),
                keeps_id: false,
                halves_gap: None,
                version,
                first_event: FIRST_EVENT,
            };
            case.start_server(kind, 11 + index as u8)
        })
        .collect();
    case.system.start_router(1, "zone-a");
    case.system.start_router(2, "zone-b");
    for engine in &engines {
        case.system.start_agent(engine);
    }
    case.settle()?;
    std::thread::sleep(Duration::from_secs(8));
    let case = &*case;
    let callers = Callers {
        case,
        routers: case.system.routers(),
        taken_up: Mutex::default(),
        new_begun: AtomicUsize::new(0),
    };
    let is_over = AtomicBool::new(false);
    std::thread::scope(|scope| {
        let (callers, is_over) = (&callers, &is_over);
        for model in ["m2", "m3"] {
            scope.spawn(move || {
                for number in 0.. {
                    if is_over.load(Ordering::Relaxed) {
                        return;
                    }
                    scope.spawn(move || callers.follow(number, model, &format!("e{model}{number:x}"), false));
                    std::thread::sleep(OTHERS_GAP);
                }
            });
        }
        std::thread::sleep(Duration::from_secs(2));
        let running = || {
            let now_ms = case.record.ms();
            let runs = engines[0].runs();
            runs.iter().filter(|run| run.model == "m1" && run.at_ms + LATELY_MS > now_ms).count()
        };
        let streams: Vec<_> = (0..STREAMS_MAX)
            .take_while(|number| *number < STREAMS || running() < STREAMS_LOST)
            .map(|number| {
                std::thread::sleep(STREAMS_GAP);
                scope.spawn(move || callers.follow(number, "m1", &format!("a{number:x}"), false))
            })
            .collect();
        std::thread::sleep(LOST_AFTER);
        if case.has_trouble {
            engines[0].crash("lost for good");
        }
        std::thread::sleep(Duration::from_secs(3));
        let others: Vec<_> = (0..NEW_STREAMS)
            .map(|number| {
                std::thread::sleep(STREAMS_GAP);
                scope.spawn(move || callers.follow(number, "m1", &format!("b{number:x}"), true))
            })
            .collect();
        for stream in streams.into_iter().chain(others) {
            stream.join().ok();
        }
        is_over.store(true, Ordering::Relaxed);
    });
    case.system.record_logs(&["\"stream_not_resumed\"", "\"stream_taken_up\"", "\"load_decided\""]);
    let taken_up = callers.taken_up.lock().expect("take-ups");
    let going_on = taken_up.iter().filter(|(_, goes_on)| *goes_on).count();
    let (taken_up, new_begun) = (taken_up.len(), callers.new_begun.load(Ordering::Relaxed));
    let text = format!(
        "LOST: of {taken_up} streams that callers took up, while two servers of their version serve, {going_on} went on; \
         of {NEW_STREAMS} new ones {new_begun} began"
    );
    if case.has_trouble && taken_up < 12 {
        return Err(Verdict::CouldNotRun(text));
    }
    let is_broken = taken_up >= 12 && going_on * 2 * NEW_STREAMS < new_begun * taken_up;
    Ok(if is_broken { Verdict::Broken(text) } else { Verdict::Held(text) })
}
