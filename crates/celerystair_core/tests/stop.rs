//! The stop signal, given from another thread to many tasks.

use std::{cell::Cell, rc::Rc};

use celerystair_core::prelude::*;

/// More than a runtime's queue of wakes from other threads holds.
const TASKS: usize = 20_000;

#[test]
fn a_stop_from_another_thread_reaches_many_tasks() {
    let stop = Stop::new();
    let (ready, all_wait) = std::sync::mpsc::channel();
    let waiting = stop.clone();
    let tasks = std::thread::spawn(move || {
        compio::runtime::Runtime::new()
            .expect("a runtime")
            .block_on(async {
                let reached = Rc::new(Cell::new(0));
                let spawned: Vec<_> = (0..TASKS)
                    .map(|_| {
                        let (stop, reached) = (waiting.clone(), reached.clone());
                        compio::runtime::spawn(async move {
                            stop.draining().await;
                            stop.ended().await;
                            reached.set(reached.get() + 1);
                        })
                    })
                    .collect();
                sleep_ms(10).await;
                ready.send(()).expect("the test waits");
                for task in spawned {
                    task.await.expect("the task ends");
                }
                reached.get()
            })
    });
    all_wait.recv().expect("the tasks wait");
    stop.drain();
    stop.end();
    assert_eq!(tasks.join().expect("the thread ends"), TASKS);
}
