//! What a proxy says to control nodes, and what it makes of their ends: which version of the wire is spoken
//! is said by both, and never guessed.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::time::Duration;

use elderpond_control_wire::{
    Frames, FromForager, FromHive, Heartbeat, Pulse, VERSION, Vouch, WireVersions, encode,
    encode_as,
};
use elderpond_process_settings::ProcessSettings;
use elderpond_proxy::{Listeners, serve};
use elderpond_registry::{Change, Number, State};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::LocalSet;
use tokio::time::{sleep, timeout};
use yare::parameterized;

/// Where the version stands in a frame, behind its length.
const VERSION_AT: usize = 4;
/// Long enough for anything that is to come.
const SOON: Duration = Duration::from_secs(5);

/// A proxy that seeks control nodes where the test listens.
struct Proxy {
    control: TcpListener,
    readiness: SocketAddr,
    _commands: mpsc::UnboundedSender<elderpond_proxy::Command>,
}

impl Proxy {
    async fn start() -> Self {
        let bind = || TcpListener::bind((Ipv4Addr::LOCALHOST, 0));
        let control = bind().await.expect("a free port");
        let port = control.local_addr().expect("an address").port();
        let settings = format!(
            "{{node-name: f, ip-address: 127.0.0.1, zone: home, internal-port-range: [{port}, {port}], \
             seed-nodes: ['127.0.0.1:1'], limits: {{memory-mb: 256, file-descriptors: 1024}}}}"
        );
        let settings = ProcessSettings::parse(Path::new("settings"), &settings).expect("settings");
        let front = bind().await.expect("a free port");
        let listener = bind().await.expect("a free port");
        let readiness = listener.local_addr().expect("an address");
        let (commands, received) = mpsc::unbounded_channel();
        let listeners = Listeners {
            front,
            readiness: listener,
        };
        tokio::task::spawn_local(serve(settings, listeners, received));
        Self {
            control,
            readiness,
            _commands: commands,
        }
    }

    /// The next link, with the version of the wire that the proxy says.
    async fn joins(&self) -> (TcpStream, u8) {
        let (mut stream, _) = (timeout(SOON, self.control.accept()).await)
            .expect("the proxy dials")
            .expect("a connection");
        let mut head = [0; VERSION_AT + 1];
        stream.read_exact(&mut head).await.expect("a frame");
        let length = u32::from_be_bytes([head[0], head[1], head[2], head[3]]);
        let mut rest = vec![0; length as usize - 1];
        stream.read_exact(&mut rest).await.expect("a whole frame");
        (stream, head[VERSION_AT])
    }

    /// What the proxy tells at this path of its readiness address.
    async fn told(&self, path: &str) -> String {
        let mut stream = TcpStream::connect(self.readiness).await.expect("a proxy");
        let request = format!("GET {path} HTTP/1.1\r\nHost: p\r\nConnection: close\r\n\r\n");
        stream.write_all(request.as_bytes()).await.expect("sent");
        let mut text = String::new();
        stream.read_to_string(&mut text).await.expect("an answer");
        text
    }
}

fn with_a_proxy(story: impl AsyncFnOnce(Proxy)) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, async { story(Proxy::start().await).await });
}

/// How a link ends before the control node's first word.
enum LinkEnd {
    Closed,
    Reset,
    Silent,
}

impl LinkEnd {
    async fn happens(self, stream: TcpStream) {
        match self {
            Self::Closed => drop(stream),
            Self::Reset => stream.set_zero_linger().expect("a socket"),
            Self::Silent => sleep(Duration::from_millis(1500)).await,
        }
    }
}

/// For so long a node may be followed that does not vouch, with time to spare for a busy machine.
const LONGEST_VISIT: Duration = Duration::from_secs(4);
/// Between two heartbeats, and between the two pieces of one.
const HEARTBEAT: Duration = Duration::from_millis(150);
const PAUSE: Duration = Duration::from_millis(20);

/// Sends heartbeats that do not vouch, each in two pieces, until the other end closes the connection.
async fn never_vouch(mut stream: TcpStream) {
    stream.set_nodelay(true).expect("a socket");
    let heartbeat = encode(&FromHive::Pulse(Pulse {
        majority: false,
        foragers: 1,
        hives: vec![(Ipv4Addr::LOCALHOST, "home".to_owned())],
    }));
    let (first, rest) = heartbeat.split_at(heartbeat.len() / 2);
    loop {
        for piece in [first, rest] {
            if stream.write_all(piece).await.is_err() {
                return;
            }
            sleep(PAUSE).await;
        }
        sleep(HEARTBEAT).await;
    }
}

#[test]
fn a_control_node_that_does_not_vouch_is_left_though_its_heartbeats_come_in_pieces() {
    with_a_proxy(async |proxy| {
        let (stream, _) = proxy.joins().await;
        let left = timeout(LONGEST_VISIT, never_vouch(stream)).await;
        assert!(
            left.is_ok(),
            "it is followed for {LONGEST_VISIT:?} and longer"
        );
    });
}

fn heartbeat(vouch: Vouch) -> FromHive {
    FromHive::Heartbeat(Heartbeat {
        vouch,
        proxies: 1,
        control_nodes: vec![(Ipv4Addr::LOCALHOST, "home".to_owned())],
    })
}

/// CONFIG: a node whose link had ended before its first word was spoken to in an older version of the wire,
/// and told versions whole for as long as the next link lived.
#[parameterized(
    closed = { LinkEnd::Closed },
    reset = { LinkEnd::Reset },
    silent = { LinkEnd::Silent },
)]
fn the_end_of_a_link_says_nothing_about_versions(end: LinkEnd) {
    with_a_proxy(async |proxy| {
        let (stream, first) = proxy.joins().await;
        end.happens(stream).await;
        let (_stream, second) = proxy.joins().await;
        assert_eq!((first, second), (VERSION, VERSION));
    });
}

/// DRAIN's sight: no proxy ever confirmed departures, as no control node said that it reads confirmations.
#[test]
fn departures_are_confirmed_to_a_control_node_that_speaks_this_version() {
    with_a_proxy(async |proxy| {
        let (mut stream, _) = proxy.joins().await;
        let departures = FromHive::Change(Change {
            departed: vec![(Number(7), State::Draining)],
            ..Change::default()
        });
        let word = encode_as(VERSION, &heartbeat(Vouch::Current));
        let said = [word, encode(&departures)].concat();
        stream.write_all(&said).await.expect("a link");
        let mut frames = Frames::default();
        let confirmed = timeout(SOON, async {
            loop {
                while let Some(message) = frames.read::<FromForager>().expect("a frame") {
                    if let FromForager::DeparturesTaken { count } = message {
                        return count;
                    }
                }
                let read = stream.read_buf(&mut frames.buffer).await;
                assert!(matches!(read, Ok(1..)), "the link ends");
            }
        });
        assert_eq!(confirmed.await.expect("a confirmation"), 1);
        let metrics = proxy.told("/metrics").await;
        let figure = format!("elderpond_control_link_version {VERSION}\n");
        assert!(metrics.contains(&figure), "{metrics}");
    });
}

const RECORDED_FROM_CONTROL_NODE: [&str; 3] = [
    "00000043050501003c003c7b2276657273696f6e2d6e756d626572223a227231222c\
     226c697374656e65722d6c697374223a5b5d2c22636c75737465722d6c697374223a5b5d7d",
    "0000000705010100000000",
    "0000000e05060201017f00000104686f6d65",
];

/// What control nodes of the last two landings say: they speak version 6, and their frames bear 5.
#[test]
fn a_proxy_follows_control_nodes_of_the_landings_before() {
    // a version in one part, an empty table, a heartbeat that vouches
    let recorded = RECORDED_FROM_CONTROL_NODE.map(bytes_of).concat();
    with_a_proxy(async |proxy| {
        let (mut stream, _) = proxy.joins().await;
        stream.write_all(&recorded).await.expect("a link");
        sleep(Duration::from_millis(200)).await;
        let ready = proxy.told("/readiness").await;
        assert!(ready.starts_with("HTTP/1.1 200"), "{ready}");
        let metrics = proxy.told("/metrics").await;
        assert!(
            metrics.contains("elderpond_control_link_version 6\n"),
            "{metrics}"
        );
    });
}

/// A control node that does not speak the proxy's version says so; it is not dialled in a tight loop.
#[test]
fn a_control_node_that_refuses_the_version_is_dialled_seldom() {
    const MOST_DIALS_IN_A_SECOND: usize = 12;
    with_a_proxy(async |proxy| {
        let mut dials = 0;
        let refuse_all = async {
            loop {
                let (mut stream, spoken) = proxy.joins().await;
                dials += 1;
                let read = WireVersions {
                    oldest: VERSION + 1,
                    newest: VERSION + 2,
                };
                let refusal = FromHive::Refused { spoken, read };
                stream.write_all(&encode(&refusal)).await.expect("a link");
                let end = timeout(SOON, stream.read(&mut [0; 64])).await;
                assert!(matches!(end, Ok(Ok(0))), "the proxy leaves at once");
            }
        };
        let _ = timeout(Duration::from_secs(1), refuse_all).await;
        assert!((1..=MOST_DIALS_IN_A_SECOND).contains(&dials), "{dials}");
    });
}

fn bytes_of(hex: &str) -> Vec<u8> {
    (0..hex.len() / 2)
        .map(|at| u8::from_str_radix(&hex[2 * at..2 * at + 2], 16).expect("a byte"))
        .collect()
}
