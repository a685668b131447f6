//! A client of the users' platform.

use std::{
    io::{BufReader, Write},
    net::{SocketAddr, TcpStream},
    sync::atomic::{AtomicU64, Ordering},
    time::{Duration, Instant},
};

use crate::{
    http::{read_chunk, read_head, read_message},
    names::Names,
    record::Record,
};

pub const HOST: &str = "ficu95.example";

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// Returns the id of a client attempt.
pub fn next_id() -> String {
    format!("{:016x}", NEXT_ID.fetch_add(1, Ordering::SeqCst))
}

/// An answer, with the time of its end and whether it says that its server leaves.
#[derive(Clone, Debug)]
pub struct Answer {
    pub id: String,
    pub sent_ms: u64,
    pub ended_ms: u64,
    /// 0 if the connection ended without one.
    pub status: u16,
    pub is_leaving: bool,
    pub body: String,
    /// Whether the body came to its end.
    pub is_complete: bool,
}

pub struct Client<'a> {
    pub router: SocketAddr,
    pub names: &'a Names,
    pub record: &'a Record,
    /// When it leaves a stream.
    pub leaves_at: Option<Instant>,
    connection: Option<BufReader<TcpStream>>,
}

impl<'a> Client<'a> {
    pub fn new(router: SocketAddr, names: &'a Names, record: &'a Record) -> Self {
        Self {
            router,
            names,
            record,
            leaves_at: None,
            connection: None,
        }
    }

    /// Sends a request on the client's kept connection, or on a new one, and reads its answer.
    pub fn call(
        &mut self,
        method_and_path: &str,
        id: &str,
        deadline_ms: u64,
        more: &str,
    ) -> Answer {
        let sent_ms = self.record.now_ms();
        let mut answer = Answer {
            id: id.to_owned(),
            sent_ms,
            ended_ms: sent_ms,
            status: 0,
            is_leaving: false,
            body: String::new(),
            is_complete: false,
        };
        self.exchange(method_and_path, id, deadline_ms, more, &mut answer);
        answer.ended_ms = self.record.now_ms();
        if !answer.is_complete {
            self.connection = None;
        }
        self.record.note(format!(
            "client: {method_and_path} {id} sent at {sent_ms} answered {}{}{}",
            answer.status,
            if answer.is_complete { "" } else { ", cut" },
            if answer.is_leaving {
                ", its server leaves"
            } else {
                ""
            },
        ));
        answer
    }

    fn exchange(
        &mut self,
        method_and_path: &str,
        id: &str,
        deadline_ms: u64,
        more: &str,
        answer: &mut Answer,
    ) -> Option<()> {
        let end = Instant::now() + Duration::from_millis(deadline_ms);
        if self.connection.is_none() {
            let stream = TcpStream::connect_timeout(&self.router, Duration::from_secs(1)).ok()?;
            stream.set_nodelay(true).ok();
            self.connection = Some(BufReader::new(stream));
        }
        let reader = self.connection.as_mut()?;
        reader
            .get_ref()
            .set_read_timeout(Some(Duration::from_millis(deadline_ms + 500)))
            .ok();
        let head = format!(
            "{method_and_path} HTTP/1.1\r\nHost: {HOST}\r\n{}: {id}\r\n{}: {deadline_ms}\r\n{more}\
            Content-Length: 0\r\n\r\n",
            self.names.header("Request-Id"),
            self.names.header("Deadline-Ms"),
        );
        reader.get_mut().write_all(head.as_bytes()).ok()?;
        let head = read_head(reader)?;
        answer.status = head.word(1).parse().ok()?;
        let leaving = self.names.get("leaving").to_ascii_lowercase();
        answer.is_leaving = head.header(&leaving) == Some("1");
        let must_close = head
            .header("connection")
            .is_some_and(|value| value.contains("close"));
        if head.header("transfer-encoding").is_some() {
            while let Some(chunk) = read_chunk(reader) {
                if chunk.is_empty() {
                    answer.is_complete = true;
                    break;
                }
                answer.body.push_str(&String::from_utf8_lossy(&chunk));
                let now = Instant::now();
                if now > end || self.leaves_at.is_some_and(|leaves_at| now >= leaves_at) {
                    break;
                }
            }
        } else {
            let length = head.header("content-length").and_then(|l| l.parse().ok());
            let mut body = vec![0; length.unwrap_or(0)];
            answer.is_complete = std::io::Read::read_exact(reader, &mut body).is_ok();
            answer.body = String::from_utf8_lossy(&body).into_owned();
        }
        if must_close {
            self.connection = None;
        }
        Some(())
    }
}

/// Returns the status of a readiness probe, 0 without an answer.
pub fn ready_status(address: SocketAddr) -> u16 {
    let probe = || {
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
        stream
            .write_all(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            .ok()?;
        let answer = read_message(&mut BufReader::new(stream))?;
        answer.word(1).parse().ok()
    };
    probe().unwrap_or(0)
}
