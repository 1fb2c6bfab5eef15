//! The built program as a lone control node on loopback, and its operator on plain sockets.

mod control_node;

use std::io::Write;
use std::net::Shutdown;

use yare::parameterized;

use control_node::{CLOSE, ControlNode, MOST};

/// A configuration, filled up with spaces to so many bytes.
fn configuration(version: u64, timeout: u64, bytes: usize) -> Vec<u8> {
    let text = format!(
        r#"{{"version-number":"r{version}","listener-list":[{{"host":"a.example","rule-set":[
{{"name":"one","kind":"safe","match-condition":{{"path-prefix":"/one/"}},
 "route-action":{{"service":"simulator","timeout-s":{timeout},"attempts":2}}}}]}}],
"cluster-list":[{{"name":"simulator"}}]}}"#
    );
    let mut text = text.into_bytes();
    text.resize(bytes.max(text.len()), b' ');
    text
}

#[parameterized(
    by_a_byte = { MOST + 1 },
    as_64_000_routes = { 17_200_000 },
    by_seven_times = { 8 * MOST },
)]
fn given_a_configuration_too_long_when_sent_then_413_names_the_bound_and_nothing_is_lost(
    bytes: usize,
) {
    let control_node = ControlNode::started();
    assert_eq!(control_node.replace(&configuration(5, 2, 0)).0, 200);
    let (status, said) = control_node.replace(&configuration(6, 2, bytes));
    assert_eq!(status, 413, "{said}");
    let low = said.to_lowercase();
    assert!(low.contains("connection: close"), "{said}");
    assert!(
        said.contains("body: over the 8388608 bytes that are read"),
        "{said}"
    );
    let (status, said) = control_node.answer(
        control_node.connect().unwrap(),
        b"GET /configuration/read",
        CLOSE,
    );
    assert!(status == 200 && said.contains("\"r5\""), "{status}");
}

#[test]
fn given_a_configuration_as_long_as_may_be_when_sent_then_it_is_taken() {
    let control_node = ControlNode::started();
    let (status, said) = control_node.replace(&configuration(6, 2, MOST));
    assert_eq!(status, 200, "{said}");
}

#[test]
fn given_a_caller_that_waits_for_leave_when_its_body_is_too_long_then_it_need_not_send_it() {
    let control_node = ControlNode::started();
    let headers = format!("content-length: {}\r\nexpect: 100-continue\r\n", 100 * MOST);
    let stream = control_node.connect().unwrap();
    let (status, said) = control_node.answer(stream, b"POST /configuration/replace", &headers);
    assert_eq!(status, 413, "{said}");
}

#[test]
fn given_a_body_without_a_length_that_is_too_long_when_sent_then_413() {
    let control_node = ControlNode::started();
    let mut body = b"POST /configuration/replace\n".to_vec();
    for _ in 0..9 {
        body.extend(b"100000\r\n");
        body.extend(vec![b' '; 1 << 20]);
        body.extend(b"\r\n");
    }
    body.extend(b"0\r\n\r\n");
    let stream = control_node.connect().unwrap();
    let (status, said) = control_node.answer(stream, &body, "transfer-encoding: chunked\r\n");
    assert_eq!(status, 413, "{said}");
}

#[test]
fn given_a_caller_that_goes_in_the_middle_of_a_long_body_then_the_hive_serves_on() {
    let control_node = ControlNode::started();
    let mut stream = control_node.connect().unwrap();
    let head =
        "POST /configuration/replace HTTP/1.1\r\nhost: x\r\ncontent-length: 60000000\r\n\r\n";
    stream.write_all(head.as_bytes()).unwrap();
    stream.write_all(&vec![b' '; MOST + 10]).unwrap();
    stream.shutdown(Shutdown::Both).unwrap();
    assert_eq!(control_node.replace(&configuration(5, 2, 0)).0, 200);
}

#[test]
fn given_a_number_that_was_overtaken_when_sent_again_then_one_content_is_acknowledged_for_ever() {
    let mut control_node = ControlNode::started();
    let [first, other] = [2, 3].map(|timeout| configuration(5, timeout, 0));
    assert_eq!(control_node.replace(&first).0, 200);
    assert_eq!(control_node.replace(&configuration(6, 2, 0)).0, 200);
    for _ in 0..2 {
        let (status, said) = control_node.replace(&other);
        assert_eq!(status, 409, "{said}");
        assert!(said.contains("version-number: this version"), "{said}");
        assert_eq!(control_node.replace(&first).0, 200);
        control_node.kill();
        control_node.start(false);
    }
}
