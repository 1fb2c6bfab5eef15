//! Hands: the workers of a zone dealt into small tables, and proxies bound to them.

use super::*;

/// Hands a zone, and proxies a hand at least.
const ZONE_HANDS: u16 = 128;
const HAND_USERS: usize = 10;
/// For what its workers can do a hand may carry this much more than another of its zone.
const UNEVEN: f64 = 1.2;

impl Manager {
    /// The hand of a new worker. Where the whole table for all proxies would take the channel longer
    /// than a drain may wait, the workers of a zone are dealt into hands that take it half as long.
    pub(super) fn deal(&mut self, zone: ZoneId, entries: &[Entry]) -> TableId {
        let (set, proxies) = (&self.set, self.set.proxies.max(1));
        let in_time = set.channel_rate * CHANNEL_PART * set.drain_grace_ms / 1000.0;
        let lines = in_time / 2.0 / proxies as f64 - set.head_lines - set.classes.len() as f64;
        let least = set.standing_lines.max(HAND_USERS * entries.len() / proxies);
        let size = least.max(lines as usize).max(1);
        let most = if self.home { 1 } else { ZONE_HANDS.into() };
        let (hands, dealt) = self.dealt.entry(zone).or_insert_with(|| {
            let all = entries.iter().filter(|entry| entry.zone == zone).count();
            ((all / size).clamp(1, most) as u16, 0)
        });
        *dealt = dealt.wrapping_add(1);
        let hand = HANDS + zone % ZONE_HANDS * ZONE_HANDS + *dealt % *hands;
        let late = !self.home && proxies as f64 * entries.len() as f64 > in_time;
        self.hand_lines = self.hand_lines.or(late.then_some(size));
        if self.set.slices == 0 && (self.home || self.hand_lines.is_some()) {
            self.tables.entry(hand).or_default();
        }
        hand
    }

    /// Puts joiners on their tables as fast as the queue allows: what they follow until then, old
    /// tables and withdrawals, nobody keeps up to date. Where there are hands each is first dealt the
    /// one of its zone that carries least for what it can do, and moved to the shared table as orders
    /// leave room, from the fullest hands first.
    pub(super) fn bind(&mut self, mut loads: BTreeMap<TableId, f64>, out: &mut Vec<Action>) {
        let place = |proxy: &Proxy| match proxy.on {
            None => Some(false),
            Some(SHARED) => (self.flight || self.home).then_some(false),
            Some(_) => (!self.flight && !self.behind && !self.home).then_some(true),
        };
        let laid = self.tables.range(HANDS..);
        let laid = laid.filter(|(_, table)| !table.lines.is_empty() && self.set.slices == 0);
        let able = |lines: &Lines| lines.values().sum::<f64>().max(1e-9);
        let hands = BTreeMap::from_iter(laid.map(|(id, table)| (*id, able(&table.lines))));
        let full = |loads: &BTreeMap<TableId, f64>, id: TableId, more: f64| {
            (loads.get(&id).copied().unwrap_or(0.0) + more) / hands.get(&id).copied().unwrap_or(1.0)
        };
        let joiners = self.proxies.values().filter_map(|proxy| {
            let held = place(proxy)?;
            let on = proxy.on.filter(|_| held);
            let full = on.map_or(0.0, |on| full(&loads, on, 0.0));
            Some((held, full, proxy.who.clone()))
        });
        let mut queue: Vec<(bool, f64, Joined)> = joiners.collect();
        queue.sort_by(|a, b| {
            let fullest = a.0.cmp(&b.0).then(b.1.total_cmp(&a.1));
            fullest.then(b.2.rate.total_cmp(&a.2.rate))
        });
        for (held, _, who) in queue {
            let with = |id: &TableId| full(&loads, *id, who.rate);
            let least = |a: &TableId, b: &TableId| with(a).total_cmp(&with(b));
            let near = |id: &TableId| (*id - HANDS) / ZONE_HANDS == who.zone % ZONE_HANDS;
            let near = hands.keys().copied().filter(near).min_by(least);
            let far = hands.keys().copied().filter(|_| !held && !self.home);
            let was = self.proxies[&who.proxy].on.unwrap_or(SHARED);
            let uneven = |id: &TableId| full(&loads, was, 0.0) > UNEVEN * with(id);
            let near = near.filter(|id| !held || uneven(id));
            let hand = near.or_else(|| far.min_by(least));
            let (on, proxy) = (hand.unwrap_or(SHARED), [who.proxy]);
            let table = self.tables.get(&on);
            let (lines, levels) = table.map_or((0, 0), |t| (t.lines.len(), t.levels.len()));
            let part = if held { MOVE } else { JOIN };
            if lines == 0 || self.room(&proxy, part) <= lines + levels {
                break;
            }
            let may = self.messages_left(&proxy) > usize::from(held) * (self.set.update_cap / 4);
            let state = self.proxies.get_mut(&who.proxy);
            if let Some(state) = state.filter(|state| may && state.on != Some(on)) {
                state.on = Some(on);
                *loads.entry(was).or_default() -= who.rate;
                *loads.entry(on).or_default() += who.rate;
                self.spend(&proxy, 1 + lines + levels);
                out.push(Action::bind(0, on, who.proxy));
            }
        }
        self.flight &= self.proxies.values().any(|proxy| proxy.on == Some(SHARED));
    }
}
