//! A client's socket: read ahead within a bound, so that its end is noticed whatever else waits.

use std::cell::{Cell, RefCell, RefMut};
use std::io::{self, IoSlice, Read};
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use elderpond_forage::Heads;
use socket2::SockRef;
use tokio::io::{Interest, ReadBuf};
use tokio::net::TcpStream;

/// Bytes that are read at a time, at most.
const READ: usize = 16 << 10;

/// A client's socket; clones are of the same one.
#[derive(Clone, Debug)]
pub struct ClientSocket(Rc<Inner>);

#[derive(Debug)]
struct Inner {
    stream: TcpStream,
    /// What was read and not handed on yet.
    ahead: Rc<RefCell<Heads>>,
    /// Whether all that the client will ever send was read.
    ended: Cell<bool>,
}

impl ClientSocket {
    /// Of a connection that was accepted; what is read ahead goes to `ahead`.
    pub fn new(stream: TcpStream, ahead: Rc<RefCell<Heads>>) -> Self {
        Self(Rc::new(Inner {
            stream,
            ahead,
            ended: Cell::new(false),
        }))
    }

    /// The socket itself, if this is the last clone of it; what was read ahead is dropped.
    #[must_use]
    pub fn into_stream(self) -> Option<TcpStream> {
        Rc::into_inner(self.0).map(|inner| inner.stream)
    }

    /// What was read and not handed on yet.
    pub fn ahead(&self) -> RefMut<'_, Heads> {
        self.0.ahead.borrow_mut()
    }

    /// Reads on, as far as there is room.
    ///
    /// Ready with the number of bytes that came, 0 at the end; pending while there are
    /// none, and where there is no room.
    ///
    /// # Errors
    ///
    /// The client has reset the connection.
    pub fn poll_fill(&self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        if self.0.ended.get() {
            return Poll::Ready(Ok(0));
        }
        let mut ahead = self.ahead();
        let most = ahead.room().min(READ);
        if most == 0 {
            return Poll::Pending;
        }
        let stream = &self.0.stream;
        loop {
            ready!(stream.poll_read_ready(cx))?;
            let mut bytes = [0; READ];
            let mut buffer = ReadBuf::new(&mut bytes[..most]);
            // read until there is nothing, also after a short read: the end may stand behind it, and not each
            // system tells of that
            match stream.try_read_buf(&mut buffer) {
                Ok(count) => {
                    ahead.add(buffer.filled());
                    self.0.ended.set(count == 0);
                    return Poll::Ready(Ok(count));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }

    /// Reads what the system has, also where the runtime was not told of it yet; how many bytes came, 0
    /// also at the end.
    pub fn fill_now(&self) -> usize {
        let mut ahead = self.ahead();
        let mut bytes = [0; READ];
        let most = ahead.room().min(READ);
        let socket = SockRef::from(&self.0.stream);
        let count = (&*socket).read(&mut bytes[..most]).unwrap_or(0);
        ahead.add(&bytes[..count]);
        count
    }

    /// Waits until the client has closed its side of the connection or reset it. What it
    /// sent before that is read ahead meanwhile.
    pub async fn closed_by_peer(&self) {
        let read_to_the_end = std::future::poll_fn(|cx| {
            loop {
                match ready!(self.poll_fill(cx)) {
                    Ok(0) | Err(_) => return Poll::Ready(()),
                    Ok(_) => {}
                }
            }
        });
        // where there is no room to read on, the system may still tell
        tokio::select! {
            biased;
            () = read_to_the_end => {}
            () = self.told_closed() => {}
        }
    }

    /// Waits until the system tells that the client has closed its side, which not each does.
    async fn told_closed(&self) {
        let stream = &self.0.stream;
        // an interest in urgent data is told of the end of the stream too, and of no ordinary bytes
        while let Ok(ready) = stream.ready(Interest::PRIORITY).await {
            if ready.is_read_closed() {
                return;
            }
            // urgent data, which nobody reads: wait for the next event
            let _ = stream.try_io(Interest::PRIORITY, || Err::<(), _>(would_block()));
        }
    }

    /// Writes bytes; how many were taken.
    ///
    /// # Errors
    ///
    /// The connection is gone.
    pub fn poll_write(&self, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_write_with(cx, |stream| stream.try_write(bytes))
    }

    /// Writes bytes of several buffers; how many were taken.
    ///
    /// # Errors
    ///
    /// The connection is gone.
    pub fn poll_write_vectored(
        &self,
        cx: &mut Context<'_>,
        bytes: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(cx, |stream| stream.try_write_vectored(bytes))
    }

    fn poll_write_with(
        &self,
        cx: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.stream.poll_write_ready(cx))?;
            match write(&self.0.stream) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                outcome => return Poll::Ready(outcome),
            }
        }
    }
}

fn would_block() -> io::Error {
    io::ErrorKind::WouldBlock.into()
}
