//! What a case writes to its record, with the time since its start.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        Ok(Self { start: Instant::now(), file })
    }

    /// Returns the time since the start of the case.
    pub fn ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn write(&self, text: impl std::fmt::Display) {
        let line = format!("{:>7} ms  {text}\n", self.ms());
        let mut file = self.file.lock().expect("the record");
        file.write_all(line.as_bytes()).expect("the record is written");
    }
}
