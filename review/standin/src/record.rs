//! What was sent, answered and run, with the time since the start.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self {
            file: Arc::new(Mutex::new(file)),
            started: Instant::now(),
        }
    }

    pub fn write(&self, line: impl AsRef<str>) {
        let at = self.started.elapsed().as_millis();
        let line = format!("{at:>7} ms  {}", line.as_ref());
        println!("{line}");
        let mut file = self.file.lock().expect("not poisoned");
        writeln!(file, "{line}").expect("the record can be written");
    }
}
