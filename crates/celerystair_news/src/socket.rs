//! Sending and receiving.

use std::{io, net::SocketAddr};

use bytes::Bytes;
use celerystair_core::prelude::*;
use celerystair_policy::prelude::*;
use celerystair_protocol::{AdapterName, AdaptersWanted, NewsDatagram, news_datagram};
use compio::net::UdpSocket;
use prost::Message;

use crate::{demand::RouterDemand, engines::EngineStatus};

/// The largest datagram that is read. Senders stay far below it.
const DATAGRAM_MAX_BYTES: usize = 16 * 1024;

/// A datagram's content.
#[derive(Clone, Debug, PartialEq)]
pub enum GossipMessage {
    /// A router tells of demand.
    Demand(RouterDemand),
    /// An agent tells of its engine.
    Engine(EngineStatus),
    /// A router tells an agent which adapters its requests wait for, or have used, at its engine.
    AdaptersWanted(Vec<(ModelName, String)>),
}

/// What was received.
#[derive(Clone, Debug, PartialEq)]
pub struct ReceivedGossip {
    /// The news.
    pub message: GossipMessage,
    /// Whether the receiver tells the processes of its failure domain.
    pub should_relay: bool,
}

impl GossipMessage {
    /// As it goes out.
    fn encode(&self, tells_on: bool) -> Bytes {
        let news = match self {
            Self::Demand(demand) => news_datagram::News::Demand(demand.write()),
            Self::Engine(engine) => news_datagram::News::Engine(engine.write()),
            Self::AdaptersWanted(adapters) => {
                let adapters = adapters.iter().map(|(model, adapter)| AdapterName {
                    model: model.to_string(),
                    adapter: adapter.clone(),
                });
                news_datagram::News::AdaptersWanted(AdaptersWanted {
                    adapters: adapters.collect(),
                })
            }
        };
        let datagram = NewsDatagram {
            news: Some(news),
            tells_on,
        };
        datagram.encode_to_vec().into()
    }

    /// `None` for news of a version that this one doesn't know.
    fn decode(datagram: &[u8], sender: SocketAddr, now_unix_ms: u64) -> Option<ReceivedGossip> {
        let datagram = NewsDatagram::decode(datagram).ok()?;
        let message = match datagram.news? {
            news_datagram::News::Demand(demand) => {
                Self::Demand(RouterDemand::read(demand, sender, now_unix_ms))
            }
            news_datagram::News::Engine(engine) => {
                Self::Engine(EngineStatus::read(engine, now_unix_ms))
            }
            news_datagram::News::AdaptersWanted(wanted) => {
                let adapters = wanted.adapters.into_iter();
                Self::AdaptersWanted(adapters.map(|a| (a.model.into(), a.adapter)).collect())
            }
        };
        let should_relay = datagram.tells_on;
        Some(ReceivedGossip {
            message,
            should_relay,
        })
    }
}

/// A socket for news.
pub struct GossipSocket {
    socket: UdpSocket,
}

impl GossipSocket {
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

    /// Sends `news` to each of `targets`; gives those that the network did not take. The next news
    /// makes up for it.
    pub async fn send(
        &self,
        news: &GossipMessage,
        targets: &[GossipTarget],
    ) -> Vec<(SocketAddr, io::Error)> {
        let (direct, told_on) = (news.encode(false), news.encode(true));
        let mut failed = Vec::new();
        for target in targets {
            let datagram = if target.is_relay { &told_on } else { &direct };
            let sent = self.socket.send_to(datagram.clone(), target.address).await;
            if let Err(error) = sent.0 {
                failed.push((target.address, error));
            }
        }
        failed
    }

    /// Waits for the next datagram that can be read.
    ///
    /// # Errors
    /// The socket failed.
    pub async fn receive(&self, now_unix_ms: impl Fn() -> u64) -> io::Result<ReceivedGossip> {
        let mut buffer = Vec::with_capacity(DATAGRAM_MAX_BYTES);
        loop {
            let (result, returned) = self.socket.recv_from(buffer).await.into();
            buffer = returned;
            let (length, sender) = result?;
            let heard = GossipMessage::decode(&buffer[..length], sender, now_unix_ms());
            buffer.clear();
            if let Some(heard) = heard {
                return Ok(heard);
            }
        }
    }
}
