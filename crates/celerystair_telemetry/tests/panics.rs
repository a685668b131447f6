//! A task that panics ends alone, so its log line is all that tells of it.

use std::sync::{Arc, Mutex};

use celerystair_telemetry::logs::log_panics;
use slog::{Drain, Logger, Never, OwnedKVList, Record, o};

/// A drain that keeps the messages.
#[derive(Clone, Default)]
struct Messages(Arc<Mutex<Vec<String>>>);

impl Drain for Messages {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, _: &OwnedKVList) -> Result<(), Never> {
        let mut messages = self
            .0
            .lock()
            .expect("no thread panicked with the lock held");
        messages.push(record.msg().to_string());
        Ok(())
    }
}

#[test]
fn a_panic_of_another_thread_is_logged() {
    let messages = Messages::default();
    log_panics(&Logger::root(messages.clone(), o!()));
    let panicking = std::thread::spawn(|| panic!("a panic of this test"));
    assert!(panicking.join().is_err());
    let messages = messages
        .0
        .lock()
        .expect("no thread panicked with the lock held");
    assert_eq!(*messages, ["panicked"]);
}
