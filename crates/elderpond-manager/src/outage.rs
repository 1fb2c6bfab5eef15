//! Says once that a peer fails and once that it is well again, however often it is tried meanwhile.

use std::fmt::Display;

/// Whether a peer is well.
pub struct Outage {
    peer: &'static str,
    failures: u64,
}

impl Outage {
    /// A peer that is taken to be well.
    pub fn none(peer: &'static str) -> Self {
        let failures = 0;
        Self { peer, failures }
    }

    /// Notes a failure; tells how many there have been in a row.
    pub fn failed(&mut self, cause: &dyn Display) -> u64 {
        self.failures += 1;
        if self.failures == 1 {
            log::warn!(peer = self.peer; "{}: {cause}", self.peer);
        }
        self.failures
    }

    /// Notes that the peer is well.
    pub fn over(&mut self) {
        if self.failures > 0 {
            let (peer, failures) = (self.peer, self.failures);
            log::info!(peer = peer, failures = failures; "{peer}: well again after {failures} failures");
            self.failures = 0;
        }
    }
}
