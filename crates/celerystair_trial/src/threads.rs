//! Threads with a runtime each, on which routers, agents and stand-ins run instead of in processes
//! of their own.

use std::thread::JoinHandle;

use celerystair_core::prelude::*;

/// A thread that runs one or more routers, agents or stand-ins (roles) until its `stop` ends.
pub struct RoleThread {
    /// Stop signal of the thread's roles.
    pub stop: Stop,
    thread: Option<JoinHandle<()>>,
}

/// Forwards a stop signal from another thread to the tasks of this one.
///
/// Only this task may listen to the outer signal. Notifying many tasks of another thread fills that
/// thread's queue of remote wake-ups while the signal's lock is held. If that thread listened to
/// the same signal at that moment, both threads would deadlock.
async fn forward_stop(outer: &Stop, inner: &Stop) {
    outer.draining().await;
    inner.drain();
    outer.ended().await;
    inner.end();
}

impl RoleThread {
    /// Runs `start` on a new thread with its own runtime, and returns its result. Tasks that
    /// `start` spawns run until `stop` ends.
    ///
    /// # Errors
    /// The error of `start`, or the I/O error if the thread or its runtime could not be created.
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
        let outer = stop.clone();
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
                    let is_started = result.is_ok();
                    send.send(result).ok();
                    if is_started {
                        forward_stop(&outer, &inner).await;
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

    /// Stops the thread's roles, and joins the thread.
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
