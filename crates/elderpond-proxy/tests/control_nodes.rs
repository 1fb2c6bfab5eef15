//! A proxy among stand-ins of control nodes, one of which does not vouch for what it tells.

use std::net::Ipv4Addr;
use std::path::Path;
use std::time::Duration;

use elderpond_control_wire::{FromHive, Pulse, encode};
use elderpond_process_settings::ProcessSettings;
use elderpond_proxy::{Listeners, serve};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::LocalSet;
use tokio::time::{sleep, timeout};

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
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let control = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a free port");
        let port = control.local_addr().expect("an address").port();
        let settings = format!(
            "{{node-name: f, ip-address: 127.0.0.1, zone: home, internal-port-range: [{port}, {port}], \
             seed-nodes: ['127.0.0.1:1'], limits: {{memory-mb: 256, file-descriptors: 1024}}}}"
        );
        let settings = ProcessSettings::parse(Path::new("settings"), &settings).expect("settings");
        let front = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a free port");
        let readiness = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a free port");
        let (_tell, orders) = mpsc::unbounded_channel();
        tokio::task::spawn_local(serve(settings, Listeners { front, readiness }, orders));
        let (stream, _) = control.accept().await.expect("the proxy");
        let left = timeout(LONGEST_VISIT, never_vouch(stream)).await;
        assert!(left.is_ok(), "it is followed for {LONGEST_VISIT:?} and longer");
    });
}
