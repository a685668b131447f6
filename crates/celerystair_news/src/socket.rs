//! Sending and receiving.

use std::{io, net::SocketAddr};

use celerystair_protocol::{NewsDatagram, news_datagram};
use compio::net::UdpSocket;
use prost::Message;

use crate::{demand::RouterDemand, engines::EngineStatus};

/// The largest datagram that is read. Senders stay far below it.
const DATAGRAM_MAX_BYTES: usize = 16 * 1024;

/// A datagram's content.
#[derive(Clone, Debug, PartialEq)]
pub enum News {
    /// A router tells of demand.
    Demand(RouterDemand),
    /// An agent tells of its engine.
    Engine(EngineStatus),
}

/// A socket for news.
pub struct NewsSocket {
    socket: UdpSocket,
}

impl NewsSocket {
    /// Binds it.
    ///
    /// # Errors
    /// The address is taken, or isn't this instance's.
    pub fn bind(address: SocketAddr) -> io::Result<Self> {
        let socket = std::net::UdpSocket::bind(address)?;
        socket.set_nonblocking(true)?;
        let socket = UdpSocket::from_std(socket)?;
        Ok(Self { socket })
    }

    /// The address that it is bound to.
    pub fn local_address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Sends `news` to `address`.
    ///
    /// # Errors
    /// The network took it not; the next datagram makes up for it.
    pub async fn send(&self, news: &News, address: SocketAddr) -> io::Result<()> {
        let news = match news {
            News::Demand(demand) => news_datagram::News::Demand(demand.write()),
            News::Engine(engine) => news_datagram::News::Engine(engine.write()),
        };
        let datagram = NewsDatagram { news: Some(news) }.encode_to_vec();
        self.socket.send_to(datagram, address).await.0.map(drop)
    }

    /// Waits for the next datagram that can be read.
    ///
    /// # Errors
    /// The socket failed.
    pub async fn receive(&self, now_unix_ms: impl Fn() -> u64) -> io::Result<News> {
        let mut buffer = Vec::with_capacity(DATAGRAM_MAX_BYTES);
        loop {
            let (result, returned) = self.socket.recv_from(buffer).await.into();
            buffer = returned;
            let (length, sender) = result?;
            let datagram = NewsDatagram::decode(&buffer[..length]);
            buffer.clear();
            match datagram.ok().and_then(|datagram| datagram.news) {
                Some(news_datagram::News::Demand(demand)) => {
                    return Ok(News::Demand(RouterDemand::read(
                        demand,
                        sender,
                        now_unix_ms(),
                    )));
                }
                Some(news_datagram::News::Engine(engine)) => {
                    return Ok(News::Engine(EngineStatus::read(
                        engine,
                        sender,
                        now_unix_ms(),
                    )));
                }
                // Of a version that this one doesn't know.
                None => {}
            }
        }
    }
}
