//! Processes of the system, started from the built binary and ended when dropped.

#![allow(dead_code)]

use std::{
    io::{BufRead, BufReader},
    path::PathBuf,
    process::{Child, Command, ExitStatus, Stdio},
};

use serde_json::Value;

/// A running process, and the lines that it writes.
pub struct Process {
    child: Child,
    lines: Box<dyn BufRead + Send>,
    settings: PathBuf,
}

impl Process {
    /// Starts `celerystair <role> --settings ...` with these settings.
    pub fn start(role: &str, settings: &Value) -> Self {
        let name = format!("celerystair-{role}-{:016x}.jsonc", rand::random::<u64>());
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, settings.to_string()).expect("settings are written");
        let is_standin = role == "standin";
        let mut command = Command::new(env!("CARGO_BIN_EXE_celerystair"));
        command.arg(role).arg("--settings").arg(&path);
        if is_standin {
            command.stdout(Stdio::piped());
        } else {
            command.stderr(Stdio::piped());
        }
        let mut child = command.spawn().expect("the process starts");
        let lines: Box<dyn BufRead + Send> = if is_standin {
            Box::new(BufReader::new(child.stdout.take().expect("its output")))
        } else {
            Box::new(BufReader::new(child.stderr.take().expect("its log")))
        };
        Self {
            child,
            lines,
            settings: path,
        }
    }

    /// The address that a stand-in prints.
    pub fn standin_address(&mut self) -> String {
        let line = self.line();
        line.trim()
            .strip_prefix("listens on ")
            .expect("an address")
            .to_owned()
    }

    /// Reads the JSON log until a record has `field`, and gives its value.
    pub fn logged(&mut self, field: &str) -> String {
        loop {
            let line = self.line();
            let record: Value = serde_json::from_str(&line).expect("a JSON record");
            if let Some(value) = record.get(field) {
                return value
                    .as_str()
                    .map_or_else(|| value.to_string(), str::to_owned);
            }
        }
    }

    /// Its process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Asks for a planned stop.
    pub fn terminate(&self) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill")
            .args(["-TERM", &pid])
            .status()
            .expect("kill runs");
        assert!(status.success(), "the process was there");
    }

    /// Waits for the end.
    pub fn wait(&mut self) -> ExitStatus {
        self.child.wait().expect("the process ends")
    }

    fn line(&mut self) -> String {
        let mut line = String::new();
        let read = self.lines.read_line(&mut line).expect("a line");
        assert!(read > 0, "the process ended early");
        line
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
        std::fs::remove_file(&self.settings).ok();
    }
}
