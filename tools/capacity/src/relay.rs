//! A relay between a process and the platform that counts the bytes it passes on.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use celerystair_core::prelude::*;
use celerystair_trial::threads::RoleThread;
use compio::{
    io::{AsyncRead, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

const BUFFER_BYTES: usize = 64 << 10;

/// A running relay.
pub struct Relay {
    /// Where it listens.
    pub address: SocketAddr,
    bytes: Arc<AtomicU64>,
    _thread: RoleThread,
}

impl Relay {
    /// Starts a relay to `target`.
    pub fn start(target: SocketAddr) -> std::io::Result<Self> {
        let bytes = Arc::new(AtomicU64::new(0));
        let counter = bytes.clone();
        let (thread, address) = RoleThread::spawn("relay", &Stop::new(), move |_| async move {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            let address = listener.local_addr()?;
            compio::runtime::spawn(async move {
                while let Ok((near, _)) = listener.accept().await {
                    let counter = counter.clone();
                    compio::runtime::spawn(async move {
                        if let Ok(far) = TcpStream::connect(target).await {
                            near.set_nodelay(true).ok();
                            far.set_nodelay(true).ok();
                            pass_on(near.clone(), far.clone(), counter.clone());
                            pass_on(far, near, counter);
                        }
                    })
                    .detach();
                }
            })
            .detach();
            Ok::<_, std::io::Error>(address)
        })?;
        Ok(Self {
            address,
            bytes,
            _thread: thread,
        })
    }

    /// Bytes passed on so far, in both directions.
    pub fn bytes(&self) -> f64 {
        self.bytes.load(Ordering::Relaxed) as f64
    }
}

/// Copies from one socket to the other until either ends.
fn pass_on(mut from: TcpStream, mut to: TcpStream, counter: Arc<AtomicU64>) {
    compio::runtime::spawn(async move {
        let mut buffer = Vec::with_capacity(BUFFER_BYTES);
        loop {
            buffer.clear();
            let read = from.read(buffer).await;
            let count = read.0.unwrap_or_default();
            if count == 0 {
                break;
            }
            counter.fetch_add(count as u64, Ordering::Relaxed);
            let written = to.write_all(read.1).await;
            if written.0.is_err() {
                break;
            }
            buffer = written.1;
        }
        // Both directions end together, as the peers expect of a connection.
        to.close().await.ok();
    })
    .detach();
}
