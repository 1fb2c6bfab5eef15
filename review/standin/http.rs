//! As much of HTTP/1.1 as the stand-ins speak.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A head: its first line and its headers, names in small letters.
pub struct Head {
    pub first: String,
    headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(known, _)| known == name)
            .map(|(_, value)| value.as_str())
    }

    /// The status, of an answer.
    pub fn status(&self) -> u16 {
        self.first
            .split(' ')
            .nth(1)
            .and_then(|it| it.parse().ok())
            .unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }
}

/// A connection that is read head by head and body by body.
pub struct Wire {
    pub stream: TcpStream,
    ahead: Vec<u8>,
}

fn cut() -> io::Error {
    io::Error::from(io::ErrorKind::UnexpectedEof)
}

impl Wire {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            ahead: Vec::new(),
        }
    }

    pub fn connect(to: SocketAddr, patience: Duration) -> io::Result<Self> {
        let wire = Self::new(TcpStream::connect_timeout(&to, patience)?);
        wire.stream.set_read_timeout(Some(patience))?;
        wire.stream.set_write_timeout(Some(patience))?;
        Ok(wire)
    }

    fn more(&mut self) -> io::Result<()> {
        let mut bytes = [0; 65_536];
        match self.stream.read(&mut bytes)? {
            0 => Err(cut()),
            count => {
                self.ahead.extend_from_slice(&bytes[..count]);
                Ok(())
            }
        }
    }

    pub fn head(&mut self) -> io::Result<Head> {
        let end = loop {
            if let Some(end) = self.ahead.windows(4).position(|four| four == b"\r\n\r\n") {
                break end;
            }
            self.more()?;
        };
        let text: Vec<u8> = self.ahead.drain(..end + 4).collect();
        let text = String::from_utf8_lossy(&text).into_owned();
        let mut lines = text.split("\r\n");
        let first = lines.next().unwrap_or_default().to_owned();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers = headers.map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()));
        Ok(Head {
            first,
            headers: headers.collect(),
        })
    }

    fn exactly(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.ahead.len() < length {
            self.more()?;
        }
        Ok(self.ahead.drain(..length).collect())
    }

    /// The body that belongs to a head; fails where it does not come whole.
    pub fn body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        if head.get("transfer-encoding").is_none() {
            let length = head.get("content-length").and_then(|it| it.parse().ok());
            return self.exactly(length.unwrap_or(0));
        }
        let mut body = Vec::new();
        loop {
            let end = loop {
                if let Some(end) = self.ahead.windows(2).position(|two| two == b"\r\n") {
                    break end;
                }
                self.more()?;
            };
            let line: Vec<u8> = self.ahead.drain(..end + 2).collect();
            let line = String::from_utf8_lossy(&line).trim().to_owned();
            let size = usize::from_str_radix(line.split(';').next().unwrap_or_default(), 16);
            let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            body.extend(self.exactly(size)?);
            self.exactly(2)?;
            if size == 0 {
                return Ok(body);
            }
        }
    }
}

/// One call on a connection of its own: status and body.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    body: &[u8],
    patience: f64,
) -> io::Result<(u16, Vec<u8>)> {
    let mut wire = Wire::connect(to, Duration::from_secs_f64(patience))?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\nConnection: close\r\n\
         Content-Length: {}\r\n\r\n",
        body.len()
    );
    wire.stream.write_all(head.as_bytes())?;
    wire.stream.write_all(body)?;
    let head = wire.head()?;
    let body = wire.body(&head)?;
    Ok((head.status(), body))
}
