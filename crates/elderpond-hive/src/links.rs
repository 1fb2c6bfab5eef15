//! Connections between managers: frames in, frames out.

use std::collections::VecDeque;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use elderpond_control_wire::{Frames, FromForager, Hello, HiveToHive, Link, encode};
use serde::de::DeserializeOwned;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, Semaphore};
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{sleep, timeout};

use crate::core::{Event, LinkId};
use crate::run::{Input, Inputs};

/// Bytes that wait on a link, and frames, of each kind; one frame may always wait.
const BYTES: usize = 4 << 20;
const FRAMES: usize = 256;
/// Connections at once.
const CONNECTIONS: usize = 2048;
/// Bytes written, or read, at a time.
const CHUNK: usize = 16 << 10;

const CONNECT: Duration = Duration::from_secs(1);
const WRITE: Duration = Duration::from_secs(1);
/// Between two tries at least.
const REST: Duration = Duration::from_millis(20);
const FIRST: Duration = Duration::from_secs(2);
/// Hives speak twice a second, foragers once.
const SILENCE: Duration = Duration::from_secs(5);

/// Sets what every connection between managers has.
fn prepare(stream: &TcpStream) {
    let _ = stream.set_nodelay(true);
    let _ = SockRef::from(stream).set_tcp_user_timeout(Some(Duration::from_secs(3)));
}

// ---- What waits ----

#[derive(Default)]
struct Waiting {
    frames: VecDeque<Bytes>,
    bytes: usize,
}

impl Waiting {
    fn full(&self) -> bool {
        !self.frames.is_empty() && (self.bytes > BYTES || self.frames.len() > FRAMES)
    }

    /// Adds a frame; the oldest are dropped beyond the bounds. Whether none was.
    fn push(&mut self, frame: Bytes) -> bool {
        let mut whole = true;
        self.bytes += frame.len();
        while self.full() {
            whole = false;
            let oldest = self.frames.pop_front();
            self.bytes -= oldest.map_or(0, |frame| frame.len());
        }
        self.frames.push_back(frame);
        whole
    }

    fn pop(&mut self) -> Option<Bytes> {
        let frame = self.frames.pop_front();
        self.bytes -= frame.as_ref().map_or(0, Bytes::len);
        frame
    }
}

/// Frames that wait to be written: those that go first, and those that wait for them.
#[derive(Default)]
struct Queue {
    waiting: Mutex<(Waiting, Waiting)>,
    more: Notify,
    /// Whether long frames let short ones go first. Only where their order does not matter.
    apart: bool,
}

impl Queue {
    /// Between hives messages may be reordered: pieces of a body hold up no beat.
    fn apart() -> Self {
        Self {
            apart: true,
            ..Self::default()
        }
    }

    /// Adds a frame; whether none of its kind was dropped for it.
    fn push(&self, frame: Bytes) -> bool {
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        let whole = match self.apart && frame.len() >= CHUNK {
            true => waiting.1.push(frame),
            false => waiting.0.push(frame),
        };
        self.more.notify_one();
        whole
    }

    fn pop(&self) -> Option<Bytes> {
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        let first = waiting.0.pop();
        first.or_else(|| waiting.1.pop())
    }

    /// Writes what waits, small frames together, until the connection fails.
    async fn write(&self, to: &mut (impl AsyncWrite + Unpin), patience: Duration) {
        let mut chunk = BytesMut::new();
        loop {
            let Some(frame) = self.pop() else {
                self.more.notified().await;
                continue;
            };
            let mut next = Some(frame);
            while let Some(frame) = next.take() {
                if chunk.is_empty() && frame.len() >= CHUNK {
                    if !written(to, &frame, patience).await {
                        return;
                    }
                } else {
                    chunk.extend_from_slice(&frame);
                }
                if chunk.len() < CHUNK {
                    next = self.pop();
                }
            }
            if !chunk.is_empty() && !written(to, &chunk, patience).await {
                return;
            }
            chunk.clear();
        }
    }
}

async fn written(to: &mut (impl AsyncWrite + Unpin), bytes: &[u8], patience: Duration) -> bool {
    for part in bytes.chunks(CHUNK * 4) {
        if !matches!(timeout(patience, to.write_all(part)).await, Ok(Ok(()))) {
            return false;
        }
    }
    true
}

/// The writing end of a connection, and its tasks; dropped, they end.
pub(crate) struct Outlet {
    queue: Arc<Queue>,
    /// Whoever is to be dialled was just heard of.
    there: Arc<Notify>,
    tasks: Vec<AbortHandle>,
}

impl Outlet {
    /// Adds a frame. Whether nothing was dropped for it.
    pub(crate) fn push(&self, frame: Bytes) -> bool {
        self.queue.push(frame)
    }

    /// The other end is there: if it is to be dialled again, that is done now.
    pub(crate) fn is_there(&self) {
        self.there.notify_waiters();
    }
}

impl Drop for Outlet {
    fn drop(&mut self) {
        self.tasks.iter().for_each(AbortHandle::abort);
    }
}

// ---- Reading ----

struct Reader<R> {
    from: R,
    frames: Frames,
}

impl<R: AsyncRead + Unpin> Reader<R> {
    fn new(from: R) -> Self {
        let frames = Frames::default();
        Self { from, frames }
    }

    /// The next message; none once the connection is of no further use.
    async fn next<M: DeserializeOwned>(&mut self, patience: Duration) -> Option<M> {
        loop {
            match self.frames.read() {
                Ok(Some(message)) => return Some(message),
                Ok(None) => {}
                Err(_) => return None,
            }
            self.frames.buffer.reserve(2048);
            let read = self.from.read_buf(&mut self.frames.buffer);
            match timeout(patience, read).await {
                Ok(Ok(1..)) => {}
                _ => return None,
            }
        }
    }
}

// ---- Links that others began ----

/// Takes connections of hives and foragers.
pub(crate) async fn accept(listener: TcpListener, inputs: Inputs) {
    let places = Arc::new(Semaphore::new(CONNECTIONS));
    let next = Arc::new(AtomicU64::new(1));
    loop {
        let Ok(place) = places.clone().acquire_owned().await else {
            return;
        };
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(_) => {
                sleep(Duration::from_millis(50)).await; // out of descriptors: some will be free soon
                continue;
            }
        };
        prepare(&stream);
        let (inputs, next) = (inputs.clone(), next.clone());
        tokio::spawn(async move {
            let _place = place;
            let (read, write) = stream.into_split();
            let mut reader = Reader::new(read);
            match reader.next(FIRST).await {
                Some(Link::Hive { node }) => {
                    hear_hive(reader, node, inputs).await;
                    drop(write); // not before: that would tell the other end that it is over
                }
                Some(Link::Forager(hello)) => {
                    let link = next.fetch_add(1, Ordering::Relaxed);
                    serve_forager(reader, write, link, hello, inputs).await;
                }
                None => {}
            }
        });
    }
}

async fn hear_hive(mut reader: Reader<impl AsyncRead + Unpin>, from: Ipv4Addr, inputs: Inputs) {
    while let Some(message) = reader.next::<HiveToHive>(SILENCE).await {
        let event = Event::FromHive { from, message };
        if inputs.send(Input::Event(event)).await.is_err() {
            return;
        }
    }
}

async fn serve_forager(
    mut reader: Reader<impl AsyncRead + Unpin + Send + 'static>,
    mut write: impl AsyncWrite + Unpin + Send + 'static,
    link: LinkId,
    hello: Hello,
    inputs: Inputs,
) {
    let queue = Arc::new(Queue::default());
    let told = inputs.clone();
    let waiting = queue.clone();
    let mut tasks = JoinSet::new();
    let writing = tasks.spawn(async move { waiting.write(&mut write, SILENCE).await });
    let (begin, begun) = tokio::sync::oneshot::channel::<()>();
    let reading = tasks.spawn(async move {
        let _ = begun.await;
        while let Some(message) = reader.next::<FromForager>(SILENCE).await {
            let event = Event::FromForager { link, message };
            if inputs.send(Input::Event(event)).await.is_err() {
                return;
            }
        }
    });
    let outlet = Outlet {
        queue,
        there: Arc::default(),
        tasks: vec![writing, reading],
    };
    let joined = Input::Joined {
        link,
        hello,
        outlet,
    };
    if told.send(joined).await.is_err() {
        return;
    }
    let _ = begin.send(());
    tasks.join_next().await; // whichever ends first, the link is over
    tasks.abort_all();
    let _ = told.send(Input::Event(Event::ForagerLost { link })).await;
}

// ---- Links to other hives ----

/// Keeps a connection to a hive, until the outlet is dropped.
pub(crate) fn keep(me: Ipv4Addr, to: SocketAddrV4, inputs: Inputs, random: u64) -> Outlet {
    let queue = Arc::new(Queue::apart());
    let waiting = queue.clone();
    let there = Arc::new(Notify::new());
    let heard = there.clone();
    let task = tokio::spawn(async move {
        let mut random = random;
        loop {
            if let Ok(Ok(stream)) = timeout(CONNECT, TcpStream::connect(to)).await {
                speak(me, *to.ip(), stream, &waiting, &inputs).await;
            }
            random = drawn(random);
            sleep(REST).await;
            tokio::select! {
                () = sleep(Duration::from_millis(80 + random % 500)) => {}
                () = heard.notified() => {} // a hive that is back speaks first
            }
        }
    });
    let tasks = vec![task.abort_handle()];
    Outlet {
        queue,
        there,
        tasks,
    }
}

/// Xorshift.
fn drawn(mut random: u64) -> u64 {
    random ^= random << 13;
    random ^= random >> 7;
    random ^ random << 17
}

async fn speak(me: Ipv4Addr, to: Ipv4Addr, stream: TcpStream, queue: &Queue, inputs: &Inputs) {
    prepare(&stream);
    let (mut read, mut write) = stream.into_split();
    if !written(&mut write, &encode(&Link::Hive { node: me }), WRITE).await {
        return;
    }
    if inputs
        .send(Input::Event(Event::HiveLinked(to)))
        .await
        .is_err()
    {
        return;
    }
    let mut nothing = [0; 16];
    tokio::select! {
        () = queue.write(&mut write, WRITE) => {}
        _ = read.read(&mut nothing) => {} // nothing is ever said: it has ended
    }
}

#[cfg(test)]
mod tests {
    use elderpond_control_wire::FromHive;
    use tokio::sync::mpsc;

    use super::*;

    async fn listening() -> (SocketAddrV4, mpsc::Receiver<Input>) {
        let (inputs, input) = mpsc::channel(64);
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let port = listener.local_addr().expect("its address").port();
        tokio::spawn(accept(listener, inputs));
        (SocketAddrV4::new(Ipv4Addr::LOCALHOST, port), input)
    }

    #[tokio::test]
    async fn one_connection_carries_all_that_a_hive_says() {
        let (to, mut heard) = listening().await;
        let (inputs, mut linked) = mpsc::channel(64);
        let outlet = keep(Ipv4Addr::new(10, 0, 0, 1), to, inputs, 1);
        assert!(matches!(
            linked.recv().await,
            Some(Input::Event(Event::HiveLinked(_)))
        ));
        for count in 0..200 {
            outlet.push(encode(&HiveToHive::Foragers(count)));
            match heard.recv().await {
                Some(Input::Event(Event::FromHive { message, .. })) => {
                    assert!(matches!(message, HiveToHive::Foragers(got) if got == count));
                }
                _ => panic!("something else was heard"),
            }
        }
        assert!(linked.try_recv().is_err(), "it was begun anew");
    }

    #[tokio::test]
    async fn a_hive_that_is_heard_again_is_dialled_at_once() {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let to = match listener.local_addr().expect("its address") {
            std::net::SocketAddr::V4(to) => to,
            std::net::SocketAddr::V6(_) => panic!("not asked for"),
        };
        drop(listener);
        let (inputs, mut linked) = mpsc::channel(64);
        // The rest before the second try is drawn as 579 ms.
        let random = (1..).find(|&random| drawn(random) % 500 == 499);
        let outlet = keep(
            Ipv4Addr::LOCALHOST,
            to,
            inputs,
            random.expect("there is one"),
        );
        sleep(Duration::from_millis(150)).await;
        let (again, _heard) = mpsc::channel(64);
        tokio::spawn(accept(
            TcpListener::bind(to).await.expect("the port"),
            again,
        ));
        outlet.is_there();
        let soon = timeout(Duration::from_millis(300), linked.recv()).await;
        let Ok(Some(Input::Event(Event::HiveLinked(_)))) = soon else {
            panic!("not dialled at once")
        };
    }

    #[tokio::test]
    async fn a_forager_is_told_what_waits_and_its_end_is_noted() {
        let (to, mut heard) = listening().await;
        let mut stream = TcpStream::connect(to).await.expect("a connection");
        let hello = Hello {
            node: Ipv4Addr::LOCALHOST,
            zone: "a".into(),
            life: 1,
            version: 0,
            departed: Vec::new(),
        };
        let first = encode(&Link::Forager(hello));
        stream.write_all(&first).await.expect("written");
        let Some(Input::Joined { link, outlet, .. }) = heard.recv().await else {
            panic!("not joined");
        };
        let body = Bytes::from(vec![7; 3 * CHUNK]);
        for version in 1..4 {
            let body = body.clone();
            assert!(outlet.push(encode(&FromHive::Version { version, body })));
        }
        let (read, write) = stream.into_split();
        let mut reader = Reader::new(read);
        for expected in 1..4 {
            match reader.next::<FromHive>(SILENCE).await {
                Some(FromHive::Version { version, .. }) => assert_eq!(version, expected),
                other => panic!("{other:?}"),
            }
        }
        drop((reader, write));
        match heard.recv().await {
            Some(Input::Event(Event::ForagerLost { link: lost })) => assert_eq!(lost, link),
            _ => panic!("not lost"),
        }
    }

    #[test]
    fn pieces_of_a_body_hold_up_no_beat_and_push_none_out() {
        let queue = Queue::apart();
        for _ in 0..2 * BYTES / CHUNK {
            queue.push(vec![7; CHUNK].into());
        }
        assert!(queue.push(vec![1; 100].into()), "none of its kind goes");
        assert_eq!(queue.pop().map(|frame| frame[0]), Some(1));
        let left = std::iter::from_fn(|| queue.pop()).count();
        assert_eq!(left, BYTES / CHUNK);
    }

    #[test]
    fn what_waits_is_bounded_but_one_frame_always_may() {
        let queue = Queue::default();
        assert!(queue.push(vec![0; 2 * BYTES].into()));
        assert!(!queue.push(vec![1; 8].into()), "the large one went for it");
        for _ in 0..FRAMES {
            assert!(queue.push(vec![2; 8].into()));
        }
        assert!(!queue.push(vec![3; 8].into()));
        assert_eq!(queue.pop().map(|frame| frame[0]), Some(2));
    }
}
