//! A shutdown signal from another thread that wakes many tasks. Waking all of them at once would
//! fill the bounded wake queue of their runtime and block the signalling thread.

use std::{cell::Cell, rc::Rc};

use celerystair_core::prelude::*;

/// More tasks than the runtime's queue of wakes from other threads holds.
const TASKS: usize = 20_000;

#[test]
fn shutdown_from_another_thread_wakes_more_tasks_than_the_wake_queue_holds() {
    let stop = Stop::new();
    let (ready, all_waiting) = std::sync::mpsc::channel();
    let task_stop = stop.clone();
    let tasks = std::thread::spawn(move || {
        compio::runtime::Runtime::new()
            .expect("the runtime is created")
            .block_on(async {
                let ended_tasks = Rc::new(Cell::new(0));
                let spawned: Vec<_> = (0..TASKS)
                    .map(|_| {
                        let (stop, ended_tasks) = (task_stop.clone(), ended_tasks.clone());
                        compio::runtime::spawn(async move {
                            stop.draining().await;
                            stop.ended().await;
                            ended_tasks.set(ended_tasks.get() + 1);
                        })
                    })
                    .collect();
                sleep_ms(10).await;
                ready
                    .send(())
                    .expect("the test thread waits for the signal");
                for task in spawned {
                    task.await.expect("the task ends without a panic");
                }
                ended_tasks.get()
            })
    });
    all_waiting.recv().expect("the tasks are spawned");
    stop.drain();
    stop.end();
    assert_eq!(
        tasks.join().expect("the task thread ends without a panic"),
        TASKS
    );
}
