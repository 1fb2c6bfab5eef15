//! Clients' connections: how many there are, what each waits for, and for how long it may.
//!
//! Times are looked at by one task for all, so that a request costs no timer of its own.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::task::Waker;
use std::time::Duration;

use elderpond_flora::Limits;
use elderpond_forage::{Heads, Millis};
use hyper::{Request, Response};
use tokio::sync::{Notify, oneshot};
use tokio::time::timeout;

use crate::body::OutgoingBody;
use crate::client_departure::ClientDeparture;
use crate::connection_end::ConnectionEnd;
use crate::pipeline::Pipeline;
use crate::rooms::Taken;
use crate::shared::Shared;

/// What a connection waits for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Stage {
    /// The first byte of a request.
    #[default]
    Idle,
    /// The rest of a request's head.
    Head,
    /// An answer.
    Busy,
}

/// One connection of a client.
#[derive(Default)]
pub struct ClientConnection {
    stage: Cell<Stage>,
    /// When the stage is over at the latest; or, where that follows from the limits, when it began.
    time: Cell<Millis>,
    /// Whether something of an answer waits to be taken by the system.
    writing: Cell<bool>,
    end: Cell<Option<ConnectionEnd>>,
    told_to_end: Notify,
    /// Room for the request in hand.
    room: RefCell<Option<Taken>>,
    /// Whether a request came that was more than a head, so that it is not known any more where
    /// the next one begins.
    blind: Cell<bool>,
    /// Whether the answer that is written is the last one, as it says itself.
    last_answer: Cell<bool>,
    /// Whether what the request in hand asks for lets others be begun beside it.
    lets_begin: Cell<bool>,
    /// Whether the next head is judged by another limit than whoever reads it knows.
    wants_other_limits: Cell<bool>,
    /// Requests begun while the one before them is in hand, in order.
    begun: RefCell<VecDeque<Begun>>,
    /// None is begun any more.
    none_begun: Notify,
    reader: RefCell<Option<Waker>>,
    /// What was read of it and not handed on yet.
    pub unread: Rc<RefCell<Heads>>,
    /// Whether no more requests of it are served.
    served: Cell<bool>,
    /// Whether the client has left.
    pub departure: Rc<ClientDeparture>,
    /// The requests that were begun, in their order.
    pub pipeline: Rc<Pipeline>,
}

/// A request that was begun before it is its turn to be answered.
pub struct Begun {
    /// Its head.
    pub head: Request<()>,
    /// The limit on heads by which it was judged.
    pub max_header_bytes: usize,
    /// Stands for its connection until then.
    pub client: Rc<ClientConnection>,
    /// Is told the answer.
    pub told: oneshot::Receiver<Response<OutgoingBody>>,
}

/// Requests begun at a time on one connection, beside the one in hand.
const BEGUN: usize = 8;

impl ClientConnection {
    /// Stands for this connection while a request on it is begun before its turn.
    pub fn aside(&self) -> Self {
        Self {
            departure: self.departure.clone(),
            pipeline: self.pipeline.clone(),
            ..Self::default()
        }
    }

    /// Whether something has come that was not handed on yet.
    pub fn has_unread(&self) -> bool {
        !self.unread.borrow().is_empty()
    }

    /// Bytes that the next head may have: by the version in force, or by the one under which its request was
    /// begun before its turn.
    pub fn max_header_bytes(&self, shared: &Shared) -> usize {
        let begun = self.begun.borrow();
        (begun.front()).map_or_else(
            || shared.limits().max_header_bytes,
            |next| next.max_header_bytes,
        )
    }

    /// Whether the next head is judged by another limit than whoever reads it knows.
    pub fn wants_other_limits(&self, so: bool) {
        self.wants_other_limits.set(so);
    }

    /// Whether whoever reads heads is to begin anew with other limits, and may: no request is in hand, and no
    /// byte of an answer is left.
    pub fn may_take_up_limits(&self) -> bool {
        self.wants_other_limits.get() && self.stage.get() != Stage::Busy && !self.writing.get()
    }

    /// What it waits for.
    pub fn stage(&self) -> Stage {
        self.stage.get()
    }

    /// The first bytes of a request have come.
    pub fn head_begins(&self, now: Millis) {
        if self.stage.get() == Stage::Idle {
            self.go(Stage::Head, now);
        }
    }

    /// An answer is written; bytes of it were taken by the system now, if that is told.
    pub fn writes(&self, taken: Option<Millis>) {
        self.writing.set(true);
        if let Some(now) = taken {
            self.is_silent_since(now);
        }
    }

    /// The system has taken all that was written.
    pub fn has_written(&self, now: impl FnOnce() -> Millis) {
        if self.writing.replace(false) {
            self.is_silent_since(now());
        }
    }

    /// An idle connection was so for no longer than since `now`.
    fn is_silent_since(&self, now: Millis) {
        if self.stage.get() == Stage::Idle {
            self.time.set(now);
        }
    }

    /// Whether nothing is due on it, in either direction.
    pub fn is_quiet(&self) -> bool {
        self.stage.get() == Stage::Idle && !self.writing.get()
    }

    /// Whether it is not known where requests begin.
    pub fn is_blind(&self) -> bool {
        self.blind.get()
    }

    /// Whether what the request in hand asks for lets others be begun beside it.
    pub fn lets_begin(&self, so: bool) {
        self.lets_begin.set(so);
        self.wake();
    }

    fn wake(&self) {
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
    }

    /// Whether one more request may be begun before its turn.
    pub fn may_begin(&self) -> bool {
        self.lets_begin.get()
            && !self.last_answer.get()
            && self.pipeline.may_begin_behind()
            && self.begun.borrow().len() < BEGUN
    }

    /// The answer that is written from now on says that it is the last one: nothing behind it is answered.
    pub fn gives_last_answer(&self) {
        self.last_answer.set(true);
    }

    /// A request was begun before its turn.
    pub fn begins(&self, begun: Begun) {
        self.begun.borrow_mut().push_back(begun);
    }

    /// It is this request's turn: who is told its answer, if it was begun.
    pub fn claims<T>(
        &self,
        request: &Request<T>,
    ) -> Option<oneshot::Receiver<Response<OutgoingBody>>> {
        let mut all = self.begun.borrow_mut();
        let begun = all.pop_front()?;
        let same = begun.head.method() == request.method()
            && begun.head.uri() == request.uri()
            && begun.head.headers() == request.headers();
        if !same {
            all.clear();
        }
        if all.is_empty() {
            self.none_begun.notify_one();
        }
        if same && begun.client.time.get() > 0 {
            self.time.set(begun.client.time.get());
        }
        if same {
            self.room.replace(begun.client.room.take());
        }
        self.lets_begin.set(same);
        same.then_some(begun.told)
    }

    /// Whether requests are begun whose turn has not come.
    pub fn has_begun(&self) -> bool {
        !self.begun.borrow().is_empty()
    }

    /// Waits until there is none.
    pub async fn begun_none(&self) {
        while self.has_begun() {
            self.none_begun.notified().await;
        }
    }

    /// Wakes who reads when the request in hand is over.
    pub fn reads_later(&self, reader: &Waker) {
        *self.reader.borrow_mut() = Some(reader.clone());
    }

    /// Waits until the connection is to end, and why.
    pub async fn told_to_end(&self) -> ConnectionEnd {
        loop {
            self.told_to_end.notified().await;
            if let Some(end) = self.end.take() {
                return end;
            }
        }
    }

    fn tell_to_end(&self, end: ConnectionEnd) {
        self.end.set(Some(end));
        self.told_to_end.notify_one();
    }

    fn go(&self, stage: Stage, time: Millis) {
        self.stage.set(stage);
        self.time.set(time);
    }

    /// Holds room until the request in hand is answered.
    pub fn holds(&self, room: Taken) {
        self.room.replace(Some(room));
    }

    /// When all requests in hand, and those begun behind them, are over at the latest.
    fn answered_by(&self) -> Millis {
        let begun = self.begun.borrow();
        let behind = begun.iter().map(|begun| begun.client.time.get());
        behind.fold(self.time.get(), Millis::max)
    }

    /// The request in hand is over by `time`, with what it takes to write the answer.
    pub fn until(&self, time: Millis) {
        self.time.set(time + ENDING);
    }
}

/// Milliseconds that an answer may still take when its time is over.
const ENDING: Millis = 2000;
/// Milliseconds that a request may be in hand for which no deadline is known yet.
const LONGEST: Millis = 660_000;

/// How often room is looked for while there is none.
const ROOM_AGAIN: Duration = Duration::from_millis(20);

/// All connections of clients.
pub struct ClientConnections {
    all: RefCell<Vec<Rc<ClientConnection>>>,
    most: usize,
    /// One is not served any more, or gone.
    changed: Notify,
}

impl ClientConnections {
    /// At most `most` at a time.
    pub fn new(most: usize) -> Self {
        Self {
            all: RefCell::default(),
            most,
            changed: Notify::new(),
        }
    }

    /// Waits until there is room for one more; the one that is idle for the longest makes it.
    pub async fn room(&self) {
        // those that are told to go take a while: a part is kept free for them
        if self.all.borrow().len() >= self.most - self.most / 8 {
            self.end_longest_idle();
        }
        while !self.has_room() {
            // who was told may have got a request since, and another may be idle by now
            if timeout(ROOM_AGAIN, self.changed.notified()).await.is_err() {
                self.end_longest_idle();
            }
        }
    }

    /// Whether there is room for one more.
    pub fn has_room(&self) -> bool {
        self.all.borrow().len() < self.most
    }

    fn end_longest_idle(&self) {
        let all = self.all.borrow();
        let idle = all
            .iter()
            .filter(|client| client.is_quiet() && client.end.get().is_none());
        if let Some(longest) = idle.min_by_key(|client| client.time.get()) {
            longest.tell_to_end(ConnectionEnd::Room);
        }
    }

    /// No more requests of one are served: what is left to it is its end.
    pub fn served(&self, client: &ClientConnection) {
        client.served.set(true);
        self.changed.notify_one();
    }

    /// Waits until none is served any more.
    pub async fn all_served(&self) {
        while self.all.borrow().iter().any(|client| !client.served.get()) {
            self.changed.notified().await;
        }
    }

    /// Waits until all are gone.
    pub async fn all_left(&self) {
        while !self.all.borrow().is_empty() {
            self.changed.notified().await;
        }
    }

    /// Lets one in.
    pub fn enter(&self, now: Millis) -> Rc<ClientConnection> {
        let client = Rc::new(ClientConnection {
            time: Cell::new(now),
            ..ClientConnection::default()
        });
        self.all.borrow_mut().push(client.clone());
        client
    }

    /// One has gone.
    pub fn leave(&self, now: Millis, client: &Rc<ClientConnection>) {
        client.departure.happens(now);
        let mut all = self.all.borrow_mut();
        if let Some(at) = all.iter().position(|other| Rc::ptr_eq(other, client)) {
            all.swap_remove(at);
        }
        client.begun.borrow_mut().clear();
        self.changed.notify_one();
    }

    /// The process stood still for so many milliseconds, which are no client's silence.
    pub fn forgive(&self, still: Millis) {
        for client in self.all.borrow().iter() {
            if matches!(client.stage.get(), Stage::Idle | Stage::Head) {
                client.time.set(client.time.get() + still);
            }
        }
    }

    /// Ends those that were idle, or within a head, for too long. Returns milliseconds after which
    /// it is to be asked again.
    pub fn sweep(&self, now: Millis, limits: &Limits) -> Millis {
        let head = (limits.header_timeout_s * 1000.0) as Millis;
        let idle = (limits.idle_timeout_s * 1000.0) as Millis;
        for client in self.all.borrow().iter() {
            let time = client.time.get();
            match client.stage.get() {
                Stage::Idle if now >= time + idle => {
                    client.tell_to_end(match client.writing.get() {
                        true => ConnectionEnd::Overdue,
                        false => ConnectionEnd::Idle,
                    })
                }
                Stage::Head if now >= time + head => client.tell_to_end(ConnectionEnd::Overdue),
                Stage::Busy if now >= client.answered_by() => {
                    client.tell_to_end(ConnectionEnd::Overdue)
                }
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
    pub client: Rc<ClientConnection>,
}

impl Turn {
    /// A request's head has come, and whether that is all of it.
    pub fn new(shared: &Rc<Shared>, client: &Rc<ClientConnection>, bare: bool) -> Self {
        if !bare {
            client.blind.set(true);
        }
        client.lets_begin.set(false);
        client.go(Stage::Busy, shared.now() + LONGEST);
        Self {
            shared: shared.clone(),
            client: client.clone(),
        }
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        self.client.room.replace(None);
        if self.client.stage.get() == Stage::Busy {
            self.client.go(Stage::Idle, self.shared.now());
        }
        self.client.wake();
    }
}
