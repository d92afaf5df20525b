//! A follower's side: entries and snapshots that come from the leader.

use bytes::{Bytes, BytesMut};
use wire::quorum::message::Body;
use wire::quorum::{Append, Appended, Members, Piece, Pieced};

use crate::event::Effect;
use crate::log::Snapshot;
use crate::replica::Replica;

/// A snapshot that comes in pieces.
#[derive(Debug)]
pub(crate) struct Incoming {
    term: u64,
    index: u64,
    bytes: BytesMut,
}

impl Replica {
    /// Tells a leader of an earlier term of the present one.
    pub(crate) fn deny(&mut self, to: u64) {
        let denied = Appended { matched: false, index: self.log.last_index(), round: 0 };
        self.send_durable(to, Body::Appended(denied));
    }

    pub(crate) fn on_append(&mut self, from: u64, append: Append) {
        let round = append.round;
        if !self.fits(append.prev_index, append.prev_term) {
            let index = self.log.last_index().min(append.prev_index.saturating_sub(1));
            let index = self.last_of_earlier_term(index, append.prev_term);
            self.send_durable(from, Body::Appended(Appended { matched: false, index, round }));
            return;
        }
        let matched = append.prev_index + append.entries.len() as u64;
        for entry in append.entries {
            self.take(entry);
        }
        self.commit_to(append.commit.min(matched));
        let appended = Appended { matched: true, index: matched, round };
        self.send_durable(from, Body::Appended(appended));
    }

    fn take(&mut self, entry: wire::quorum::Entry) {
        if entry.index <= self.log.base() || entry.index <= self.commit {
            return;
        }
        match self.log.term(entry.index) {
            Some(term) if term == entry.term => return,
            Some(_) => {
                self.log.truncate(entry.index);
                self.hold.truncate(entry.index);
            }
            None => {}
        }
        self.hold.entry(entry.clone());
        self.log.push(entry);
    }

    fn fits(&self, index: u64, term: u64) -> bool {
        index <= self.commit || self.log.term(index) == Some(term)
    }

    /// The last index at or before one whose term is not past the given term.
    fn last_of_earlier_term(&self, mut index: u64, term: u64) -> u64 {
        while index > self.commit && self.log.term(index).is_some_and(|own| own > term) {
            index -= 1;
        }
        index.max(self.commit)
    }

    pub(crate) fn on_piece(&mut self, from: u64, piece: Piece) {
        let index = piece.index;
        if index <= self.commit {
            self.send_durable(from, Body::Pieced(Pieced { index, offset: 0, done: true }));
            return;
        }
        let offset = self.collect(&piece);
        if offset < piece.length {
            self.send(from, Body::Pieced(Pieced { index, offset, done: false }));
            return;
        }
        let data = self.incoming.take().map_or_else(Bytes::new, |incoming| incoming.bytes.freeze());
        let members = piece.members.unwrap_or_default();
        self.restore(index, piece.term, members, data);
        self.send_durable(from, Body::Pieced(Pieced { index, offset, done: true }));
    }

    /// Adds a piece that fits, and returns the offset that is needed next.
    fn collect(&mut self, piece: &Piece) -> u64 {
        let term = self.hard.term;
        let known = self.incoming.as_ref();
        let same = known.is_some_and(|known| known.term == term && known.index == piece.index);
        if !same {
            self.incoming = Some(Incoming { term, index: piece.index, bytes: BytesMut::new() });
        }
        let Some(incoming) = &mut self.incoming else { return 0 };
        if incoming.bytes.len() as u64 == piece.offset {
            incoming.bytes.extend_from_slice(&piece.bytes);
        }
        incoming.bytes.len() as u64
    }

    fn restore(&mut self, index: u64, term: u64, members: Members, data: Bytes) {
        let snapshot = Snapshot { index, term, members, data };
        self.log.restore(snapshot.clone());
        self.hold.truncate(self.commit + 1);
        self.hold.snapshot(snapshot.clone(), true);
        self.commit = index;
        self.applied = index;
        for token in std::mem::take(&mut self.proposals) {
            self.out.push(Effect::Dropped { token, not_run: false });
        }
        self.out.push(Effect::Restore(snapshot));
    }
}
