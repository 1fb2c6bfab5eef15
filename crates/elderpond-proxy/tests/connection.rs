//! Connections to workers over a socket that takes and gives what the story says, byte by byte.

use std::cell::RefCell;
use std::convert::Infallible;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use bytes::Bytes;
use elderpond_forage::{Head, Heard, Named, Sent};
use elderpond_proxy::connection::{Busy, Clean, Unanswered};
use elderpond_registry::Number;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::header::HeaderValue;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::task::LocalSet;
use tokio::time::Instant;

/// The far end of a socket.
#[derive(Default)]
struct Far {
    /// What the socket has taken.
    taken: Vec<u8>,
    /// Bytes that it takes at the most.
    most: usize,
    /// What is to be read, and whether nothing follows.
    gives: Vec<u8>,
    ended: bool,
    closed: bool,
    waits: Vec<Waker>,
}

#[derive(Clone, Default)]
struct Socket(Rc<RefCell<Far>>);

impl Socket {
    fn change(&self, change: impl FnOnce(&mut Far)) {
        let mut far = self.0.borrow_mut();
        change(&mut far);
        far.waits.drain(..).for_each(Waker::wake);
    }

    fn gives(&self, bytes: &str) {
        self.change(|far| far.gives.extend_from_slice(bytes.as_bytes()));
    }
}

struct Near(Socket);

impl Drop for Near {
    fn drop(&mut self) {
        self.0.0.borrow_mut().closed = true;
    }
}

impl AsyncRead for Near {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let mut far = self.0.0.borrow_mut();
        if far.gives.is_empty() && !far.ended {
            far.waits.push(cx.waker().clone());
            return Poll::Pending;
        }
        let most = far.gives.len().min(buffer.remaining());
        buffer.put_slice(&far.gives[..most]);
        far.gives.drain(..most);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Near {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let mut far = self.0.0.borrow_mut();
        let room = (far.most - far.taken.len()).min(bytes.len());
        if room == 0 {
            far.waits.push(cx.waker().clone());
            return Poll::Pending;
        }
        far.taken.extend_from_slice(&bytes[..room]);
        Poll::Ready(Ok(room))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

/// A body of a thousand bytes, of which as many come.
struct Comes(usize);

impl Body for Comes {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        match std::mem::take(&mut self.0) {
            0 => Poll::Pending,
            bytes => Poll::Ready(Some(Ok(Frame::data(vec![b'x'; bytes].into())))),
        }
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(BODY as u64)
    }
}

const BODY: usize = 1000;

type Connection = Clean<Comes>;

fn story(most: usize, story: impl AsyncFnOnce(Connection, Socket)) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let socket = Socket::default();
        socket.change(|far| far.most = most);
        let near = TokioIo::new(Near(socket.clone()));
        let clean = Clean::new(Number(1), near, |_| {})
            .await
            .expect("a connection");
        story(clean, socket).await;
    });
}

type Met = Result<(Busy<Comes>, Response<Incoming>), Unanswered<Comes>>;

async fn send(clean: Connection, id: &'static str, body: usize, within: Duration) -> Met {
    let request = Request::post("/").header("host", "h").body(Comes(body));
    let (id, until) = (HeaderValue::from_static(id), Instant::now() + within);
    clean.send(&id, request.expect("a request"), until).await
}

/// Sends a request, and has it answered when all of it was taken that will be.
async fn exchange(
    clean: Connection,
    socket: &Socket,
    id: &'static str,
    body: usize,
) -> Busy<Comes> {
    let gives = async {
        calm().await;
        socket.gives(GOOD);
    };
    let (met, ()) = tokio::join!(send(clean, id, body, LONG), gives);
    let (busy, answer) = met.ok().expect("an answer");
    let body = answer.into_body().collect().await.expect("all of it");
    assert_eq!(body.to_bytes().as_ref(), b"ok");
    busy
}

/// All that can go on has gone on.
async fn calm() {
    for _ in 0..20 {
        tokio::task::yield_now().await;
    }
}

const LONG: Duration = Duration::from_secs(10);
const SHORT: Duration = Duration::from_millis(10);
const ALL: usize = usize::MAX;
const GOOD: &str = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

fn ours() -> elderpond_forage::Ours {
    let head = Head {
        named: Named::This,
        ..Head::default()
    };
    head.ours().expect("it is named")
}

#[test]
fn given_nothing_was_taken_when_the_time_is_over_then_none_of_it_is_ever_written() {
    story(0, async |clean, socket| {
        let Err(met) = send(clean, "1", BODY, SHORT).await else {
            panic!("an answer to nothing");
        };
        assert_eq!((met.sent, met.heard), (Sent::Nothing, Heard::Deadline));
        // now there is room
        socket.change(|far| far.most = ALL);
        calm().await;
        assert!(
            socket.0.borrow().taken.is_empty(),
            "it was said that nothing was sent"
        );
        assert!(socket.0.borrow().closed);
    });
}

#[test]
fn given_a_byte_was_taken_when_the_worker_ends_then_it_may_have_run() {
    for (most, sent) in [(0, Sent::Nothing), (1, Sent::HeadPartly)] {
        story(most, async |clean, socket| {
            let ends = async {
                calm().await;
                socket.change(|far| far.ended = true);
            };
            let (met, ()) = tokio::join!(send(clean, "1", BODY, LONG), ends);
            let met = met.err().expect("no answer");
            assert_eq!(met.sent, sent);
            assert_ne!(met.heard, Heard::Deadline);
        });
    }
}

#[test]
fn given_a_part_was_taken_when_it_is_answered_then_the_connection_is_closed_at_once() {
    for (first, body, most) in [(false, BODY, 300), (true, BODY, 300), (false, 10, ALL)] {
        story(ALL, async |mut clean, socket| {
            if first {
                let busy = exchange(clean, &socket, "1", BODY).await;
                let idle = busy
                    .over(ours(), Heard::Success, 0, 1000)
                    .expect("it is kept");
                clean = idle
                    .for_request(&HeaderValue::from_static("2"))
                    .expect("another id");
            }
            let before = socket.0.borrow().taken.len();
            socket.change(|far| far.most = most.saturating_add(before));
            let busy = exchange(clean, &socket, "2", body).await;
            let taken = socket.0.borrow().taken.len();
            assert!(busy.over(ours(), Heard::Success, 0, 1000).is_none());
            calm().await;
            socket.change(|far| far.most = ALL);
            calm().await;
            let far = socket.0.borrow();
            assert!(
                far.closed && far.taken.len() == taken,
                "{} bytes",
                far.taken.len()
            );
        });
    }
}

#[test]
fn given_a_whole_exchange_then_it_carries_the_next_request_unless_that_has_the_same_id() {
    for (next, carries) in [("2", true), ("1", false)] {
        story(ALL, async |clean, socket| {
            assert!(!clean.is_kept());
            let busy = exchange(clean, &socket, "1", BODY).await;
            let idle = busy
                .over(ours(), Heard::Success, 0, 1000)
                .expect("it is kept");
            assert!(idle.is_fresh(999, 2000) && !idle.is_fresh(1000, 2000));
            let clean = idle.for_request(&HeaderValue::from_static(next));
            assert_eq!(clean.is_some_and(|it| it.is_kept()), carries);
        });
    }
}

#[test]
fn given_an_idle_connection_when_bytes_come_then_it_is_no_more() {
    story(ALL, async |clean, socket| {
        let busy = exchange(clean, &socket, "1", BODY).await;
        let idle = busy
            .over(ours(), Heard::Success, 0, 1000)
            .expect("it is kept");
        let before = socket.0.borrow().taken.len();
        socket.gives(GOOD);
        let clean = idle
            .for_request(&HeaderValue::from_static("2"))
            .expect("not noticed yet");
        let met = send(clean, "2", BODY, LONG)
            .await
            .err()
            .expect("no answer to it");
        assert_eq!((met.sent, met.heard), (Sent::Nothing, Heard::IdleRace));
        assert!(met.body.is_some());
        assert_eq!(socket.0.borrow().taken.len(), before);
    });
}
