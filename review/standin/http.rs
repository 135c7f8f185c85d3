//! As much of HTTP/1.1 as the stand-ins need.

use std::{
    collections::HashMap,
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// A message: its first line, its headers in lower case, and its body.
#[derive(Debug, Default, Clone)]
pub struct Message {
    pub first: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
    /// Whether the body ended as its head says.
    pub whole: bool,
    /// Whether the body's head says where it ends.
    pub framed: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0)
    }
}

/// Reads messages from a connection.
pub struct Reader {
    tcp: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(tcp: TcpStream) -> Self {
        Self { tcp, buffer: Vec::new() }
    }

    /// Reads more; `false` at the end of the connection.
    fn fill(&mut self) -> io::Result<bool> {
        let mut chunk = [0; 8192];
        let read = self.tcp.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..read]);
        Ok(read > 0)
    }

    fn line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(Some(line));
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }

    /// Reads a head; `None` if the connection ends before it.
    pub fn head(&mut self) -> io::Result<Option<Message>> {
        let Some(first) = self.line()? else { return Ok(None) };
        let mut message = Message { first, ..Message::default() };
        loop {
            match self.line()? {
                None => return Ok(None),
                Some(line) if line.is_empty() => return Ok(Some(message)),
                Some(line) => {
                    if let Some((name, value)) = line.split_once(':') {
                        message.headers.insert(name.trim().to_ascii_lowercase(), value.trim().to_owned());
                    }
                }
            }
        }
    }

    fn exactly(&mut self, length: usize, into: &mut Vec<u8>) -> io::Result<bool> {
        while self.buffer.len() < length {
            if !self.fill()? {
                into.append(&mut self.buffer);
                return Ok(false);
            }
        }
        into.extend(self.buffer.drain(..length));
        Ok(true)
    }

    /// Reads the body of a request or an answer. An answer without a length ends with its connection.
    pub fn body(&mut self, message: &mut Message, is_answer: bool) -> io::Result<()> {
        let mut body = Vec::new();
        let result = self.read_body(message, is_answer, &mut body);
        message.body = body;
        message.whole = matches!(result, Ok(true));
        result.map(|_| ())
    }

    fn read_body(&mut self, message: &mut Message, is_answer: bool, body: &mut Vec<u8>) -> io::Result<bool> {
        message.framed = true;
        if message.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
            loop {
                let Some(size) = self.line()? else { return Ok(false) };
                let Ok(size) = usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16) else {
                    return Ok(false);
                };
                if size == 0 {
                    while let Some(line) = self.line()? {
                        if line.is_empty() {
                            return Ok(true);
                        }
                    }
                    return Ok(false);
                }
                if !self.exactly(size, body)? || self.line()?.is_none() {
                    return Ok(false);
                }
            }
        }
        if let Ok(length) = message.header("content-length").parse() {
            return self.exactly(length, body);
        }
        if !is_answer {
            return Ok(true);
        }
        message.framed = false;
        while self.fill()? {}
        body.append(&mut self.buffer);
        Ok(true)
    }
}

/// Makes one call on a connection of its own. An error means that there was no head of an answer.
pub fn call(to: SocketAddr, request: &[u8], limit: Duration) -> io::Result<Message> {
    let until = Instant::now() + limit;
    let mut tcp = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    tcp.set_nodelay(true)?;
    tcp.set_read_timeout(Some(until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1))))?;
    tcp.write_all(request)?;
    let mut reader = Reader::new(tcp);
    let mut answer = reader.head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
    // An error here shows in `whole`.
    let _ = reader.body(&mut answer, true);
    Ok(answer)
}

pub fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for three in bytes.chunks(3) {
        let word = three.iter().fold(0_u32, |word, byte| word << 8 | u32::from(*byte)) << (8 * (3 - three.len()));
        for sign in 0..4 {
            let index = (word >> (18 - 6 * sign)) & 63;
            text.push(if sign <= three.len() { char::from(SIGNS[index as usize]) } else { '=' });
        }
    }
    text
}
