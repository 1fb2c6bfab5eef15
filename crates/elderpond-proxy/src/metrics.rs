//! What the process tells of itself at `/metrics`, in the text format that Prometheus reads.

use std::cell::Cell;
use std::fmt::Write;

use elderpond_forage::Millis;

use crate::client_departure::ClientDeparture;
use crate::connection_end::ConnectionEnd;

/// Milliseconds for which a try may run on after its client has left without being counted as late.
const PROMPT: Millis = 500;

/// A figure that only grows.
#[derive(Debug, Default)]
struct Counter(Cell<u64>);

impl Counter {
    fn add(&self, number: u64) {
        self.0.set(self.0.get() + number);
    }
}

/// Figures about clients' connections and departures, and about the control nodes that are followed.
#[derive(Debug, Default)]
pub struct Metrics {
    control_nodes_left: Counter,
    unvouched_heartbeats: Counter,
    departures: Counter,
    tries_begun_after: Counter,
    tries_at_departure: Counter,
    tries_stopped: Counter,
    tries_outliving: Counter,
    client_connections_ended: [Counter; ConnectionEnd::ALL.len()],
    bytes_dropped: Counter,
    cut_off: Counter,
    control_link_version: Cell<u8>,
}

impl Metrics {
    /// The connection to a control node has ended.
    pub fn control_node_left(&self) {
        self.control_nodes_left.add(1);
    }

    /// The control node that is followed speaks this version of the wire; 0 where it has not said so, and
    /// where none is followed.
    pub fn control_link_version(&self, version: u8) {
        self.control_link_version.set(version);
    }

    /// A control node said that it does not vouch for what it tells.
    pub fn unvouched_heartbeat(&self) {
        self.unvouched_heartbeats.add(1);
    }

    /// A client has left while it was owed an answer.
    pub fn departed(&self) {
        self.departures.add(1);
    }

    /// A request was sent to a worker at `start`, and is over at `now`: so or, if it was
    /// `stopped`, as its client had left.
    pub fn try_ended(
        &self,
        departure: &ClientDeparture,
        (start, now): (Millis, Millis),
        stopped: bool,
    ) {
        let Some(at) = departure.at() else {
            return;
        };
        match start > at {
            true => self.tries_begun_after.add(1),
            false => self.tries_at_departure.add(1),
        }
        self.tries_stopped.add(stopped.into());
        self.tries_outliving.add((now > at + PROMPT).into());
    }

    /// A client's connection is ended by the proxy.
    pub fn client_connection_ended(&self, end: ConnectionEnd) {
        self.client_connections_ended[end as usize].add(1);
    }

    /// So many bytes of a client were read and dropped behind its last answer.
    pub fn bytes_dropped(&self, bytes: usize) {
        self.bytes_dropped.add(bytes as u64);
    }

    /// A request was answered without its worker, as the process ends.
    pub fn cut_off(&self) {
        self.cut_off.add(1);
    }

    /// How many requests were answered without their workers, as the process ends.
    pub fn requests_cut_off(&self) -> u64 {
        self.cut_off.0.get()
    }

    /// All figures.
    #[must_use]
    pub fn text(&self) -> String {
        let figures = [
            (
                "control_nodes_left_total",
                "connections to control nodes that have ended",
                &self.control_nodes_left,
            ),
            (
                "unvouched_heartbeats_total",
                "heartbeats of control nodes that did not vouch for what they tell",
                &self.unvouched_heartbeats,
            ),
            (
                "client_departures_total",
                "clients that left before they were answered",
                &self.departures,
            ),
            (
                "tries_at_departure_total",
                "requests that were at a worker when their client left",
                &self.tries_at_departure,
            ),
            (
                "tries_stopped_total",
                "requests taken back from a worker, as their client had left",
                &self.tries_stopped,
            ),
            (
                "tries_begun_after_departure_total",
                "requests sent to a worker after their client had left",
                &self.tries_begun_after,
            ),
            (
                "tries_outliving_client_total",
                "requests that were at a worker over 0.5 s after their client had left",
                &self.tries_outliving,
            ),
            (
                "client_bytes_dropped_total",
                "bytes of clients that were read and dropped behind a last answer",
                &self.bytes_dropped,
            ),
            (
                "requests_cut_off_total",
                "requests whose workers were not waited for any more as the process ended",
                &self.cut_off,
            ),
        ];
        let mut text = String::new();
        for (name, help, counter) in figures {
            let value = counter.0.get();
            let _ = writeln!(text, "# HELP elderpond_{name} {help}");
            let _ = writeln!(text, "# TYPE elderpond_{name} counter");
            let _ = writeln!(text, "elderpond_{name} {value}");
        }
        let _ = writeln!(
            text,
            "# HELP elderpond_control_link_version version of the wire that is spoken with the control node\n\
             # TYPE elderpond_control_link_version gauge\n\
             elderpond_control_link_version {}",
            self.control_link_version.get()
        );
        write_by_end(
            &mut text,
            "client_connections_ended_total",
            "connections of clients that the proxy ended",
            &self.client_connections_ended,
        );
        text
    }
}

/// Writes one figure for each way in which connections end.
fn write_by_end(
    text: &mut String,
    name: &str,
    help: &str,
    counters: &[Counter; ConnectionEnd::ALL.len()],
) {
    let _ = writeln!(text, "# HELP elderpond_{name} {help}");
    let _ = writeln!(text, "# TYPE elderpond_{name} counter");
    for end in ConnectionEnd::ALL {
        let (reason, value) = (end.name(), counters[end as usize].0.get());
        let _ = writeln!(text, "elderpond_{name}{{reason=\"{reason}\"}} {value}");
    }
}
