//! Orders: the difference between tables as they are and as they should be, as the channel allows.

use super::*;

impl Manager {
    pub(super) fn publish(&mut self, out: &mut Vec<Action>) {
        let now = self.now;
        if now - self.measured_at >= GATHER_MS {
            self.measure_channel();
            self.measured_at = now;
            let all = self.admitted >= 1.0;
            self.measure();
            if all != (self.admitted >= 1.0) {
                let text = ["room again", "short of capacity"][usize::from(all)];
                out.push(Action::log(text.to_owned()));
            }
        }
        let due = now - self.flushed_at >= GATHER_MS;
        let (first, sent) = (out.len(), self.channel.sent);
        self.mark = (self.mark + 1) % 65536;
        let mut users: BTreeMap<Option<TableId>, Vec<ProxyId>> = BTreeMap::new();
        let mut loads: BTreeMap<TableId, f64> = BTreeMap::new();
        for (&id, proxy) in &self.proxies {
            users.entry(proxy.on).or_default().push(id);
            *loads.entry(proxy.on.unwrap_or(SHARED)).or_default() += proxy.who.rate;
        }
        let levels = self.wanted_levels();
        // Who has waited longest goes first, or a shared table in unrest leaves the hands nothing.
        let mut wanted = Vec::from_iter(self.wanted(&loads));
        let written = |id| self.tables[&id].written_at;
        wanted.sort_by(|a, b| written(a.0).total_cmp(&written(b.0)));
        for (id, lines) in wanted {
            let on = if self.set.slices > 0 { SHARED } else { id };
            let users = users.get(&Some(on)).map_or(&[][..], Vec::as_slice);
            self.write_table(id, (&lines, &levels), users, due, out);
        }
        self.bind(loads, out);
        if self.channel.sent > sent || self.set.single_owner && out.len() > first {
            out.push(Action::Mark { mark: self.mark });
            self.channel.marked(self.mark, now);
        }
    }

    /// Orders the difference between a table as it is and as it should be: first what a rule asks
    /// for, at once; then, gathered, levels, falls to nothing and the largest other changes.
    fn write_table(
        &mut self,
        id: TableId,
        (wanted, levels): (&Lines, &[Level]),
        mut users: &[ProxyId],
        due: bool,
        out: &mut Vec<Action>,
    ) {
        let (table, slices) = (&self.tables[&id], self.set.slices > 0);
        let bare = !table.lines.keys().any(|id| wanted.contains_key(id));
        let mut orders = Vec::new();
        let gone = table.lines.keys().filter(|id| !wanted.contains_key(id));
        for &worker in wanted.keys().chain(gone) {
            let have = table.lines.get(&worker).copied().unwrap_or(0.0);
            let want = wanted.get(&worker).copied().unwrap_or(0.0);
            let state = self.workers.get(&worker);
            let barred = state.is_none_or(|w| !w.ready() || self.warmth(w) < 1.0);
            let urgent = slices || bare || barred && want < have; // rules 1, 3 and 4
            if want != have {
                let class = if urgent { 0 } else { 2 + u8::from(want > 0.0) };
                orders.push((class, -(want - have).abs(), Order::Line(worker, want)));
            }
        }
        let levels = levels.iter().enumerate().filter(|_| !slices);
        for (k, level) in levels.filter(|(k, level)| table.levels.get(k) != Some(*level)) {
            orders.push((1, 0.0, Order::Level(k, *level)));
        }
        orders.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        let upto = |class: u8| orders.iter().filter(|order| order.0 <= class).count();
        let fits = self.room(users, URGENT);
        if id == SHARED && !users.is_empty() {
            let much = self.hand_lines.is_some_and(|lines| upto(0) / 2 > lines);
            let mut hands = self.tables.range(HANDS..);
            self.flight |= upto(0) > fits && much;
            self.flight &= hands.any(|(_, table)| !table.lines.is_empty());
            if self.flight {
                return;
            }
        }
        if id >= HANDS && wanted.is_empty() {
            for id in std::mem::take(&mut users) {
                self.proxies.entry(*id).and_modify(|proxy| proxy.on = None);
            }
        }
        let left = self.messages_left(users);
        // What cannot wait gathers too while it does not all fit: heads would take the channel.
        let soon = self.now - self.flushed_at >= GATHER_MS / 2.0;
        let urgent = left > 0 && (soon || upto(0) <= fits);
        let mut count = upto(0).min(if urgent { fits } else { 0 });
        if users.is_empty() {
            count = orders.len(); // nobody to send it to: it costs nothing
        } else if (due || count > 0) && left > self.set.update_cap / 4 {
            count = count.max(orders.len().min(self.room(users, ORDINARY)));
        }
        if id == SHARED {
            self.behind = count < upto(2);
        }
        if count > 0 && !users.is_empty() {
            self.flushed_at = self.now;
            self.spend(users, count);
        }
        let (now, free_at) = (self.now, self.now + self.release_ms());
        let table = self.tables.entry(id).or_default();
        table.written_at = if count > 0 { now } else { table.written_at };
        for (.., order) in orders.into_iter().take(count) {
            match order {
                Order::Line(worker, weight) => {
                    out.push(Action::set_weight(id, worker, weight));
                    if table.lines.insert(worker, weight).is_some() && weight == 0.0 {
                        table.lines.remove(&worker);
                        (table.mark, table.free_at) = (self.mark, free_at);
                        table.holding = users.iter().copied().collect();
                    }
                }
                Order::Level(k, level) => {
                    out.push(Action::allow(Scope::Table(id), k, level));
                    table.levels.insert(k, level);
                }
            }
        }
    }
}
