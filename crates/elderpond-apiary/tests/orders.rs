//! Orders of the operator: each is sent once, and each answer goes to its call, also as a hive ends.

use std::fs;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use tempfile::TempDir;
use yare::parameterized;

const PROGRAM: &str = env!("CARGO_BIN_EXE_elderpond");
/// No story takes longer.
const STORY: Duration = Duration::from_secs(20);

/// A configuration of this version, with a host whose name is so long.
fn configuration(version: u64, length: usize) -> String {
    let host = "h".repeat(length);
    format!(
        r#"{{"version-number":"r{version}","listener-list":[{{"host":"{host}","rule-set":[
        {{"name":"one","kind":"safe","match-condition":{{"path-prefix":"/one/"}},
        "route-action":{{"service":"s","timeout-s":2,"attempts":2}}}}]}}],
        "cluster-list":[{{"name":"s"}}]}}"#
    )
}

/// `elderpond config put` of a file, to this address.
fn put(file: &Path, to: &str) -> Output {
    let words = ["config", "put", "--hive", to, file.to_str().unwrap()];
    Command::new(PROGRAM).args(words).output().unwrap()
}

/// A request, whole, as it was read.
fn request(from: &mut TcpStream) -> String {
    let mut read = Vec::new();
    loop {
        let mut bytes = [0; 4096];
        let count = from.read(&mut bytes).unwrap();
        read.extend_from_slice(&bytes[..count]);
        let text = String::from_utf8_lossy(&read).into_owned();
        let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
        let length = head.to_ascii_lowercase();
        let length = length
            .lines()
            .find_map(|line| line.strip_prefix("content-length: "));
        if count == 0 || length.is_some_and(|length| body.len() >= length.parse().unwrap()) {
            return text;
        }
    }
}

#[parameterized(
    silent = { "" },
    unclear = { "HTTP/1.1 503 No\r\ncontent-length: 0\r\n\r\n" },
    elsewhere = { "HTTP/1.1 307 There\r\nlocation: http://PLACE/configuration/replace\r\n\
        content-length: 0\r\n\r\n" },
    cut = { "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n{}" },
)]
fn given_an_order_without_a_clear_answer_then_the_command_line_sends_it_once(answer: &str) {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("c");
    fs::write(&file, configuration(7, 9)).unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let place = listener.local_addr().unwrap().to_string();
    let answer = answer.replace("PLACE", &place);
    let seen = thread::spawn(move || {
        let (mut first, _) = listener.accept().unwrap();
        let asked = request(&mut first);
        first.write_all(answer.as_bytes()).unwrap();
        drop(first);
        // whoever comes within the command's life has come by its end
        listener.set_nonblocking(true).unwrap();
        (asked, listener)
    });
    let ended = put(&file, &place);
    let (asked, listener) = seen.join().unwrap();
    assert!(asked.starts_with("POST /configuration/replace"), "{asked}");
    assert_eq!(ended.status.code(), Some(1), "{ended:?}");
    assert!(listener.accept().is_err(), "it was sent again");
}

/// A hive on its own.
struct Hive {
    process: Child,
    control: String,
    _folder: TempDir,
}

impl Drop for Hive {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

impl Hive {
    fn start() -> Self {
        let folder = tempfile::tempdir().unwrap();
        let free = || TcpListener::bind("127.0.0.1:0").unwrap();
        let (control, inner) = (free(), free());
        let control_at = control.local_addr().unwrap().to_string();
        let inner = inner.local_addr().unwrap().port();
        let settings = format!(
            "node-name: h\nserves: [control]\nip-address: 127.0.0.1\nzone: z\n\
             listen-addresses: {{control: \"{control_at}\"}}\ninternal-port-range: [{inner}, {inner}]\n\
             seed-nodes: [\"{control_at}\"]\nfirst-start: true\nloss-counted: true\n\
             limits: {{cpu-share: 0.6, memory-mb: 256, file-descriptors: 4096, disk-mb: 256}}\n\
             data-directory: {:?}\ntolerated-losses: {{machines: 0, zones: 0, regions: 0}}\n\
             bounds: {{grace-period-s: 8}}\n",
            folder.path().join("data"),
        );
        let file: PathBuf = folder.path().join("settings");
        fs::write(&file, settings).unwrap();
        drop(control);
        let process = Command::new(PROGRAM)
            .args(["hive", "--settings", file.to_str().unwrap()])
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        Self {
            process,
            control: control_at,
            _folder: folder,
        }
    }

    /// Has a configuration acknowledged.
    fn holds(&self, configuration: &str) {
        let file = self._folder.path().join("c");
        fs::write(&file, configuration).unwrap();
        let start = Instant::now();
        while !put(&file, &self.control).status.success() {
            assert!(start.elapsed() < STORY, "no acknowledgement");
        }
    }

    fn call(&self) -> TcpStream {
        let stream = TcpStream::connect(&self.control).unwrap();
        stream.set_read_timeout(Some(STORY)).unwrap();
        stream
    }
}

/// The next answer's status and body.
fn answer(from: &mut TcpStream) -> (u16, Vec<u8>) {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        from.read_exact(&mut byte).unwrap();
        head.push(byte[0]);
    }
    let head = String::from_utf8(head).unwrap().to_ascii_lowercase();
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    let mut body = vec![0; length.unwrap().parse().unwrap()];
    from.read_exact(&mut body).unwrap();
    (head[9..12].parse().unwrap(), body)
}

#[test]
fn given_calls_sent_behind_each_other_then_each_gets_its_own_answer_in_order() {
    let hive = Hive::start();
    let seventh = configuration(7, 9);
    hive.holds(&seventh);
    let get = |path: &str| format!("GET {path} HTTP/1.1\r\nHost: h\r\n\r\n");
    let post = |path: &str, body: &str| {
        let length = body.len();
        format!("POST {path} HTTP/1.1\r\nHost: h\r\nContent-Length: {length}\r\n\r\n{body}")
    };
    let eighth = configuration(8, 9);
    let mut line = hive.call();
    let calls = [
        get("/configuration/read"),
        post("/configuration/replace", &eighth),
        get("/nothing"),
        post("/configuration/replace", "{}"),
        get("/configuration/read"),
    ];
    line.write_all(calls.concat().as_bytes()).unwrap();
    assert_eq!(answer(&mut line), (200, seventh.into_bytes()));
    assert_eq!(answer(&mut line), (200, b"{}".to_vec()));
    assert_eq!(answer(&mut line).0, 404);
    assert_eq!(answer(&mut line).0, 400);
    assert_eq!(answer(&mut line), (200, eighth.into_bytes()));
}

#[test]
fn given_an_answer_under_way_when_a_hive_is_told_to_end_then_all_of_it_arrives() {
    let mut hive = Hive::start();
    let large = configuration(7, 7 << 20);
    hive.holds(&large);
    let mut line = hive.call();
    line.write_all(b"GET /configuration/read HTTP/1.1\r\nHost: h\r\n\r\n")
        .unwrap();
    // it has begun, and is more than the buffers on the way hold
    assert!(line.peek(&mut [0]).unwrap() > 0);
    let pid = hive.process.id().to_string();
    assert!(
        Command::new("kill")
            .args(["-TERM", &pid])
            .status()
            .unwrap()
            .success()
    );
    // longer than a hive without work takes to end
    thread::sleep(Duration::from_millis(800));
    assert_eq!(answer(&mut line), (200, large.into_bytes()));
    drop(line);
    let start = Instant::now();
    assert!(hive.process.wait().unwrap().success());
    assert!(
        start.elapsed() < Duration::from_secs(3),
        "it waits for nothing"
    );
}
