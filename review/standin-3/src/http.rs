//! Reads and writes HTTP/1.1 messages.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// The head and body of a message.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers.find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    pub fn word(&self, index: usize) -> &str {
        self.start.split(' ').nth(index).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// Reads a line without its end; `None` at the end of the connection.
fn read_line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = Vec::new();
    if reader.read_until(b'\n', &mut line)? == 0 {
        return Ok(None);
    }
    while matches!(line.last(), Some(b'\n' | b'\r')) {
        line.pop();
    }
    Ok(Some(String::from_utf8_lossy(&line).into_owned()))
}

/// Reads a message's head; `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    match read_line(reader)? {
        None => return Ok(None),
        Some(start) => message.start = start,
    }
    loop {
        match read_line(reader)? {
            None => return Err(io::ErrorKind::UnexpectedEof.into()),
            Some(line) if line.is_empty() => return Ok(Some(message)),
            Some(line) => {
                let (name, value) = line.split_once(':').unwrap_or((&line, ""));
                let header = (name.to_ascii_lowercase(), value.trim().to_owned());
                message.headers.push(header);
            }
        }
    }
}

/// Reads the next chunk of a body; `None` after the last one.
pub fn read_chunk(reader: &mut impl BufRead) -> io::Result<Option<Vec<u8>>> {
    let line = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let length = usize::from_str_radix(line.trim(), 16);
    let length = length.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
    let mut chunk = vec![0; length];
    reader.read_exact(&mut chunk)?;
    read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    Ok((length > 0).then_some(chunk))
}

/// Reads a message with its body; `None` at the end of the connection.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    if message.header("transfer-encoding").is_some() {
        while let Some(chunk) = read_chunk(reader)? {
            message.body.extend(chunk);
        }
    } else if let Some(length) = message.header("content-length") {
        let length = length.parse().map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    }
    Ok(Some(message))
}

/// Writes a response with a length.
pub fn respond(
    mut stream: &TcpStream,
    status: u16,
    headers: &[(&str, String)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!("HTTP/1.1 {status} x\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += "\r\n";
    stream.write_all(&[head.as_bytes(), body].concat())
}

/// A request that a client has sent.
pub struct Call {
    reader: BufReader<TcpStream>,
}

impl Call {
    /// Sends a request on a new connection.
    pub fn send(
        address: SocketAddr,
        method: &str,
        path: &str,
        headers: &[(&str, String)],
        body: &[u8],
    ) -> io::Result<Self> {
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(30)))?;
        let mut head = format!(
            "{method} {path} HTTP/1.1\r\nHost: review.example\r\ncontent-length: {}\r\n",
            body.len()
        );
        for (name, value) in headers {
            head += &format!("{name}: {value}\r\n");
        }
        head += "\r\n";
        stream.write_all(&[head.as_bytes(), body].concat())?;
        Ok(Self { reader: BufReader::new(stream) })
    }

    /// Sets how long a read may take.
    pub fn set_timeout(&self, limit: Duration) {
        self.reader.get_ref().set_read_timeout(Some(limit)).ok();
    }

    /// Reads the response's head.
    pub fn head(&mut self) -> io::Result<Message> {
        read_head(&mut self.reader)?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }

    /// Reads the whole response.
    pub fn response(&mut self) -> io::Result<Message> {
        read_message(&mut self.reader)?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }

    /// Reads the body of a response that has a length.
    pub fn body(&mut self, head: &Message) -> io::Result<Vec<u8>> {
        let length = head.header("content-length").and_then(|length| length.parse().ok());
        let mut body = vec![0; length.unwrap_or(0)];
        self.reader.read_exact(&mut body)?;
        Ok(body)
    }

    /// Reads the next chunk of the response's body; `None` at its end.
    pub fn chunk(&mut self) -> io::Result<Option<Vec<u8>>> {
        read_chunk(&mut self.reader)
    }
}
