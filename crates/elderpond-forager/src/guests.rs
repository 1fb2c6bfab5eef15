//! Clients' connections: how many there are, what each waits for, and for how long it may.
//!
//! Times are looked at by one task for all, so that a request costs no timer of its own.

use std::cell::{Cell, RefCell};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use elderpond_flora::Limits;
use elderpond_forage::Millis;
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::Notify;

use crate::rooms::Taken;
use crate::shared::Shared;

/// What a connection waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// The first byte of a request.
    Idle,
    /// The rest of a request's head.
    Head,
    /// An answer.
    Busy,
    /// Its end.
    Over,
}

/// One connection of a client.
pub struct Guest {
    stage: Cell<Stage>,
    /// When the stage is over at the latest; or, where that follows from the limits, when it began.
    time: Cell<Millis>,
    cut: Cell<bool>,
    end: Notify,
    /// Room for the request in hand.
    room: RefCell<Option<Taken>>,
}

impl Guest {
    /// Waits until the connection is to end; whether that is at once, whatever it is at.
    pub async fn told_to_end(&self) -> bool {
        self.end.notified().await;
        self.cut.get()
    }

    fn end(&self, now: Millis, cut: bool) {
        self.go(Stage::Over, now + ENDING);
        self.cut.set(cut);
        self.end.notify_one();
    }

    fn go(&self, stage: Stage, time: Millis) {
        self.stage.set(stage);
        self.time.set(time);
    }

    /// Holds room until the request in hand is answered.
    pub fn holds(&self, room: Taken) {
        self.room.replace(Some(room));
    }

    /// The request in hand is over by `time`, with what it takes to write the answer.
    pub fn until(&self, time: Millis) {
        self.time.set(time + ENDING);
    }
}

/// Milliseconds that an answer or the end of a connection may still take when its time is over.
const ENDING: Millis = 2000;
/// Milliseconds that a request may be in hand for which no deadline is known yet.
const LONGEST: Millis = 660_000;

/// All connections of clients.
pub struct Guests {
    all: RefCell<Vec<Rc<Guest>>>,
    most: usize,
    left: Notify,
}

impl Guests {
    /// At most `most` at a time.
    pub fn new(most: usize) -> Self {
        Self {
            all: RefCell::default(),
            most,
            left: Notify::new(),
        }
    }

    /// Waits until there is room for one more; the one that is idle for the longest makes it.
    pub async fn room(&self, now: Millis) {
        // those that are told to go take a while: a part is kept free for them
        if self.all.borrow().len() >= self.most - self.most / 8 {
            let all = self.all.borrow();
            let idle = all.iter().filter(|guest| guest.stage.get() == Stage::Idle);
            if let Some(oldest) = idle.min_by_key(|guest| guest.time.get()) {
                oldest.end(now, false);
            }
        }
        while self.all.borrow().len() >= self.most {
            self.left.notified().await;
        }
    }

    /// Lets one in.
    pub fn enter(&self, now: Millis) -> Rc<Guest> {
        let guest = Rc::new(Guest {
            stage: Cell::new(Stage::Idle),
            time: Cell::new(now),
            cut: Cell::new(false),
            end: Notify::new(),
            room: RefCell::default(),
        });
        self.all.borrow_mut().push(guest.clone());
        guest
    }

    /// One has gone.
    pub fn leave(&self, guest: &Rc<Guest>) {
        let mut all = self.all.borrow_mut();
        if let Some(at) = all.iter().position(|other| Rc::ptr_eq(other, guest)) {
            all.swap_remove(at);
        }
        self.left.notify_one();
    }

    /// Ends those that were idle, or within a head, for too long. Returns milliseconds after which
    /// it is to be asked again.
    pub fn sweep(&self, now: Millis, limits: &Limits) -> Millis {
        let head = (limits.header_timeout_s * 1000.0) as Millis;
        let idle = (limits.idle_timeout_s * 1000.0) as Millis;
        for guest in self.all.borrow().iter() {
            let time = guest.time.get();
            match guest.stage.get() {
                Stage::Idle if now >= time + idle => guest.end(now, false),
                Stage::Head if now >= time + head => guest.end(now, true),
                Stage::Busy | Stage::Over if now >= time => guest.end(now, true),
                _ => {}
            }
        }
        (head.min(idle) / 4).clamp(20, 500)
    }
}

/// A request of a client is in hand on its connection, until this is dropped.
pub struct Turn {
    shared: Rc<Shared>,
    /// The connection.
    pub guest: Rc<Guest>,
}

impl Turn {
    /// A request's head has come.
    pub fn new(shared: &Rc<Shared>, guest: &Rc<Guest>) -> Self {
        guest.go(Stage::Busy, shared.now() + LONGEST);
        Self {
            shared: shared.clone(),
            guest: guest.clone(),
        }
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        self.guest.room.replace(None);
        if self.guest.stage.get() == Stage::Busy {
            self.guest.go(Stage::Idle, self.shared.now());
        }
    }
}

/// A client's socket, which notes when a request begins.
pub struct Door {
    /// The socket.
    pub io: TokioIo<TcpStream>,
    /// Its connection.
    pub guest: Rc<Guest>,
    /// For the time.
    pub shared: Rc<Shared>,
}

impl Read for Door {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<std::io::Result<()>> {
        let read = Pin::new(&mut self.io).poll_read(cx, buffer);
        if read.is_ready() && self.guest.stage.get() == Stage::Idle {
            self.guest.go(Stage::Head, self.shared.now());
        }
        read
    }
}

impl Write for Door {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.io).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.io).poll_write_vectored(cx, bytes)
    }
}
