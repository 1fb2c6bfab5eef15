//! Proposals: one version each, until a majority holds it or their time is over.

use std::collections::BTreeSet;
use std::net::Ipv4Addr;

use bytes::Bytes;

use crate::ballots::epoch_of;
use crate::replica::Replica;
use crate::types::{Action, Ballot, Digest, Held, Message, Millis, Mutant, Refusal, Tag};

/// The bodies of all proposals together are no longer (bytes): eight of the longest.
const PROPOSED: usize = 64 << 20;

#[derive(Clone, Hash)]
pub(crate) struct Waiting {
    pub(crate) ticket: u64,
    pub(crate) version: u64,
    pub(crate) digest: Digest,
    pub(crate) until: Millis,
}

#[derive(Clone, Hash, PartialEq, Eq)]
pub(crate) enum Stage {
    Idle,
    Preparing,
    Fetching,
    Storing,
}

/// An attempt to have one version held by a majority.
#[derive(Clone, Hash)]
pub(crate) struct Proposal {
    /// A newer version is in force: only what its number was given is decided still.
    pub(crate) overtaken: bool,
    pub(crate) digest: Digest,
    /// Missing while it has still to be fetched from `holder`.
    pub(crate) body: Option<Bytes>,
    pub(crate) holder: Ipv4Addr,
    pub(crate) until: Millis,
    pub(crate) stage: Stage,
    pub(crate) next: Millis,
    pub(crate) attempts: u32,
    /// Whether it was begun, and no higher version was found since.
    begun: bool,
    pub(crate) ballot: Ballot,
    pub(crate) best: Option<(Tag, Ipv4Addr)>,
    /// Who promised and told of `best`.
    pub(crate) alike: BTreeSet<Ipv4Addr>,
    pub(crate) yes: BTreeSet<Ipv4Addr>,
    pub(crate) no: BTreeSet<Ipv4Addr>,
}

impl Proposal {
    /// Whether no newer long one is to be begun beside it.
    fn is_under_way(&self, piece: usize) -> bool {
        self.begun && self.body.as_ref().is_some_and(|body| body.len() > piece)
    }

    pub(crate) fn idle(&mut self, next: Millis) {
        self.stage = Stage::Idle;
        self.next = next;
    }

    /// Whether it waits for that body.
    pub(crate) fn lacks(&self, tag: Tag) -> bool {
        self.stage == Stage::Fetching && self.digest == tag.digest
    }

    /// Pieces of its body are on their way.
    pub(crate) fn goes_on(&mut self, tag: Tag, until: Millis) {
        if self.digest == tag.digest {
            self.until = self.until.max(until);
        }
    }

    /// Asks a voter to hold it: whole where it is short.
    pub(crate) fn storing(&self, epoch: u64, version: u64, piece: usize) -> Option<Message> {
        if self.overtaken {
            let tag = self.tag(version);
            return Some(Message::AcceptNumber { epoch, tag });
        }
        let body = self.body.clone()?;
        let tag = self.tag(version);
        let size = body.len();
        let held = Held { tag, body };
        Some(match size <= piece {
            true => Message::Accept { epoch, held },
            false => Message::Offer {
                epoch,
                tag,
                size: size as u64,
            },
        })
    }

    /// Asks a voter for its promise.
    pub(crate) fn preparing(&self, epoch: u64, version: u64) -> Message {
        let ballot = self.ballot;
        match self.overtaken {
            false => Message::Prepare {
                epoch,
                version,
                ballot,
            },
            true => Message::PrepareNumber {
                epoch,
                version,
                ballot,
            },
        }
    }

    pub(crate) fn tag(&self, version: u64) -> Tag {
        Tag {
            version,
            ballot: self.ballot,
            digest: self.digest,
        }
    }
}

impl Replica {
    pub(crate) fn propose(&mut self, ticket: u64, version: u64, body: Bytes) {
        let digest = Digest::of(&body);
        let overtaken = self.known.is_some_and(|known| version < known.version);
        if overtaken && self.rules.mutant == Some(Mutant::NewestNumberOnly) {
            return self.out.push(answer(ticket, false));
        }
        if let Some(decided) = self.decided(version) {
            return self.out.push(answer(ticket, decided != digest));
        }
        let bodies = self.proposals.values().filter_map(|it| it.body.as_ref());
        let bytes: usize = bodies.map(Bytes::len).sum();
        let full = self.waiting.len() >= self.rules.requests || bytes + body.len() > PROPOSED;
        let refusal = if overtaken && self.forgot(version) {
            Some(Refusal::Forgotten)
        } else if full {
            Some(Refusal::Unavailable)
        } else {
            None
        };
        if let Some(why) = refusal {
            return self.out.push(Action::Refused { ticket, why });
        }
        let until = self.now + self.rules.patience;
        self.waiting.push(Waiting {
            ticket,
            version,
            digest,
            until,
        });
        self.begin_proposal(version, digest, Some(body), self.me, self.now);
    }

    pub(crate) fn begin_proposal(
        &mut self,
        version: u64,
        digest: Digest,
        body: Option<Bytes>,
        holder: Ipv4Addr,
        next: Millis,
    ) {
        let until = self.now + self.rules.patience;
        if let Some(proposal) = self.proposals.get_mut(&version) {
            proposal.until = until;
            return;
        }
        let overtaken = self.known.is_some_and(|known| version < known.version);
        let proposal = Proposal {
            overtaken,
            digest,
            body: body.filter(|_| !overtaken),
            holder,
            until,
            stage: Stage::Idle,
            next,
            attempts: 0,
            begun: false,
            ballot: Ballot::default(),
            best: None,
            alike: BTreeSet::new(),
            yes: BTreeSet::new(),
            no: BTreeSet::new(),
        };
        self.proposals.insert(version, proposal);
    }

    /// Whether the set is large enough, or too small for long enough.
    pub(crate) fn ready(&self) -> bool {
        self.set.as_ref().is_some_and(|set| {
            set.voters.len() >= self.rules.minimum_voters
                || self.now >= self.started + self.rules.founding_patience
        })
    }

    /// Starts what is due, ends what is done.
    pub(crate) fn pump_register(&mut self) {
        let ready = self.ready();
        let now = self.now;
        // What is held already is finished in any case.
        let held = self.held_version();
        let due = |version: u64, proposal: &Proposal| {
            proposal.stage == Stage::Idle && now >= proposal.next && (ready || version <= held)
        };
        let versions = self
            .proposals
            .iter()
            .filter(|(version, proposal)| due(**version, proposal));
        let mut versions: Vec<u64> = versions.map(|(&version, _)| version).collect();
        self.one_long(&mut versions);
        for version in versions {
            self.prepare(version);
        }
        let (force, majority) = (self.force_version(), self.majority());
        if self.reads.iter().any(|read| read.is_done(force, majority)) {
            let held = self.in_force();
            let out = &mut self.out;
            self.reads.retain(|read| {
                let done = read.is_done(force, majority);
                if let (true, Some(ticket)) = (done, read.ticket) {
                    out.push(Action::ReadDone {
                        ticket,
                        held: held.clone(),
                    });
                }
                !done
            });
        }
        let epoch = self.epoch();
        if epoch > 0 {
            let retry = self.rules.retry;
            let mut ids = Vec::new();
            for read in self
                .reads
                .iter_mut()
                .filter(|read| read.is_open(majority) && now >= read.next)
            {
                read.next = now + retry;
                ids.push((read.id, read.confirms));
            }
            for (id, confirms) in ids {
                self.ask_for_read(id, confirms);
            }
        }
    }

    /// Of those to be begun, one long body at a time, the newest first: a newer one, held here before the
    /// other is decided, would keep this hive from voting for that. Those below are overtaken.
    fn one_long(&self, versions: &mut Vec<u64>) {
        let piece = self.rules.piece;
        let long = |version: &u64| {
            self.proposals[version]
                .body
                .as_ref()
                .is_some_and(|it| it.len() > piece)
        };
        let mut under_way = self.proposals.iter().filter(|it| it.1.is_under_way(piece));
        let only = match under_way.next() {
            Some((&version, _)) => Some(version),
            None if self.pulls_for_proposal() => None,
            None => versions.iter().copied().rfind(long),
        };
        versions.retain(|version| Some(*version) == only || !long(version));
    }

    pub(crate) fn prepare(&mut self, version: u64) {
        let (ballot, epoch, retry) = (
            self.next_ballot(),
            self.epoch(),
            self.now + self.rules.retry,
        );
        let Some(proposal) = self.proposals.get_mut(&version) else {
            return;
        };
        proposal.stage = Stage::Preparing;
        proposal.begun = true;
        proposal.ballot = ballot;
        proposal.next = retry;
        proposal.best = None;
        proposal.alike.clear();
        proposal.yes.clear();
        proposal.no.clear();
        let message = proposal.preparing(epoch, version);
        self.send_voters(&message);
    }

    pub(crate) fn tick_register(&mut self) {
        let now = self.now;
        let out = &mut self.out;
        self.waiting.retain(|waiting| {
            if now >= waiting.until {
                out.push(Action::Refused {
                    ticket: waiting.ticket,
                    why: Refusal::Unavailable,
                });
            }
            now < waiting.until
        });
        let mut failed = false;
        self.reads.retain(|read| {
            if now >= read.until {
                failed |= read.ticket.is_none();
                out.extend(read.ticket.map(|ticket| Action::Refused {
                    ticket,
                    why: Refusal::Unavailable,
                }));
            }
            now < read.until
        });
        if failed {
            self.recover_at = Some(now + self.rules.recover);
        }
        self.proposals.retain(|_, proposal| now < proposal.until);
        let due = self
            .proposals
            .iter()
            .filter(|(_, proposal)| proposal.stage != Stage::Idle && now >= proposal.next);
        let due: Vec<u64> = due.map(|(&version, _)| version).collect();
        for version in due {
            self.propose_again(version);
        }
        // Something is held which nobody seems to finish.
        let force = self.force_version();
        let calm = self.held_version() <= force || self.pulls_for_proposal();
        if calm || self.stuck.0 != force {
            self.stuck = (force, now);
        } else if now >= self.stuck.1 + self.rules.beat + self.rules.recover {
            self.stuck.1 = now;
            self.recover_at = Some(now);
        }
        if self.is_active() && self.recover_at.is_some_and(|at| now >= at) {
            self.recover_at = None;
            if self.reads.iter().all(|read| read.ticket.is_some()) {
                self.read(None, false);
            }
        }
        // A version known to be in force, but its body still to come.
        if let (Some(known), Some((from, at))) = (self.known, self.known_by)
            && known.version > self.force_version()
            && !self.is_busy()
            && now >= at + self.rules.retry
        {
            let has = |node: &Ipv4Addr| {
                let beat = self.peers.get(node).and_then(|peer| peer.beat.as_ref());
                beat.and_then(|beat| beat.committed)
                    .is_some_and(|tag| tag.version >= known.version)
            };
            let mut others: Vec<_> = self.alive.iter().copied().filter(has).collect();
            others.extend(self.voters().iter().map(|voter| voter.node));
            others.retain(|&node| node != self.me);
            others.push(from);
            others.sort_unstable();
            let pick = self.draw() as usize % others.len();
            self.known_by = Some((from, now));
            self.send(others[pick], Message::Fetch(known));
        }
    }

    pub(crate) fn propose_again(&mut self, version: u64) {
        let (epoch, retry) = (self.epoch(), self.now + self.rules.retry);
        let voters: Vec<_> = self.voters().iter().map(|voter| voter.node).collect();
        let busy = self.is_busy();
        let piece = self.rules.piece;
        let Some(proposal) = self.proposals.get_mut(&version) else {
            return;
        };
        proposal.next = retry;
        let message = match proposal.stage {
            Stage::Idle => return,
            Stage::Preparing => proposal.preparing(epoch, version),
            Stage::Fetching if busy => return,
            Stage::Fetching => return proposal.idle(self.now),
            Stage::Storing => match proposal.storing(epoch, version, piece) {
                Some(message) => message,
                None => return,
            },
        };
        let yes = proposal.yes.clone();
        for node in voters.into_iter().filter(|node| !yes.contains(node)) {
            self.send(node, message.clone());
        }
    }

    pub(crate) fn on_promise(
        &mut self,
        from: Ipv4Addr,
        version: u64,
        ballot: Ballot,
        held: Option<Tag>,
    ) {
        let (majority, retry) = (self.majority(), self.now + self.rules.retry);
        let (epoch, copies) = (self.epoch(), self.mutated(Mutant::CopiesDecide));
        let Some(proposal) = self.proposals.get_mut(&version) else {
            return;
        };
        if proposal.stage != Stage::Preparing || proposal.ballot != ballot {
            return;
        }
        proposal.yes.insert(from);
        if let Some(tag) = held
            && proposal
                .best
                .is_none_or(|(best, _)| best.ballot < tag.ballot)
        {
            proposal.best = Some((tag, from));
            proposal.alike.clear();
        }
        if held.is_some() && held == proposal.best.map(|(best, _)| best) {
            proposal.alike.insert(from);
        }
        // On a majority's disks by one ballot of this set it is decided, whoever asked for it. By one of an
        // older set it may only have been copied when the state was taken over.
        if let (true, Some((best, _))) = (proposal.overtaken, proposal.best)
            && proposal.alike.len() >= majority
            && (epoch_of(best.ballot) == epoch || copies)
        {
            return self.number_decided(best);
        }
        if proposal.yes.len() < majority {
            return;
        }
        // What was accepted last may have been acknowledged: it is gone on with.
        if let Some((best, holder)) = proposal.best {
            proposal.holder = holder;
            if best.digest != proposal.digest {
                (proposal.digest, proposal.body) = (best.digest, None);
            }
        }
        proposal.stage = Stage::Fetching;
        proposal.next = retry;
        let (digest, holder) = (proposal.digest, proposal.holder);
        if proposal.body.is_none() && !proposal.overtaken {
            let tag = Tag {
                version,
                ballot,
                digest,
            };
            match self.body_of(tag) {
                Some(body) => {
                    self.proposals.get_mut(&version).expect("seen above").body = Some(body)
                }
                None => return self.fetch(tag, holder),
            }
        }
        self.store(version);
    }

    pub(crate) fn store(&mut self, version: u64) {
        let (epoch, retry) = (self.epoch(), self.now + self.rules.retry);
        let piece = self.rules.piece;
        let Some(proposal) = self.proposals.get_mut(&version) else {
            return;
        };
        let Some(message) = proposal.storing(epoch, version, piece) else {
            return;
        };
        proposal.stage = Stage::Storing;
        proposal.next = retry;
        proposal.yes.clear();
        proposal.no.clear();
        self.send_voters(&message);
    }

    pub(crate) fn on_accepted(&mut self, from: Ipv4Addr, version: u64, ballot: Ballot) {
        let majority = self.majority();
        let Some(proposal) = self.proposals.get_mut(&version) else {
            return;
        };
        if proposal.stage != Stage::Storing || proposal.ballot != ballot {
            return;
        }
        proposal.yes.insert(from);
        if proposal.yes.len() < majority {
            return;
        }
        let tag = proposal.tag(version);
        if proposal.overtaken {
            return self.number_decided(tag);
        }
        let body = proposal.body.clone();
        self.learn(tag, body, self.me);
        for node in self.company() {
            self.send(node, Message::Commit(tag));
        }
    }

    pub(crate) fn on_nack(
        &mut self,
        from: Ipv4Addr,
        version: u64,
        ballot: Ballot,
        round: u64,
        above: Option<u64>,
    ) {
        self.round = self.round.max(round);
        let (majority, voters, now) = (self.majority(), self.voters().len(), self.now);
        let (random, retry) = (self.draw(), self.rules.retry);
        let mine = above.is_some_and(|above| self.proposals.range(above..).next().is_some());
        let Some(proposal) = self.proposals.get_mut(&version) else {
            return;
        };
        if proposal.ballot != ballot || proposal.stage == Stage::Idle {
            return;
        }
        proposal.no.insert(from);
        if proposal.no.len() + majority <= voters {
            return;
        }
        if above.is_some() {
            // Ends when the version above is in force; unless somebody gave that up.
            proposal.idle(now + retry);
            proposal.begun = false;
            if !mine && self.reads.iter().all(|read| read.ticket.is_some()) {
                self.read(None, false);
            }
        } else {
            let wait = 40 << proposal.attempts.min(3);
            proposal.idle(if proposal.attempts == 0 {
                now
            } else {
                now + random % wait
            });
            proposal.attempts += 1;
        }
    }
}

pub(crate) fn answer(ticket: u64, conflict: bool) -> Action {
    if conflict {
        Action::Refused {
            ticket,
            why: Refusal::Conflict,
        }
    } else {
        Action::Acknowledged { ticket }
    }
}
