//! What the system says of a process and of its connections, read out of its text.

use std::collections::HashMap;
use std::net::SocketAddrV4;

/// Of `/proc/PID/stat`: processor time so far, user and system, in clock ticks (a hundredth of a second
/// on Linux).
pub fn ticks(stat: &str) -> Option<u64> {
    // the name, in brackets, may hold anything
    let (_, rest) = stat.rsplit_once(')')?;
    let mut fields = rest.split_whitespace().skip(11);
    let user: u64 = fields.next()?.parse().ok()?;
    let system: u64 = fields.next()?.parse().ok()?;
    Some(user + system)
}

/// Of `/proc/PID/status`: memory in kB, the most so far and now (`VmHWM`, `VmRSS`).
pub fn memory(status: &str) -> Option<(u64, u64)> {
    let field = |name: &str| -> Option<u64> {
        let line = status.lines().find_map(|line| line.strip_prefix(name))?;
        line.split_whitespace().next()?.parse().ok()
    };
    Some((field("VmHWM:")?, field("VmRSS:")?))
}

/// One end of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Ends {
    /// The end that this is.
    pub here: SocketAddrV4,
    /// The other one.
    pub there: SocketAddrV4,
}

/// Bytes of a connection so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Carried {
    /// Sent.
    pub sent: u64,
    /// Received.
    pub received: u64,
}

/// What `ss -tinH` says of connections over IPv4: one line of addresses, one of figures.
pub fn connections(text: &str) -> HashMap<Ends, Carried> {
    let mut all = HashMap::new();
    let mut ends = None;
    for line in text.lines() {
        if !line.starts_with([' ', '\t']) {
            let mut fields = line.split_whitespace().skip(3);
            let mut next = || fields.next().and_then(|it| it.parse().ok());
            ends = next().zip(next()).map(|(here, there)| Ends { here, there });
            continue;
        }
        let figure = |name: &str| {
            let found = line.split_whitespace().find_map(|it| it.strip_prefix(name));
            found.and_then(|it| it.parse().ok()).unwrap_or(0)
        };
        if let Some(ends) = ends.take() {
            let (sent, received) = (figure("bytes_sent:"), figure("bytes_received:"));
            all.insert(ends, Carried { sent, received });
        }
    }
    all
}
