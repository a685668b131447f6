//! What was sent, answered and run, in the order of time.

use std::{
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<Vec<(u64, String)>>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            lines: Arc::default(),
        }
    }

    pub fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn note(&self, line: impl Into<String>) {
        let entry = (self.now_ms(), line.into());
        self.lines.lock().expect("not poisoned").push(entry);
    }

    pub fn write(&self, path: &Path) {
        let mut lines = self.lines.lock().expect("not poisoned").clone();
        lines.sort_by_key(|(at, _)| *at);
        let text: String = lines
            .iter()
            .map(|(at, line)| format!("{at:>6} {line}\n"))
            .collect();
        std::fs::write(path, text).ok();
    }
}
