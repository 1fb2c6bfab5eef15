//! The built program as a lone hive on loopback, and its operator on plain sockets.

use std::fs;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::thread::sleep;
use std::time::Duration;

use tempfile::TempDir;
use yare::parameterized;

struct Hive {
    folder: TempDir,
    control: u16,
    inner: u16,
    process: Option<Child>,
}

impl Drop for Hive {
    fn drop(&mut self) {
        self.kill();
    }
}

fn free_port() -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap().port()
}

impl Hive {
    fn started() -> Self {
        let (control, inner) = (free_port(), free_port());
        let mut hive = Self {
            folder: tempfile::tempdir().unwrap(),
            control,
            inner,
            process: None,
        };
        hive.start(true);
        hive
    }

    fn start(&mut self, first: bool) {
        let (control, inner) = (self.control, self.inner);
        let disk = self.folder.path().join("disk");
        fs::create_dir_all(&disk).unwrap();
        let text = format!(
            r#"
node-name: "hive-1"
serves: ["control"]
ip-address: "127.0.0.1"
zone: "sali-a"
region: "sali"
zones: {{sali-a: "sali"}}
listen-addresses: {{control: "127.0.0.1:{control}"}}
internal-port-range: [{inner}, {inner}]
seed-nodes: ["127.0.0.1:{control}"]
first-start: {first}
loss-counted: true
limits: {{cpu-share: 1.0, memory-mb: 256, file-descriptors: 4096, disk-mb: 256}}
tolerated-losses: {{machines: 0, zones: 0, regions: 0}}
data-directory: "{}"
"#,
            disk.display()
        );
        let settings = self.folder.path().join("settings.yaml");
        fs::write(&settings, text).unwrap();
        let mut program = Command::new(env!("CARGO_BIN_EXE_elderpond"));
        program.args(["hive", "--settings"]).arg(&settings);
        let log = fs::File::create(self.folder.path().join("log")).unwrap();
        let program = program
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null());
        self.process = Some(program.spawn().unwrap());
        for _ in 0..200 {
            if self
                .connect()
                .is_some_and(|it| self.answer(it, b"GET /hive/status", CLOSE).0 == 200)
            {
                return;
            }
            sleep(Duration::from_millis(50));
        }
        panic!(
            "{}",
            fs::read_to_string(self.folder.path().join("log")).unwrap()
        );
    }

    fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            process.kill().unwrap();
            process.wait().unwrap();
        }
    }

    fn connect(&self) -> Option<TcpStream> {
        let stream = TcpStream::connect(("127.0.0.1", self.control)).ok()?;
        stream
            .set_read_timeout(Some(Duration::from_secs(20)))
            .unwrap();
        Some(stream)
    }

    /// Sends a call whole and then reads to the end; the status, and all that came. 0 if either breaks off.
    fn answer(&self, mut stream: TcpStream, call: &[u8], headers: &str) -> (u16, String) {
        let (head, body) = match call.iter().position(|byte| *byte == b'\n') {
            Some(at) => (&call[..at], &call[at + 1..]),
            None => (call, &[][..]),
        };
        let head = format!(
            "{} HTTP/1.1\r\nhost: x\r\n{headers}\r\n",
            String::from_utf8_lossy(head)
        );
        let sent = stream.write_all(head.as_bytes());
        let sent = sent.and_then(|()| stream.write_all(body));
        let mut said = Vec::new();
        let read = stream.read_to_end(&mut said);
        if let Some(error) = sent.err().or(read.err()) {
            return (0, error.to_string());
        }
        let said = String::from_utf8_lossy(&said).into_owned();
        let status = said.split(' ').nth(1).and_then(|it| it.parse().ok());
        (status.unwrap_or(0), said)
    }

    fn replace(&self, body: &[u8]) -> (u16, String) {
        let call = [b"POST /configuration/replace\n", body].concat();
        // One that is too long ends the connection by itself.
        let close = if body.len() > MOST { "" } else { CLOSE };
        let length = format!("content-length: {}\r\n{close}", body.len());
        self.answer(self.connect().unwrap(), &call, &length)
    }
}

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

const MOST: usize = 8 << 20;
const CLOSE: &str = "connection: close\r\n";

#[parameterized(
    by_a_byte = { MOST + 1 },
    as_64_000_routes = { 17_200_000 },
    by_seven_times = { 8 * MOST },
)]
fn given_a_configuration_too_long_when_sent_then_413_names_the_bound_and_nothing_is_lost(
    bytes: usize,
) {
    let hive = Hive::started();
    assert_eq!(hive.replace(&configuration(5, 2, 0)).0, 200);
    let (status, said) = hive.replace(&configuration(6, 2, bytes));
    assert_eq!(status, 413, "{said}");
    let low = said.to_lowercase();
    assert!(low.contains("connection: close"), "{said}");
    assert!(
        said.contains("body: over the 8388608 bytes that are read"),
        "{said}"
    );
    let (status, said) = hive.answer(hive.connect().unwrap(), b"GET /configuration/read", CLOSE);
    assert!(status == 200 && said.contains("\"r5\""), "{status}");
}

#[test]
fn given_a_configuration_as_long_as_may_be_when_sent_then_it_is_taken() {
    let hive = Hive::started();
    let (status, said) = hive.replace(&configuration(6, 2, MOST));
    assert_eq!(status, 200, "{said}");
}

#[test]
fn given_a_caller_that_waits_for_leave_when_its_body_is_too_long_then_it_need_not_send_it() {
    let hive = Hive::started();
    let headers = format!("content-length: {}\r\nexpect: 100-continue\r\n", 100 * MOST);
    let stream = hive.connect().unwrap();
    let (status, said) = hive.answer(stream, b"POST /configuration/replace", &headers);
    assert_eq!(status, 413, "{said}");
}

#[test]
fn given_a_body_without_a_length_that_is_too_long_when_sent_then_413() {
    let hive = Hive::started();
    let mut body = b"POST /configuration/replace\n".to_vec();
    for _ in 0..9 {
        body.extend(b"100000\r\n");
        body.extend(vec![b' '; 1 << 20]);
        body.extend(b"\r\n");
    }
    body.extend(b"0\r\n\r\n");
    let stream = hive.connect().unwrap();
    let (status, said) = hive.answer(stream, &body, "transfer-encoding: chunked\r\n");
    assert_eq!(status, 413, "{said}");
}

#[test]
fn given_a_caller_that_goes_in_the_middle_of_a_long_body_then_the_hive_serves_on() {
    let hive = Hive::started();
    let mut stream = hive.connect().unwrap();
    let head =
        "POST /configuration/replace HTTP/1.1\r\nhost: x\r\ncontent-length: 60000000\r\n\r\n";
    stream.write_all(head.as_bytes()).unwrap();
    stream.write_all(&vec![b' '; MOST + 10]).unwrap();
    stream.shutdown(Shutdown::Both).unwrap();
    assert_eq!(hive.replace(&configuration(5, 2, 0)).0, 200);
}

#[test]
fn given_a_number_that_was_overtaken_when_sent_again_then_one_content_is_acknowledged_for_ever() {
    let mut hive = Hive::started();
    let [first, other] = [2, 3].map(|timeout| configuration(5, timeout, 0));
    assert_eq!(hive.replace(&first).0, 200);
    assert_eq!(hive.replace(&configuration(6, 2, 0)).0, 200);
    for _ in 0..2 {
        let (status, said) = hive.replace(&other);
        assert_eq!(status, 409, "{said}");
        assert!(said.contains("version-number: this version"), "{said}");
        assert_eq!(hive.replace(&first).0, 200);
        hive.kill();
        hive.start(false);
    }
}
