//! What the long-running commands share: a runtime, and a planned stop on a signal.

use std::pin::pin;

use celerystair::core::{prelude::*, time::before_deadline};
use futures_util::future::select;

const SIGTERM: i32 = 15;

/// Runs `work` on this thread's runtime.
pub fn block_on<T>(work: impl Future<Output = T>) -> eyre::Result<T> {
    Ok(compio::runtime::Runtime::new()?.block_on(work))
}

/// Waits for SIGTERM or Ctrl-C, then lets `served` finish until `stop_timeout_ms` is over.
pub async fn serve_until_signal(stop: &Stop, stop_timeout_ms: u64, served: impl Future) {
    let terminate = pin!(compio::signal::unix::signal(SIGTERM));
    let interrupt = pin!(compio::signal::ctrl_c());
    select(terminate, interrupt).await;
    stop.drain();
    before_deadline(now_unix_ms() + stop_timeout_ms, served).await;
    stop.end();
}
