//! Answers of HTTP/1.1 as they come on a connection, byte by byte.

use std::io;
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncReadExt};
use tokio::time::sleep;

/// Bytes that an answer may have.
const MOST: usize = 4 << 20;
/// Bytes that a slow reader takes at a time, and how long it rests then.
const SIP: usize = 256;
const REST: Duration = Duration::from_millis(5);

/// An answer, whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Its status.
    pub status: u16,
    /// Its headers, by names in lower case.
    pub headers: Vec<(String, String)>,
    /// Its body.
    pub body: Vec<u8>,
}

impl Answer {
    /// A header, by its name in lower case.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Whether its sender ends the connection after it.
    #[must_use]
    pub fn ends_connection(&self) -> bool {
        self.header("connection")
            .is_some_and(|it| it.eq_ignore_ascii_case("close"))
    }
}

/// What of a connection was read ahead.
#[derive(Debug, Default)]
pub struct ResponseReader {
    ahead: Vec<u8>,
    /// Whether to read slowly.
    pub slow: bool,
}

impl ResponseReader {
    /// Whether bytes were read that no answer has taken.
    #[must_use]
    pub fn has_more(&self) -> bool {
        !self.ahead.is_empty()
    }

    /// Reads on; fails at the end of the connection.
    async fn fill(&mut self, from: &mut (impl AsyncRead + Unpin)) -> io::Result<()> {
        if self.ahead.len() > MOST {
            return Err(io::Error::other("an answer without end"));
        }
        let mut bytes = [0; 16 << 10];
        let most = if self.slow { SIP } else { bytes.len() };
        let count = from.read(&mut bytes[..most]).await?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.ahead.extend_from_slice(&bytes[..count]);
        if self.slow {
            sleep(REST).await;
        }
        Ok(())
    }

    async fn line(&mut self, from: &mut (impl AsyncRead + Unpin)) -> io::Result<String> {
        loop {
            if let Some(end) = self.ahead.windows(2).position(|two| two == b"\r\n") {
                let line: Vec<u8> = self.ahead.drain(..end + 2).take(end).collect();
                return String::from_utf8(line).map_err(io::Error::other);
            }
            self.fill(from).await?;
        }
    }

    async fn take(
        &mut self,
        from: &mut (impl AsyncRead + Unpin),
        count: usize,
    ) -> io::Result<Vec<u8>> {
        while self.ahead.len() < count {
            self.fill(from).await?;
        }
        Ok(self.ahead.drain(..count).collect())
    }

    /// The next answer; interim ones are left out.
    ///
    /// # Errors
    ///
    /// The connection ends before the answer does, or what comes is none.
    pub async fn next(&mut self, from: &mut (impl AsyncRead + Unpin)) -> io::Result<Answer> {
        loop {
            let answer = self.next_of_any_kind(from).await?;
            if answer.status >= 200 {
                return Ok(answer);
            }
        }
    }

    async fn next_of_any_kind(
        &mut self,
        from: &mut (impl AsyncRead + Unpin),
    ) -> io::Result<Answer> {
        let first = self.line(from).await?;
        let status = first.strip_prefix("HTTP/1.1 ").and_then(|it| it.get(..3));
        let status = status.and_then(|it| it.parse().ok());
        let status = status.ok_or_else(|| io::Error::other(format!("no answer: {first}")))?;
        let mut answer = Answer {
            status,
            headers: Vec::new(),
            body: Vec::new(),
        };
        loop {
            let line = self.line(from).await?;
            let Some((name, value)) = line.split_once(':') else {
                break;
            };
            let header = (name.to_ascii_lowercase(), value.trim().to_owned());
            answer.headers.push(header);
        }
        if answer.header("transfer-encoding").is_some() {
            answer.body = self.chunks(from).await?;
        } else if let Some(length) = answer.header("content-length") {
            let length = length.parse().map_err(io::Error::other)?;
            answer.body = self.take(from, length).await?;
        }
        Ok(answer)
    }

    async fn chunks(&mut self, from: &mut (impl AsyncRead + Unpin)) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let size = self.line(from).await?;
            let size = usize::from_str_radix(size.trim(), 16).map_err(io::Error::other)?;
            body.extend(self.take(from, size).await?);
            self.line(from).await?;
            if size == 0 {
                return Ok(body);
            }
        }
    }
}
