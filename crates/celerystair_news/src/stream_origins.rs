//! Where streams began: how it is sent, and what routers and agents alike do that hold it.

use std::{cell::RefCell, io, net::SocketAddr, pin::pin};

use celerystair_core::prelude::*;
use celerystair_policy::prelude::*;
use celerystair_protocol as protocol;
use futures_util::future::select;

use crate::socket::{GossipMessage, GossipSocket};

/// How often a process checks whether others that hold streams have left or started again: those that leave
/// serve on for seconds.
const HOLDERS_CHECK_INTERVAL_MS: u64 = 250;
/// The most records in a datagram, which stays below the 16 KiB that receivers take.
const RECORDS_PER_DATAGRAM_MAX: usize = 64;

/// What a process tells another one of a stream.
#[derive(Clone, Debug, PartialEq)]
pub struct OriginNews {
    /// The stream.
    pub stream: StreamId,
    /// Where it began; `None` if the sender, which was asked, doesn't know.
    pub origin: Option<StreamOrigin>,
    /// Set if the receiver is to hold the record for others.
    pub held: Option<HeldNews>,
}

/// How a record is held.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HeldNews {
    /// What identifies the stream.
    pub key: StreamKey,
    /// How long ago it was recorded, as clocks differ between processes.
    pub recorded_ms_ago: u32,
}

impl OriginNews {
    fn to_hold(record: OriginRecord, now_unix_ms: u64) -> Self {
        let recorded_ms_ago = now_unix_ms.saturating_sub(record.recorded_unix_ms);
        Self {
            stream: record.stream,
            origin: Some(record.origin),
            held: Some(HeldNews {
                key: record.key,
                recorded_ms_ago: recorded_ms_ago.try_into().unwrap_or(u32::MAX),
            }),
        }
    }
}

pub(crate) fn to_wire(origins: &[OriginNews]) -> protocol::StreamOrigins {
    let origins = origins.iter().map(|news| {
        let (origin, held) = (news.origin.as_ref(), news.held);
        protocol::StreamOrigin {
            stream: news.stream.0,
            service: origin.map(|origin| origin.service.to_string()),
            software_version: origin.map(|origin| origin.version.to_string()),
            recorded_ms_ago: held.map(|held| held.recorded_ms_ago),
            is_shared: held.is_some_and(|held| held.key == StreamKey::SharedBytes),
        }
    });
    protocol::StreamOrigins {
        origins: origins.collect(),
    }
}

pub(crate) fn from_wire(news: protocol::StreamOrigins) -> Vec<OriginNews> {
    let origins = news.origins.into_iter().map(|origin| {
        let known = origin.service.zip(origin.software_version);
        let known = known.map(|(service, version)| StreamOrigin {
            service: ServiceName::from(service),
            version: SoftwareVersion::from(version),
        });
        let key = if origin.is_shared {
            StreamKey::SharedBytes
        } else {
            StreamKey::Request
        };
        let held = origin.recorded_ms_ago.map(|recorded_ms_ago| HeldNews {
            key,
            recorded_ms_ago,
        });
        OriginNews {
            stream: StreamId(origin.stream),
            origin: known,
            held,
        }
    });
    origins.collect()
}

/// What a process knows of where streams began, and which of them it holds for others.
#[derive(Debug, Default)]
pub struct OriginTable {
    /// Where streams began.
    pub origins: RefCell<StreamOrigins>,
    /// Those that this process holds for others.
    pub held: RefCell<HeldStreams>,
}

impl OriginTable {
    /// Records where a stream began or was taken up, under each of its identifiers. Returns what each of the
    /// other processes that hold it is to be told.
    pub fn begin(
        &self,
        streams: &[(StreamId, StreamKey)],
        origin: &StreamOrigin,
        peers: &HolderPeers,
        now_unix_ms: u64,
    ) -> HashMap<SocketAddr, Vec<OriginRecord>> {
        let mut messages: HashMap<SocketAddr, Vec<OriginRecord>> = HashMap::default();
        let (mut origins, mut held) = (self.origins.borrow_mut(), self.held.borrow_mut());
        for (stream, key) in streams.iter().copied() {
            let holders = origin_holders(stream, key, peers);
            for holder in &holders {
                messages.entry(*holder).or_default().push(OriginRecord {
                    stream,
                    key,
                    origin: origin.clone(),
                    recorded_unix_ms: now_unix_ms,
                });
            }
            origins.insert(stream, origin.clone(), now_unix_ms);
            held.record_told(stream, key, holders, now_unix_ms);
        }
        messages
    }

    /// Records what another process has told.
    pub fn record(&self, news: &[OriginNews], now_unix_ms: u64) {
        let mut origins = self.origins.borrow_mut();
        for OriginNews {
            stream,
            origin,
            held,
        } in news
        {
            let Some(origin) = origin.clone() else {
                continue;
            };
            let Some(HeldNews {
                key,
                recorded_ms_ago,
            }) = *held
            else {
                origins.insert(*stream, origin, now_unix_ms);
                continue;
            };
            let recorded_unix_ms = now_unix_ms.saturating_sub(recorded_ms_ago.into());
            let record = OriginRecord {
                stream: *stream,
                key,
                origin,
                recorded_unix_ms,
            };
            self.held.borrow_mut().record_held(&record, now_unix_ms);
            origins.insert_recorded(*stream, record.origin, recorded_unix_ms, now_unix_ms);
        }
    }

    /// Returns the answer to a process that asks where streams began, also about those that aren't known.
    pub fn answer(&self, streams: &[StreamId]) -> GossipMessage {
        let origins = self.origins.borrow();
        let news = |stream, origin| OriginNews {
            stream,
            origin,
            held: None,
        };
        let answers = streams.iter().flat_map(|stream| {
            let known = origins.all(*stream).cloned();
            let mut answers: Vec<OriginNews> =
                known.map(|origin| news(*stream, Some(origin))).collect();
            if answers.is_empty() {
                answers.push(news(*stream, None));
            }
            answers
        });
        GossipMessage::StreamOrigins(answers.collect())
    }
}

/// Sends each process the records that it is to hold. Returns the addresses for which sending failed.
pub async fn send_records(
    socket: &GossipSocket,
    messages: HashMap<SocketAddr, Vec<OriginRecord>>,
) -> Vec<(SocketAddr, io::Error)> {
    let now = now_unix_ms();
    let mut unsent = Vec::new();
    for (address, records) in messages {
        for records in records.chunks(RECORDS_PER_DATAGRAM_MAX) {
            let records = records.iter().cloned();
            let news = records.map(|record| OriginNews::to_hold(record, now));
            let message = GossipMessage::StreamOrigins(news.collect());
            if let Err(error) = socket.send_to(&message, address).await {
                unsent.push((address, error));
            }
        }
    }
    unsent
}

/// What was told again in one round.
#[derive(Debug)]
pub struct Retold {
    /// The records, counted once for each receiver.
    pub records: usize,
    /// The receivers.
    pub receivers: usize,
    /// The receivers to which a datagram could not be sent.
    pub unsent: Vec<(SocketAddr, io::Error)>,
}

/// Tells others of the streams in `table` once some that hold them leave or start again, until `stop` ends.
/// `peers` are those that may hold streams now. What a process knows ends with it.
pub async fn keep_origins_held(
    socket: &GossipSocket,
    table: &OriginTable,
    own: SocketAddr,
    peers: impl Fn() -> HolderPeers,
    report: impl Fn(Retold),
    stop: &Stop,
) {
    while !stop.is_ended() {
        let messages =
            table
                .held
                .borrow_mut()
                .retell(&table.origins.borrow(), &peers(), own, now_unix_ms());
        if !messages.is_empty() {
            let (records, receivers) = (messages.values().map(Vec::len).sum(), messages.len());
            let unsent = send_records(socket, messages).await;
            report(Retold {
                records,
                receivers,
                unsent,
            });
        }
        let timer = sleep_ms(HOLDERS_CHECK_INTERVAL_MS);
        select(pin!(timer), pin!(stop.ended())).await;
    }
}
