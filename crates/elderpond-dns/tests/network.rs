//! The resolver over real sockets, on loopback: a datagram that is cut off, then a connection that is
//! used again.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use elderpond_dns::cache::Lifetimes;
use elderpond_dns::transport::Network;
use elderpond_dns::{Settings, Watch};
use elderpond_sources::Word;
use hickory_proto::op::Message;
use hickory_proto::rr::rdata::{A, SRV};
use hickory_proto::rr::{Name, RData, Record, RecordType};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, UdpSocket};

fn reply(query: &[u8], tcp: bool) -> Vec<u8> {
    let asked = Message::from_vec(query).unwrap();
    let (name, kind) = (
        asked.queries[0].name().clone(),
        asked.queries[0].query_type(),
    );
    let mut message = asked.into_response();
    message.metadata.authoritative = true;
    match kind {
        RecordType::SRV if tcp => {
            for host in 1..=3u8 {
                let target = Name::from_ascii(format!("r{host}.example.org.")).unwrap();
                let data = RData::SRV(SRV::new(1, 10, 9000, target));
                message.add_answer(Record::from_rdata(name.clone(), 1, data));
            }
        }
        RecordType::SRV => message.metadata.truncation = true,
        RecordType::A => {
            let data = RData::A(A::new(127, 0, 0, 9));
            message.add_answer(Record::from_rdata(name, 60, data));
        }
        _ => message.metadata.recursion_available = true,
    }
    message.to_vec().unwrap()
}

/// A name server on one port, over both; how many connections it has taken.
async fn server() -> (SocketAddr, Arc<AtomicUsize>) {
    // The port that TCP gets is nearly always free for UDP too; if not, another is tried.
    let (listener, socket) = loop {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        if let Ok(socket) = UdpSocket::bind(listener.local_addr().unwrap()).await {
            break (listener, socket);
        }
    };
    let (address, taken) = (
        listener.local_addr().unwrap(),
        Arc::new(AtomicUsize::new(0)),
    );
    let count = taken.clone();
    tokio::spawn(async move {
        let mut buffer = [0; 2048];
        while let Ok((length, from)) = socket.recv_from(&mut buffer).await {
            let _ = socket.send_to(&reply(&buffer[..length], false), from).await;
        }
    });
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            count.fetch_add(1, Ordering::Relaxed);
            tokio::spawn(async move {
                while let Ok(length) = stream.read_u16().await {
                    let mut query = vec![0; usize::from(length)];
                    stream.read_exact(&mut query).await?;
                    let message = reply(&query, true);
                    stream.write_u16(message.len() as u16).await?;
                    stream.write_all(&message).await?;
                }
                Ok::<(), std::io::Error>(())
            });
        }
    });
    (address, taken)
}

#[tokio::test]
async fn what_is_cut_off_comes_over_a_connection_that_is_used_again() {
    let (address, taken) = server().await;
    let settings = Settings {
        name: Name::from_ascii("_lab._tcp.example.org.").unwrap(),
        servers: vec![address],
        lifetimes: Lifetimes {
            floor_ms: 1.0,
            ceiling_ms: 1000.0,
            stale_ms: 0.0,
        },
        wait: Duration::from_secs(10),
        hedge: Duration::from_secs(5),
        queries: 4,
        records: 100,
        weight_unit: 10.0,
        zone: "a".into(),
    };
    let mut watch = Watch::new(settings, Arc::new(Network::default()));
    for _ in 0..3 {
        let (words, _) = watch.round().await;
        let [
            Word::Answer {
                members,
                whole: true,
                ..
            },
        ] = &words[..]
        else {
            panic!("{words:?}");
        };
        assert_eq!(members.len(), 3);
        assert!(
            members
                .iter()
                .all(|member| member.address.unwrap().port() == 9000)
        );
    }
    assert_eq!(taken.load(Ordering::Relaxed), 1);
}
