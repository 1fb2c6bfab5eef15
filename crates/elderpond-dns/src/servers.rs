//! Which server is asked, and when one is left alone.

use crate::found::Failure;

/// The first rest after a failure, and the longest, in milliseconds.
const FIRST_REST_MS: f64 = 1000.0;
const LONGEST_REST_MS: f64 = 60_000.0;
/// A server that will not or cannot answer us at all rests longer from the start.
const REFUSAL_REST_MS: f64 = 15_000.0;

#[derive(Clone, Debug, Default)]
struct Server {
    rest_ms: f64,
    until: f64,
    /// It could not read a query with EDNS (RFC 6891, 6.2.2).
    plain: bool,
}

/// The servers of a source, asked in turn.
#[derive(Clone, Debug)]
pub struct Servers {
    servers: Vec<Server>,
    turn: usize,
}

impl Servers {
    /// So many servers.
    pub fn new(count: usize) -> Self {
        Self {
            servers: vec![Server::default(); count],
            turn: 0,
        }
    }

    /// The order in which they are to be asked now: those that do not rest, in turn. Nobody while all
    /// rest: a failing name service is not asked the more for it.
    pub fn order(&mut self, now: f64) -> Vec<usize> {
        let count = self.servers.len();
        let order = (0..count).map(|step| (self.turn + step) % count);
        let order: Vec<usize> = order
            .filter(|server| self.servers[*server].until <= now)
            .collect();
        self.turn = (self.turn + 1) % count.max(1);
        order
    }

    /// When one of them may be asked again.
    pub fn awake_at(&self) -> f64 {
        self.servers
            .iter()
            .map(|server| server.until)
            .fold(f64::INFINITY, f64::min)
    }

    /// A server has answered.
    pub fn answered(&mut self, server: usize) {
        let state = &mut self.servers[server];
        (state.rest_ms, state.until) = (0.0, 0.0);
    }

    /// A server has failed: it rests, twice as long each time. One that could not read a query is
    /// first asked again without EDNS; whether that is so.
    pub fn failed(&mut self, now: f64, server: usize, failure: Failure) -> bool {
        let state = &mut self.servers[server];
        if failure == Failure::Unread && !state.plain {
            state.plain = true;
            return true;
        }
        let first = match failure {
            Failure::Refused | Failure::Lame | Failure::Unread => REFUSAL_REST_MS,
            Failure::Loop => return false, // the zone's fault, not the server's
            Failure::Silent | Failure::Server | Failure::Other(_) => FIRST_REST_MS,
        };
        state.rest_ms = (2.0 * state.rest_ms).clamp(first, LONGEST_REST_MS);
        state.until = now + state.rest_ms;
        false
    }

    /// Whether a server is asked with EDNS.
    pub fn edns(&self, server: usize) -> bool {
        !self.servers[server].plain
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn servers_are_asked_in_turn_and_rest_longer_each_time() {
        let mut servers = Servers::new(3);
        assert_eq!(servers.order(0.0), [0, 1, 2]);
        assert_eq!(servers.order(0.0), [1, 2, 0]);
        assert!(!servers.failed(0.0, 1, Failure::Silent));
        assert_eq!(servers.order(999.0), [2, 0]);
        assert_eq!(servers.order(1000.0), [0, 1, 2]);
        servers.failed(1000.0, 1, Failure::Server);
        assert_eq!(servers.order(2999.0), [2, 0]);
        for _ in 0..20 {
            servers.failed(0.0, 1, Failure::Silent);
        }
        assert_eq!(servers.servers[1].rest_ms, LONGEST_REST_MS);
        servers.answered(1);
        assert_eq!(servers.order(0.0).len(), 3);
    }

    #[test]
    fn nobody_is_asked_while_all_rest() {
        let mut servers = Servers::new(2);
        servers.failed(0.0, 0, Failure::Silent);
        servers.failed(500.0, 1, Failure::Refused);
        assert!(servers.order(900.0).is_empty());
        assert_eq!(servers.awake_at(), 1000.0);
    }

    #[test]
    fn one_that_cannot_read_edns_is_asked_without() {
        let mut servers = Servers::new(1);
        assert!(servers.edns(0) && servers.failed(0.0, 0, Failure::Unread));
        assert!(!servers.edns(0) && servers.order(0.0) == [0]);
        assert!(!servers.failed(0.0, 0, Failure::Unread));
        assert!(servers.order(14_999.0).is_empty());
    }
}
