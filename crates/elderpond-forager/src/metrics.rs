//! What the process tells of itself at `/metrics`, in the text format that Prometheus reads.

use std::cell::Cell;
use std::fmt::Write;

use elderpond_forage::Millis;

use crate::departure::Departure;

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

/// Figures about clients that left before they were answered.
#[derive(Debug, Default)]
pub struct Metrics {
    departures: Counter,
    late_notices: Counter,
    tries_begun_after: Counter,
    tries_at_departure: Counter,
    tries_outliving: Counter,
}

impl Metrics {
    /// A client has left while it was owed an answer, and its connection was given up at `now`.
    pub fn departed(&self, departure: &Departure, now: Millis) {
        self.departures.add(1);
        let late = departure.at().is_some_and(|at| now > at + PROMPT);
        self.late_notices.add(late.into());
    }

    /// A request was sent to a worker at `start`, and is over at `now`.
    pub fn try_ended(&self, departure: &Departure, start: Millis, now: Millis) {
        let Some(at) = departure.at() else {
            return;
        };
        match start > at {
            true => self.tries_begun_after.add(1),
            false => self.tries_at_departure.add(1),
        }
        self.tries_outliving.add((now > at + PROMPT).into());
    }

    /// All figures.
    #[must_use]
    pub fn text(&self) -> String {
        let figures = [
            (
                "client_departures_total",
                "clients that left before they were answered",
                &self.departures,
            ),
            (
                "client_departures_noticed_late_total",
                "those of them whose connection was given up over 0.5 s later",
                &self.late_notices,
            ),
            (
                "tries_at_departure_total",
                "requests that were at a worker when their client left",
                &self.tries_at_departure,
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
        ];
        let mut text = String::new();
        for (name, help, counter) in figures {
            let value = counter.0.get();
            let _ = writeln!(text, "# HELP elderpond_{name} {help}");
            let _ = writeln!(text, "# TYPE elderpond_{name} counter");
            let _ = writeln!(text, "elderpond_{name} {value}");
        }
        text
    }
}
