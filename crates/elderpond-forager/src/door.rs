//! A client's socket: notes when a request begins, and has requests that were sent behind the one
//! in hand begun at once; [`hyper`] reads them, and answers in order, as if they had just come.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use elderpond_forage::Heads;
use hyper::body::Body;
use hyper::header::{CONNECTION, CONTENT_LENGTH, EXPECT, TRANSFER_ENCODING, UPGRADE};
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper::{Method, Request, Version};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, ReadBuf};
use tokio::net::TcpStream;

use crate::carry::begin_early;
use crate::guests::{Guest, Stage};
use crate::shared::Shared;

/// Bytes that are read at a time.
const READ: usize = 4 << 10;
/// Headers of a request that is begun before its turn, at most.
const HEADERS: usize = 48;

/// A client's socket.
pub struct Door {
    io: TokioIo<TcpStream>,
    guest: Rc<Guest>,
    shared: Rc<Shared>,
    heads: Heads,
}

impl Door {
    /// One for a connection that has come.
    pub fn new(stream: TcpStream, guest: &Rc<Guest>, shared: &Rc<Shared>) -> Self {
        Self {
            io: TokioIo::new(stream),
            guest: guest.clone(),
            shared: shared.clone(),
            heads: Heads::default(),
        }
    }

    /// The socket.
    pub fn into_inner(self) -> TcpStream {
        self.io.into_inner()
    }

    /// Reads what has come; how many bytes, 0 at the end.
    fn fill(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let mut bytes = [0; READ];
        let most = self.heads.room().min(READ);
        let mut read = ReadBuf::new(&mut bytes[..most]);
        ready!(Pin::new(self.io.inner_mut()).poll_read(cx, &mut read))?;
        self.heads.add(read.filled());
        Poll::Ready(Ok(read.filled().len()))
    }

    /// Keeps what comes behind the request in hand, and has begun what can be.
    fn read_behind(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        loop {
            while self.guest.may_begin()
                && let Some(head) = self.heads.next_whole()
            {
                let fits = head.len() <= self.shared.limits().max_header_bytes;
                let head = fits.then(|| parse(head)).flatten();
                if !head.is_some_and(|head| begin_early(&self.shared, &self.guest, head)) {
                    self.heads.wait();
                    break;
                }
                self.heads.begin();
            }
            if self.heads.room() == 0 {
                break;
            }
            match self.fill(cx) {
                Poll::Pending => break,
                Poll::Ready(Ok(0)) if self.heads.is_empty() => return Poll::Ready(Ok(())),
                Poll::Ready(Ok(0)) => break,
                Poll::Ready(Ok(_)) => {}
                Poll::Ready(Err(error)) => return Poll::Ready(Err(error)),
            }
        }
        self.guest.reads_later(cx.waker());
        Poll::Pending
    }
}

impl Read for Door {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let blind = self.guest.is_blind();
        if self.guest.stage() == Stage::Busy && !blind {
            return self.read_behind(cx);
        }
        if self.heads.is_empty() {
            if blind {
                let read = Pin::new(&mut self.io).poll_read(cx, buffer);
                if read.is_ready() {
                    self.guest.head_begins(self.shared.now());
                }
                return read;
            }
            ready!(self.fill(cx))?;
        }
        self.guest.head_begins(self.shared.now());
        let most = buffer.remaining();
        match blind {
            true => self.heads.hand_all(most, |bytes| buffer.put_slice(bytes)),
            false => self.heads.hand_on(most, |bytes| buffer.put_slice(bytes)),
        }
        Poll::Ready(Ok(()))
    }
}

impl Write for Door {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write_vectored(cx, bytes)
    }
}

/// Whether a request is no more than its head, changes nothing and leaves its connection open: only
/// then is it known where the next begins, and only then may that be begun before this is over.
pub fn is_bare<B: Body>(request: &Request<B>) -> bool {
    request.body().is_end_stream()
        && request.method().is_safe()
        && request.version() == Version::HTTP_11
        && is_plain(request.headers())
}

fn is_plain(headers: &HeaderMap) -> bool {
    ![CONTENT_LENGTH, TRANSFER_ENCODING, UPGRADE, EXPECT]
        .iter()
        .any(|name| headers.contains_key(name))
        && (headers.get_all(CONNECTION).iter())
            .all(|value| value.as_bytes().eq_ignore_ascii_case(b"keep-alive"))
}

/// A head of a request as [`hyper`] will read it, if that is all of the request.
fn parse(head: &[u8]) -> Option<Request<()>> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS];
    let mut read = httparse::Request::new(&mut headers);
    if read.parse(head) != Ok(httparse::Status::Complete(head.len())) || read.version != Some(1) {
        return None;
    }
    let mut request = Request::new(());
    *request.method_mut() = Method::from_bytes(read.method?.as_bytes()).ok()?;
    *request.uri_mut() = read.path?.parse().ok()?;
    for header in read.headers.iter() {
        let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
        let value = HeaderValue::from_bytes(header.value).ok()?;
        request.headers_mut().append(name, value);
    }
    (request.method().is_safe() && is_plain(request.headers())).then_some(request)
}
