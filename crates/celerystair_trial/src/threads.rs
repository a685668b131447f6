//! Roles on threads with a runtime each, as they have processes of their own elsewhere.

use std::thread::JoinHandle;

use celerystair_core::prelude::*;

/// A thread that runs roles until its stop ends.
pub struct RoleThread {
    /// Its signal.
    pub stop: Stop,
    thread: Option<JoinHandle<()>>,
}

/// Hands a stop from another thread on to the tasks of this one.
///
/// A signal that wakes many tasks of another thread fills that thread's queue of wakes while it
/// holds the signal's lock; were the thread to listen to the same signal just then, both would
/// wait for ever. So only this task listens across threads.
async fn hand_on(outer: &Stop, inner: &Stop) {
    outer.draining().await;
    inner.drain();
    outer.ended().await;
    inner.end();
}

impl RoleThread {
    /// Runs `start` on a thread with a runtime of its own and returns what it gives; what it
    /// has spawned goes on until `stop` ends.
    ///
    /// # Errors
    /// What `start` fails with, or the system's reason for having no thread.
    pub fn spawn<T, E, F>(
        name: &str,
        stop: &Stop,
        start: impl FnOnce(Stop) -> F + Send + 'static,
    ) -> Result<(Self, T), E>
    where
        T: Send + 'static,
        E: From<std::io::Error> + Send + 'static,
        F: Future<Output = Result<T, E>>,
    {
        let (send, started) = std::sync::mpsc::channel::<Result<T, E>>();
        let running = stop.clone();
        let thread = std::thread::Builder::new()
            .name(name.to_owned())
            .spawn(move || {
                let runtime = match compio::runtime::Runtime::new() {
                    Ok(runtime) => runtime,
                    Err(error) => {
                        send.send(Err(error.into())).ok();
                        return;
                    }
                };
                runtime.block_on(async move {
                    let inner = Stop::new();
                    let result = start(inner.clone()).await;
                    let is_running = result.is_ok();
                    send.send(result).ok();
                    if is_running {
                        hand_on(&running, &inner).await;
                    }
                });
            })?;
        let value = started.recv().unwrap_or_else(|_| {
            Err(std::io::Error::other("the thread ended before its roles had started").into())
        })?;
        Ok((
            Self {
                stop: stop.clone(),
                thread: Some(thread),
            },
            value,
        ))
    }

    /// Ends the thread's roles and waits for it.
    pub fn end(&mut self) {
        self.stop.drain();
        self.stop.end();
        if let Some(thread) = self.thread.take() {
            thread.join().ok();
        }
    }
}

impl Drop for RoleThread {
    fn drop(&mut self) {
        self.end();
    }
}
