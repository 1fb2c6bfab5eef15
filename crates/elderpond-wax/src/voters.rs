//! How the members of a new set of voters take over what the old ones hold. The replica decides the sets.

use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use std::ops::Bound;

use elderpond_consensus::{Millis, Voter, VoterSet};

use crate::types::{Action, Cell, Kept, Key, Message, Mutant};
use crate::wax::Wax;

/// What was taken over for the present set so far.
#[derive(Clone, Debug, Default, Hash)]
pub(crate) struct Transfer {
    next: Millis,
    /// How far each hive has told what it holds.
    reached: BTreeMap<Ipv4Addr, Key>,
    staged: BTreeMap<Key, (Cell, Millis)>,
    forgotten: (u64, u64),
    answers: BTreeSet<Ipv4Addr>,
    voted: bool,
}

impl Wax {
    fn me(&self) -> Voter {
        Voter {
            node: self.me,
            disk: self.disk,
        }
    }

    /// Whether this disk is one of the present voters, caught up or not.
    pub(crate) fn is_member(&self) -> bool {
        let voters = self.set.as_ref().map(|set| &set.voters);
        voters.is_some_and(|voters| voters.contains(&self.me()))
    }

    /// Whether this hive votes in the present epoch.
    #[must_use]
    pub fn is_active(&self) -> bool {
        let caught_up = self.active_in == self.epoch() || self.mutated(Mutant::BeforeCaughtUp);
        self.is_member() && caught_up
    }

    /// Whether this hive votes, and its disk knows that it does. Only then may the replica on it take part in
    /// deciding the next set.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        self.is_active() && self.active_on_disk == self.epoch()
    }

    pub(crate) fn adopt(&mut self, set: VoterSet) {
        if set.epoch <= self.epoch() {
            return;
        }
        if self.mutated(Mutant::WipedIsCounted) && self.empty_start {
            let mine = set.voters.iter().find(|voter| voter.node == self.me);
            if let Some(voter) = mine {
                (self.disk, self.active_in) = (voter.disk, set.epoch);
            }
        }
        // Who did not vote in the set before has nothing but what others may have ended meanwhile.
        if self.active_in < set.epoch - 1 {
            for key in self.slots.keys().cloned().collect::<Vec<_>>() {
                self.forget(&key);
            }
        }
        self.set = Some(set);
        self.transfer = Transfer::default();
        self.leads.clear();
        self.head_dirty = true;
        self.restart();
        self.take_over();
    }

    /// Asks for what the old voters hold, while this hive is to vote but does not yet.
    pub(crate) fn take_over(&mut self) {
        if !self.is_member() || self.is_active() || self.now < self.transfer.next {
            return;
        }
        self.transfer.next = self.now + self.rules.retry;
        let Some(set) = &self.set else { return };
        let nodes = set.previous.iter().chain(&set.voters);
        let nodes: BTreeSet<_> = nodes.map(|voter| voter.node).collect();
        for node in nodes {
            if !self.transfer.answers.contains(&node) {
                self.ask_page(node);
            }
        }
    }

    fn ask_page(&mut self, node: Ipv4Addr) {
        let Some(set) = self.set.clone() else { return };
        let after = self.transfer.reached.get(&node).cloned();
        self.send(node, Message::Take { set, after });
    }

    pub(crate) fn on_take(&mut self, from: Ipv4Addr, set: VoterSet, after: Option<Key>) {
        let epoch = set.epoch;
        self.adopt(set);
        if let Some(newer) = self.set.clone().filter(|set| set.epoch > epoch) {
            return self.send(from, Message::Newer(newer));
        }
        let start = after.as_ref().map_or(Bound::Unbounded, Bound::Excluded);
        let slots = self.slots.range::<Key, _>((start, Bound::Unbounded));
        let lived = self.lived();
        let held = slots.filter_map(|(key, slot)| {
            slot.cell.as_ref().map(|cell| Kept {
                key: key.clone(),
                cell: cell.clone(),
                since: lived.saturating_sub(slot.since),
            })
        });
        let most = if from == self.me { 0 } else { self.rules.page };
        let mut cells: Vec<_> = held.take(most + 1).collect();
        let more = cells.len() > most && most > 0;
        cells.truncate(most);
        let message = Message::State {
            epoch,
            disk: self.disk,
            active_in: self.active_in,
            forgotten: self.forgotten,
            after,
            cells,
            more,
        };
        self.send_durable(from, message, self.level_of_all());
    }

    #[allow(clippy::too_many_arguments)]
    pub(crate) fn on_state(
        &mut self,
        from: Ipv4Addr,
        epoch: u64,
        disk: u64,
        active_in: u64,
        forgotten: (u64, u64),
        after: Option<Key>,
        cells: Vec<Kept>,
        more: bool,
    ) {
        let wanted = epoch == self.epoch() && self.is_member() && !self.is_active();
        if !wanted || self.transfer.reached.get(&from) != after.as_ref() {
            return;
        }
        let Some(set) = &self.set else { return };
        let old = set.previous.contains(&Voter { node: from, disk });
        // Only who voted in the last set, or does in this, holds nothing that has ended since.
        if active_in + 1 >= epoch {
            let lived = self.lived();
            if let Some(last) = cells.last() {
                self.transfer.reached.insert(from, last.key.clone());
            }
            self.transfer.forgotten = self.transfer.forgotten.max(forgotten);
            for Kept { key, cell, since } in cells {
                let staged = self.transfer.staged.get(&key);
                if staged.is_none_or(|(held, _)| held.rank() < cell.rank()) {
                    let since = lived.saturating_sub(since);
                    self.transfer.staged.insert(key, (cell, since));
                }
            }
            if more {
                return self.ask_page(from);
            }
        }
        if old {
            self.transfer.answers.insert(from);
            self.transfer.voted |= active_in + 1 >= epoch;
        }
        let enough = self.transfer.answers.len() > set.previous.len() / 2 && self.transfer.voted;
        if !enough && active_in != epoch {
            return;
        }
        let taken = std::mem::take(&mut self.transfer);
        self.forgotten = self.forgotten.max(taken.forgotten);
        for (key, (cell, since)) in taken.staged {
            let held = self.slots.get(&key).and_then(|slot| slot.cell.as_ref());
            if held.is_none_or(|held| held.rank() < cell.rank()) {
                self.hold(&key, cell, since);
            }
        }
        self.active_in = epoch;
        self.head_dirty = true;
        self.out.push(Action::Log(format!(
            "orders: votes in epoch {epoch}, with {} keys",
            self.slots.len()
        )));
    }
}
