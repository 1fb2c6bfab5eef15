//! HTTP/1.1 as the pages have it, no more than the cases need.

use std::collections::HashMap;
use std::io::{self, BufRead};

/// A request or an answer: its first line, its headers by names in small letters, and its body.
pub struct Message {
    pub first: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// The status, of an answer.
    pub fn status(&self) -> u16 {
        let status = self.first.split(' ').nth(1);
        status.and_then(|it| it.parse().ok()).unwrap_or(0)
    }

    /// The path, of a request.
    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }
}

fn ended() -> io::Error {
    io::ErrorKind::UnexpectedEof.into()
}

fn line(from: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    match from.read_line(&mut line)? {
        0 => Err(ended()),
        _ if !line.ends_with('\n') => Err(ended()),
        _ => Ok(line.trim_end().to_owned()),
    }
}

/// The next message's head; its body is empty.
pub fn read_head(from: &mut impl BufRead) -> io::Result<Message> {
    let first = line(from)?;
    let mut headers = HashMap::new();
    loop {
        let line = line(from)?;
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
    Ok(Message {
        first,
        headers,
        body: Vec::new(),
    })
}

/// The body that belongs to a head.
pub fn read_body(from: &mut impl BufRead, head: &Message) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if head.header("transfer-encoding") != "chunked" {
        let length = head.header("content-length").parse().unwrap_or(0);
        body.resize(length, 0);
        from.read_exact(&mut body)?;
        return Ok(body);
    }
    loop {
        let length = usize::from_str_radix(&line(from)?, 16).map_err(|_| ended())?;
        let mut chunk = vec![0; length];
        from.read_exact(&mut chunk)?;
        line(from)?;
        if length == 0 {
            return Ok(body);
        }
        body.extend_from_slice(&chunk);
    }
}

/// The next message, whole.
pub fn read(from: &mut impl BufRead) -> io::Result<Message> {
    let mut message = read_head(from)?;
    message.body = read_body(from, &message)?;
    Ok(message)
}
