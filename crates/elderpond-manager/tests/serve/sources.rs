//! Service records beside the platform's list, with a stand-in name server.

use std::net::{Ipv4Addr, SocketAddr};
use std::process::Stdio;

use hickory_proto::op::Message;
use hickory_proto::rr::rdata::{A, SRV};
use hickory_proto::rr::{Name, RData, Record, RecordType};
use tokio::net::UdpSocket;

use crate::common::{World, config_file, program};
use crate::sets;

const RUNNER: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 77);
const NAMED: &str = "runner7.example.org:9000";

fn reply(query: &[u8]) -> Option<Vec<u8>> {
    let mut message = Message::from_vec(query).ok()?.into_response();
    let asked = message.queries.first()?.clone();
    message.metadata.recursion_available = true;
    let data = match asked.query_type() {
        RecordType::SRV => {
            let target = Name::from_ascii("Runner7.example.org.").ok()?;
            Some(RData::SRV(SRV::new(1, 100, 9000, target)))
        }
        RecordType::A => Some(RData::A(A(RUNNER))),
        _ => None,
    };
    let record = |data| Record::from_rdata(asked.name().clone(), 0, data);
    message.add_answers(data.map(record));
    message.to_vec().ok()
}

/// A name server that lists one runner, with lifetimes of none.
async fn name_server() -> SocketAddr {
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let address = socket.local_addr().unwrap();
    tokio::spawn(async move {
        let mut buffer = [0; 2048];
        while let Ok((length, from)) = socket.recv_from(&mut buffer).await {
            if let Some(reply) = reply(&buffer[..length]) {
                let _ = socket.send_to(&reply, from).await;
            }
        }
    });
    address
}

fn own_file(server: SocketAddr) -> String {
    format!(
        "[dns labs]\nname = _lab._tcp.example.org\nservers = {server}\nzone = a\nfloor = 100ms\n"
    )
}

/// A world whose workers have an address each.
async fn world() -> World {
    let world = World::start().await;
    for (number, (name, zone)) in (1..).zip([("w1", "a"), ("w2", "b"), ("w3", "a"), ("w4", "b")]) {
        let address = SocketAddr::from(([127, 0, 0, number], 9000));
        world.discovery.list(name, address, zone, "Ready", 0.0);
    }
    world
}

#[tokio::test]
async fn a_runner_that_dns_lists_is_used_until_the_roster_drains_it_and_never_comes_back() {
    let (world, server) = (world().await, name_server().await);
    let own = config_file(&own_file(server));
    let manager = world
        .manager_under(&world.config(), &["--operator".as_ref(), own.as_ref()])
        .await;
    world.relay.bind(0, "a").await;
    let by_dns = sets(NAMED, |weight| weight > 0.0);
    world
        .relay
        .until_taken("the runner that only DNS knows has a line", by_dns)
        .await;
    // The roster lists the same address under its own name: one worker, by that name.
    let address = SocketAddr::from((RUNNER, 9000));
    world.discovery.list("w7", address, "a", "Ready", 0.0);
    world
        .relay
        .until_taken(
            "it goes by the roster's name",
            sets("w7", |weight| weight > 0.0),
        )
        .await;
    world
        .relay
        .until_taken("and not by the other", sets(NAMED, |weight| weight == 0.0))
        .await;
    world.discovery.list("w7", address, "a", "Terminating", 0.0);
    world
        .relay
        .until_taken("it drains", sets("w7", |weight| weight == 0.0))
        .await;
    let before = world.relay.taken().len();
    let words = manager.counters().await["sources_words"];
    let counts = manager.until_counted("sources_words", words + 10).await;
    assert_eq!(counts["sources_differing"], 1, "{counts:?}");
    let after = world.relay.taken().split_off(before);
    let back = after.iter().find(|order| {
        sets("w7", |weight| weight > 0.0)(order) || sets(NAMED, |weight| weight > 0.0)(order)
    });
    assert_eq!(back, None);
    // The operator takes the source away under load; the others go on.
    std::fs::write(&own, "").unwrap();
    manager.signal("HUP").await;
    manager.until_logged("source labs is removed").await;
    world.discovery.list(
        "w8",
        SocketAddr::from(([127, 0, 0, 8], 9000)),
        "a",
        "Ready",
        0.0,
    );
    world
        .relay
        .until_taken("the roster goes on", sets("w8", |weight| weight > 0.0))
        .await;
}

#[tokio::test]
async fn a_name_server_that_is_not_there_takes_nobody_away() {
    let world = world().await;
    // Bound and never read: silence.
    let silent = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let own = config_file(&own_file(silent.local_addr().unwrap()));
    let manager = world
        .manager_under(&world.config(), &["--operator".as_ref(), own.as_ref()])
        .await;
    world.relay.bind(0, "a").await;
    manager.until_counted("sources_failed", 2).await;
    let dropped = world.relay.taken().into_iter().find(|order| {
        ["w1", "w2", "w3", "w4"]
            .iter()
            .any(|worker| sets(worker, |weight| weight == 0.0)(order))
    });
    assert_eq!(dropped, None);
    let counts = manager.counters().await;
    assert!(
        counts["dns_silent"] >= 2 && counts["dns_queries"] >= counts["dns_silent"],
        "{counts:?}"
    );
    // The source is taken away in the middle of a query, which nobody will answer.
    std::fs::write(&own, "").unwrap();
    manager.signal("HUP").await;
    manager.until_logged("source labs is removed").await;
    world.list("w5", "a", "Ready");
    world
        .relay
        .until_taken("the roster goes on", sets("w5", |weight| weight > 0.0))
        .await;
}

#[tokio::test]
async fn the_sources_are_shown_with_who_says_what() {
    let server = name_server().await;
    let own = config_file(&own_file(server));
    let config = config_file(crate::common::EXAMPLE);
    let show = program()
        .args(["sources", "--config"])
        .arg(&config)
        .arg("--operator")
        .arg(&own)
        .stdout(Stdio::piped())
        .output();
    let shown = String::from_utf8(show.await.unwrap().stdout).unwrap();
    for part in [
        "source labs: server 0 lists 1",
        "1 workers",
        NAMED,
        "127.0.0.77:9000",
        "zone a",
    ] {
        assert!(shown.contains(part), "{part} in\n{shown}");
    }
}

#[tokio::test]
async fn a_faulty_file_is_named_with_its_line() {
    let own = config_file("[dns labs]\nname = _lab._tcp.example.org\nservers = x\nzone = a\n");
    let config = config_file(crate::common::EXAMPLE);
    let mut check = program();
    check
        .args(["check-config", "--config"])
        .arg(&config)
        .arg("--operator")
        .arg(&own);
    let checked = check.output().await.unwrap();
    let said = String::from_utf8(checked.stderr).unwrap();
    assert!(
        !checked.status.success() && said.contains(":3: [dns labs] servers: `x` must be"),
        "{said}"
    );
}
