//! A client's socket: notes when a request begins, and has requests that were sent behind the one
//! in hand begun at once; [`hyper`] reads them, and answers in order, as if they had just come.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use hyper::body::Body;
use hyper::header::{CONNECTION, CONTENT_LENGTH, EXPECT, TRANSFER_ENCODING, UPGRADE};
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper::{Method, Request, Version};

use crate::client_connections::{ClientConnection, Stage};
use crate::client_socket::ClientSocket;
use crate::request::begin_early;
use crate::shared::Shared;

/// Headers of a request that is begun before its turn, at most.
const HEADERS: usize = 48;

/// A client's connection, as [`hyper`] reads and writes it.
pub struct ClientStream {
    socket: ClientSocket,
    client: Rc<ClientConnection>,
    shared: Rc<Shared>,
    /// What whoever reads takes for the limit on heads.
    max_header_bytes: usize,
}

impl ClientStream {
    /// One for a connection that has come, to whoever reads heads of up to so many bytes.
    pub fn new(
        socket: ClientSocket,
        client: &Rc<ClientConnection>,
        shared: &Rc<Shared>,
        max_header_bytes: usize,
    ) -> Self {
        Self {
            socket,
            client: client.clone(),
            shared: shared.clone(),
            max_header_bytes,
        }
    }

    /// Whether whoever reads knows the limit on the head that is next, or begins anew with it.
    fn has_limit_of_next_head(&self) -> bool {
        let same = self.client.max_header_bytes(&self.shared) == self.max_header_bytes;
        self.client.wants_other_limits(!same);
        same
    }

    fn note_written(&self, taken: &Poll<io::Result<usize>>) {
        let progressed = matches!(taken, Poll::Ready(Ok(1..)));
        self.client.writes(progressed.then(|| self.shared.now()));
    }

    /// Has requests begun that were sent behind the one in hand, as far as that can be.
    fn begin_behind(&self) {
        let mut heads = self.socket.ahead();
        while self.client.may_begin()
            && let Some(head) = heads.next_whole()
        {
            let fits = head.len() <= self.shared.limits().max_header_bytes;
            let head = fits.then(|| parse(head)).flatten();
            if !head.is_some_and(|head| begin_early(&self.shared, &self.client, head)) {
                return heads.wait();
            }
            heads.begin();
        }
    }

    /// Keeps what comes behind the request in hand.
    fn read_behind(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        loop {
            self.begin_behind();
            match self.socket.poll_fill(cx) {
                Poll::Pending => break,
                Poll::Ready(Ok(0)) if self.socket.ahead().is_empty() => return Poll::Ready(Ok(())),
                Poll::Ready(Ok(0)) => break,
                Poll::Ready(Ok(_)) => {}
                Poll::Ready(Err(error)) => return Poll::Ready(Err(error)),
            }
        }
        self.client.reads_later(cx.waker());
        Poll::Pending
    }
}

impl Read for ClientStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let blind = self.client.is_blind();
        if self.client.stage() == Stage::Busy && !blind {
            return self.read_behind(cx);
        }
        if self.socket.ahead().is_empty() && ready!(self.socket.poll_fill(cx))? == 0 {
            return Poll::Ready(Ok(()));
        }
        if self.client.stage() != Stage::Busy && !self.has_limit_of_next_head() {
            return Poll::Pending;
        }
        self.client.head_begins(self.shared.now());
        let most = buffer.remaining();
        let mut heads = self.socket.ahead();
        match blind {
            true => heads.hand_all(most, |bytes| buffer.put_slice(bytes)),
            false => heads.hand_on(most, |bytes| buffer.put_slice(bytes)),
        }
        Poll::Ready(Ok(()))
    }
}

impl Write for ClientStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let taken = self.socket.poll_write(cx, bytes);
        self.note_written(&taken);
        taken
    }

    /// Is asked for once all that was buffered is written.
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.client.has_written(|| self.shared.now());
        Poll::Ready(Ok(()))
    }

    /// Does nothing: who serves the connection shuts it down once this is dropped.
    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let taken = self.socket.poll_write_vectored(cx, bytes);
        self.note_written(&taken);
        taken
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
