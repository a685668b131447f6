//! All routers and agents are killed at the same moment, and callers take up their streams again.

use std::{
    net::SocketAddr,
    sync::{
        Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use crate::{Case, STABLE_MS, Verdict, http::Call, server::{FIRST_EVENT, Kind}};

const STREAMS: usize = 16;
const EVENTS: u64 = 20;
const EVENT_GAP: Duration = Duration::from_millis(700);
/// How long callers wait for their answers.
const DEADLINE_MS: u64 = 25_000;
/// When streams break, after they began.
const BREAK: Duration = Duration::from_millis(3500);
/// How long a killed process takes to start again.
const RESTART: Duration = Duration::from_secs(1);
/// The first wait of a caller before it takes its stream up; later ones double.
const RETRY: Duration = Duration::from_millis(500);

/// An attempt to take up a stream.
#[derive(Clone, Debug)]
struct TakeUp {
    stream: usize,
    sent_ms: u64,
    goes_on: bool,
}

struct Callers<'a> {
    case: &'a Case,
    routers: Vec<SocketAddr>,
    /// Set when callers lose their connections.
    is_broken: AtomicBool,
    begun: AtomicU64,
    take_ups: Mutex<Vec<TakeUp>>,
}

impl Callers<'_> {
    fn send(&self, id: &str, router: usize, headers: &[(&str, String)], name: &str) -> Option<Call> {
        let mut all = vec![
            ("celerystair-request-id", id.to_owned()),
            ("celerystair-model", "m1".to_owned()),
            ("celerystair-token-counts", "300,120".to_owned()),
            ("celerystair-prompt-prefix", format!("5c1e07a2:250,{name}:50")),
        ];
        all.extend_from_slice(headers);
        let router = self.routers[router % self.routers.len()];
        Call::send(router, "POST", &format!("/night/{name}"), &all, name.as_bytes()).ok()
    }

    /// Reads events until the stream ends, and returns the last one's id and whether it is complete.
    fn read(&self, call: &mut Call, mut last: u64, stops_at_break: bool) -> (u64, bool) {
        let mut text = String::new();
        loop {
            if stops_at_break && self.is_broken.load(Ordering::Relaxed) {
                return (last, false);
            }
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
    fn follow(&self, stream: usize) {
        let record = &self.case.record;
        let begun_ms = record.ms();
        let (first_id, name) = (self.case.request_id(), format!("a{stream:03x}"));
        let deadline = |left: u64| ("celerystair-deadline-ms", left.to_string());
        record.write(format!("sent {first_id} stream {stream}"));
        let call = self.send(&first_id, stream, &[deadline(DEADLINE_MS)], &name);
        let Some(mut call) = call else {
            return;
        };
        let status = call.head().map_or(0, |head| head.status());
        record.write(format!("answered {first_id} stream {stream} {status}"));
        if status != 200 {
            return;
        }
        self.begun.fetch_add(1, Ordering::Relaxed);
        let (mut last, is_complete) = self.read(&mut call, 0, !self.case.has_trouble);
        drop(call);
        record.write(format!("stream {stream} breaks after event {last}, complete: {is_complete}"));
        let mut wait = RETRY;
        for attempt in 1.. {
            std::thread::sleep(wait);
            wait *= 2;
            let spent_ms = record.ms() - begun_ms;
            if is_complete || spent_ms + 1000 >= DEADLINE_MS {
                return;
            }
            let id = self.case.request_id();
            let headers = [
                deadline(DEADLINE_MS - spent_ms),
                ("last-event-id", last.to_string()),
                ("resumes", first_id.clone()),
            ];
            let sent_ms = record.ms();
            record.write(format!("sent {id} stream {stream} after event {last}"));
            let Some(mut call) = self.send(&id, stream + attempt, &headers, &name) else {
                record.write(format!("{id}: no connection"));
                continue;
            };
            let head = call.head().unwrap_or_default();
            let status = head.status();
            let mut goes_on = false;
            if status == 200 {
                let (until, is_complete) = self.read(&mut call, last, false);
                goes_on = until > last;
                record.write(format!("answered {id} goes on to event {until}, complete: {is_complete}"));
                last = until;
            } else {
                let body = call.body(&head).unwrap_or_default();
                record.write(format!("answered {id} {status} {}", String::from_utf8_lossy(&body)));
            }
            let take_up = TakeUp { stream, sent_ms, goes_on };
            self.take_ups.lock().expect("take-ups").push(take_up);
            if goes_on {
                return;
            }
        }
    }

    /// Begins a new stream; returns whether it begins.
    fn begin_another(&self, number: usize) -> bool {
        let (id, name) = (self.case.request_id(), format!("b{number:03x}"));
        let deadline = ("celerystair-deadline-ms", DEADLINE_MS.to_string());
        self.case.record.write(format!("sent {id} new stream {name}"));
        let call = self.send(&id, number, &[deadline], &name);
        let status = call.and_then(|mut call| {
            let status = call.head().ok()?.status();
            call.chunk().ok().flatten().map(|_| status)
        });
        self.case.record.write(format!("answered {id} new stream {name}: {status:?}"));
        status == Some(200)
    }
}

pub fn play(case: &mut Case) -> Result<Verdict, Verdict> {
    let engines: Vec<_> = (0..3)
        .map(|index| {
            let kind = Kind {
                name: format!("engine-{}", index + 1),
                service: "llm",
                zone: ["zone-a", "zone-b"][index % 2],
                slots: 48,
                models: Some(vec!["m1"]),
                events: EVENTS,
                event_gap: EVENT_GAP,
                crashes: false,
                down: Duration::from_secs(2),
                keeps_id: false,
                halves_gap: None,
                version: "v1",
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
    let routers = case.system.routers();
    let has_trouble = case.has_trouble;
    let mut system = std::mem::replace(&mut case.system, crate::system::System::new(&case.store, &case.record));
    let callers = Callers {
        case,
        routers,
        is_broken: AtomicBool::new(false),
        begun: AtomicU64::new(0),
        take_ups: Mutex::default(),
    };
    let (mut touch_ms, mut new_begun) = (0, 0);
    std::thread::scope(|scope| {
        let callers = &callers;
        for stream in 0..STREAMS {
            scope.spawn(move || callers.follow(stream));
        }
        std::thread::sleep(BREAK);
        if has_trouble {
            system.kill_all();
            std::thread::sleep(RESTART);
            system.start_all_again();
            touch_ms = callers.case.record.ms() + STABLE_MS;
            system.wait_until_ready(Duration::from_secs(10));
        }
        callers.is_broken.store(true, Ordering::Relaxed);
        let now_ms = callers.case.record.ms();
        std::thread::sleep(Duration::from_millis(touch_ms.saturating_sub(now_ms) + 200));
        let others: Vec<_> =
            (0..STREAMS).map(|number| scope.spawn(move || callers.begin_another(number))).collect();
        new_begun = others.into_iter().filter_map(|other| other.join().ok()).filter(|begun| *begun).count();
    });
    system.record_logs(&["\"stream_taken_up\"", "\"stream_origin_search\""]);
    let take_ups = callers.take_ups.lock().expect("take-ups").clone();
    let in_touch: Vec<&TakeUp> = take_ups.iter().filter(|t| t.sent_ms >= touch_ms).collect();
    let count = |wanted: &dyn Fn(&TakeUp) -> bool| {
        (0..STREAMS).filter(|stream| in_touch.iter().any(|t| t.stream == *stream && wanted(t))).count()
    };
    let (taken_up, going_on) = (count(&|_| true), count(&|t| t.goes_on));
    let text = format!(
        "LOST: {} streams began; of {taken_up} that callers took up at machines in touch {going_on} went on; \
         of {STREAMS} new ones {new_begun} began",
        callers.begun.load(Ordering::Relaxed)
    );
    drop(callers);
    if taken_up < 12 {
        return Err(Verdict::CouldNotRun(text));
    }
    let is_broken = (going_on * 2 * STREAMS) < new_begun * taken_up;
    Ok(if is_broken { Verdict::Broken(text) } else { Verdict::Held(text) })
}
