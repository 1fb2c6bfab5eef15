//! The channel to the proxies: its pace, what it has room for, and what was sent.

use super::*;

impl Manager {
    /// The pace of the channel, where answers show that it held messages up: a slow one that is sent as
    /// much as ever holds orders back for tens of seconds, and overflows. Answers that do not come show
    /// nothing: whom a cut zone or a broken stream has silenced does not answer either.
    pub(super) fn measure_channel(&mut self) {
        let rate = self.set.channel_rate;
        let seconds = (self.now - self.measured_at) / 1000.0;
        let (took, carried) = self.channel.measure();
        let late = self.set.push_delay_max_ms + GATHER_MS / 2.0;
        let pace = match took {
            Some(took) if took > late => (self.pace + carried / seconds) / 2.0,
            Some(_) => self.pace * 1.5,
            None => self.pace,
        };
        self.pace = pace.min(rate).max(rate * CHANNEL_LEAST);
    }

    /// Messages that each of these proxies may still be sent.
    pub(super) fn messages_left(&self, users: &[ProxyId]) -> usize {
        if self.set.update_cap == 0 {
            return usize::MAX;
        }
        let span = self.set.update_span_ms + GATHER_MS;
        let late = |sent: &&f64| self.now - **sent <= span;
        let count = |id: &ProxyId| self.proxies[id].sent.iter().filter(late).count();
        let most = users.iter().map(count).max().unwrap_or(0);
        self.set.update_cap.saturating_sub(most)
    }

    /// Lines that a message to each of these proxies may hold.
    pub(super) fn room(&self, users: &[ProxyId], (part, span_ms): (f64, f64)) -> usize {
        let (under_way, way) = (self.channel.under_way(), self.set.push_delay_ms / 1000.0);
        let span = self.pace * span_ms / 1000.0;
        // Messages that have left the channel are on their way, and not answered yet.
        let queue = self.queue.max(under_way - self.pace * way);
        let before = [under_way, queue][usize::from(span_ms.is_finite())];
        let most = (self.set.queue_cap * part).min(span);
        let room = (most - before) / users.len().max(1) as f64;
        (room - self.set.head_lines).max(0.0) as usize
    }

    pub(super) fn spend(&mut self, users: &[ProxyId], lines: usize) {
        let lines = users.len() as f64 * (self.set.head_lines + 1.0 + lines as f64); // and a mark
        (self.queue, self.channel.sent) = (self.queue + lines, self.channel.sent + lines);
        for id in users.iter().filter(|_| self.set.update_cap > 0) {
            if let Some(proxy) = self.proxies.get_mut(id) {
                proxy.sent.truncate(self.set.update_cap);
                proxy.sent.push_front(self.now);
            }
        }
    }
}
