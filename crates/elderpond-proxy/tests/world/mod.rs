//! A proxy among stand-ins: a control node that speaks the managers' wire, workers and clients that are
//! written byte by byte.

#![allow(dead_code, reason = "each file of tests uses a part")]

use std::io::{ErrorKind, Write};
use std::mem::MaybeUninit;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::Path;
use std::time::Duration;

use bytes::Bytes;
use elderpond_control_wire::{FromHive, Pulse, encode};
use elderpond_process_settings::ProcessSettings;
use elderpond_proxy::{Command, Listeners, serve};
use elderpond_registry::{Change, Entry};
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::mpsc;
use tokio::task::{JoinHandle, LocalSet};
use tokio::time::timeout;

const HERE: Ipv4Addr = Ipv4Addr::LOCALHOST;
/// Bytes of a segment on an ordinary network.
const SEGMENT_BYTES: u32 = 1448;
/// No story takes longer.
const STORY: Duration = Duration::from_secs(20);

/// What differs from story to story.
pub struct Place {
    pub ratio: f64,
    /// Further tries that are free in a window.
    pub slack: f64,
    pub retry_window_s: f64,
    /// Whether the configuration has a service, and routes to it.
    pub has_service: bool,
    pub aim_s: f64,
    pub grace_s: f64,
    pub descriptors: usize,
    pub memory_mb: f64,
    pub limits: &'static str,
    pub connection_limit: usize,
    pub proxies: u16,
    /// Bytes that a worker's socket takes in; 0 for as many as usual.
    pub window: u32,
    /// Of the safe and of the unsafe route.
    pub priorities: [u32; 2],
}

/// The usual: a budget that is no bound, and room for all.
pub const USUAL: Place = Place {
    ratio: 9.0,
    slack: 0.0,
    retry_window_s: 10.0,
    has_service: true,
    aim_s: 3.0,
    grace_s: 1.0,
    descriptors: 1024,
    memory_mb: 256.0,
    limits: r#"{"max-header-bytes":4096,"max-body-bytes":4000000,"header-timeout-s":5,"idle-timeout-s":5}"#,
    connection_limit: 64,
    proxies: 1,
    window: 0,
    priorities: [0, 0],
};

impl Place {
    /// One that differs.
    pub fn with(mut self, change: impl FnOnce(&mut Self)) -> Self {
        change(&mut self);
        self
    }
}

/// A proxy and who is around it. Worker `a` is in its zone, `b` is not: `a` is asked first.
pub struct World {
    pub front: SocketAddrV4,
    pub readiness: SocketAddrV4,
    pub a: Worker,
    pub b: Worker,
    pub commands: mpsc::UnboundedSender<Command>,
    /// What the control node says beside its heartbeats.
    control: mpsc::UnboundedSender<FromHive>,
    place: Place,
    pub proxy: JoinHandle<()>,
    pub control_node: JoinHandle<()>,
}

/// Tells a story in a world of its own.
pub fn story(told: Place, story: impl AsyncFnOnce(World)) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let told = async { story(World::new(told).await).await };
    LocalSet::new().block_on(&runtime, async {
        timeout(STORY, told).await.expect("the story goes on");
    });
}

async fn bind() -> (TcpListener, SocketAddrV4) {
    let listener = TcpListener::bind((HERE, 0)).await.expect("a free port");
    let port = listener.local_addr().expect("an address").port();
    (listener, SocketAddrV4::new(HERE, port))
}

/// The same, of sockets that take in few bytes.
fn narrow(window: u32) -> (TcpListener, SocketAddrV4) {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(window).expect("a smaller one");
    socket
        .bind(SocketAddrV4::new(HERE, 0).into())
        .expect("a free port");
    let listener = socket.listen(64).expect("a free port");
    let port = listener.local_addr().expect("an address").port();
    (listener, SocketAddrV4::new(HERE, port))
}

impl World {
    async fn new(told: Place) -> Self {
        let (control_listener, inner) = bind().await;
        let (front, front_address) = bind().await;
        let (readiness, ready_address) = bind().await;
        let (a, b) = (Worker::new("a", &told).await, Worker::new("b", &told).await);
        let settings = format!(
            "{{node-name: f, ip-address: 127.0.0.1, zone: home, internal-port-range: [{0}, {0}], \
             seed-nodes: ['127.0.0.1:1'], limits: {{memory-mb: {1}, file-descriptors: {2}}}, \
             bounds: {{retry-budget-ratio: {3}, retry-budget-slack: {5}, retry-window-s: {6}, \
             grace-period-s: {4}}}}}",
            inner.port(),
            told.memory_mb,
            told.descriptors,
            told.ratio,
            told.grace_s,
            told.slack,
            told.retry_window_s,
        );
        let process_settings =
            ProcessSettings::parse(Path::new("settings"), &settings).expect("settings");
        let (commands, received) = mpsc::unbounded_channel();
        let listeners = Listeners { front, readiness };
        let proxy = tokio::task::spawn_local(serve(process_settings, listeners, received));
        let version = FromHive::Version {
            version: 1,
            body: configuration(1, &told),
        };
        let table = Change {
            lines: vec![a.line("home"), b.line("away")],
            ..Change::default()
        };
        let whole = FromHive::Whole {
            settled: true,
            table,
        };
        let pulse = FromHive::Pulse(Pulse {
            majority: true,
            foragers: told.proxies,
            hives: vec![(HERE, "home".to_owned())],
        });
        let (control, mut said) = mpsc::unbounded_channel();
        let control_node = tokio::task::spawn_local(async move {
            let (mut link, _) = control_listener.accept().await.expect("the proxy");
            for message in [&version, &whole, &pulse] {
                link.write_all(&encode(message)).await.expect("a link");
            }
            let mut beat = tokio::time::interval(Duration::from_millis(300));
            let mut heard = [0; 1024];
            loop {
                tokio::select! {
                    _ = beat.tick() => link.write_all(&encode(&pulse)).await.expect("a link"),
                    Some(message) = said.recv() => {
                        link.write_all(&encode(&message)).await.expect("a link");
                    }
                    read = link.read(&mut heard) => if !matches!(read, Ok(1..)) { return },
                }
            }
        });
        loop {
            let mut wire = Wire::to(ready_address).await;
            wire.send("GET /readiness HTTP/1.1\r\n\r\n").await;
            if wire.message().await.head.starts_with("HTTP/1.1 200") {
                break;
            }
        }
        Self {
            front: front_address,
            readiness: ready_address,
            a,
            b,
            commands,
            control,
            place: told,
            proxy,
            control_node,
        }
    }

    /// Has a version with other limits on clients put in force at the proxy.
    pub async fn puts_in_force(&mut self, version: u64, limits: &'static str) {
        (self.changes(version, |place| place.limits = limits)).await;
    }

    /// Has a version that differs put in force at the proxy.
    pub async fn changes(&mut self, version: u64, change: impl FnOnce(&mut Place)) {
        change(&mut self.place);
        let body = configuration(version, &self.place);
        let message = FromHive::Version { version, body };
        self.control.send(message).expect("a control node");
        // both ends of the link run on this thread
        tokio::time::sleep(Duration::from_millis(50)).await;
    }

    /// What the proxy tells at `/metrics`.
    pub async fn metrics(&self) -> String {
        let mut wire = Wire::to(self.readiness).await;
        wire.send("GET /metrics HTTP/1.1\r\n\r\n").await;
        String::from_utf8(wire.message().await.body).expect("text")
    }

    /// A client.
    pub async fn client(&self) -> Wire {
        Wire::to(self.front).await
    }

    /// The next connection to either worker, once a request has come on it.
    pub async fn asked(&self) -> (Wire, Message) {
        tokio::select! {
            asked = self.a.asked() => asked,
            asked = self.b.asked() => asked,
        }
    }

    /// The next answer that a client gets, none where the proxy ends before one begins.
    pub async fn answer_before_the_end(&mut self, client: &mut Wire) -> Option<Message> {
        tokio::select! {
            biased;
            answer = client.message_if_any() => answer,
            _ = &mut self.proxy => None,
        }
    }

    /// A client and a worker that have just exchanged a first request.
    pub async fn acquainted(&self) -> (Wire, Wire) {
        let mut client = self.asks(ask("safe", "1")).await;
        let (mut worker, _) = self.a.asked().await;
        worker.send(good("1", "one")).await;
        assert_eq!(client.message().await.body, b"one");
        (client, worker)
    }

    /// A client that has sent this before the proxy can know of its connection.
    pub fn asks_at_once(&self, request: impl AsRef<[u8]>) -> Wire {
        self.asks_at_once_if_open(request).expect("a connection")
    }

    /// The same, unless the proxy listens no more.
    pub fn asks_at_once_if_open(&self, request: impl AsRef<[u8]>) -> Option<Wire> {
        let mut stream = std::net::TcpStream::connect(self.front).ok()?;
        stream
            .write_all(request.as_ref())
            .expect("the system takes it");
        stream.set_nonblocking(true).expect("a socket");
        let stream = TcpStream::from_std(stream).expect("a socket");
        Some(Wire::new(stream))
    }

    /// A client that has sent this.
    pub async fn asks(&self, request: impl AsRef<[u8]>) -> Wire {
        let mut wire = self.client().await;
        wire.send(request).await;
        wire
    }
}

fn configuration(version: u64, told: &Place) -> Bytes {
    let rule = |kind: &str, priority: u32| {
        format!(
            r#"{{"name":"{kind}","kind":"{kind}","target-latency-s":{},"priority":{priority},
            "match-condition":{{"path-prefix":"/{kind}/"}},
            "route-action":{{"service":"s","timeout-s":4,"attempts":2}}}}"#,
            told.aim_s
        )
    };
    if !told.has_service {
        let limits = told.limits;
        return format!(
            r#"{{"version-number":"r{version}","limits":{limits},"listener-list":[],"cluster-list":[]}}"#
        )
        .into();
    }
    format!(
        r#"{{"version-number":"r{version}","limits":{},
        "listener-list":[{{"host":"h","rule-set":[{},{}]}}],
        "cluster-list":[{{"name":"s","connection-limit":{}}}]}}"#,
        told.limits,
        rule("safe", told.priorities[0]),
        rule("unsafe", told.priorities[1]),
        told.connection_limit,
    )
    .into()
}

/// A worker.
pub struct Worker {
    pub id: &'static str,
    listener: TcpListener,
    address: SocketAddrV4,
}

impl Worker {
    async fn new(id: &'static str, told: &Place) -> Self {
        let (listener, address) = match told.window {
            0 => bind().await,
            window => narrow(window),
        };
        Self {
            id,
            listener,
            address,
        }
    }

    fn line(&self, zone: &str) -> Entry {
        Entry {
            id: self.id.to_owned(),
            service: "s".to_owned(),
            address: self.address,
            zone: zone.to_owned(),
            slots: 50,
            cold_ms: 0,
            weight: 100,
        }
    }

    /// The next connection to it.
    pub async fn accept(&self) -> Wire {
        let (stream, _) = self.listener.accept().await.expect("a connection");
        Wire::new(stream)
    }

    /// The next connection to it, once a request has come on it.
    pub async fn asked(&self) -> (Wire, Message) {
        let mut wire = self.accept().await;
        let request = wire.message().await;
        (wire, request)
    }

    /// Nobody has connected to it.
    pub async fn is_left_alone(&self) {
        let wait = Duration::from_millis(30);
        let came = timeout(wait, self.listener.accept()).await;
        assert!(came.is_err(), "{} was asked", self.id);
    }
}

/// A request or an answer.
#[derive(Debug)]
pub struct Message {
    pub head: String,
    pub body: Vec<u8>,
    /// Whether all of the body came.
    pub whole: bool,
}

impl Message {
    /// The status of an answer.
    pub fn status(&self) -> u16 {
        self.head[9..12].parse().expect("a status")
    }

    /// A header, by its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|line| {
            let (key, value) = line.split_once(':')?;
            key.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    }
}

/// One end of a connection.
pub struct Wire {
    stream: TcpStream,
    came: Vec<u8>,
}

impl Wire {
    fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            came: Vec::new(),
        }
    }

    async fn to(address: SocketAddrV4) -> Self {
        Self::new(TcpStream::connect(address).await.expect("a connection"))
    }

    /// To an address, by a socket that takes in few bytes.
    pub async fn narrow(address: SocketAddrV4, window: u32) -> Self {
        let socket = TcpSocket::new_v4().expect("a socket");
        Self::by(socket, address, window).await
    }

    /// The same, in segments as on a network, so that the other end's system takes in few bytes too.
    pub async fn over_a_network(address: SocketAddrV4, window: u32) -> Self {
        let socket = TcpSocket::new_v4().expect("a socket");
        let segments = SockRef::from(&socket).set_tcp_mss(SEGMENT_BYTES);
        segments.expect("smaller ones");
        Self::by(socket, address, window).await
    }

    async fn by(socket: TcpSocket, address: SocketAddrV4, window: u32) -> Self {
        socket.set_recv_buffer_size(window).expect("a smaller one");
        Self::new(socket.connect(address.into()).await.expect("a connection"))
    }

    pub async fn send(&mut self, bytes: impl AsRef<[u8]>) {
        (self.stream.write_all(bytes.as_ref()).await).expect("the other end reads");
    }

    /// Says that no more will come from here.
    pub async fn half_close(&mut self) {
        self.stream.shutdown().await.expect("a socket");
    }

    /// Closes so that the other end is reset.
    pub fn reset(self) {
        self.stream.set_zero_linger().expect("a socket");
    }

    /// Whether the other end has closed the connection, whether or not the runtime was told of it yet.
    pub fn has_ended(&self) -> bool {
        let socket = SockRef::from(&self.stream);
        let peeked = socket.peek(&mut [MaybeUninit::uninit()]);
        !peeked.is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
    }

    /// Whether the other end has reset the connection, and nobody was told yet.
    pub fn was_reset(&self) -> bool {
        let error = self.stream.take_error().expect("a socket");
        error.is_some()
    }

    /// The next request or answer, none where the connection ends before one begins.
    pub async fn message_if_any(&mut self) -> Option<Message> {
        while self.came.is_empty() {
            if !matches!(self.more().await, Ok(1..)) {
                return None;
            }
        }
        Some(self.message().await)
    }

    /// Reads on until so many bytes more have come.
    pub async fn take_some(&mut self, bytes: usize) {
        let wanted = self.came.len() + bytes;
        while self.came.len() < wanted && matches!(self.more().await, Ok(1..)) {}
    }

    /// Reads on; how many bytes came, 0 at the end.
    async fn more(&mut self) -> std::io::Result<usize> {
        self.stream.read_buf(&mut self.came).await
    }

    /// The next request or answer.
    pub async fn message(&mut self) -> Message {
        self.message_to("GET").await
    }

    /// The next answer, to a request of this method.
    pub async fn message_to(&mut self, method: &str) -> Message {
        let end = loop {
            let end = self.came.windows(4).position(|four| four == b"\r\n\r\n");
            if let Some(at) = end {
                break at + 4;
            }
            assert!(self.more().await.expect("a head") > 0, "no head");
        };
        let head = self.came.drain(..end).collect();
        let mut message = Message {
            head: String::from_utf8(head).expect("text"),
            body: Vec::new(),
            whole: true,
        };
        if method == "HEAD" {
            return message;
        }
        if message.header("transfer-encoding").is_some() {
            while message.whole {
                let Some(size) = self.line().await else {
                    message.whole = false;
                    break;
                };
                let size = usize::from_str_radix(&size, 16).expect("a size");
                let chunk = self.take(size).await;
                message.whole = chunk.len() == size && self.line().await.is_some();
                message.body.extend(chunk);
                if size == 0 {
                    break;
                }
            }
        } else if let Some(length) = message.header("content-length") {
            let length = length.parse().expect("a length");
            message.body = self.take(length).await;
            message.whole = message.body.len() == length;
        }
        message
    }

    async fn line(&mut self) -> Option<String> {
        loop {
            if let Some(at) = self.came.windows(2).position(|two| two == b"\r\n") {
                let line: Vec<u8> = self.came.drain(..at + 2).collect();
                return String::from_utf8(line[..at].to_vec()).ok();
            }
            if !matches!(self.more().await, Ok(1..)) {
                return None;
            }
        }
    }

    async fn take(&mut self, length: usize) -> Vec<u8> {
        while self.came.len() < length && matches!(self.more().await, Ok(1..)) {}
        let length = length.min(self.came.len());
        self.came.drain(..length).collect()
    }

    /// The connection ends in order, and nothing comes before that.
    pub async fn ends(&mut self) {
        assert_eq!(self.more().await.expect("an end in order"), 0);
    }

    /// The connection ends, in whatever way.
    pub async fn is_gone(&mut self) {
        while matches!(self.more().await, Ok(1..)) {}
    }
}

/// A request with this id and body.
pub fn request(method: &str, path: &str, id: &str, body: &[u8]) -> Vec<u8> {
    let length = match body.len() {
        0 => String::new(),
        length => format!("Content-Length: {length}\r\n"),
    };
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: {id}\r\n\
         X-Deadline-Remaining-Ms: 3000\r\n{length}\r\n"
    );
    [head.as_bytes(), body].concat()
}

/// A request to the routes of a kind, `safe` or `unsafe`.
pub fn ask(kind: &str, id: &str) -> Vec<u8> {
    request("GET", &format!("/{kind}/x?y=1"), id, b"")
}

/// A safe request of that id that is to be answered within so many milliseconds.
pub fn ask_within(ms: u32, id: &str) -> String {
    format!(
        "GET /safe/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: {id}\r\n\
         X-Deadline-Remaining-Ms: {ms}\r\n\r\n"
    )
}

/// An answer with this head, to the request of this id.
pub fn answer(id: &str, status: &str, more: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\nX-Attempt-Id: {id}\r\nX-Server-Seal: seal\r\n{more}\r\n{body}")
}

/// A success.
pub fn good(id: &str, body: &str) -> String {
    let length = format!("Content-Length: {}\r\n", body.len());
    answer(id, "200 OK", &length, body)
}

/// A worker that is full says so, to the request of this id.
pub fn full(id: &str) -> String {
    let head = format!("HTTP/1.1 503 Busy\r\nX-Attempt-Id: {id}\r\n");
    FULL.replace("HTTP/1.1 503 Busy\r\n", &head)
}

/// A worker that is full says so, to nobody by name.
pub const FULL: &str = "HTTP/1.1 503 Busy\r\nX-Request-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
