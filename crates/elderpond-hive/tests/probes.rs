//! Whose word a probe's answer is.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::thread;

use elderpond_hive::probe;
use yare::parameterized;

#[parameterized(
    well = { "200 OK\r\nX-Answering-Instance: i-1\r\n", Some(true) },
    well_with_more_behind = { "200 OK\r\nX-Answering-Instance: i-1\r\nContent-Length: 0\r\n\r\n\
        HTTP/1.1 503 No\r\nX-Answering-Instance: i-1\r\n", Some(true) },
    another = { "200 OK\r\nX-Answering-Instance: i-2\r\n", None },
    nobody = { "200 OK\r\n", None },
    another_that_is_ill = { "503 No\r\nX-Answering-Instance: i-2\r\n", None },
    ill = { "503 No\r\nX-Answering-Instance: i-1\r\n", Some(false) },
    full = { "503 No\r\nX-Answering-Instance: i-1\r\nX-Request-Not-Run: 1\r\n", None },
)]
fn given_an_answer_to_a_probe_then_it_is_the_word_of_who_it_names(said: &str, ok: Option<bool>) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let Ok(SocketAddr::V4(address)) = listener.local_addr() else {
        panic!("an address of another kind");
    };
    let said = format!("HTTP/1.1 {said}Content-Length: 0\r\n\r\n");
    let worker = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        assert!(stream.read(&mut [0; 1024]).unwrap() > 0);
        stream.write_all(said.as_bytes()).unwrap();
    });
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let probed = runtime.unwrap().block_on(probe("i-1", address, "/health"));
    worker.join().unwrap();
    assert_eq!(probed.map(|it| it.ok), ok);
}
