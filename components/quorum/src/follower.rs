//! Follower role: entries and snapshots from the leader.

use bytes::{Bytes, BytesMut};
use wire::quorum::message::Body;
use wire::quorum::{Append, Appended, Install, Installed, Members};

use crate::event::Effect;
use crate::log::Snapshot;
use crate::replica::Replica;

/// Snapshot of which some pieces have arrived.
#[derive(Debug)]
pub(crate) struct Incoming {
    /// Term of the leader that sends the snapshot.
    term: u64,
    /// Index of the snapshot.
    index: u64,
    /// Pieces that have arrived, in order.
    bytes: BytesMut,
}

impl Replica {
    /// Rejects the message of a leader of an earlier term; the answer carries the current term.
    pub(crate) fn reject_stale_leader(&mut self, to: u64) {
        let denied = Appended { matched: false, index: self.log.last_index(), round: 0 };
        self.send_durable(to, Body::Appended(denied));
    }

    pub(crate) fn on_append(&mut self, from: u64, append: Append) {
        let round = append.round;
        if !self.has_matching_entry(append.prev_index, append.prev_term) {
            let index = self.log.last_index().min(append.prev_index.saturating_sub(1));
            let index = self.last_of_earlier_term(index, append.prev_term);
            self.send_durable(from, Body::Appended(Appended { matched: false, index, round }));
            return;
        }
        let matched = append.prev_index + append.entries.len() as u64;
        for entry in append.entries {
            self.append_entry(entry);
        }
        self.commit_to(append.commit.min(matched));
        let durable = matched.min(self.barrier.durable_index());
        let answer = |index| Body::Appended(Appended { matched: true, index, round });
        // a heartbeat is answered at once: the contact with the leader and the reads that it
        // confirms must not wait for the disk
        self.send(from, answer(durable));
        if durable < matched {
            self.send_durable(from, answer(matched));
        }
    }

    fn append_entry(&mut self, entry: wire::quorum::Entry) {
        if entry.index <= self.log.base() || entry.index <= self.commit {
            return;
        }
        match self.log.term(entry.index) {
            Some(term) if term == entry.term => return,
            Some(_) => {
                self.log.truncate(entry.index);
                self.barrier.truncate(entry.index);
            }
            None => {}
        }
        self.barrier.push_entry(entry.clone());
        self.log.push(entry);
    }

    fn has_matching_entry(&self, index: u64, term: u64) -> bool {
        index <= self.commit || self.log.term(index) == Some(term)
    }

    /// Last index, at or before the given one, of an entry whose term is not above the given
    /// term; at least the commit index.
    fn last_of_earlier_term(&self, mut index: u64, term: u64) -> u64 {
        while index > self.commit && self.log.term(index).is_some_and(|own| own > term) {
            index -= 1;
        }
        index.max(self.commit)
    }

    pub(crate) fn on_install(&mut self, from: u64, install: Install) {
        let index = install.index;
        if index <= self.commit {
            self.send_durable(from, Body::Installed(Installed { index, offset: 0, done: true }));
            return;
        }
        let offset = self.append_piece(&install);
        if offset < install.length {
            self.send(from, Body::Installed(Installed { index, offset, done: false }));
            return;
        }
        let data = self.incoming.take().map_or_else(Bytes::new, |incoming| incoming.bytes.freeze());
        let members = install.members.unwrap_or_default();
        self.restore(index, install.term, members, data);
        self.send_durable(from, Body::Installed(Installed { index, offset, done: true }));
    }

    /// Appends a piece if it is the next one, and returns the offset of the next piece.
    fn append_piece(&mut self, install: &Install) -> u64 {
        let term = self.hard.term;
        let current = self.incoming.as_ref();
        let same =
            current.is_some_and(|current| current.term == term && current.index == install.index);
        if !same {
            self.incoming = Some(Incoming { term, index: install.index, bytes: BytesMut::new() });
        }
        let Some(incoming) = &mut self.incoming else { return 0 };
        if incoming.bytes.len() as u64 == install.offset {
            incoming.bytes.extend_from_slice(&install.bytes);
        }
        incoming.bytes.len() as u64
    }

    fn restore(&mut self, index: u64, term: u64, members: Members, data: Bytes) {
        let snapshot = Snapshot { index, term, members, data };
        self.log.restore(snapshot.clone());
        self.barrier.truncate(self.commit + 1);
        self.barrier.set_snapshot(snapshot.clone(), true);
        self.commit = index;
        self.applied = index;
        for token in std::mem::take(&mut self.proposals) {
            self.out.push(Effect::Dropped { token, not_run: false });
        }
        self.out.push(Effect::Restore(snapshot));
    }
}
