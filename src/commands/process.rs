//! The runtime and the planned stop on a signal, shared by the long-running commands.

use std::{
    future::poll_fn,
    io::{self, Read},
    os::unix::net::UnixStream,
    pin::pin,
};

use celerystair::core::{prelude::*, time::before_deadline};
use compio::runtime::fd::PollFd;
use futures_util::{
    FutureExt,
    future::{Either, FusedFuture, select},
};
use signal_hook::{
    consts::{SIGINT, SIGTERM},
    low_level::pipe,
};

/// Runs `future` to completion on a new runtime on this thread.
pub fn block_on<T>(future: impl Future<Output = T>) -> eyre::Result<T> {
    Ok(compio::runtime::Runtime::new()?.block_on(future))
}

/// SIGTERM and SIGINT, which never have their default action again once this exists.
///
/// The handler writes a byte to a socket that the runtime reads. The runtime's own listeners don't
/// suit: each is for one signal, and the signal has its default action whenever no listener exists.
pub struct StopSignals {
    received: UnixStream,
}

impl StopSignals {
    /// Installs the handler for the rest of the process's life. Call it first: signals before the
    /// runtime starts are kept.
    pub fn catch() -> io::Result<Self> {
        let (received, sender) = UnixStream::pair()?;
        received.set_nonblocking(true)?;
        for signal in [SIGTERM, SIGINT] {
            pipe::register(signal, sender.try_clone()?)?;
        }
        Ok(Self { received })
    }
}

/// Waits for signals that have not been read; returns their number.
async fn read_signals(received: &PollFd<UnixStream>) -> io::Result<usize> {
    let mut bytes = [0; 16];
    let mut read = |mut stream: &UnixStream| stream.read(&mut bytes);
    let count = poll_fn(|context| received.poll_read_with(context, &mut read)).await?;
    if count == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(count)
}

/// How long the connections that are cut at the end of a stop may take to report what they cut.
const REPORT_MAX_MS: u64 = 100;

/// Waits for a stop signal, then drains, and ends `stop` when `server_task` has finished or
/// `stop_timeout_ms` have passed since the signal. Then waits for the task once more, a tenth of a second
/// at most. `report` is called with the number of signals so far, the first included; further ones change
/// nothing.
pub async fn serve_until_signal(
    signals: StopSignals,
    stop: &Stop,
    stop_timeout_ms: u64,
    server_task: impl Future,
    report: impl Fn(usize),
) -> eyre::Result<()> {
    let received = PollFd::new(signals.received)?;
    let mut count = read_signals(&received).await?;
    let end_unix_ms = now_unix_ms() + stop_timeout_ms;
    stop.drain();
    report(count);
    let mut server_task = pin!(server_task.fuse());
    let result = loop {
        let served = before_deadline(end_unix_ms, server_task.as_mut());
        let signal = pin!(read_signals(&received));
        match select(pin!(served), signal).await {
            Either::Left(_) => break Ok(()),
            Either::Right((Ok(more), _)) => {
                count += more;
                report(count);
            }
            Either::Right((Err(error), served)) => {
                served.await;
                break Err(error.into());
            }
        }
    };
    stop.end();
    if !server_task.is_terminated() {
        before_deadline(now_unix_ms() + REPORT_MAX_MS, server_task).await;
    }
    result
}
