//! A small HTTP/1.1 reader and writer, for the stand-ins and for the callers.

use std::{
    collections::BTreeMap,
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start_line: String,
    /// By lower-case name.
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
    /// Whether the body came to its marked end.
    pub is_complete: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let name = name.to_ascii_lowercase();
        self.headers.get(&name).map(String::as_str)
    }

    pub fn word(&self, index: usize) -> &str {
        self.start_line.split(' ').nth(index).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    /// The value of a parameter of the query.
    pub fn parameter(&self, name: &str) -> Option<&str> {
        let (_, query) = self.word(1).split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(known, _)| *known == name)
            .map(|(_, value)| value)
    }

    pub fn path(&self) -> &str {
        self.word(1).split('?').next().unwrap_or_default()
    }
}

pub fn read_head(reader: &mut impl BufRead) -> Option<Message> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() && message.start_line.is_empty() {
            continue;
        }
        if line.is_empty() {
            return Some(message);
        }
        if message.start_line.is_empty() {
            line.clone_into(&mut message.start_line);
            continue;
        }
        let (name, value) = line.split_once(':')?;
        let name = name.to_ascii_lowercase();
        message.headers.insert(name, value.trim().to_owned());
    }
}

pub fn read_chunk(reader: &mut impl BufRead) -> Option<Vec<u8>> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let length = usize::from_str_radix(line.trim(), 16).ok()?;
    let mut chunk = vec![0; length + 2];
    reader.read_exact(&mut chunk).ok()?;
    chunk.truncate(length);
    Some(chunk)
}

/// Reads a message whose body has a length or chunks, or none. `None` if the head doesn't come whole.
pub fn read_message(reader: &mut impl BufRead) -> Option<Message> {
    let mut message = read_head(reader)?;
    let encoding = message.header("transfer-encoding").unwrap_or_default();
    if encoding.contains("chunked") {
        while let Some(chunk) = read_chunk(reader) {
            if chunk.is_empty() {
                message.is_complete = true;
                break;
            }
            message.body.extend_from_slice(&chunk);
        }
        return Some(message);
    }
    let length = message
        .header("content-length")
        .and_then(|l| l.parse().ok());
    let length: u64 = length.unwrap_or(0);
    reader.take(length).read_to_end(&mut message.body).ok();
    message.is_complete = message.body.len() as u64 == length;
    Some(message)
}

/// Sends a request on a new connection and reads its answer; `None` if no whole head comes.
pub fn call(address: SocketAddr, request: &[u8], patience: Duration) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_nodelay(true).ok();
    stream.set_read_timeout(Some(patience)).ok()?;
    stream.write_all(request).ok()?;
    read_message(&mut BufReader::new(stream))
}

pub fn write_response(
    mut stream: &TcpStream,
    status: u16,
    headers: &[(String, String)],
    body: &[u8],
) -> bool {
    let lines: String = headers
        .iter()
        .map(|(name, value)| format!("{name}: {value}\r\n"))
        .collect();
    let length = body.len();
    let head = format!("HTTP/1.1 {status} x\r\n{lines}Content-Length: {length}\r\n\r\n");
    stream.write_all(&[head.as_bytes(), body].concat()).is_ok()
}
