//! Repair: long bodies in pieces, marks by the buckets that differ. Who is behind asks; who answers keeps
//! only the body that it is asked for, while it is.
//!
//! *A body once begun arrives.* While it comes, a newer one takes its place only if that is whole before the
//! rest of this one would be, so what is missing only ever gets less, whatever changes meanwhile.

use std::cmp::Ordering;
use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::ops::Range;

use bytes::Bytes;

use crate::replica::Replica;
use crate::types::{Action, Digest, Held, Mark, Message, Millis, Place, Tag};

/// No body is longer (bytes).
const LONGEST: u64 = 8 << 20;
/// No piece is (bytes).
const PIECE: u64 = 1 << 20;
/// After so many silences in a row another body may be fetched instead.
const SILENCES: u32 = 3;
/// Bodies that are kept for others alone, beside what is held and in force, at most.
const LENT: usize = 2;
/// Who asks for so many bytes from the first on wants to know how long the body is.
const GLIMPSE: u64 = 1;

/// Whether these have one body.
pub(crate) fn same(one: Tag, other: Tag) -> bool {
    (one.version, one.digest) == (other.version, other.digest)
}

/// Who asked for the body to be held on disk, and until when that is believed to matter.
#[derive(Clone, Hash)]
struct Offer {
    from: Ipv4Addr,
    epoch: u64,
    tag: Tag,
    until: Millis,
}

/// A body that is kept for who fetches it, though a newer one may be in force by now.
#[derive(Clone, Hash)]
pub(crate) struct Lent {
    tag: Tag,
    body: Bytes,
    committed: bool,
    until: Millis,
}

/// The body that comes in pieces; one at a time.
#[derive(Clone, Hash)]
pub(crate) struct Pull {
    pub(crate) tag: Tag,
    /// Whether a majority is known to hold it.
    committed: bool,
    holder: Ipv4Addr,
    bytes: Vec<u8>,
    got: Vec<bool>,
    asked: BTreeSet<usize>,
    /// When a piece came last, or was asked for after a silence.
    heard: Millis,
    silences: u32,
    offer: Option<Offer>,
}

impl Pull {
    fn new(tag: Tag, size: usize, piece: usize, holder: Ipv4Addr, heard: Millis) -> Self {
        Self {
            tag,
            committed: false,
            holder,
            bytes: vec![0; size],
            got: vec![false; size.div_ceil(piece)],
            asked: BTreeSet::new(),
            heard,
            silences: 0,
            offer: None,
        }
    }

    /// Takes in a piece; whether it is a new one that fits.
    fn take(&mut self, at: usize, bytes: &[u8], piece: usize) -> bool {
        let nth = at / piece;
        let place = at..(at + piece).min(self.bytes.len());
        let fits = at.is_multiple_of(piece) && bytes.len() == place.len();
        if !fits || self.got.get(nth).is_none_or(|got| *got) {
            return false;
        }
        self.bytes[place].copy_from_slice(bytes);
        self.got[nth] = true;
        self.asked.remove(&nth);
        true
    }

    /// Bytes that are neither here nor on their way.
    fn missing(&self, piece: usize) -> usize {
        let came = self.got.iter().filter(|got| **got).count();
        self.bytes
            .len()
            .saturating_sub((came + self.asked.len()) * piece)
    }

    fn alive(&self) -> bool {
        self.silences < SILENCES
    }
}

/// A comparison of marks with another hive; one at a time.
#[derive(Clone, Hash)]
pub(crate) struct Walk {
    pub(crate) with: Ipv4Addr,
    id: u64,
    at: Millis,
    /// How many ids were drawn when its first page was asked for.
    began: u64,
}

impl Replica {
    fn silence(&self) -> Millis {
        2 * self.rules.retry
    }

    // Bodies.

    /// A majority is known to hold this.
    pub(crate) fn note_decided(&mut self, tag: Tag) {
        if let Some(pull) = self.pull.as_mut().filter(|pull| same(pull.tag, tag)) {
            pull.committed = true;
        }
        for lent in self.lent.values_mut().filter(|lent| same(lent.tag, tag)) {
            lent.committed = true;
        }
    }

    /// Asks for a body, unless it comes in pieces already; while another comes, for its length alone.
    pub(crate) fn fetch(&mut self, tag: Tag, from: Ipv4Addr) {
        if self.pulls(tag) {
            return;
        }
        if !self.is_busy() {
            return self.send(from, Message::Fetch(tag));
        }
        // Its answer would wait for the pieces on their way: better of another.
        let sends = self.pull.as_ref().is_some_and(|pull| pull.holder == from);
        let of = if sends { self.holder(tag, from) } else { from };
        let (at, length) = (0, GLIMPSE);
        self.send(of, Message::PieceAsk { tag, at, length });
    }

    /// Whether that body comes in pieces, and somebody sends them.
    fn pulls(&self, tag: Tag) -> bool {
        let pull = self.pull.as_ref();
        pull.is_some_and(|pull| same(pull.tag, tag) && pull.alive())
    }

    /// Whether a body comes in pieces that is needed.
    pub(crate) fn is_busy(&self) -> bool {
        let pull = self.pull.as_ref();
        pull.is_some_and(|pull| pull.alive() && self.needs_pull(pull))
    }

    /// Whether a body comes in pieces that a proposal waits for, this hive's or another's.
    pub(crate) fn pulls_for_proposal(&self) -> bool {
        let pull = self.pull.as_ref().filter(|pull| !pull.committed);
        self.is_busy() && pull.is_some()
    }

    fn needs_pull(&self, pull: &Pull) -> bool {
        (pull.committed && pull.tag.version > self.force_version()) || self.needs(pull.tag)
    }

    /// Whether that body is needed, which is not here.
    fn needs(&self, tag: Tag) -> bool {
        let offer = self.pull.as_ref().and_then(|pull| pull.offer.as_ref());
        let offer = offer.filter(|offer| same(offer.tag, tag) && self.now < offer.until);
        let known = self.known.is_some_and(|known| same(known, tag));
        // Nobody waits for a vote below what a majority holds.
        let overtaken = self.known.is_some_and(|known| known.version > tag.version);
        (known && tag.version > self.force_version())
            || (offer.is_some() && !overtaken)
            || self
                .proposals
                .get(&tag.version)
                .is_some_and(|it| it.lacks(tag))
            || self.told_of(tag).next().is_some()
    }

    /// Whether pieces of this body are taken; it may take the place of another that matters less.
    fn takes(&mut self, tag: Tag, size: u64, committed: bool, from: Ipv4Addr) -> bool {
        if !(1..=LONGEST).contains(&size) {
            return false;
        }
        let (size, piece) = (size as usize, self.rules.piece);
        let committed = committed || self.known.is_some_and(|known| same(known, tag));
        if let Some(pull) = self.pull.as_mut().filter(|pull| same(pull.tag, tag))
            && pull.bytes.len() == size
        {
            pull.committed |= committed;
            return true;
        }
        if let Some(pull) = self.pull.as_ref().filter(|_| self.is_busy()) {
            let instead = match tag.version.cmp(&pull.tag.version) {
                Ordering::Less => false,
                Ordering::Equal => committed && !pull.committed,
                Ordering::Greater => {
                    let missing = pull.missing(piece);
                    let begun = 2 * missing > pull.bytes.len();
                    // Of no use but for a vote.
                    let moot = begun && committed && !pull.committed;
                    let votes = self.votes_sooner(tag.version, pull.tag.version, begun);
                    size < missing || moot || votes
                }
            };
            if !instead {
                return false;
            }
        }
        let mut pull = Pull::new(tag, size, piece, from, self.now);
        pull.committed = committed;
        self.pull = Some(pull);
        true
    }

    /// Whether all who told what they hold for the new set count with that version, and none with the other;
    /// or not all, if that was only begun.
    fn votes_sooner(&self, version: u64, other: u64, begun: bool) -> bool {
        let told = || self.lacked().map(|(_, tag)| tag.version);
        let bar = if begun { told().max() } else { told().min() };
        told().all(|told| version >= told) && bar.is_some_and(|bar| other < bar)
    }

    /// Asks for what is missing, as far as the window reaches.
    fn ask_pieces(&mut self) {
        let (piece, window) = (self.rules.piece, self.rules.window);
        let Some(pull) = &mut self.pull else { return };
        let (tag, holder, size) = (pull.tag, pull.holder, pull.bytes.len());
        let mut asks = Vec::new();
        for (nth, _) in pull.got.iter().enumerate().filter(|(_, got)| !**got) {
            if pull.asked.len() >= window {
                break;
            }
            if pull.asked.insert(nth) {
                asks.push(nth * piece);
            }
        }
        for at in asks {
            let length = piece.min(size - at) as u64;
            let at = at as u64;
            self.send(holder, Message::PieceAsk { tag, at, length });
        }
    }

    /// The answer to who asks for a body: all of it, or its first piece.
    pub(crate) fn first_piece(&self, held: Held, committed: bool) -> Message {
        let Held { tag, body } = held;
        if body.len() <= self.rules.piece {
            let held = Held { tag, body };
            return Message::Body { held, committed };
        }
        Message::Piece {
            tag,
            committed,
            size: body.len() as u64,
            at: 0,
            bytes: body.slice(..self.rules.piece),
        }
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
        let lent = self.lend(from, &held, committed);
        // Too many are kept for others: one of those will do.
        let other = self.lent.values().filter(|lent| lent.committed);
        let other = other.max_by_key(|lent| lent.tag.version).cloned();
        let held = match other.filter(|_| committed && !lent) {
            Some(Lent { tag, body, .. }) => {
                let other = Held { tag, body };
                self.lend(from, &other, true);
                other
            }
            None => held,
        };
        let answer = self.first_piece(held, committed);
        self.send(from, answer);
    }

    /// Keeps a long body for who fetches it, unless too many are kept for others; whether it does, or need
    /// not.
    fn lend(&mut self, to: Ipv4Addr, held: &Held, committed: bool) -> bool {
        let Held { tag, body } = held.clone();
        if body.len() <= self.rules.piece {
            return true;
        }
        let kept = self.lent.iter().filter(|it| ![to, self.me].contains(it.0));
        let kept: BTreeSet<_> = kept
            .map(|(_, it)| (it.tag.version, it.tag.digest))
            .collect();
        if kept.len() >= LENT && !kept.contains(&(tag.version, tag.digest)) {
            return false;
        }
        let until = self.now + 2 * self.rules.beat;
        let lent = Lent {
            tag,
            body,
            committed,
            until,
        };
        self.lent.insert(to, lent);
        true
    }

    /// Of bodies that are kept for others or are on their way, as far as known (bytes).
    pub(crate) fn bytes_lent(&self) -> usize {
        let lent = self
            .lent
            .values()
            .map(|lent| (lent.tag.version, lent.body.len()));
        let lent: BTreeSet<_> = lent.collect();
        let coming = self.pull.as_ref().map_or(0, |pull| pull.bytes.len());
        coming + lent.iter().map(|it| it.1).sum::<usize>()
    }

    pub(crate) fn lent_body(&self, tag: Tag) -> Option<Bytes> {
        let lent = self.lent.values().find(|lent| same(lent.tag, tag));
        lent.map(|lent| lent.body.clone())
    }

    /// What was kept for others, or for a vote, and is not asked for any more.
    fn tick_lent(&mut self) {
        let (now, me, force) = (self.now, self.me, self.force_version());
        self.lent
            .retain(|&to, lent| now < lent.until && (to != me || lent.tag.version > force));
    }

    pub(crate) fn on_piece_ask(&mut self, from: Ipv4Addr, tag: Tag, at: u64, length: u64) {
        let glimpse = at == 0 && length == GLIMPSE;
        let newer = self
            .force
            .clone()
            .filter(|held| held.tag.version > tag.version);
        // A newer one that is short goes instead: it is there sooner than the rest.
        if let Some(Held { tag, body }) = newer
            .as_ref()
            .filter(|it| it.body.len() <= self.rules.piece)
        {
            return self.tell_length(from, *tag, body.clone());
        }
        let Some(body) = self.body_of(tag) else {
            return match newer.filter(|_| glimpse) {
                Some(Held { tag, body }) => self.tell_length(from, tag, body),
                None => self.on_fetch(from, tag), // there may be a newer one
            };
        };
        if glimpse {
            return self.tell_length(from, tag, body);
        }
        let size = body.len() as u64;
        let end = at.saturating_add(length);
        if length == 0 || length > PIECE || end > size {
            return;
        }
        let until = self.now + self.rules.patience;
        if let Some(proposal) = self.proposals.get_mut(&tag.version) {
            proposal.goes_on(tag, until);
        }
        let lent = self.lent.get_mut(&from);
        match lent.filter(|lent| same(lent.tag, tag)) {
            Some(lent) => lent.until = self.now + 2 * self.rules.beat,
            None => {
                let (body, committed) = (body.clone(), self.is_committed(tag));
                self.lend(from, &Held { tag, body }, committed);
            }
        }
        self.send_piece(from, tag, &body, at..end);
    }

    /// To who has another body on its way: all of a short one, or how long it is.
    fn tell_length(&mut self, to: Ipv4Addr, tag: Tag, body: Bytes) {
        if body.len() > self.rules.piece {
            return self.send_piece(to, tag, &body, 0..GLIMPSE);
        }
        let (held, committed) = (Held { tag, body }, self.is_committed(tag));
        self.send(to, Message::Body { held, committed });
    }

    /// Whether that body is in force here, or was while it is kept for others.
    fn is_committed(&self, tag: Tag) -> bool {
        let mut lent = self.lent.values().filter(|lent| lent.committed);
        self.force.as_ref().is_some_and(|it| same(it.tag, tag))
            || lent.any(|lent| same(lent.tag, tag))
    }

    fn send_piece(&mut self, to: Ipv4Addr, tag: Tag, body: &Bytes, part: Range<u64>) {
        let piece = Message::Piece {
            tag,
            committed: self.is_committed(tag),
            size: body.len() as u64,
            at: part.start,
            bytes: body.slice(part.start as usize..part.end as usize),
        };
        self.send(to, piece);
    }

    /// Somebody wants this held on disk, and has its body.
    pub(crate) fn on_offer(&mut self, from: Ipv4Addr, epoch: u64, tag: Tag, size: u64) {
        if let Some(body) = self.body_of(tag) {
            return self.on_accept(from, epoch, Held { tag, body });
        }
        let (version, ballot) = (tag.version, tag.ballot);
        if !self.votes_in(from, epoch) || self.nacks(from, epoch, version, ballot) {
            return;
        }
        // Another that was asked for is on its way, and this one is offered again.
        if (!self.is_busy() && self.fetches()) || !self.takes(tag, size, false, from) {
            return;
        }
        let until = self.now + self.rules.patience;
        let offer = Offer {
            from,
            epoch,
            tag,
            until,
        };
        if let Some(pull) = &mut self.pull {
            pull.offer = Some(offer);
        }
        self.ask_pieces();
    }

    pub(crate) fn on_piece(
        &mut self,
        from: Ipv4Addr,
        tag: Tag,
        committed: bool,
        size: u64,
        at: u64,
        bytes: &[u8],
    ) {
        let newer = committed && self.known.is_none_or(|known| known.version < tag.version);
        // Who sent the pieces has no more of them, and begins with what it has.
        if let Some(pull) = &mut self.pull
            && (pull.holder == from && pull.tag.version < tag.version)
            && (committed && at == 0 && bytes.len() as u64 > GLIMPSE)
        {
            pull.silences = SILENCES;
        }
        let news = committed && tag.version > self.force_version();
        let wanted = news || self.pulls(tag) || self.needs(tag);
        let taken = wanted && self.takes(tag, size, committed, from);
        let (now, until) = (self.now, self.now + self.rules.patience);
        let at = usize::try_from(at).unwrap_or(usize::MAX);
        if let Some(pull) = self.pull.as_mut().filter(|_| taken)
            && at < pull.bytes.len()
            && pull.take(at, bytes, self.rules.piece)
        {
            (pull.heard, pull.silences) = (now, 0);
            if let Some(proposal) = self.proposals.get_mut(&tag.version) {
                proposal.goes_on(tag, until);
            }
        }
        if newer {
            self.learn(tag, None, from);
        }
        if !taken {
            return;
        }
        let whole = |pull: &mut Pull| pull.got.iter().all(|got| *got);
        match self.pull.take_if(whole) {
            Some(pull) => self.whole(from, pull),
            None if self.is_busy() => self.ask_pieces(),
            None => {}
        }
    }

    /// All pieces are there.
    fn whole(&mut self, from: Ipv4Addr, pull: Pull) {
        let (tag, size) = (pull.tag, pull.bytes.len());
        let body = Bytes::from(pull.bytes);
        if tag.digest != Digest::of(&body) {
            self.out.push(Action::Log(format!(
                "the body of version {} does not fit its digest; it is fetched anew",
                tag.version
            )));
            let piece = self.rules.piece;
            let other = self.holder(tag, pull.holder);
            let mut anew = Pull::new(tag, size, piece, other, self.now);
            (anew.offer, anew.committed) = (pull.offer, pull.committed);
            self.pull = Some(anew);
            if other != pull.holder {
                self.ask_pieces(); // else after a silence
            }
            return;
        }
        let held = Held {
            tag,
            body: body.clone(),
        };
        self.body_came(from, held, pull.committed);
        if let Some(offer) = pull.offer {
            let (tag, until) = (offer.tag, self.now + 2 * self.rules.beat);
            // By a ballot that was superseded meanwhile it may not be held; it is offered again by another.
            if tag.version > self.force_version() {
                let lent = Lent {
                    tag,
                    body: body.clone(),
                    committed: false,
                    until,
                };
                self.lent.insert(self.me, lent);
            }
            self.accept_here(offer.from, offer.epoch, Held { tag, body });
        }
    }

    /// A body is here that was asked for.
    pub(crate) fn body_came(&mut self, from: Ipv4Addr, held: Held, committed: bool) {
        let told: Vec<Tag> = self.told_of(held.tag).collect();
        for tag in told {
            let body = held.body.clone();
            self.hold(Held { tag, body });
        }
        self.take_body(from, held, committed);
        self.count_told();
    }

    /// Asks again, of another, when nothing comes.
    pub(crate) fn tick_pull(&mut self) {
        self.tick_lent();
        let Some(pull) = &self.pull else { return };
        let (tag, holder, heard) = (pull.tag, pull.holder, pull.heard);
        if !self.needs_pull(pull) {
            if self.now >= heard + self.rules.gone {
                self.pull = None;
            }
            return;
        }
        let silent = self.now >= heard + (self.silence() << pull.silences.min(SILENCES));
        let peer = self.peers.get(&holder);
        let down = peer.is_some_and(|peer| peer.down_since.is_some());
        if !(silent || down) {
            return;
        }
        // Most of what comes is old news elsewhere: who sent pieces is asked once more, if no other is known.
        let once_more = pull.silences == 0 && !down;
        let other = match self.other_holder(tag, holder) {
            Some(other) => other,
            None if once_more => holder,
            None => self.holder(tag, holder),
        };
        if !silent && other == holder {
            return;
        }
        let now = self.now;
        if let Some(pull) = &mut self.pull {
            pull.holder = other;
            pull.heard = now;
            pull.silences += u32::from(silent);
            pull.asked.clear();
        }
        self.ask_pieces();
    }

    /// Another who holds that body.
    fn other_holder(&mut self, tag: Tag, not: Ipv4Addr) -> Option<Ipv4Addr> {
        let has = |node: &Ipv4Addr| {
            let beat = self.peers.get(node).and_then(|peer| peer.beat.as_ref());
            beat.and_then(|beat| beat.committed)
                .is_some_and(|committed| same(committed, tag))
        };
        let mut all: Vec<Ipv4Addr> = self.alive.iter().copied().filter(has).collect();
        all.extend(self.tellers(tag).filter(|node| self.alive.contains(node)));
        self.pick(all, not)
    }

    /// Another who holds that body, or who may.
    fn holder(&mut self, tag: Tag, not: Ipv4Addr) -> Ipv4Addr {
        let voters = self.voters().iter().map(|voter| voter.node).collect();
        let other = self.other_holder(tag, not);
        other.or_else(|| self.pick(voters, not)).unwrap_or(not)
    }

    fn pick(&mut self, mut all: Vec<Ipv4Addr>, not: Ipv4Addr) -> Option<Ipv4Addr> {
        all.retain(|node| *node != not && *node != self.me);
        (!all.is_empty()).then(|| all[self.draw() as usize % all.len()])
    }

    // Marks.

    /// Compares marks with that hive, unless this goes on with another.
    pub(crate) fn compare(&mut self, with: Ipv4Addr) {
        let silence = self.silence();
        let busy = |walk: &Walk| self.now < walk.at + silence;
        if !self.walk.as_ref().is_some_and(busy) {
            self.begin_walk(with);
        }
    }

    /// Has marks compared with that hive from the beginning.
    pub(crate) fn begin_walk(&mut self, with: Ipv4Addr) {
        self.walk_on(with, None, self.ids_drawn());
    }

    fn walk_on(&mut self, with: Ipv4Addr, after: Option<Place>, began: u64) {
        let (id, at, sums) = (self.next_id(), self.now, self.marks.sums());
        self.walk = Some(Walk {
            with,
            id,
            at,
            began,
        });
        self.send(with, Message::MarksDiffer { id, sums, after });
    }

    /// With whom marks are compared just now.
    pub(crate) fn walks_with(&self) -> Option<Ipv4Addr> {
        let silence = self.silence();
        let walk = self.walk.as_ref();
        walk.filter(|walk| self.now < walk.at + silence)
            .map(|walk| walk.with)
    }

    pub(crate) fn on_marks_differ(
        &mut self,
        from: Ipv4Addr,
        id: u64,
        sums: &[(u8, u64)],
        after: Option<&Place>,
    ) {
        let (marks, next) = self.marks.page(sums, after, self.rules.piece);
        let disk = self.disk;
        let page = Message::MarksPage {
            id,
            disk,
            marks,
            next,
        };
        self.send(from, page);
    }

    pub(crate) fn on_marks_page(
        &mut self,
        from: Ipv4Addr,
        id: u64,
        disk: u64,
        marks: Vec<Mark>,
        next: Option<Place>,
    ) {
        marks.into_iter().for_each(|mark| self.join(mark));
        self.named_disk(from, id, disk);
        let mine = |walk: &mut Walk| walk.with == from && walk.id == id;
        let Some(walk) = self.walk.take_if(mine) else {
            return;
        };
        match next {
            Some(next) => self.walk_on(from, Some(next), walk.began),
            None => {
                self.marks_compared(from, disk, walk.began);
                self.walked(from, disk);
            }
        }
    }

    /// All marks, in pages, to one who does not compare.
    pub(crate) fn tell_marks(&mut self, to: Ipv4Addr) {
        let mut after = None;
        loop {
            let (marks, next) = self.marks.page(&[], after.as_ref(), self.rules.piece);
            self.send(to, Message::Marks(marks));
            match next {
                Some(next) => after = Some(next),
                None => return,
            }
        }
    }
}
