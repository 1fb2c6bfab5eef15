//! What each message of another machine is handed to.

use std::net::Ipv4Addr;

use crate::replica::Replica;
use crate::types::Message;

impl Replica {
    pub(crate) fn message(&mut self, from: Ipv4Addr, message: Message) {
        match message {
            Message::Beat(beat) => self.on_beat(from, *beat),
            Message::Prepare {
                epoch,
                version,
                ballot,
            } => self.on_prepare(from, epoch, version, ballot),
            Message::Promise {
                epoch,
                disk,
                version,
                ballot,
                held,
            } => {
                if self.counts(from, epoch, disk) {
                    self.on_promise(from, version, ballot, held);
                }
            }
            Message::Nack {
                epoch,
                version,
                ballot,
                round,
                above,
            } => {
                if epoch == self.epoch() {
                    self.on_nack(from, version, ballot, round, above);
                }
            }
            Message::Accept { epoch, held } => self.on_accept(from, epoch, held),
            Message::Accepted {
                epoch,
                disk,
                version,
                ballot,
            } => {
                if self.counts(from, epoch, disk) {
                    self.on_accepted(from, version, ballot);
                }
            }
            Message::Commit(tag) => self.learn(tag, None, from),
            Message::Fetch(tag) => self.on_fetch(from, tag),
            Message::Body { held, committed } => self.on_body(from, held, committed),
            Message::Read { epoch, id } => {
                if self.votes_in(from, epoch) {
                    let reply = self.read_reply(id);
                    self.send(from, reply);
                }
            }
            Message::Confirm { epoch, id, marks } => {
                if self.votes_in(from, epoch) {
                    let alike = marks == self.marks.digest();
                    let reply = Box::new(self.read_reply(id));
                    self.send(from, Message::Confirmed { alike, reply });
                }
            }
            Message::Confirmed { alike, reply } => self.on_confirmed(from, alike, *reply),
            Message::ReadReply {
                epoch,
                disk,
                id,
                held,
                written,
                committed,
            } => {
                if self.counts(from, epoch, disk) {
                    self.on_read_reply(from, id, held, written, committed);
                }
            }
            Message::MarkStore { epoch, id, mark } => {
                // Learnt in any case; held to count only by a voter.
                self.join(mark);
                if self.votes_in(from, epoch) {
                    self.send_durable(
                        from,
                        Message::MarkStored {
                            epoch,
                            disk: self.disk,
                            id,
                        },
                    );
                }
            }
            Message::MarkStored { epoch, disk, id } => {
                if self.counts(from, epoch, disk) {
                    self.on_mark_stored(from, id);
                }
            }
            Message::MarksAsk => self.tell_marks(from),
            Message::Marks(marks) => marks.into_iter().for_each(|mark| self.join(mark)),
            Message::PrepareSet { epoch, ballot } => self.on_prepare_set(from, epoch, ballot),
            Message::PromiseSet {
                epoch,
                disk,
                ballot,
                accepted,
            } => {
                if self.counts(from, epoch, disk) {
                    self.on_promise_set(from, ballot, accepted);
                }
            }
            Message::AcceptSet {
                epoch,
                ballot,
                voters,
            } => self.on_accept_set(from, epoch, ballot, voters),
            Message::AcceptedSet {
                epoch,
                disk,
                ballot,
            } => {
                if self.counts(from, epoch, disk) {
                    self.on_accepted_set(from, ballot);
                }
            }
            Message::NackSet { epoch, round } => self.on_nack_set(epoch, round),
            Message::StateRequest { set, held, marks } => {
                self.on_state_request(from, set, held, marks)
            }
            Message::StateReply {
                epoch,
                disk,
                active_in,
                held,
                committed,
                marks,
            } => {
                self.on_state_reply(from, epoch, disk, active_in, held, committed, marks);
            }
            Message::Offer { epoch, tag, size } => self.on_offer(from, epoch, tag, size),
            Message::PieceAsk { tag, at, length } => self.on_piece_ask(from, tag, at, length),
            Message::Piece {
                tag,
                committed,
                size,
                at,
                bytes,
            } => self.on_piece(from, tag, committed, size, at, &bytes),
            Message::MarksDiffer { id, sums, after } => {
                self.on_marks_differ(from, id, &sums, after.as_ref());
            }
            Message::MarksPage {
                id,
                disk,
                marks,
                next,
            } => self.on_marks_page(from, id, disk, marks, next),
            Message::StateSummary {
                epoch,
                disk,
                active_in,
                held,
                committed,
                marks,
            } => self.on_state_summary(from, epoch, disk, active_in, held, committed, marks),
            Message::PrepareNumber {
                epoch,
                version,
                ballot,
            } => self.on_prepare_number(from, epoch, version, ballot),
            Message::AcceptNumber { epoch, tag } => self.on_accept_number(from, epoch, tag),
            Message::State {
                epoch,
                numbers,
                state,
            } => self.on_state(from, epoch, numbers, *state),
        }
    }
}
