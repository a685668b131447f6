//! The gossip messages and the socket that carries them.

use std::{cell::Cell, io, net::SocketAddr, time::Duration};

use bytes::Bytes;
use celerystair_core::prelude::*;
use celerystair_policy::prelude::*;
use celerystair_protocol::{
    AdapterName, AdaptersWanted, NewsDatagram, StreamOriginsWanted, SuspectsWanted, news_datagram,
};
use compio::net::UdpSocket;
use prost::Message;

use crate::{
    demand::RouterDemand,
    engines::EngineStatus,
    stream_origins::{self, OriginNews},
    suspects,
};

/// The largest datagram that is received whole; senders stay far below it.
const MAX_DATAGRAM_BYTES: usize = 16 * 1024;

/// The content of a datagram.
#[derive(Clone, Debug, PartialEq)]
pub enum GossipMessage {
    /// The demand at a router.
    Demand(RouterDemand),
    /// The status of an engine.
    Engine(EngineStatus),
    /// The adapters, by model, that a router's requests wait for or have used at the receiver's
    /// engine.
    AdaptersWanted(Vec<(ModelName, String)>),
    /// Requests that may crash the upstreams that run them.
    Suspects(Vec<SuspectReport>),
    /// Parts of prompts that may crash the upstreams that answer on them.
    SuspectParts(Vec<PartReport>),
    /// Asks the receiver for the suspects that it knows.
    SuspectsWanted,
    /// Where streams began.
    StreamOrigins(Vec<OriginNews>),
    /// The streams whose origins the sender asks for.
    StreamOriginsWanted(Vec<StreamId>),
}

/// A received message, with what its sender asks of the receiver.
#[derive(Clone, Debug, PartialEq)]
pub struct ReceivedGossip {
    /// The message.
    pub message: GossipMessage,
    /// Whether the receiver is to relay the message within its failure domain.
    pub should_relay: bool,
    /// The process that sent it.
    pub sender: SocketAddr,
}

impl GossipMessage {
    /// Encodes the message as a datagram.
    fn encode(&self, should_relay: bool) -> Bytes {
        let news = match self {
            Self::Demand(demand) => news_datagram::News::Demand(demand.to_wire()),
            Self::Engine(engine) => news_datagram::News::Engine(engine.to_wire()),
            Self::AdaptersWanted(adapters) => {
                let adapters = adapters.iter().map(|(model, adapter)| AdapterName {
                    model: model.to_string(),
                    adapter: adapter.clone(),
                });
                news_datagram::News::AdaptersWanted(AdaptersWanted {
                    adapters: adapters.collect(),
                })
            }
            Self::Suspects(reports) => news_datagram::News::Suspects(suspects::to_wire(reports)),
            Self::SuspectParts(reports) => {
                news_datagram::News::Suspects(suspects::parts_to_wire(reports))
            }
            Self::SuspectsWanted => news_datagram::News::SuspectsWanted(SuspectsWanted {}),
            Self::StreamOrigins(origins) => {
                news_datagram::News::StreamOrigins(stream_origins::to_wire(origins))
            }
            Self::StreamOriginsWanted(streams) => {
                let streams = streams.iter().map(|stream| stream.0).collect();
                news_datagram::News::StreamOriginsWanted(StreamOriginsWanted { streams })
            }
        };
        let datagram = NewsDatagram {
            news: Some(news),
            tells_on: should_relay,
        };
        datagram.encode_to_vec().into()
    }

    /// Decodes a datagram; returns `None` if it is malformed or holds a message of a kind that this
    /// version doesn't know.
    fn decode(datagram: &[u8], sender: SocketAddr, now_unix_ms: u64) -> Option<ReceivedGossip> {
        let datagram = NewsDatagram::decode(datagram).ok()?;
        let message = match datagram.news? {
            news_datagram::News::Demand(demand) => {
                Self::Demand(RouterDemand::from_wire(demand, sender, now_unix_ms))
            }
            news_datagram::News::Engine(engine) => {
                Self::Engine(EngineStatus::from_wire(engine, sender.port(), now_unix_ms))
            }
            news_datagram::News::AdaptersWanted(wanted) => {
                let adapters = wanted.adapters.into_iter();
                Self::AdaptersWanted(adapters.map(|a| (a.model.into(), a.adapter)).collect())
            }
            news_datagram::News::Suspects(reports) if reports.parts.is_empty() => {
                Self::Suspects(suspects::from_wire(reports))
            }
            news_datagram::News::Suspects(reports) => {
                Self::SuspectParts(suspects::parts_from_wire(reports.parts))
            }
            news_datagram::News::SuspectsWanted(SuspectsWanted {}) => Self::SuspectsWanted,
            news_datagram::News::StreamOrigins(origins) => {
                Self::StreamOrigins(stream_origins::from_wire(origins))
            }
            news_datagram::News::StreamOriginsWanted(wanted) => {
                Self::StreamOriginsWanted(wanted.streams.into_iter().map(StreamId).collect())
            }
        };
        let should_relay = datagram.tells_on;
        Some(ReceivedGossip {
            message,
            should_relay,
            sender,
        })
    }
}

/// The most datagrams that are received before the thread polls for timers and other events: a sender may
/// be faster than this process.
const TURN_DATAGRAMS: u32 = 32;
/// For how long it then polls at least. In real time, as it bounds work.
const TURN_INTERVAL: Duration = Duration::from_micros(50);

/// A UDP socket for gossip.
pub struct GossipSocket {
    socket: UdpSocket,
    /// Datagrams that were received in this turn.
    turn_datagrams: Cell<u32>,
}

impl GossipSocket {
    /// Binds a socket to `address`.
    ///
    /// # Errors
    /// The address is in use, or doesn't belong to this instance.
    pub fn bind(address: SocketAddr) -> io::Result<Self> {
        let socket = std::net::UdpSocket::bind(address)?;
        socket.set_nonblocking(true)?;
        let socket = UdpSocket::from_std(socket)?;
        Ok(Self {
            socket,
            turn_datagrams: Cell::default(),
        })
    }

    /// Returns the address that the socket is bound to.
    pub fn local_address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Sends `message` to each of `targets`. Returns the addresses for which sending failed;
    /// callers needn't retry, because the next message replaces this one.
    pub async fn send(
        &self,
        message: &GossipMessage,
        targets: &[GossipTarget],
    ) -> Vec<(SocketAddr, io::Error)> {
        let (direct, relayed) = (message.encode(false), message.encode(true));
        let mut failed = Vec::new();
        for target in targets {
            let datagram = if target.is_relay { &relayed } else { &direct };
            let sent = self.socket.send_to(datagram.clone(), target.address).await;
            if let Err(error) = sent.0 {
                failed.push((target.address, error));
            }
        }
        failed
    }

    /// Sends `message` to one process, which is not to relay it.
    ///
    /// # Errors
    /// The datagram could not be sent.
    pub async fn send_to(&self, message: &GossipMessage, address: SocketAddr) -> io::Result<()> {
        let sent = self.socket.send_to(message.encode(false), address).await;
        sent.0.map(|_| ())
    }

    /// Waits for the next datagram that can be decoded; others are ignored.
    ///
    /// # Errors
    /// Receiving from the socket failed.
    pub async fn receive(&self, now_unix_ms: impl Fn() -> u64) -> io::Result<ReceivedGossip> {
        let mut buffer = Vec::with_capacity(MAX_DATAGRAM_BYTES);
        loop {
            if self.turn_datagrams.get() >= TURN_DATAGRAMS {
                compio::time::sleep(TURN_INTERVAL).await;
                self.turn_datagrams.set(0);
            }
            self.turn_datagrams.set(self.turn_datagrams.get() + 1);
            let (result, returned) = self.socket.recv_from(buffer).await.into();
            buffer = returned;
            let (length, sender) = result?;
            let received = GossipMessage::decode(&buffer[..length], sender, now_unix_ms());
            buffer.clear();
            if let Some(received) = received {
                return Ok(received);
            }
        }
    }
}
