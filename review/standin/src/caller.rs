//! Callers of streams, plain requests and their headers.

use std::{
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

use crate::{
    http::{Message, read_chunk, read_head, read_message},
    wire,
};

/// The time that a caller has for a stream, over all its attempts.
pub const STREAM_DEADLINE: Duration = Duration::from_millis(12_000);

/// What is left of that time since then, in milliseconds.
pub fn left_ms(began: Instant) -> u64 {
    STREAM_DEADLINE.saturating_sub(began.elapsed()).as_millis() as u64
}

/// Headers of a request for a stream from the model of the stand-ins.
pub fn stream_request(path: &str, id: &str, session: &str, left_ms: u64, more: &str) -> String {
    let header = |name: &str, value: &str| format!("{}: {value}\r\n", wire::header(name));
    let headers = [
        header("Request-Id", id),
        header("Model", "m1"),
        header("Token-Counts", "300,400"),
        header(
            "Prompt-Prefix",
            &format!("5c1e07a2:100,91bd3f06:50,{session}:150"),
        ),
        header("Deadline-Ms", &left_ms.to_string()),
    ];
    let headers = headers.concat();
    format!(
        "POST {path} HTTP/1.1\r\nHost: desk.example\r\n{headers}{more}Content-Length: 2\r\n\r\n{{}}"
    )
}

/// A plain request.
pub fn plain_request(method: &str, path: &str, id: &str, deadline_ms: u64) -> String {
    let (id_name, deadline) = (wire::header("Request-Id"), wire::header("Deadline-Ms"));
    let length = if method == "GET" {
        ""
    } else {
        "Content-Length: 0\r\n"
    };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: desk.example\r\n{id_name}: {id}\r\n\
        {deadline}: {deadline_ms}\r\n{length}\r\n"
    )
}

/// Sends a request and reads its whole answer, and whether more bytes come after it. `None` if the
/// connection ends before a whole head.
pub fn call_whole(router: SocketAddr, request: &str) -> Option<(Message, bool)> {
    let mut stream = TcpStream::connect(router).ok()?;
    stream
        .set_read_timeout(Some(Duration::from_secs(14)))
        .ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let answer = read_message(&mut reader)?;
    let patience = Some(Duration::from_millis(200));
    reader.get_ref().set_read_timeout(patience).ok()?;
    let has_more = reader.fill_buf().is_ok_and(|rest| !rest.is_empty());
    Some((answer, has_more))
}

/// What a caller got of a stream in one attempt.
pub struct StreamPart {
    /// 0 if the connection ended before a whole head.
    pub status: u16,
    /// The events, each as it came.
    pub events: Vec<String>,
    pub is_complete: bool,
    /// The body of an answer that is no stream.
    pub body: String,
}

/// Sends a request and reads its stream until it ends, breaks off, or `wants_more` says no.
pub fn call_stream(
    router: SocketAddr,
    request: &str,
    mut wants_more: impl FnMut(usize) -> bool,
) -> StreamPart {
    let mut part = StreamPart {
        status: 0,
        events: Vec::new(),
        is_complete: false,
        body: String::new(),
    };
    let Ok(mut stream) = TcpStream::connect_timeout(&router, Duration::from_secs(1)) else {
        return part;
    };
    stream.set_read_timeout(Some(Duration::from_secs(14))).ok();
    if stream.write_all(request.as_bytes()).is_err() {
        return part;
    }
    let mut reader = BufReader::new(stream);
    let Some(head) = read_head(&mut reader) else {
        return part;
    };
    part.status = head.status();
    if part.status != 200 {
        let length = head.header("content-length").and_then(|l| l.parse().ok());
        let mut body = vec![0; length.unwrap_or(0)];
        std::io::Read::read_exact(&mut reader, &mut body).ok();
        part.body = String::from_utf8_lossy(&body).into_owned();
        return part;
    }
    let mut text = String::new();
    while let Some(chunk) = read_chunk(&mut reader) {
        if chunk.is_empty() {
            part.is_complete = text.is_empty();
            return part;
        }
        text += &String::from_utf8_lossy(&chunk);
        while let Some(end) = text.find("\n\n") {
            part.events.push(text.drain(..end + 2).collect());
        }
        if !wants_more(part.events.len()) {
            return part;
        }
    }
    part
}
