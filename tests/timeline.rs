//! The time line: files that several processes append to, merging, choosing and drawing.

mod support;

use celerystair::{
    core::hybrid::HybridClock,
    telemetry::{
        picture,
        prelude::*,
        story::{EventFilter, MergedTimeline},
    },
    trial::{caller::CallTarget, prelude::*},
};
use support::{block_on, call_to, small_trial};

fn event(kind: &str, request: &str) -> Event {
    Event {
        kind: kind.to_owned(),
        request: request.to_owned(),
        detail: "x".repeat(300),
        ..Event::default()
    }
}

fn scratch_file(name: &str) -> std::path::PathBuf {
    let path = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
    std::fs::remove_file(&path).ok();
    path
}

#[test]
fn processes_that_share_a_file_tear_no_line() {
    const EVENTS: usize = 4000;
    let path = scratch_file("celerystair-shared-events");
    std::thread::scope(|scope| {
        for process in ["p1", "p2", "p3", "p4"] {
            let path = &path;
            scope.spawn(move || {
                let timeline = Timeline::to_file(path, "router", process).expect("a file");
                (0..EVENTS).for_each(|_| timeline.record(event("request_arrived", "r-1")));
                assert_eq!(timeline.dropped(), 0, "so few events fit the channel");
            });
        }
    });
    let timeline = MergedTimeline::read(&[&path]).expect("the file can be read");
    std::fs::remove_file(&path).ok();
    assert_eq!(timeline.unreadable_lines, 0);
    assert_eq!(timeline.events.len(), 4 * EVENTS);
}

#[test]
fn a_receipt_stands_after_its_sending() {
    let (sender, receiver) = (HybridClock::default(), HybridClock::default());
    // The sender's clock is an hour ahead.
    sender.observe((celerystair::core::time::now_unix_ms() + 3_600_000) << 16);
    let line = |time: u64, process: &str, kind: &str| {
        let event = Event {
            hybrid_time: time,
            process: process.to_owned(),
            kind: kind.to_owned(),
            ..Event::default()
        };
        serde_json::to_string(&event).expect("JSON") + "\n"
    };
    let sent = sender.tick();
    receiver.observe(sent);
    let text = line(receiver.tick(), "agent", "received") + &line(sent, "router", "sent");
    let kinds: Vec<String> = MergedTimeline::from_text(&text)
        .events
        .into_iter()
        .map(|e| e.kind)
        .collect();
    assert_eq!(kinds, ["sent", "received"]);
}

#[test]
fn a_torn_last_line_is_counted_and_skipped() {
    let whole = serde_json::to_string(&event("drain_started", "")).expect("JSON");
    let timeline = MergedTimeline::from_text(&format!("{whole}\n{}", &whole[..40]));
    assert_eq!((timeline.events.len(), timeline.unreadable_lines), (1, 1));
}

#[test]
fn the_story_of_a_request_has_its_cold_start() {
    let path = scratch_file("celerystair-story");
    let mut settings = small_trial();
    settings.timeline_file = Some(path.clone());
    block_on(async {
        let mut fleet = Fleet::start(&settings).await.expect("the fleet starts");
        let caller = Caller::new().expect("a caller");
        for model in ["m-1:a1", "m-2"] {
            let completion = CallTarget::Completion {
                model: model.to_owned(),
                tokens: 2,
                stream: false,
                marker: model.to_owned(),
            };
            let received = caller.call(&call_to(&fleet, completion)).await;
            assert_eq!(received.outcome, Outcome::Answered);
        }
        fleet.end();
    });
    let timeline = MergedTimeline::read(&[&path]).expect("the file can be read");
    std::fs::remove_file(&path).ok();
    let of_model = timeline.select(&EventFilter {
        model: "m-1".to_owned(),
        ..EventFilter::default()
    });
    let arrival = of_model.events.iter().find(|e| e.kind == "request_arrived");
    let request = &arrival.expect("the request arrived").request;
    let of_request = timeline.select(&EventFilter {
        request: request.clone(),
        ..EventFilter::default()
    });
    let kinds: Vec<&str> = of_request.events.iter().map(|e| e.kind.as_str()).collect();
    let place = |kind: &str| kinds.iter().position(|k| *k == kind).expect(kind);
    let order = [
        "request_arrived",
        "upstream_chosen",
        "load_started",
        "load_done",
        "attempt_started",
        "attempt_done",
        "request_answered",
    ];
    let places: Vec<usize> = order.into_iter().map(place).collect();
    assert!(places.is_sorted(), "{kinds:?}");
    assert!(
        of_request
            .events
            .iter()
            .all(|e| !e.model.starts_with("m-2"))
    );
    let svg = path.with_extension("svg");
    picture::draw(&of_request, &svg).expect("a picture");
    let drawn = std::fs::read_to_string(&svg).expect("the picture");
    std::fs::remove_file(&svg).ok();
    assert!(drawn.contains("load_done") && drawn.contains("router-1"));
}
