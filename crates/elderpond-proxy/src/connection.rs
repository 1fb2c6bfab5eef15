//! Connections to workers, by what may still come on them.
//!
//! A [`Clean`] one carries nothing; sending on it makes it [`Busy`], and only a whole exchange whose answer
//! named its request makes that one [`Idle`], which is all that the pool takes. Whatever else becomes of a
//! busy connection closes it at once, so that a late answer has nowhere to go.

use std::cell::Cell;
use std::error::Error;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use elderpond_forage::{Heard, Millis, Ours, Sent, keeps};
use elderpond_registry::Number;
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::header::HeaderValue;
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper::{Request, Response};
use tokio::task::AbortHandle;
use tokio::time::{Instant, timeout_at};

/// Bytes of an answer that are read ahead.
const AHEAD: usize = 32 << 10;

/// What became of the bytes of requests.
#[derive(Default)]
struct Written {
    /// How many the system has taken.
    bytes: Cell<u64>,
    /// Whether none waits to be taken.
    all: Cell<bool>,
}

/// A connection; it is closed at once where this is dropped, whatever waits to be written.
struct Connection<B> {
    sender: SendRequest<B>,
    worker: Number,
    written: Rc<Written>,
    task: AbortHandle,
    /// The id of the request that it carried last.
    last: Option<HeaderValue>,
}

impl<B> Drop for Connection<B> {
    fn drop(&mut self) {
        // what is aborted is never polled again, and so writes no more
        self.task.abort();
    }
}

/// A connection that carries nothing, and on which nothing can come that is anybody's.
pub struct Clean<B>(Connection<B>);

/// A connection with a request on it.
pub struct Busy<B> {
    connection: Connection<B>,
    kept: bool,
    progress: Progress,
}

/// How much of the request that a connection carries next was sent.
#[derive(Clone)]
pub struct Progress {
    written: Rc<Written>,
    /// Bytes of the requests before it.
    before: u64,
}

impl Progress {
    /// Whether the system has taken any byte of it.
    #[must_use]
    pub fn sent(&self) -> Sent {
        match self.written.bytes.get() == self.before {
            true => Sent::Nothing,
            false => Sent::HeadPartly,
        }
    }
}

/// A connection that is kept for a further request.
pub struct Idle<B> {
    clean: Clean<B>,
    since: Millis,
    keep: Millis,
}

/// A request that got no answer.
pub struct Unanswered<B> {
    /// How much of it may have been sent.
    pub sent: Sent,
    /// What was met instead.
    pub heard: Heard,
    /// Its body, where nothing of it was used.
    pub body: Option<B>,
}

impl<B> Clean<B>
where
    B: Body + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    /// One to a worker, over a socket that is open. `ends` is told when it ends by itself, and whether in
    /// order. Has to run in a [`tokio::task::LocalSet`].
    ///
    /// # Errors
    ///
    /// It ends at once.
    pub async fn new(
        worker: Number,
        io: impl Read + Write + Unpin + 'static,
        ends: impl FnOnce(bool) + 'static,
    ) -> hyper::Result<Self> {
        let written = Rc::<Written>::default();
        let wire = Wire {
            io,
            written: written.clone(),
        };
        let (sender, connection) = Builder::new().max_buf_size(AHEAD).handshake(wire).await?;
        let task = tokio::task::spawn_local(async move {
            // whoever waits on it is told; bytes that nobody asked for are told here alone
            ends(connection.await.is_ok());
        });
        Ok(Self(Connection {
            sender,
            worker,
            written,
            task: task.abort_handle(),
            last: None,
        }))
    }

    /// Whether it carried a request before.
    pub fn is_kept(&self) -> bool {
        self.0.last.is_some()
    }

    /// How much of the next request was sent, now and later.
    pub fn progress(&self) -> Progress {
        Progress {
            written: self.0.written.clone(),
            before: self.0.written.bytes.get(),
        }
    }

    /// Sends a request of this id. The connection is closed where no head of an answer comes in time.
    ///
    /// # Errors
    ///
    /// What came instead, and how much of the request may have reached the worker: exactly none, if so
    /// said, and none will.
    pub async fn send(
        self,
        id: &HeaderValue,
        request: Request<B>,
        until: Instant,
    ) -> Result<(Busy<B>, Response<Incoming>), Unanswered<B>> {
        let mut busy = Busy {
            kept: self.is_kept(),
            progress: self.progress(),
            connection: self.0,
        };
        busy.connection.last = Some(id.clone());
        let answer = busy.connection.sender.try_send_request(request);
        match timeout_at(until, answer).await {
            Ok(Ok(answer)) => Ok((busy, answer)),
            Ok(Err(mut error)) => {
                let closed = error.error().is_incomplete_message();
                let body = error.take_message().map(Request::into_body);
                let heard = match (busy.kept, closed) {
                    (true, _) => Heard::IdleRace,
                    (false, true) => Heard::Closed,
                    (false, false) => Heard::Reset,
                };
                Err(busy.unanswered(heard, body))
            }
            Err(_) => Err(busy.unanswered(Heard::Deadline, None)),
        }
    }
}

impl<B> Busy<B> {
    /// Whether it carried another request before this one.
    pub fn is_kept(&self) -> bool {
        self.kept
    }

    fn unanswered(self, heard: Heard, body: Option<B>) -> Unanswered<B> {
        Unanswered {
            sent: self.close(),
            heard,
            body,
        }
    }

    /// Closes the connection. How much of the request may have been sent; no more of it will be.
    pub fn close(self) -> Sent {
        let progress = self.progress.clone();
        drop(self);
        progress.sent()
    }

    /// The request's answer has come, and names it: the connection, if all is over on it and its answer
    /// lets it be kept for `keep` milliseconds.
    pub fn over(self, _: Ours, heard: Heard, now: Millis, keep: Millis) -> Option<Idle<B>> {
        // neither is any of the request left to be written, nor any of the answer to be read
        let whole = self.connection.sender.is_ready() && self.connection.written.all.get();
        let sent = match whole {
            true => Sent::All,
            false => Sent::BodyPartly,
        };
        keeps(sent, heard).then(|| Idle {
            clean: Clean(self.connection),
            since: now,
            keep,
        })
    }
}

impl<B> Idle<B> {
    /// Where it goes.
    pub fn worker(&self) -> Number {
        self.clean.0.worker
    }

    /// Whether it is open, and was idle for no longer than the worker said and `most` milliseconds.
    pub fn is_fresh(&self, now: Millis, most: Millis) -> bool {
        now < self.since + self.keep.min(most) && !self.clean.0.sender.is_closed()
    }

    /// The connection for a request of this id, if its last one had another: only by the ids can their
    /// answers be told apart.
    pub fn for_request(self, id: &HeaderValue) -> Option<Clean<B>> {
        (self.clean.0.last.as_ref() != Some(id)).then_some(self.clean)
    }
}

/// A worker's socket, which counts what the system takes.
struct Wire<T> {
    io: T,
    written: Rc<Written>,
}

impl<T> Wire<T> {
    fn count(&self, taken: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        // whoever writes has more until it flushes
        self.written.all.set(false);
        if let Poll::Ready(Ok(taken)) = taken {
            let bytes = &self.written.bytes;
            bytes.set(bytes.get() + taken as u64);
        }
        taken
    }
}

impl<T: Read + Unpin> Read for Wire<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_read(cx, buffer)
    }
}

impl<T: Write + Unpin> Write for Wire<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let taken = Pin::new(&mut self.io).poll_write(cx, bytes);
        self.count(taken)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // asked for only once all that waited was taken
        ready!(Pin::new(&mut self.io).poll_flush(cx))?;
        self.written.all.set(true);
        Poll::Ready(Ok(()))
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
        bytes: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let taken = Pin::new(&mut self.io).poll_write_vectored(cx, bytes);
        self.count(taken)
    }
}
