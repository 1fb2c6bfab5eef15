//! Links over loopback.

use elderpond_control_wire::FromHive;
use tokio::io::AsyncWriteExt;
use tokio::sync::mpsc;

use super::queue::CHUNK;
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

/// What a proxy of the last two landings says first: it speaks version 6.
const RECORDED_HELLO: [u8; 18] = [
    0, 0, 0, 14, 6, 1, 10, 0, 0, 7, 4, b'h', b'o', b'm', b'e', 7, 3, 0,
];

#[tokio::test]
async fn a_proxy_of_the_landings_before_joins_with_the_version_that_it_speaks() {
    let (to, mut heard) = listening().await;
    let mut stream = TcpStream::connect(to).await.expect("a connection");
    stream.write_all(&RECORDED_HELLO).await.expect("written");
    let Some(Input::Joined { hello, wire, .. }) = heard.recv().await else {
        panic!("not joined");
    };
    let told = (hello.node, hello.zone.as_str(), hello.version, wire);
    assert_eq!(told, (Ipv4Addr::new(10, 0, 0, 7), "home", 3, 6));
}

#[tokio::test]
async fn a_version_that_is_not_read_is_refused_by_a_word_that_names_both() {
    for spoken in [1, VERSION + 1] {
        let (to, _heard) = listening().await;
        let mut stream = TcpStream::connect(to).await.expect("a connection");
        let mut hello = RECORDED_HELLO;
        hello[4] = spoken;
        stream.write_all(&hello).await.expect("written");
        let mut reader = Reader::new(stream);
        let refusal = reader.next::<FromHive>(SILENCE).await;
        let read = WireVersions::HERE;
        assert_eq!(refusal, Some(FromHive::Refused { spoken, read }));
        assert_eq!(read.to_string(), "2 to 6");
        let end = reader.next::<FromHive>(SILENCE).await;
        assert_eq!(end, None, "the link goes on");
    }
}
