//! What the time line costs a request: `cargo run --release --example timeline_cost`.
//!
//! A request that wakes a model makes about seven events; they are recorded here in steps that
//! the writer keeps up with, as it does in a process that serves.

use std::time::{Duration, Instant};

use celerystair::telemetry::prelude::*;

const REQUESTS: u32 = 10_000;
const KINDS: [&str; 7] = [
    "request_arrived",
    "upstream_chosen",
    "load_started",
    "load_done",
    "attempt_started",
    "attempt_done",
    "request_answered",
];

fn main() -> std::io::Result<()> {
    let path = std::env::temp_dir().join(format!("timeline-cost-{}", std::process::id()));
    let timeline = Timeline::to_file(&path, "router", "router-1")?;
    let mut recording = Duration::ZERO;
    for number in 0..REQUESTS {
        let start = Instant::now();
        for kind in KINDS {
            timeline.record(Event {
                kind: kind.to_owned(),
                request: format!("r-{number:016x}"),
                model: "caption-1:a1".to_owned(),
                upstream: "caption-01".to_owned(),
                ..Event::default()
            });
        }
        recording += start.elapsed();
        if number % 500 == 0 {
            std::thread::sleep(Duration::from_millis(20));
        }
    }
    let dropped = timeline.dropped();
    drop(timeline);
    let bytes = std::fs::metadata(&path)?.len();
    std::fs::remove_file(&path)?;
    let micros = recording.as_secs_f64() * 1e6 / f64::from(REQUESTS);
    let bytes_each = bytes as f64 / f64::from(REQUESTS);
    println!(
        "{} events a request: {micros:.1} µs and {bytes_each:.0} bytes; {dropped} of {} dropped",
        KINDS.len(),
        REQUESTS * KINDS.len() as u32
    );
    Ok(())
}
