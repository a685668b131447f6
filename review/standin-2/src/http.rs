//! A minimal HTTP/1.1 reader.

use std::{collections::BTreeMap, io::BufRead};

#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start_line: String,
    /// By lower-case name; repeated ones are joined with commas.
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
    /// Whether the body was read to its end.
    pub is_complete: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    /// Returns a word of the start line: the path of a request and the status of a response are word 1.
    pub fn word(&self, index: usize) -> &str {
        self.start_line.split(' ').nth(index).unwrap_or_default()
    }

    pub fn body_text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
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
        if line.is_empty() {
            return Some(message);
        }
        if message.start_line.is_empty() {
            message.start_line = line.to_owned();
            continue;
        }
        let (name, value) = line.split_once(':')?;
        let value = value.trim().to_owned();
        let entry = message.headers.entry(name.to_ascii_lowercase());
        entry
            .and_modify(|known| *known = format!("{known},{value}"))
            .or_insert(value);
    }
}

/// Reads a message whose body has a length or chunks.
pub fn read_message(reader: &mut impl BufRead) -> Option<Message> {
    let mut message = read_head(reader)?;
    if message
        .header("transfer-encoding")
        .is_some_and(|value| value.contains("chunked"))
    {
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
        .and_then(|length| length.parse().ok());
    message.body = vec![0; length.unwrap_or(0)];
    message.is_complete = reader.read_exact(&mut message.body).is_ok();
    Some(message)
}

/// Reads one chunk; an empty one ends the body.
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
