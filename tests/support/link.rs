//! A link between a process and a server that a test can cut, as a network does.

use std::rc::Rc;

use celerystair::core::prelude::*;
use compio::{
    io::util::copy_bidirectional,
    net::{TcpListener, TcpStream},
};
use futures_util::future::select;

/// Passes connections on to a server until it is cut.
pub struct Link {
    /// Where the process connects.
    pub url: String,
    stop: Rc<Stop>,
}

impl Link {
    /// A link to the server at `url`.
    pub async fn to(url: &str) -> Self {
        let server = url.trim_start_matches("http://").to_owned();
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let address = listener.local_addr().expect("an address");
        let stop = Rc::new(Stop::new());
        let serving = stop.clone();
        compio::runtime::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                if serving.is_draining() {
                    continue;
                }
                let (server, serving) = (server.clone(), serving.clone());
                compio::runtime::spawn(async move {
                    let Ok(far) = TcpStream::connect(server).await else {
                        return;
                    };
                    let pass = std::pin::pin!(copy_bidirectional(near, far));
                    select(pass, std::pin::pin!(serving.draining())).await;
                })
                .detach();
            }
        })
        .detach();
        Self {
            url: format!("http://{address}"),
            stop,
        }
    }

    /// Cuts every connection, and takes no other.
    pub fn cut(&self) {
        self.stop.drain();
    }
}
