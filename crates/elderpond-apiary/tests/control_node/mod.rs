//! The built program as a lone control node on loopback, and its operator on plain sockets.

#![allow(dead_code, reason = "each file of tests uses a part")]

use std::fs;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::thread::sleep;
use std::time::Duration;

use tempfile::TempDir;

/// Bytes of a configuration, at most.
pub const MOST: usize = 8 << 20;
/// The header that ends a connection with its answer.
pub const CLOSE: &str = "connection: close\r\n";

pub struct ControlNode {
    pub folder: TempDir,
    pub control: u16,
    pub inner: u16,
    process: Option<Child>,
}

impl Drop for ControlNode {
    fn drop(&mut self) {
        self.kill();
    }
}

fn free_port() -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap().port()
}

impl ControlNode {
    pub fn started() -> Self {
        let (control, inner) = (free_port(), free_port());
        let mut control_node = Self {
            folder: tempfile::tempdir().unwrap(),
            control,
            inner,
            process: None,
        };
        control_node.start(true);
        control_node
    }

    pub fn start(&mut self, first: bool) {
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

    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            process.kill().unwrap();
            process.wait().unwrap();
        }
    }

    pub fn connect(&self) -> Option<TcpStream> {
        let stream = TcpStream::connect(("127.0.0.1", self.control)).ok()?;
        stream
            .set_read_timeout(Some(Duration::from_secs(20)))
            .unwrap();
        Some(stream)
    }

    /// Sends a call whole and then reads to the end; the status, and all that came. 0 if either breaks off.
    pub fn answer(&self, mut stream: TcpStream, call: &[u8], headers: &str) -> (u16, String) {
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

    pub fn replace(&self, body: &[u8]) -> (u16, String) {
        let call = [b"POST /configuration/replace\n", body].concat();
        // One that is too long ends the connection by itself.
        let close = if body.len() > MOST { "" } else { CLOSE };
        let length = format!("content-length: {}\r\n{close}", body.len());
        self.answer(self.connect().unwrap(), &call, &length)
    }
}
