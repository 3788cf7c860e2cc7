//! HTTP/1.1 as far as the stand-ins need it: one request at a time on a connection.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A head and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(k, _)| k.eq_ignore_ascii_case(name))
            .map(|(_, v)| v.as_str())
    }
    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or("")
    }
    pub fn path(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }
    pub fn status(&self) -> u16 {
        self.line
            .split(' ')
            .nth(1)
            .and_then(|s| s.parse().ok())
            .unwrap_or(0)
    }
}

/// A connection with a buffer of what was read beyond the last message.
pub struct Conn {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

fn eof() -> io::Error {
    io::Error::new(io::ErrorKind::UnexpectedEof, "closed")
}

impl Conn {
    pub fn new(stream: TcpStream) -> Conn {
        let _ = stream.set_nodelay(true);
        Conn {
            stream,
            buffer: vec![],
        }
    }

    pub fn dial(to: SocketAddr, timeout: Duration) -> io::Result<Conn> {
        Ok(Conn::new(TcpStream::connect_timeout(&to, timeout)?))
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut part = [0u8; 16384];
        let n = self.stream.read(&mut part)?;
        if n == 0 {
            return Err(eof());
        }
        self.buffer.extend_from_slice(&part[..n]);
        Ok(())
    }

    fn take_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(i) = self.buffer.windows(2).position(|w| w == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..i]).into_owned();
                self.buffer.drain(..i + 2);
                return Ok(line);
            }
            self.fill()?;
        }
    }

    fn take_bytes(&mut self, n: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < n {
            self.fill()?;
        }
        Ok(self.buffer.drain(..n).collect())
    }

    /// Reads a message whole. A body that has neither a length nor chunks is empty.
    pub fn read(&mut self) -> io::Result<Message> {
        let mut m = Message {
            line: self.take_line()?,
            ..Message::default()
        };
        loop {
            let line = self.take_line()?;
            if line.is_empty() {
                break;
            }
            if let Some((k, v)) = line.split_once(':') {
                m.headers.push((k.trim().into(), v.trim().into()));
            }
        }
        if m.header("transfer-encoding").is_some_and(|v| v.contains("chunked")) {
            loop {
                let size = self.take_line()?;
                let n = usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16)
                    .map_err(|_| eof())?;
                let part = self.take_bytes(n)?;
                m.body.extend(part);
                let _ = self.take_line()?;
                if n == 0 {
                    break;
                }
            }
        } else if let Some(n) = m.header("content-length").and_then(|v| v.parse().ok()) {
            m.body = self.take_bytes(n)?;
        }
        Ok(m)
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    pub fn answer(&mut self, status: &str, headers: &[(&str, &str)], body: &[u8]) -> io::Result<()> {
        let mut head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
        for (k, v) in headers {
            head += &format!("{k}: {v}\r\n");
        }
        head += "\r\n";
        let mut all = head.into_bytes();
        all.extend_from_slice(body);
        self.write(&all)
    }
}

/// The bytes of a request.
pub fn request(method: &str, path: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    for (k, v) in headers {
        head += &format!("{k}: {v}\r\n");
    }
    if method != "GET" {
        head += &format!("Content-Length: {}\r\n", body.len());
    }
    head += "\r\n";
    let mut all = head.into_bytes();
    all.extend_from_slice(body);
    all
}

/// One request on a connection of its own.
pub fn ask(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<Message> {
    let end = Instant::now() + timeout;
    let mut c = Conn::dial(to, timeout)?;
    c.stream
        .set_read_timeout(Some(end.saturating_duration_since(Instant::now()).max(Duration::from_millis(1))))?;
    c.write(&request(method, path, headers, body))?;
    c.read()
}
