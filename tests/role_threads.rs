//! Roles on threads: a stop that is given from another thread reaches every task.

use celerystair::{core::prelude::*, trial::threads::RoleThread};

#[test]
fn a_stop_from_another_thread_reaches_thousands_of_tasks() {
    let (mut thread, ()) = RoleThread::spawn("tasks", &Stop::new(), |stop| async move {
        for _ in 0..20_000 {
            let stop = stop.clone();
            compio::runtime::spawn(async move {
                stop.draining().await;
                // Waiting again takes the signal's lock while others are still being woken.
                stop.ended().await;
            })
            .detach();
        }
        sleep_ms(50).await;
        Ok::<_, std::io::Error>(())
    })
    .expect("a thread");
    thread.stop.drain();
    thread.end();
}
