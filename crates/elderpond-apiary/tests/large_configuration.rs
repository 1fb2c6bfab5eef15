//! A configuration that hardly deflates, as long as may be, on its way to a proxy.

mod control_node;

use std::fmt::Write as _;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, TcpStream};
use std::time::{Duration, Instant};

use elderpond_control_wire::{Frames, FromForager, FromHive, Hello, Link, encode, unpack};

use control_node::{ControlNode, MOST};

/// Bytes of a route's prefix.
const PREFIX: usize = 500;
/// A proxy has all that it is told when it joins within this.
const TOLD_WITHIN: Duration = Duration::from_secs(8);

/// Letters that hardly deflate, the same for each seed.
fn letters(state: &mut u64) -> String {
    let mut next = || {
        *state ^= *state << 13;
        *state ^= *state >> 7;
        *state ^= *state << 17;
        char::from(
            b"0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ-_"
                [(*state % 64) as usize],
        )
    };
    (0..PREFIX).map(|_| next()).collect()
}

/// A configuration of many routes, of nearly so many bytes.
fn configuration(version: u64, bytes: usize) -> Vec<u8> {
    let mut text = format!(
        r#"{{"version-number":"r{version}","cluster-list":[{{"name":"simulator"}}],
"listener-list":[{{"host":"a.example","rule-set":["#
    );
    let mut state = 88_172_645_463_325_252;
    while text.len() < bytes - 1_000 {
        let comma = if text.ends_with('[') { "" } else { "," };
        let prefix = letters(&mut state);
        let _ = write!(
            text,
            r#"{comma}{{"name":"{version}","kind":"safe","match-condition":{{"path-prefix":"/{prefix}/"}},
"route-action":{{"service":"simulator","timeout-s":2,"attempts":2}}}}"#
        );
    }
    text.push_str("]}]}");
    text.into_bytes()
}

/// A proxy that joins with a version, and what it is told until it has the one it waits for, a table and a
/// heartbeat that vouches behind them.
fn join(control_node: &ControlNode, awaited: u64) -> Result<(), String> {
    let hello = Hello {
        node: Ipv4Addr::LOCALHOST,
        zone: "sali-a".into(),
        life: 1,
        version: 0,
        departed: Vec::new(),
    };
    let mut link =
        TcpStream::connect(("127.0.0.1", control_node.inner)).map_err(|it| it.to_string())?;
    link.set_read_timeout(Some(TOLD_WITHIN))
        .map_err(|it| it.to_string())?;
    link.write_all(&encode(&Link::Forager(hello)))
        .map_err(|it| it.to_string())?;
    let (mut frames, mut chunk) = (Frames::default(), vec![0; 64 << 10]);
    let (mut held, mut table, since) = (0, false, Instant::now());
    while since.elapsed() < TOLD_WITHIN {
        while let Some(message) = frames.read().map_err(|it| it.to_string())? {
            match unpack(message).map_err(|it| it.to_string())? {
                FromHive::Version { version, .. } => {
                    held = version;
                    let taken = encode(&FromForager::Taken { version });
                    link.write_all(&taken).map_err(|it| it.to_string())?;
                }
                FromHive::Whole { .. } => table = true,
                FromHive::Pulse(pulse) if pulse.majority && held >= awaited && table => {
                    return Ok(());
                }
                _ => {}
            }
        }
        match link.read(&mut chunk).map_err(|it| it.to_string())? {
            0 => return Err(format!("the link was closed; r{held}, table: {table}")),
            read => frames.buffer.extend_from_slice(&chunk[..read]),
        }
    }
    Err(format!("not told in time; r{held}, table: {table}"))
}

/// Guards against RECOVER: each link was closed as it was joined, once a version took over 4 MiB.
#[test]
fn given_the_longest_configuration_when_a_proxy_joins_then_it_is_told_all_on_one_link() {
    let mut control_node = ControlNode::started();
    let (status, said) = control_node.replace(&configuration(5, MOST));
    assert_eq!(status, 200, "{said}");
    assert_eq!(join(&control_node, 5), Ok(()));
    control_node.kill();
    control_node.start(false);
    assert_eq!(join(&control_node, 5), Ok(()), "after a kill");
}
