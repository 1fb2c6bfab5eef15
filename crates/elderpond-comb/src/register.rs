//! The register: proposals, their acceptors, reads and recovery.

use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;

use bytes::Bytes;

use crate::comb::Comb;
use crate::repair::same;
use crate::types::{Action, Ballot, Digest, Held, Message, Millis, Refusal, Tag};

/// Promises kept; the lowest versions' are forgotten first, and those refused from then on.
const PROMISES: usize = 256;

#[derive(Clone, Hash)]
pub(crate) struct Waiting {
    ticket: u64,
    version: u64,
    digest: Digest,
    until: Millis,
}

#[derive(Clone, Hash, PartialEq, Eq)]
enum Stage {
    Idle,
    Preparing,
    Fetching,
    Storing,
}

/// An attempt to have one version held by a majority.
#[derive(Clone, Hash)]
pub(crate) struct Bid {
    digest: Digest,
    /// Missing while it has still to be fetched from `holder`.
    body: Option<Bytes>,
    holder: Ipv4Addr,
    until: Millis,
    stage: Stage,
    next: Millis,
    attempts: u32,
    ballot: Ballot,
    best: Option<(Tag, Ipv4Addr)>,
    yes: BTreeSet<Ipv4Addr>,
    no: BTreeSet<Ipv4Addr>,
}

impl Bid {
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
    fn storing(&self, epoch: u64, version: u64, piece: usize) -> Option<Message> {
        let body = self.body.clone()?;
        let tag = self.tag(version);
        let size = body.len();
        let held = Held { tag, body };
        Some(match size <= piece {
            true => Message::Store { epoch, held },
            false => Message::Offer {
                epoch,
                tag,
                size: size as u64,
            },
        })
    }

    fn tag(&self, version: u64) -> Tag {
        Tag {
            version,
            ballot: self.ballot,
            digest: self.digest,
        }
    }
}

/// A look for the newest version.
#[derive(Clone, Hash)]
pub(crate) struct Seek {
    id: u64,
    ticket: Option<u64>,
    until: Millis,
    next: Millis,
    /// Who answered, and what is on its disk of what it holds.
    answers: BTreeMap<Ipv4Addr, Option<Tag>>,
    held: Option<(Tag, Ipv4Addr)>,
    committed: Option<(Tag, Ipv4Addr)>,
    /// Once a majority answered: done when this version is in force here.
    target: Option<u64>,
}

impl Seek {
    pub(crate) fn restart(&mut self, next: Millis) {
        self.answers.clear();
        self.target = None;
        self.next = next;
    }
}

impl Comb {
    pub(crate) fn propose(&mut self, ticket: u64, version: u64, body: Bytes) {
        let digest = Digest::of(&body);
        if let Some(known) = self.known.filter(|known| version <= known.version) {
            let conflict = known.version == version && known.digest != digest;
            return self.out.push(answer(ticket, conflict));
        }
        if self.waiting.len() >= self.rules.requests {
            return self.out.push(Action::Refused {
                ticket,
                why: Refusal::Unavailable,
            });
        }
        let until = self.now + self.rules.patience;
        self.waiting.push(Waiting {
            ticket,
            version,
            digest,
            until,
        });
        self.bid(version, digest, Some(body), self.me, self.now);
    }

    fn bid(
        &mut self,
        version: u64,
        digest: Digest,
        body: Option<Bytes>,
        holder: Ipv4Addr,
        next: Millis,
    ) {
        let until = self.now + self.rules.patience;
        if let Some(bid) = self.bids.get_mut(&version) {
            bid.until = until;
            return;
        }
        let bid = Bid {
            digest,
            body,
            holder,
            until,
            stage: Stage::Idle,
            next,
            attempts: 0,
            ballot: Ballot::default(),
            best: None,
            yes: BTreeSet::new(),
            no: BTreeSet::new(),
        };
        self.bids.insert(version, bid);
    }

    /// Whether the set is large enough, or too small for long enough.
    fn ready(&self) -> bool {
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
        let due = |version: u64, bid: &Bid| {
            bid.stage == Stage::Idle && now >= bid.next && (ready || version <= held)
        };
        let versions = self
            .bids
            .iter()
            .filter(|(version, bid)| due(**version, bid));
        let versions: Vec<u64> = versions.map(|(&version, _)| version).collect();
        for version in versions {
            self.prepare(version);
        }
        let force = self.force_version();
        if self
            .seeks
            .iter()
            .any(|seek| seek.target.is_some_and(|target| target <= force))
        {
            let held = self.in_force();
            let out = &mut self.out;
            self.seeks.retain(|seek| {
                let done = seek.target.is_some_and(|target| target <= force);
                if let (true, Some(ticket)) = (done, seek.ticket) {
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
            for seek in self
                .seeks
                .iter_mut()
                .filter(|seek| seek.target.is_none() && now >= seek.next)
            {
                seek.next = now + retry;
                ids.push(seek.id);
            }
            for id in ids {
                self.send_voters(&Message::Seek { epoch, id });
            }
        }
    }

    fn prepare(&mut self, version: u64) {
        let (ballot, epoch, retry) = (
            self.next_ballot(),
            self.epoch(),
            self.now + self.rules.retry,
        );
        let Some(bid) = self.bids.get_mut(&version) else {
            return;
        };
        bid.stage = Stage::Preparing;
        bid.ballot = ballot;
        bid.next = retry;
        bid.best = None;
        bid.yes.clear();
        bid.no.clear();
        self.send_voters(&Message::Prepare {
            epoch,
            version,
            ballot,
        });
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
        self.seeks.retain(|seek| {
            if now >= seek.until {
                failed |= seek.ticket.is_none();
                out.extend(seek.ticket.map(|ticket| Action::Refused {
                    ticket,
                    why: Refusal::Unavailable,
                }));
            }
            now < seek.until
        });
        if failed {
            self.recover_at = Some(now + self.rules.recover);
        }
        self.bids.retain(|_, bid| now < bid.until);
        let due = self
            .bids
            .iter()
            .filter(|(_, bid)| bid.stage != Stage::Idle && now >= bid.next);
        let due: Vec<u64> = due.map(|(&version, _)| version).collect();
        for version in due {
            self.bid_again(version);
        }
        // Something is held which nobody seems to finish.
        let force = self.force_version();
        if self.held_version() <= force || self.stuck.0 != force {
            self.stuck = (force, now);
        } else if now >= self.stuck.1 + self.rules.beat + self.rules.recover {
            self.stuck.1 = now;
            self.recover_at = Some(now);
        }
        if self.is_active() && self.recover_at.is_some_and(|at| now >= at) {
            self.recover_at = None;
            if self.seeks.iter().all(|seek| seek.ticket.is_some()) {
                self.read(None);
            }
        }
        // A version known to be in force, but its body still to come.
        if let (Some(known), Some((from, at))) = (self.known, self.known_by)
            && known.version > self.force_version()
            && !self.pulls(known)
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

    fn bid_again(&mut self, version: u64) {
        let (epoch, retry) = (self.epoch(), self.now + self.rules.retry);
        let voters: Vec<_> = self.voters().iter().map(|voter| voter.node).collect();
        let pulled = self.bids.get(&version).map(|bid| bid.tag(version));
        let pulled = pulled.is_some_and(|tag| self.pulls(tag));
        let piece = self.rules.piece;
        let Some(bid) = self.bids.get_mut(&version) else {
            return;
        };
        bid.next = retry;
        let message = match bid.stage {
            Stage::Idle => return,
            Stage::Preparing => Message::Prepare {
                epoch,
                version,
                ballot: bid.ballot,
            },
            Stage::Fetching if pulled => return,
            Stage::Fetching => return bid.idle(self.now),
            Stage::Storing => match bid.storing(epoch, version, piece) {
                Some(message) => message,
                None => return,
            },
        };
        let yes = bid.yes.clone();
        for node in voters.into_iter().filter(|node| !yes.contains(node)) {
            self.send(node, message.clone());
        }
    }

    // The acceptor.

    /// The round by which this ballot is outbid for the version, if it is.
    fn outbid(&self, version: u64, ballot: Ballot) -> Option<u64> {
        let held = self
            .held
            .as_ref()
            .filter(|held| held.tag.version == version)
            .map(|held| held.tag.ballot);
        let bar = self.promises.get(&version).copied().max(held);
        if bar.is_some_and(|bar| ballot < bar) {
            return bar.map(|bar| bar.round);
        }
        let forgotten = version <= self.forgotten && bar.is_none();
        (ballot.round < self.floor || forgotten).then_some(self.floor)
    }

    fn promise(&mut self, version: u64, ballot: Ballot) {
        self.round = self.round.max(ballot.round);
        self.promises.insert(version, ballot);
        while self.promises.len() > PROMISES {
            if let Some((version, _)) = self.promises.pop_first() {
                self.forgotten = self.forgotten.max(version);
            }
        }
        if ballot.round >= self.ceiling {
            self.ceiling = ((ballot.round >> 32) + 1) << 32;
            self.head_dirty = true;
        }
    }

    /// Whether a proposal comes too late here; if so, its proposer is told what stands above it.
    pub(crate) fn refuses(
        &mut self,
        from: Ipv4Addr,
        epoch: u64,
        version: u64,
        ballot: Ballot,
    ) -> bool {
        let above = Some(self.held_version()).filter(|&held| held > version);
        let outbid = self.outbid(version, ballot);
        if above.is_none() && outbid.is_none() {
            return false;
        }
        let round = outbid.unwrap_or(0);
        let refusal = Message::Refuse {
            epoch,
            version,
            ballot,
            round,
            above,
        };
        self.send(from, refusal);
        true
    }

    pub(crate) fn on_prepare(&mut self, from: Ipv4Addr, epoch: u64, version: u64, ballot: Ballot) {
        if !self.votes_in(from, epoch) {
            return;
        }
        if self.refuses(from, epoch, version, ballot) {
            return;
        }
        self.promise(version, ballot);
        let held = self
            .held
            .as_ref()
            .map(|held| held.tag)
            .filter(|tag| tag.version == version);
        let message = Message::Promise {
            epoch,
            disk: self.disk,
            version,
            ballot,
            held,
        };
        if ballot.round < self.ceiling_durable {
            self.send(from, message);
        } else {
            self.send_durable(from, message);
        }
    }

    pub(crate) fn on_store(&mut self, from: Ipv4Addr, epoch: u64, held: Held) {
        if held.tag.digest == Digest::of(&held.body) {
            self.store_here(from, epoch, held);
        }
    }

    /// Holds a body that fits its digest, and says so once it is on disk.
    pub(crate) fn store_here(&mut self, from: Ipv4Addr, epoch: u64, held: Held) {
        if !self.votes_in(from, epoch) {
            return;
        }
        let Tag {
            version, ballot, ..
        } = held.tag;
        if self.refuses(from, epoch, version, ballot) {
            return;
        }
        self.promise(version, ballot);
        if self.held.as_ref().is_none_or(|old| old.tag != held.tag) {
            self.hold(held);
        }
        self.send_durable(
            from,
            Message::Stored {
                epoch,
                disk: self.disk,
                version,
                ballot,
            },
        );
    }

    /// Takes this in as the newest held, unless a newer is.
    pub(crate) fn hold(&mut self, held: Held) {
        let old = self
            .held
            .as_ref()
            .map(|old| (old.tag.version, old.tag.ballot));
        if old.is_none_or(|old| old < (held.tag.version, held.tag.ballot)) {
            let version = held.tag.version;
            self.promises.retain(|&promised, _| promised >= version);
            self.held = Some(held);
            self.held_dirty = true;
        }
    }

    // The proposer.

    pub(crate) fn on_promise(
        &mut self,
        from: Ipv4Addr,
        version: u64,
        ballot: Ballot,
        held: Option<Tag>,
    ) {
        let (majority, retry) = (self.majority(), self.now + self.rules.retry);
        let Some(bid) = self.bids.get_mut(&version) else {
            return;
        };
        if bid.stage != Stage::Preparing || bid.ballot != ballot {
            return;
        }
        bid.yes.insert(from);
        if let Some(tag) = held
            && bid.best.is_none_or(|(best, _)| best.ballot < tag.ballot)
        {
            bid.best = Some((tag, from));
        }
        if bid.yes.len() < majority {
            return;
        }
        // What was accepted last may have been acknowledged: it is gone on with.
        if let Some((best, holder)) = bid.best {
            bid.holder = holder;
            if best.digest != bid.digest {
                (bid.digest, bid.body) = (best.digest, None);
            }
        }
        bid.stage = Stage::Fetching;
        bid.next = retry;
        let (digest, missing, holder) = (bid.digest, bid.body.is_none(), bid.holder);
        if missing {
            let tag = Tag {
                version,
                ballot,
                digest,
            };
            match self.body_of(tag) {
                Some(body) => self.bids.get_mut(&version).expect("seen above").body = Some(body),
                None => return self.fetch(tag, holder),
            }
        }
        self.store(version);
    }

    fn store(&mut self, version: u64) {
        let (epoch, retry) = (self.epoch(), self.now + self.rules.retry);
        let piece = self.rules.piece;
        let Some(bid) = self.bids.get_mut(&version) else {
            return;
        };
        let Some(message) = bid.storing(epoch, version, piece) else {
            return;
        };
        bid.stage = Stage::Storing;
        bid.next = retry;
        bid.yes.clear();
        bid.no.clear();
        self.send_voters(&message);
    }

    pub(crate) fn on_stored(&mut self, from: Ipv4Addr, version: u64, ballot: Ballot) {
        let majority = self.majority();
        let Some(bid) = self.bids.get_mut(&version) else {
            return;
        };
        if bid.stage != Stage::Storing || bid.ballot != ballot {
            return;
        }
        bid.yes.insert(from);
        if bid.yes.len() < majority {
            return;
        }
        let tag = bid.tag(version);
        let body = bid.body.clone();
        self.learn(tag, body, self.me);
        for node in self.company() {
            self.send(node, Message::Commit(tag));
        }
    }

    pub(crate) fn on_refuse(
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
        let mine = above.is_some_and(|above| self.bids.range(above..).next().is_some());
        let Some(bid) = self.bids.get_mut(&version) else {
            return;
        };
        if bid.ballot != ballot || bid.stage == Stage::Idle {
            return;
        }
        bid.no.insert(from);
        if bid.no.len() + majority <= voters {
            return;
        }
        if above.is_some() {
            // Ends when the version above is in force; unless somebody gave that up.
            bid.idle(now + retry);
            if !mine && self.seeks.iter().all(|seek| seek.ticket.is_some()) {
                self.read(None);
            }
        } else {
            let wait = 40 << bid.attempts.min(3);
            bid.idle(if bid.attempts == 0 {
                now
            } else {
                now + random % wait
            });
            bid.attempts += 1;
        }
    }

    pub(crate) fn body_of(&self, tag: Tag) -> Option<Bytes> {
        let held = self
            .held
            .iter()
            .chain(&self.force)
            .find(|held| same(held.tag, tag))
            .map(|held| held.body.clone());
        let bid = || {
            self.bids
                .get(&tag.version)
                .filter(|bid| bid.digest == tag.digest)?
                .body
                .clone()
        };
        held.or_else(bid)
    }

    pub(crate) fn on_fetch(&mut self, from: Ipv4Addr, tag: Tag) {
        // A newer one in force serves as well.
        let force = self
            .force
            .as_ref()
            .filter(|held| held.tag.version >= tag.version)
            .cloned();
        let (held, committed) = match (force, self.body_of(tag)) {
            (Some(held), _) => (held, true),
            (None, Some(body)) => (Held { tag, body }, false),
            (None, None) => return,
        };
        let answer = self.first_piece(held, committed);
        self.send(from, answer);
    }

    pub(crate) fn on_body(&mut self, from: Ipv4Addr, held: Held, committed: bool) {
        if held.tag.digest == Digest::of(&held.body) {
            self.body_came(from, held, committed);
        }
    }

    /// A body that fits its digest: what is known to be in force, or what a bid waits for.
    pub(crate) fn take_body(&mut self, from: Ipv4Addr, held: Held, committed: bool) {
        let Held { tag, body } = held;
        if committed || self.known.is_some_and(|known| same(known, tag)) {
            return self.learn(tag, Some(body), from);
        }
        if let Some(bid) = self.bids.get_mut(&tag.version)
            && bid.lacks(tag)
        {
            bid.body = Some(body);
            self.store(tag.version);
        }
    }

    /// A majority holds this version.
    pub(crate) fn learn(&mut self, tag: Tag, body: Option<Bytes>, from: Ipv4Addr) {
        let news = self.known.is_none_or(|known| known.version < tag.version);
        if news {
            self.known = Some(tag);
            self.known_by = None;
            self.pull.take_if(|pull| pull.tag.version < tag.version);
        }
        if tag.version > self.force_version() {
            if let Some(body) = body.or_else(|| self.body_of(tag)) {
                self.bids.retain(|&version, _| version > tag.version);
                let held = Held {
                    tag,
                    body: body.clone(),
                };
                self.force = Some(held.clone());
                self.head_dirty = true;
                self.hold(held);
                self.out.push(Action::InForce {
                    version: tag.version,
                    body,
                });
            } else if self.known_by.is_none() && from != self.me {
                self.known_by = Some((from, self.now));
                self.fetch(tag, from);
            }
        }
        if news {
            let out = &mut self.out;
            self.waiting.retain(|waiting| {
                if waiting.version <= tag.version {
                    let conflict = waiting.version == tag.version && waiting.digest != tag.digest;
                    out.push(answer(waiting.ticket, conflict));
                }
                waiting.version > tag.version
            });
        }
    }

    // Reads.

    pub(crate) fn read(&mut self, ticket: Option<u64>) {
        if self.seeks.len() >= self.rules.requests {
            if let Some(ticket) = ticket {
                self.out.push(Action::Refused {
                    ticket,
                    why: Refusal::Unavailable,
                });
            }
            return;
        }
        let (id, until) = (self.next_id(), self.now + self.rules.patience);
        let seek = Seek {
            id,
            ticket,
            until,
            next: self.now,
            answers: BTreeMap::new(),
            held: None,
            committed: None,
            target: None,
        };
        self.seeks.push(seek);
    }

    pub(crate) fn on_sought(
        &mut self,
        from: Ipv4Addr,
        id: u64,
        held: Option<Tag>,
        written: bool,
        committed: Option<Tag>,
    ) {
        let majority = self.majority();
        let Some(seek) = self
            .seeks
            .iter_mut()
            .find(|seek| seek.id == id && seek.target.is_none())
        else {
            return;
        };
        seek.answers.insert(from, held.filter(|_| written));
        let key = |tag: Option<(Tag, Ipv4Addr)>| tag.map(|(tag, _)| (tag.version, tag.ballot));
        seek.held = [seek.held, held.map(|tag| (tag, from))]
            .into_iter()
            .max_by_key(|&tag| key(tag))
            .flatten();
        let committed = committed.map(|tag| (tag, from));
        seek.committed = [seek.committed, committed]
            .into_iter()
            .max_by_key(|&tag| key(tag))
            .flatten();
        if seek.answers.len() < majority {
            return;
        }
        let (held, committed) = (seek.held, seek.committed);
        let alike = |tag: Tag| seek.answers.values().filter(|it| **it == Some(tag)).count();
        // What a majority has on disk by one ballot is decided, whoever knew it first.
        let decided = held.is_some_and(|(tag, _)| alike(tag) >= majority);
        let newest = |tag: Option<(Tag, Ipv4Addr)>| tag.map_or(0, |(tag, _)| tag.version);
        seek.target = Some(newest(held).max(newest(committed)));
        if let Some((tag, from)) = committed {
            self.learn(tag, None, from);
        }
        if let Some((tag, from)) = held
            && newest(held) > newest(committed)
            && self.known.is_none_or(|known| known.version < tag.version)
        {
            if decided {
                return self.learn(tag, None, from);
            }
            let body = self.body_of(tag);
            // Whoever proposed it may be about to end it.
            let next = self.now + self.rules.retry / 2;
            self.bid(tag.version, tag.digest, body, from, next);
        }
    }
}

fn answer(ticket: u64, conflict: bool) -> Action {
    if conflict {
        Action::Refused {
            ticket,
            why: Refusal::Conflict,
        }
    } else {
        Action::Acknowledged { ticket }
    }
}
