//! The runtime and the planned stop on a signal, shared by the long-running commands.

use std::pin::pin;

use celerystair::core::{prelude::*, time::before_deadline};
use futures_util::future::select;

const SIGTERM: i32 = 15;

/// Runs `future` to completion on a new runtime on this thread.
pub fn block_on<T>(future: impl Future<Output = T>) -> eyre::Result<T> {
    Ok(compio::runtime::Runtime::new()?.block_on(future))
}

/// Waits for SIGTERM or Ctrl-C, then drains, and ends `stop` when `server_task` has finished or
/// `stop_timeout_ms` have passed.
pub async fn serve_until_signal(stop: &Stop, stop_timeout_ms: u64, server_task: impl Future) {
    let terminate = pin!(compio::signal::unix::signal(SIGTERM));
    let interrupt = pin!(compio::signal::ctrl_c());
    select(terminate, interrupt).await;
    stop.drain();
    before_deadline(now_unix_ms() + stop_timeout_ms, server_task).await;
    stop.end();
}
