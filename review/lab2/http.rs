//! A minimal HTTP/1.1 reader and writer over blocking sockets.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A message head with the bytes that follow it on the connection.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Status of a response, 0 if the line is none.
    pub fn status(&self) -> u16 {
        let mut parts = self.line.split(' ');
        parts.nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }
}

/// A connection with its read buffer.
pub struct Conn {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

/// How a body ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// At its announced end.
    Whole,
    /// The connection was closed or reset before.
    Cut,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Conn {
        let _ = stream.set_nodelay(true);
        Conn {
            stream,
            buffer: vec![],
        }
    }

    pub fn dial(address: SocketAddr, timeout: Duration) -> io::Result<Conn> {
        let stream = TcpStream::connect_timeout(&address, timeout)?;
        stream.set_read_timeout(Some(Duration::from_secs(15)))?;
        Ok(Conn::new(stream))
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0u8; 64 << 10];
        let count = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(count)
    }

    /// The next head; none at the end of the connection.
    pub fn read_head(&mut self) -> io::Result<Option<Head>> {
        loop {
            let end = self.buffer.windows(4).position(|four| four == b"\r\n\r\n");
            if let Some(end) = end {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let line = lines.next().unwrap_or("").to_string();
                let headers = lines
                    .filter_map(|line| line.split_once(':'))
                    .map(|(name, value)| (name.trim().to_string(), value.trim().to_string()))
                    .collect();
                return Ok(Some(Head { line, headers }));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    fn read_exact_body(&mut self, length: usize, body: &mut Vec<u8>) -> End {
        while self.buffer.len() < length {
            match self.fill() {
                Ok(0) | Err(_) => {
                    body.append(&mut self.buffer);
                    return End::Cut;
                }
                Ok(_) => {}
            }
        }
        body.extend(self.buffer.drain(..length));
        End::Whole
    }

    fn read_line(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|two| two == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Some(line);
            }
            if !matches!(self.fill(), Ok(count) if count > 0) {
                return None;
            }
        }
    }

    /// Reads a body that its head delimits by a length or by chunks. A response without either ends
    /// with the connection.
    pub fn read_body(&mut self, head: &Head, is_response: bool) -> (Vec<u8>, End) {
        let mut body = vec![];
        let is_chunked = head
            .get("transfer-encoding")
            .is_some_and(|coding| coding.to_ascii_lowercase().contains("chunked"));
        if is_chunked {
            loop {
                let Some(line) = self.read_line() else {
                    return (body, End::Cut);
                };
                let size = line.split(';').next().unwrap_or("").trim().to_string();
                let Ok(size) = usize::from_str_radix(&size, 16) else {
                    return (body, End::Cut);
                };
                if size == 0 {
                    let end = if self.read_line().is_some() {
                        End::Whole
                    } else {
                        End::Cut
                    };
                    return (body, end);
                }
                if self.read_exact_body(size, &mut body) == End::Cut || self.read_line().is_none() {
                    return (body, End::Cut);
                }
            }
        }
        if let Some(length) = head.get("content-length") {
            let length = length.parse().unwrap_or(0);
            let end = self.read_exact_body(length, &mut body);
            return (body, end);
        }
        if !is_response {
            return (body, End::Whole);
        }
        while matches!(self.fill(), Ok(count) if count > 0) {}
        body.append(&mut self.buffer);
        (body, End::Whole)
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

/// One answer as its client saw it.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// 0 if the connection ended without a head.
    pub status: u16,
    pub head: Head,
    pub body: Vec<u8>,
    pub is_whole: bool,
    pub error: String,
}

/// Sends one request on an open connection and reads its answer.
pub fn exchange(
    conn: &mut Conn,
    method: &str,
    target: &str,
    headers: &[(&str, String)],
    body: &[u8],
) -> Answer {
    let mut text = format!("{method} {target} HTTP/1.1\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    if method != "GET" || !body.is_empty() {
        text += &format!("Content-Length: {}\r\n", body.len());
    }
    text += "\r\n";
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    if let Err(error) = conn.write(&bytes) {
        // The answer may have come before the request was written whole.
        let answer = read_answer(conn);
        return if answer.status > 0 {
            answer
        } else {
            Answer {
                error: format!("write: {error}"),
                ..answer
            }
        };
    }
    read_answer(conn)
}

pub fn read_answer(conn: &mut Conn) -> Answer {
    match conn.read_head() {
        Ok(Some(head)) => {
            let (body, end) = conn.read_body(&head, true);
            Answer {
                status: head.status(),
                head,
                body,
                is_whole: end == End::Whole,
                error: String::new(),
            }
        }
        Ok(None) => Answer {
            error: "closed without an answer".into(),
            ..Answer::default()
        },
        Err(error) => Answer {
            error: format!("read: {error}"),
            ..Answer::default()
        },
    }
}

/// Sends one request on a connection of its own.
pub fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, String)],
    body: &[u8],
) -> Answer {
    call_within(
        address,
        method,
        target,
        headers,
        body,
        Duration::from_secs(15),
    )
}

/// The same, with a time-out for each read.
pub fn call_within(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, String)],
    body: &[u8],
    timeout: Duration,
) -> Answer {
    match Conn::dial(address, Duration::from_secs(1)) {
        Ok(mut conn) => {
            let _ = conn.stream.set_read_timeout(Some(timeout));
            exchange(&mut conn, method, target, headers, body)
        }
        Err(error) => Answer {
            error: format!("connect: {error}"),
            ..Answer::default()
        },
    }
}
