//! Stopping a [`RoleThread`] from another thread.

use std::{cell::Cell, rc::Rc, sync::mpsc, time::Duration};

use celerystair_core::prelude::*;
use celerystair_trial::threads::RoleThread;

/// More tasks than fit into a runtime's queue of remote wake-ups.
const TASKS: u32 = 20_000;
/// Far longer than a stop takes on any machine; a deadlock lasts for ever.
const DEADLINE: Duration = Duration::from_mins(2);

#[test]
fn ending_a_thread_with_many_waiting_tasks_does_not_deadlock() {
    let (send, ended) = mpsc::channel();
    std::thread::spawn(move || {
        let spawned = RoleThread::spawn("crowded", &Stop::new(), |stop| async move {
            let waiting = Rc::new(Cell::new(0));
            for _ in 0..TASKS {
                let (stop, waiting) = (stop.clone(), waiting.clone());
                compio::runtime::spawn(async move {
                    waiting.set(waiting.get() + 1);
                    stop.draining().await;
                    stop.ended().await;
                })
                .detach();
            }
            while waiting.get() < TASKS {
                sleep_ms(1).await;
            }
            Ok::<_, std::io::Error>(())
        });
        let (mut thread, ()) = spawned.expect("the thread should start");
        // The drain wakes the tasks, and each waits again while others are still being woken.
        thread.stop.drain();
        thread.end();
        send.send(()).ok();
    });
    ended
        .recv_timeout(DEADLINE)
        .expect("the thread should end before the deadline");
}
