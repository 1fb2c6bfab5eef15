//! Connections between managers: frames in, frames out.

mod queue;
#[cfg(test)]
mod queue_tests;
#[cfg(test)]
mod tests;

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use elderpond_control_wire::{
    ControlWireError, Frames, FromForager, FromHive, Hello, HiveToHive, Link, VERSION,
    WireVersions, encode, encode_as,
};
use serde::de::DeserializeOwned;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, Semaphore};
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{sleep, timeout};

use crate::core::{Event, LinkId};
use crate::run::{Input, Inputs};

use queue::{Queue, written};

/// Bytes that the system holds of a proxy's connection and has not sent.
const UNSENT_BYTES: u32 = 32 << 10;
/// Connections at once.
const CONNECTIONS: usize = 2048;
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

/// Has the system take few bytes before it has sent others: what is urgent then waits behind few.
fn keep_waiting_bytes_few(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_tcp_notsent_lowat(UNSENT_BYTES);
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

    /// Adds a version, behind all else.
    pub(crate) fn push_version(&self, version: u64, frames: Arc<[Bytes]>) {
        self.queue.push_version(version, frames);
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
    /// The version of the wire that the other end speaks, if that is not read here.
    refused: Option<u8>,
}

impl<R: AsyncRead + Unpin> Reader<R> {
    fn new(from: R) -> Self {
        let frames = Frames::default();
        Self {
            from,
            frames,
            refused: None,
        }
    }

    /// The next message; none once the connection is of no further use.
    async fn next<M: DeserializeOwned>(&mut self, patience: Duration) -> Option<M> {
        loop {
            match self.frames.read() {
                Ok(Some(message)) => return Some(message),
                Ok(None) => {}
                Err(error) => {
                    if let ControlWireError::Version(spoken) = error {
                        self.refused = Some(spoken);
                    }
                    return None;
                }
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
        let (stream, peer) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(_) => {
                sleep(Duration::from_millis(50)).await; // out of descriptors: some will be free soon
                continue;
            }
        };
        prepare(&stream);
        let (inputs, next) = (inputs.clone(), next.clone());
        tokio::spawn(async move {
            let _place = place;
            let (read, mut write) = stream.into_split();
            let mut reader = Reader::new(read);
            match reader.next(FIRST).await {
                Some(Link::Hive { node }) => {
                    hear_hive(reader, node, inputs).await;
                    drop(write); // not before: that would tell the other end that it is over
                }
                Some(Link::Forager(hello)) => {
                    keep_waiting_bytes_few(write.as_ref());
                    let link = next.fetch_add(1, Ordering::Relaxed);
                    serve_forager(reader, write, link, hello, inputs).await;
                }
                None => {
                    if let Some(spoken) = reader.refused {
                        refuse(&mut write, peer, spoken).await;
                    }
                }
            }
        });
    }
}

/// Tells a peer that its version of the wire is not read here.
async fn refuse(write: &mut (impl AsyncWrite + Unpin), peer: SocketAddr, spoken: u8) {
    let read = WireVersions::HERE;
    log::warn!("{peer} speaks version {spoken} of the wire; {read} are read here");
    let refusal = FromHive::Refused { spoken, read };
    written(write, &encode_as(VERSION, &refusal), WRITE).await;
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
    let wire = reader.frames.version();
    let queue = Arc::new(Queue::default());
    let told = inputs.clone();
    let waiting = queue.clone();
    let mut tasks = JoinSet::new();
    let wrote = inputs.clone();
    let writing = tasks.spawn(async move {
        while let Some(version) = waiting.write(&mut write, SILENCE).await {
            let event = Event::VersionWritten { link, version };
            if wrote.send(Input::Event(event)).await.is_err() {
                return;
            }
        }
    });
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
        wire,
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
        _ = queue.write(&mut write, WRITE) => {}
        _ = read.read(&mut nothing) => {} // nothing is ever said: it has ended
    }
}
