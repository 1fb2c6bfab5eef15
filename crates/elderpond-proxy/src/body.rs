//! Bodies on their way, in either direction.
//!
//! Small ones are held whole, so that a request can go to another worker and a broken answer is
//! never begun. Larger ones flow: what is read is written on, no faster than it is taken.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::time::Sleep;

use crate::client_connections::Turn;
use crate::exchange::Tail;
use crate::rooms::Taken;

/// Bytes of a body that is held whole, at most.
pub const HELD: u64 = 256 << 10;
/// Bytes that a piece of a body takes beside its own.
pub const PIECE: usize = 256;

/// What has come of a body.
pub struct Load {
    /// The pieces.
    pub pieces: VecDeque<Bytes>,
    /// Their bytes.
    pub bytes: u64,
    /// The memory that they take.
    pub hold: Taken,
    /// Whether that is all of it.
    pub whole: bool,
}

/// Why a body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unread {
    /// It is longer than allowed.
    Long,
    /// It broke off.
    Cut,
}

/// Reads a body into `hold` until it is whole, or found to be longer than `held` says at that moment or than
/// there is memory for; at most `most` bytes are allowed.
///
/// # Errors
///
/// It is too long, or broke off.
pub async fn load(
    body: &mut Incoming,
    hold: Taken,
    held: impl Fn() -> u64,
    most: u64,
) -> Result<Load, Unread> {
    let mut load = Load {
        pieces: VecDeque::new(),
        bytes: 0,
        hold,
        whole: body.is_end_stream(),
    };
    let told = body.size_hint().lower();
    if told > most {
        return Err(Unread::Long);
    }
    if told > held() {
        return Ok(load);
    }
    while !load.whole && load.bytes <= held() && load.hold.may_grow(PIECE) {
        let Some(frame) = body.frame().await else {
            load.whole = true;
            break;
        };
        if let Ok(piece) = frame.map_err(|_| Unread::Cut)?.into_data() {
            load.hold.add(piece.len() + PIECE);
            load.bytes += piece.len() as u64;
            if load.bytes > most {
                return Err(Unread::Long);
            }
            load.pieces.push_back(piece);
            load.whole = body.is_end_stream();
        }
    }
    Ok(load)
}

/// A body that is sent.
#[derive(Default)]
pub struct OutgoingBody {
    ahead: VecDeque<Bytes>,
    flow: Option<Box<Flow>>,
    /// Bytes still to be sent, where that is known.
    left: Option<u64>,
    hold: Option<Rc<Taken>>,
    turn: Option<Turn>,
}

/// The rest of a body that is not held.
pub struct Flow {
    /// Where it comes from.
    pub rest: Incoming,
    /// When it has to be over.
    pub until: Pin<Box<Sleep>>,
    /// Bytes that may still come.
    pub most: u64,
    /// Set when it breaks off: whether that is for its length.
    pub broke: Rc<Cell<Option<bool>>>,
    /// What is to be done at the end of an answer.
    pub tail: Option<Tail>,
}

/// A body that breaks off; whoever gets it must see that.
#[derive(Debug, thiserror::Error)]
pub enum Broken {
    /// It did not come whole.
    #[error("a body broke off: {0}")]
    Off(#[from] hyper::Error),
    /// Its time is over.
    #[error("out of time within a body")]
    Late,
    /// It is longer than allowed.
    #[error("a body over the bound")]
    Long,
}

impl OutgoingBody {
    /// Bytes of it that are held here.
    pub fn held(&self) -> usize {
        self.ahead.iter().map(Bytes::len).sum()
    }

    /// A body that is there whole.
    pub fn whole(pieces: VecDeque<Bytes>, hold: Option<Rc<Taken>>) -> Self {
        let left = pieces.iter().map(|piece| piece.len() as u64).sum();
        Self {
            ahead: pieces,
            left: Some(left),
            hold,
            ..Self::default()
        }
    }

    /// A body of which a part has come, and the rest follows.
    pub fn flowing(load: Load, flow: Flow) -> Self {
        let rest = flow.rest.size_hint().exact();
        Self {
            left: rest.map(|rest| rest + load.bytes),
            ahead: load.pieces,
            flow: Some(Box::new(flow)),
            hold: Some(Rc::new(load.hold)),
            turn: None,
        }
    }

    /// The answer to a request: what is in hand is so until it is sent.
    pub fn of(mut self, turn: Turn) -> Self {
        self.turn = Some(turn);
        self
    }
}

impl From<&'static str> for OutgoingBody {
    fn from(text: &'static str) -> Self {
        Self::whole([Bytes::from_static(text.as_bytes())].into(), None)
    }
}

impl Body for OutgoingBody {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        let this = &mut *self;
        if let Some(piece) = this.ahead.pop_front() {
            if let Some(left) = &mut this.left {
                *left = left.saturating_sub(piece.len() as u64);
            }
            return Poll::Ready(Some(Ok(Frame::data(piece))));
        }
        this.hold = None;
        let Some(flow) = &mut this.flow else {
            return Poll::Ready(None);
        };
        match flow.poll(cx) {
            Poll::Ready(Some(Ok(piece))) => {
                if let Some(left) = &mut this.left {
                    *left = left.saturating_sub(piece.len() as u64);
                }
                // who writes a length does not ask for what follows the last byte
                if flow.rest.is_end_stream() {
                    if let Some(tail) = flow.tail.take() {
                        tail.whole();
                    }
                    this.flow = None;
                }
                Poll::Ready(Some(Ok(Frame::data(piece))))
            }
            Poll::Ready(Some(Err(broken))) => {
                flow.broke.set(Some(matches!(broken, Broken::Long)));
                if let Some(tail) = flow.tail.take() {
                    tail.broken(&broken);
                }
                this.flow = None;
                Poll::Ready(Some(Err(broken)))
            }
            Poll::Ready(None) => {
                if let Some(tail) = flow.tail.take() {
                    tail.whole();
                }
                this.flow = None;
                Poll::Ready(None)
            }
            Poll::Pending => Poll::Pending,
        }
    }

    fn is_end_stream(&self) -> bool {
        self.flow.is_none() && self.ahead.iter().all(Bytes::is_empty)
    }

    fn size_hint(&self) -> SizeHint {
        self.left.map_or_else(SizeHint::new, SizeHint::with_exact)
    }
}

impl Flow {
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Broken>>> {
        if self.until.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Some(Err(Broken::Late)));
        }
        loop {
            let frame = match Pin::new(&mut self.rest).poll_frame(cx) {
                Poll::Ready(Some(Ok(frame))) => frame,
                Poll::Ready(Some(Err(error))) => return Poll::Ready(Some(Err(error.into()))),
                Poll::Ready(None) => return Poll::Ready(None),
                Poll::Pending => return Poll::Pending,
            };
            let Ok(piece) = frame.into_data() else {
                continue;
            };
            let Some(most) = self.most.checked_sub(piece.len() as u64) else {
                return Poll::Ready(Some(Err(Broken::Long)));
            };
            self.most = most;
            return Poll::Ready(Some(Ok(piece)));
        }
    }
}

/// The body of a request, for its tries.
pub enum RequestBody {
    /// Held whole; it can go to more than one worker.
    Whole(VecDeque<Bytes>, Rc<Taken>),
    /// It flows: whoever takes it is the only one to get it. With how it broke off, if it did.
    Once(RefCell<Option<OutgoingBody>>, Rc<Cell<Option<bool>>>),
}

impl RequestBody {
    /// The body for one try; none where it has gone.
    pub fn take(&self) -> Option<OutgoingBody> {
        match self {
            Self::Whole(pieces, hold) => {
                Some(OutgoingBody::whole(pieces.clone(), Some(hold.clone())))
            }
            Self::Once(body, _) => body.borrow_mut().take(),
        }
    }

    /// Whether there is one for a further try.
    pub fn is_there(&self) -> bool {
        match self {
            Self::Whole(..) => true,
            Self::Once(body, _) => body.borrow().is_some(),
        }
    }

    /// Whether the client's body broke off, and if so whether for its length.
    pub fn broke(&self) -> Option<bool> {
        match self {
            Self::Whole(..) => None,
            Self::Once(_, broke) => broke.get(),
        }
    }

    /// Nothing of it was sent.
    pub fn put_back(&self, body: OutgoingBody) {
        if let Self::Once(place, _) = self {
            *place.borrow_mut() = Some(body);
        }
    }
}
