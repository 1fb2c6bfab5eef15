//! Repair: long bodies in pieces, marks by the buckets that differ. Who is behind asks; who answers keeps
//! nothing of it.

use std::collections::BTreeSet;
use std::net::Ipv4Addr;

use bytes::Bytes;

use crate::replica::Replica;
use crate::types::{Action, Digest, Held, Mark, Message, Millis, Place, Tag};

/// No body is longer (bytes).
const LONGEST: u64 = 8 << 20;
/// No piece is (bytes).
const PIECE: u64 = 1 << 20;
/// After so many silences in a row another body may be fetched instead.
const SILENCES: u32 = 3;

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

/// The body that comes in pieces; one at a time.
#[derive(Clone, Hash)]
pub(crate) struct Pull {
    pub(crate) tag: Tag,
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
}

/// A comparison of marks with another hive; one at a time.
#[derive(Clone, Hash)]
pub(crate) struct Walk {
    pub(crate) with: Ipv4Addr,
    id: u64,
    at: Millis,
}

impl Replica {
    fn silence(&self) -> Millis {
        2 * self.rules.retry
    }

    // Bodies.

    /// Asks for a body, unless it comes in pieces already.
    pub(crate) fn fetch(&mut self, tag: Tag, from: Ipv4Addr) {
        if !self.pulls(tag) {
            self.send(from, Message::Fetch(tag));
        }
    }

    /// Whether that body comes in pieces, and somebody sends them.
    pub(crate) fn pulls(&self, tag: Tag) -> bool {
        let pull = self.pull.as_ref();
        pull.is_some_and(|pull| same(pull.tag, tag) && pull.silences < SILENCES)
    }

    /// Whether that body is needed, which is not here.
    fn needs(&self, tag: Tag) -> bool {
        let offer = self.pull.as_ref().and_then(|pull| pull.offer.as_ref());
        let known = self.known.is_some_and(|known| same(known, tag));
        (known && tag.version > self.force_version())
            || offer.is_some_and(|offer| same(offer.tag, tag) && self.now < offer.until)
            || self
                .proposals
                .get(&tag.version)
                .is_some_and(|it| it.lacks(tag))
            || self.told_of(tag).next().is_some()
    }

    fn rank(&self, tag: Tag) -> (u64, bool) {
        (tag.version, self.known.is_some_and(|it| same(it, tag)))
    }

    /// Whether pieces of this body are taken; it may take the place of another that matters less.
    fn takes(&mut self, tag: Tag, size: u64, from: Ipv4Addr) -> bool {
        if !(1..=LONGEST).contains(&size) {
            return false;
        }
        let size = size as usize;
        if let Some(pull) = &self.pull {
            if same(pull.tag, tag) && pull.bytes.len() == size {
                return true;
            }
            let first = same(pull.tag, tag) || self.rank(pull.tag) > self.rank(tag);
            if first && pull.silences < SILENCES && self.needs(pull.tag) {
                return false;
            }
        }
        self.pull = Some(Pull::new(tag, size, self.rules.piece, from, self.now));
        true
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

    pub(crate) fn on_piece_ask(&mut self, from: Ipv4Addr, tag: Tag, at: u64, length: u64) {
        let Some(body) = self.body_of(tag) else {
            return self.on_fetch(from, tag); // there may be a newer one
        };
        let size = body.len() as u64;
        let end = at.saturating_add(length);
        if length == 0 || length > PIECE || end > size {
            return;
        }
        let until = self.now + self.rules.patience;
        if let Some(proposal) = self.proposals.get_mut(&tag.version) {
            proposal.goes_on(tag, until);
        }
        let committed = self.force.as_ref().is_some_and(|it| same(it.tag, tag));
        let bytes = body.slice(at as usize..end as usize);
        let piece = Message::Piece {
            tag,
            committed,
            size,
            at,
            bytes,
        };
        self.send(from, piece);
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
        if !self.takes(tag, size, from) {
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
        if !(newer || self.needs(tag)) || !self.takes(tag, size, from) {
            return;
        }
        let (now, until) = (self.now, self.now + self.rules.patience);
        let Some(pull) = &mut self.pull else { return };
        let at = usize::try_from(at).unwrap_or(usize::MAX);
        if at < pull.bytes.len() && pull.take(at, bytes, self.rules.piece) {
            (pull.heard, pull.silences) = (now, 0);
            if let Some(proposal) = self.proposals.get_mut(&tag.version) {
                proposal.goes_on(tag, until);
            }
        }
        if newer {
            self.learn(tag, None, from);
        }
        let whole = |pull: &mut Pull| pull.got.iter().all(|got| *got);
        match self.pull.take_if(whole) {
            Some(pull) => self.whole(from, pull),
            None => self.ask_pieces(),
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
            anew.offer = pull.offer;
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
        self.body_came(from, held, false);
        if let Some(offer) = pull.offer {
            let tag = offer.tag;
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
        let Some(pull) = &self.pull else { return };
        let (tag, holder, heard) = (pull.tag, pull.holder, pull.heard);
        if !self.needs(tag) {
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
        let other = self.holder(tag, holder);
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

    /// Another who holds that body, or who may.
    fn holder(&mut self, tag: Tag, not: Ipv4Addr) -> Ipv4Addr {
        let has = |node: &Ipv4Addr| {
            let beat = self.peers.get(node).and_then(|peer| peer.beat.as_ref());
            beat.and_then(|beat| beat.committed)
                .is_some_and(|committed| same(committed, tag))
        };
        let others = |node: &Ipv4Addr| *node != not && *node != self.me;
        let mut all: Vec<Ipv4Addr> = self.alive.iter().copied().filter(has).collect();
        all.extend(self.tellers(tag).filter(|node| self.alive.contains(node)));
        all.retain(others);
        if all.is_empty() {
            all.extend(self.voters().iter().map(|voter| voter.node));
            all.retain(others);
        }
        match all.len() {
            0 => not,
            some => all[self.draw() as usize % some],
        }
    }

    // Marks.

    /// Compares marks with that hive, unless this goes on with another.
    pub(crate) fn compare(&mut self, with: Ipv4Addr) {
        let silence = self.silence();
        let busy = |walk: &Walk| self.now < walk.at + silence;
        if !self.walk.as_ref().is_some_and(busy) {
            self.walk_on(with, None);
        }
    }

    pub(crate) fn walk_on(&mut self, with: Ipv4Addr, after: Option<Place>) {
        let (id, at, sums) = (self.next_id(), self.now, self.marks.sums());
        self.walk = Some(Walk { with, id, at });
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
        if self.walk.take_if(mine).is_none() {
            return;
        }
        match next {
            Some(next) => self.walk_on(from, Some(next)),
            None => self.walked(from, disk),
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
