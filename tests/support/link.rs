//! A link between a process and a server that a test can cut, or that holds up a message, as a
//! network does.

use std::{cell::Cell, rc::Rc};

use celerystair::core::prelude::*;
use compio::{
    BufResult,
    io::{AsyncRead, AsyncWriteExt, util::Splittable},
    net::{TcpListener, TcpStream},
};
use futures_util::future::{join, select};

const BUFFER_BYTES: usize = 16 << 10;

/// Passes connections on to a server until it is cut.
pub struct Link {
    /// Where the process connects.
    pub url: String,
    stop: Stop,
    held: Rc<Held>,
}

/// What the link holds up.
struct Held {
    /// What a message contains that is held up.
    text: String,
    seen: Cell<bool>,
    release: Stop,
}

impl Link {
    /// A link to the server at `url`.
    pub async fn to(url: &str) -> Self {
        Self::that_holds(url, "").await
    }

    /// A link to the server at `url` that holds up messages to it that contain `text`.
    pub async fn that_holds(url: &str, text: &str) -> Self {
        let server = url.trim_start_matches("http://").to_owned();
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let address = listener.local_addr().expect("an address");
        let stop = Stop::new();
        let held = Rc::new(Held {
            text: text.to_owned(),
            seen: Cell::new(false),
            release: Stop::new(),
        });
        let (serving, holding) = (stop.clone(), held.clone());
        compio::runtime::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                if serving.is_draining() {
                    continue;
                }
                let (server, serving, held) = (server.clone(), serving.clone(), holding.clone());
                compio::runtime::spawn(async move {
                    let Ok(far) = TcpStream::connect(server).await else {
                        return;
                    };
                    let (near_read, near_write) = near.split();
                    let (far_read, far_write) = far.split();
                    let to_server = pass(near_read, far_write, Some(&held));
                    let from_server = pass(far_read, near_write, None);
                    let both = std::pin::pin!(join(to_server, from_server));
                    select(both, std::pin::pin!(serving.draining())).await;
                })
                .detach();
            }
        })
        .detach();
        Self {
            url: format!("http://{address}"),
            stop,
            held,
        }
    }

    /// Cuts every connection, and takes no other.
    pub fn cut(&self) {
        self.stop.drain();
    }

    /// Whether a message was held up.
    pub fn has_held(&self) -> bool {
        self.held.seen.get()
    }

    /// Lets what was held up go on.
    pub fn release(&self) {
        self.held.release.drain();
    }
}

async fn pass(mut from: impl AsyncRead, mut to: impl AsyncWriteExt, held: Option<&Held>) {
    loop {
        let BufResult(count, bytes) = from.read(Vec::with_capacity(BUFFER_BYTES)).await;
        if !count.is_ok_and(|count| count > 0) {
            to.shutdown().await.ok();
            return;
        }
        if let Some(held) = held
            && !held.text.is_empty()
            && String::from_utf8_lossy(&bytes).contains(&held.text)
        {
            held.seen.set(true);
            held.release.draining().await;
        }
        if to.write_all(bytes).await.is_err() {
            return;
        }
    }
}
