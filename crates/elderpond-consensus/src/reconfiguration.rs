//! The set of voters: who should vote, how the next set is decided, and how its members take the state over.

use std::collections::BTreeSet;
use std::net::Ipv4Addr;

use crate::handover::Farewell;
use crate::replica::{LATE, Peer, Replica};
use crate::state_transfer::Transfer;
use crate::types::{Action, Ballot, Message, Millis, Mutant, Voter, VoterSet};
use crate::voter_selection::{Selection, Standing};

/// A machine of which a beat came within so many beats may become a voter.
const HEARD_LATELY: Millis = 3;
/// A voter of which none came for so many is replaced. More than [`HEARD_LATELY`]: no machine stands in that
/// was silent for as long.
const SILENT: Millis = 4;

/// An attempt to have the next set decided.
#[derive(Clone, Hash)]
pub(crate) struct SetProposal {
    ballot: Ballot,
    voters: Vec<Voter>,
    best: Option<Ballot>,
    settling: bool,
    yes: BTreeSet<Ipv4Addr>,
    until: Millis,
    again: Millis,
}

impl Replica {
    pub(crate) fn adopt_set(&mut self, set: VoterSet) {
        if set.epoch <= self.epoch() {
            return;
        }
        let names: Vec<_> = set
            .voters
            .iter()
            .map(|voter| voter.node.to_string())
            .collect();
        self.out.push(Action::Log(format!(
            "voters of epoch {}: {}",
            set.epoch,
            names.join(", ")
        )));
        // Else its former disk, if that was heard of last, would soon be asked back.
        let until = self.now + LATE * self.rules.beat;
        for voter in &set.previous {
            let replaced = |new: &Voter| new.node == voter.node && new.disk != voter.disk;
            let peer = self.peers.get_mut(&voter.node);
            if let (Some(peer), true) = (peer, set.voters.iter().any(replaced)) {
                peer.retire(voter.disk, until);
            }
        }
        self.set = Some(set);
        self.set_since = self.now;
        self.promised = Ballot::default();
        self.accepted = None;
        self.set_proposal = None;
        self.propose_set_after = None;
        self.transfer = Transfer::default();
        self.farewell = Farewell::default();
        self.head_dirty = true;
        self.beat_soon = true;
        self.restart_requests();
        self.ask();
    }

    /// This machine with the disk that it has.
    pub(crate) fn this_voter(&self) -> Voter {
        Voter {
            node: self.me,
            disk: self.disk,
        }
    }

    pub(crate) fn is_member(&self) -> bool {
        self.voters().contains(&self.this_voter())
    }

    // Whom to have.

    fn is_live(&self, voter: Voter) -> bool {
        if voter.node == self.me {
            return voter.disk == self.disk;
        }
        let beat = self
            .peers
            .get(&voter.node)
            .and_then(|peer| peer.beat.as_ref());
        self.alive.contains(&voter.node) && beat.is_some_and(|beat| beat.disk == Some(voter.disk))
    }

    /// Who should vote now; nothing while this machine leaves and has heard of nobody else.
    fn wanted(&self) -> Option<Vec<Voter>> {
        let set = self.set.as_ref()?;
        let candidates = self.candidates();
        if candidates.is_empty() {
            return None;
        }
        let standing = |voter: &Voter| (*voter, self.standing(*voter, &candidates));
        let voters: Vec<(Voter, Standing)> = set.voters.iter().map(standing).collect();
        let votes = |node: Ipv4Addr| set.voters.iter().any(|voter| voter.node == node);
        let mut spares = candidates;
        spares.retain(|candidate| !votes(candidate.node));
        let selection = Selection {
            voters: &voters,
            spares: &spares,
            minimum: self.minimum_voters(&voters),
        };
        Some(selection.next_voters())
    }

    fn minimum_voters(&self, voters: &[(Voter, Standing)]) -> usize {
        let minimum = self.rules.minimum_voters.max(1);
        if !self.mutated(Mutant::CountedTwice) {
            return minimum;
        }
        let reformatted =
            |(_, standing): &&(Voter, Standing)| matches!(standing, Standing::Reformatted(_));
        minimum.saturating_sub(voters.iter().filter(reformatted).count())
    }

    /// The machines that were heard of lately and could vote, each with the disk that it has now.
    fn candidates(&self) -> Vec<Voter> {
        let mut candidates = vec![self.this_voter()];
        for &node in &self.alive {
            let Some(peer) = self.peers.get(&node) else {
                continue;
            };
            let disk = peer.beat.as_ref().and_then(|beat| beat.disk);
            let sure = |disk: &u64| !self.has_another_disk(node) || peer.sure == Some(*disk);
            let lately = self.now < peer.heard + HEARD_LATELY * self.rules.beat;
            if let Some(disk) = disk.filter(|disk| lately && sure(disk)) {
                candidates.push(Voter { node, disk });
            }
        }
        let leaves = |voter: &Voter| self.leaving.contains_key(&voter.node);
        candidates.retain(|voter| !leaves(voter) && !self.was_just_left_out(voter));
        candidates
    }

    /// Who was just left out may be ending still, and its last beats be under way.
    fn was_just_left_out(&self, voter: &Voter) -> bool {
        let Some(set) = &self.set else { return false };
        let settled = self.now >= self.set_since + 2 * self.rules.beat;
        !settled && set.previous.contains(voter) && !set.voters.contains(voter)
    }

    /// What is known here of a voter.
    fn standing(&self, voter: Voter, candidates: &[Voter]) -> Standing {
        let reformatted = |it: &&Voter| it.node == voter.node && it.disk != voter.disk;
        if let Some(&replacement) = candidates.iter().find(reformatted) {
            return Standing::Reformatted(replacement);
        }
        // Who leaves may be back in a moment: one that nobody stands in for stays a voter.
        if self.leaving.contains_key(&voter.node) {
            return Standing::Leaves;
        }
        match self.is_down(voter.node) {
            true => Standing::Down,
            false => Standing::Stays,
        }
    }

    /// Whether that machine has been out of reach for long enough to be replaced.
    fn is_down(&self, node: Ipv4Addr) -> bool {
        node != self.me && (self.counts_as_gone(node) || self.is_silent(node))
    }

    /// Whether nobody has reached that machine for long enough.
    fn counts_as_gone(&self, node: Ipv4Addr) -> bool {
        let never_seen = || (!self.alive.contains(&node)).then_some(self.started);
        let since = match self.peers.get(&node) {
            Some(peer) => peer.down_since.or_else(never_seen),
            None => Some(self.started),
        };
        since.is_some_and(|since| self.now > since + self.rules.gone)
    }

    /// Whether no beat of that machine has come here for long enough, whoever else may reach it: one that the
    /// voters do not hear cannot vote with them.
    fn is_silent(&self, node: Ipv4Addr) -> bool {
        let heard = self.peers.get(&node).map_or(0, |peer| peer.heard);
        let since = heard.max(self.started).max(self.set_since);
        self.now > since + SILENT * self.rules.beat
    }

    /// Whether this hive is to vote, and a set of voters without it is under way, or may be once it has heard
    /// of anybody; it has to vote for that first.
    #[must_use]
    pub fn is_on_its_way_out(&self) -> bool {
        let wanted = self.wanted();
        self.is_member() && wanted.is_none_or(|wanted| !wanted.contains(&self.this_voter()))
    }

    pub(crate) fn tick_reconfiguration(&mut self) {
        self.ask();
        if !self.is_active() {
            return;
        }
        if self
            .set_proposal
            .as_ref()
            .is_some_and(|set_proposal| self.now >= set_proposal.until)
        {
            self.set_proposal = None;
        }
        if let Some(set_proposal) = &mut self.set_proposal {
            if self.now >= set_proposal.again {
                set_proposal.again = self.now + self.rules.retry;
                self.send_set_proposal();
            }
            return;
        }
        self.make_all_sure();
        self.consider_set();
    }

    /// Another disk than the voter's was heard of on that machine.
    pub(crate) fn has_another_disk(&self, node: Ipv4Addr) -> bool {
        let Some(set) = &self.set else { return false };
        let beat = self.peers.get(&node).and_then(|peer| peer.beat.as_ref());
        let voter = set.voters.iter().find(|voter| voter.node == node);
        let disk = beat.and_then(|beat| beat.disk);
        voter.is_some_and(|voter| disk.is_some_and(|disk| disk != voter.disk))
    }

    /// A beat may be an old one that comes late, of a disk that was lost since: the machine is asked which
    /// it has. It is asked for the marks that differ, since the answer tells its disk and names the
    /// question.
    pub(crate) fn make_sure(&mut self, node: Ipv4Addr) {
        let disk = |peer: &Peer| peer.beat.as_ref().and_then(|beat| beat.disk);
        if self.peers.get(&node).is_some_and(|it| it.sure == disk(it)) {
            return self.consider_set();
        }
        let (id, sums) = (self.next_id(), self.marks.sums());
        if let Some(peer) = self.peers.get_mut(&node) {
            peer.asked = Some(id);
            let after = None;
            self.send(node, Message::MarksDiffer { id, sums, after });
        }
    }

    /// The same for all machines that seem to have another disk.
    pub(crate) fn make_all_sure(&mut self) {
        let voters: Vec<_> = self.voters().iter().map(|voter| voter.node).collect();
        for node in voters {
            if self.alive.contains(&node) && self.has_another_disk(node) {
                self.make_sure(node);
            }
        }
    }

    /// That machine answered which disk it has.
    pub(crate) fn named_disk(&mut self, from: Ipv4Addr, id: u64, disk: u64) {
        let Some(peer) = self.peers.get_mut(&from) else {
            return;
        };
        if peer.asked.take_if(|asked| *asked == id).is_none() {
            return;
        }
        peer.sure = Some(disk);
        if peer
            .beat
            .as_ref()
            .is_some_and(|beat| beat.disk != Some(disk))
        {
            peer.beat = None;
        }
        self.consider_set();
    }

    /// Proposes another set, if one is wanted and it is this hive's turn.
    pub(crate) fn consider_set(&mut self) {
        if !self.is_active() || self.set_proposal.is_some() {
            return;
        }
        // An accepted set of a proposer who fell silent is finished like any other.
        let wanted = self.wanted();
        let differs = wanted
            .as_deref()
            .is_some_and(|wanted| wanted != self.voters());
        if !differs && self.accepted.is_none() {
            self.propose_set_after = None;
            return;
        }
        if self.propose_set_after.is_none() {
            let live: Vec<_> = self
                .voters()
                .iter()
                .filter(|voter| self.is_live(**voter))
                .collect();
            let leaves = self.leaving.contains_key(&self.me);
            let rank = match leaves {
                true => None, // it waits for nobody
                false => live.iter().position(|voter| voter.node == self.me),
            };
            let rank = rank.unwrap_or(0) as u64;
            let mut replaced = self.voters().iter().map(|voter| voter.node);
            let urgent = leaves || replaced.any(|node| self.has_another_disk(node));
            // While a disk is missing the first begins at once. Those that only come are gathered for a
            // moment.
            let wait = match (urgent, rank) {
                (true, 0) => 0,
                (true, _) => rank * self.rules.retry + self.draw() % self.rules.retry,
                (false, _) => rank * 3 * self.rules.retry + self.draw() % self.rules.retry,
            };
            self.propose_set_after = Some(self.now + wait);
        }
        if self.propose_set_after.is_some_and(|after| self.now < after) {
            return;
        }
        let ballot = self.next_ballot();
        self.set_proposal = Some(SetProposal {
            ballot,
            voters: wanted.unwrap_or_default(),
            best: None,
            settling: false,
            yes: BTreeSet::new(),
            until: self.now + 2 * self.rules.beat,
            again: self.now + self.rules.retry,
        });
        self.propose_set_after =
            Some(self.now + 2 * self.rules.beat + self.draw() % (4 * self.rules.retry));
        self.send_set_proposal();
    }

    fn send_set_proposal(&mut self) {
        let epoch = self.epoch();
        let Some(set_proposal) = &self.set_proposal else {
            return;
        };
        let ballot = set_proposal.ballot;
        let message = if set_proposal.settling {
            Message::AcceptSet {
                epoch,
                ballot,
                voters: set_proposal.voters.clone(),
            }
        } else {
            Message::PrepareSet { epoch, ballot }
        };
        self.send_voters(&message);
    }

    /// Promises a ballot, unless a higher one was; then its proposer is told.
    fn promise_set_to(&mut self, from: Ipv4Addr, epoch: u64, ballot: Ballot) -> bool {
        if ballot < self.promised {
            let round = self.promised.round;
            self.send(from, Message::NackSet { epoch, round });
            return false;
        }
        self.promise_set(ballot);
        if from != self.me {
            // Whoever is at work on it is let finish, while it is heard of.
            let wait = 3 * self.rules.retry + self.draw() % (2 * self.rules.retry);
            self.propose_set_after = Some(self.now + wait);
        }
        true
    }

    pub(crate) fn on_prepare_set(&mut self, from: Ipv4Addr, epoch: u64, ballot: Ballot) {
        if !self.votes_in(from, epoch) {
            return;
        }
        if !self.promise_set_to(from, epoch, ballot) {
            return;
        }
        let accepted = self.accepted.clone();
        self.send_durable(
            from,
            Message::PromiseSet {
                epoch,
                disk: self.disk,
                ballot,
                accepted,
            },
        );
    }

    fn promise_set(&mut self, ballot: Ballot) {
        self.round = self.round.max(ballot.round);
        if ballot > self.promised {
            self.promised = ballot;
            self.head_dirty = true;
        }
    }

    pub(crate) fn on_promise_set(
        &mut self,
        from: Ipv4Addr,
        ballot: Ballot,
        accepted: Option<(Ballot, Vec<Voter>)>,
    ) {
        let majority = self.majority();
        let Some(set_proposal) = self
            .set_proposal
            .as_mut()
            .filter(|e| e.ballot == ballot && !e.settling)
        else {
            return;
        };
        set_proposal.yes.insert(from);
        if let Some((accepted, voters)) = accepted
            && set_proposal.best.is_none_or(|best| best < accepted)
        {
            set_proposal.best = Some(accepted);
            set_proposal.voters = voters;
        }
        if set_proposal.yes.len() < majority {
            return;
        }
        if set_proposal.voters.is_empty() {
            self.set_proposal = None;
            return;
        }
        set_proposal.settling = true;
        set_proposal.yes.clear();
        self.send_set_proposal();
    }

    pub(crate) fn on_accept_set(
        &mut self,
        from: Ipv4Addr,
        epoch: u64,
        ballot: Ballot,
        voters: Vec<Voter>,
    ) {
        if !self.votes_in(from, epoch) || voters.is_empty() {
            return;
        }
        if !self.promise_set_to(from, epoch, ballot) {
            return;
        }
        if self
            .accepted
            .as_ref()
            .is_none_or(|(accepted, _)| *accepted < ballot)
        {
            self.accepted = Some((ballot, voters));
            self.head_dirty = true;
        }
        self.send_durable(
            from,
            Message::AcceptedSet {
                epoch,
                disk: self.disk,
                ballot,
            },
        );
    }

    pub(crate) fn on_accepted_set(&mut self, from: Ipv4Addr, ballot: Ballot) {
        let majority = self.majority();
        let Some(set_proposal) = self
            .set_proposal
            .as_mut()
            .filter(|e| e.ballot == ballot && e.settling)
        else {
            return;
        };
        set_proposal.yes.insert(from);
        if set_proposal.yes.len() < majority {
            return;
        }
        let voters = set_proposal.voters.clone();
        let Some(set) = &self.set else { return };
        self.adopt_set(VoterSet {
            epoch: set.epoch + 1,
            voters,
            previous: set.voters.clone(),
        });
    }

    pub(crate) fn on_nack_set(&mut self, epoch: u64, round: u64) {
        self.round = self.round.max(round);
        if epoch == self.epoch()
            && self
                .set_proposal
                .as_ref()
                .is_some_and(|e| e.ballot.round < round)
        {
            self.set_proposal = None;
            self.propose_set_after =
                Some(self.now + self.rules.retry + self.draw() % (5 * self.rules.retry));
        }
    }
}
