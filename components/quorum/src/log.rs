//! The log in memory: the newest snapshot, the entries after it and some before
//! it, and the memberships that they contain.

use std::collections::VecDeque;

use bytes::Bytes;
use wire::Message as _;
use wire::quorum::entry::Body;
use wire::quorum::{Entry, Members};

use crate::{BATCH_BYTES, KEPT_BYTES};

/// Snapshot of the application state at an index.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    /// Index of the last entry that the snapshot includes.
    pub index: u64,
    /// Term of the last entry that the snapshot includes.
    pub term: u64,
    /// Membership at the index.
    pub members: Members,
    /// Encoded application state.
    pub data: Bytes,
}

#[derive(Debug, Default)]
pub(crate) struct Log {
    snapshot: Snapshot,
    /// Index and term of the entry before the first one in `entries`.
    base: (u64, u64),
    entries: VecDeque<Entry>,
    /// Memberships and their indexes, oldest first.
    memberships: Vec<(u64, Members)>,
}

impl Log {
    pub(crate) fn new(snapshot: Snapshot, entries: Vec<Entry>) -> Self {
        let mut log = Self::default();
        log.restore(snapshot);
        for entry in entries {
            if entry.index == log.last_index() + 1 {
                log.push(entry);
            }
        }
        log
    }

    pub(crate) fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// Index of the entry before the first one that the log holds.
    pub(crate) fn base(&self) -> u64 {
        self.base.0
    }

    pub(crate) fn last_index(&self) -> u64 {
        self.base.0 + self.entries.len() as u64
    }

    pub(crate) fn last_term(&self) -> u64 {
        self.entries.back().map_or(self.base.1, |entry| entry.term)
    }

    pub(crate) fn term(&self, index: u64) -> Option<u64> {
        if index == self.base.0 {
            return Some(self.base.1);
        }
        self.get(index).map(|entry| entry.term)
    }

    pub(crate) fn get(&self, index: u64) -> Option<&Entry> {
        let offset = index.checked_sub(self.base.0 + 1)?;
        self.entries.get(offset as usize)
    }

    /// Entries from an index on, as many as fit in one message.
    pub(crate) fn batch(&self, from: u64, max_entries: usize) -> Vec<Entry> {
        let mut bytes = 0;
        let mut batch = Vec::new();
        let mut index = from;
        while let Some(entry) = self.get(index) {
            bytes += entry.encoded_len();
            let full = bytes > BATCH_BYTES || batch.len() >= max_entries;
            if full && !batch.is_empty() {
                break;
            }
            batch.push(entry.clone());
            index += 1;
        }
        batch
    }

    /// Appends an entry. Its command is copied: as received it is part of a read buffer, which
    /// it would keep in memory as a whole.
    pub(crate) fn push(&mut self, mut entry: Entry) {
        if let Some(Body::Command(command)) = &mut entry.body {
            *command = Bytes::copy_from_slice(command);
        }
        debug_assert_eq!(entry.index, self.last_index() + 1, "the log has no gaps");
        if let Some(Body::Members(members)) = &entry.body {
            self.memberships.push((entry.index, members.clone()));
        }
        self.entries.push_back(entry);
    }

    /// Drops the entries from an index on.
    pub(crate) fn truncate(&mut self, from: u64) {
        let kept = from.saturating_sub(self.base.0 + 1);
        self.entries.truncate(kept as usize);
        self.memberships.retain(|(index, _)| *index < from);
    }

    /// Stores a snapshot at an applied index, and drops all but `keep` of the entries before it.
    pub(crate) fn compact(&mut self, index: u64, data: Bytes, keep: u64) -> Option<&Snapshot> {
        let term = self.term(index)?;
        if index <= self.snapshot.index {
            return None;
        }
        let members = self.members_at(index);
        self.snapshot = Snapshot { index, term, members, data };
        let base = index.saturating_sub(keep).max(self.base.0).max(self.within_bytes(index));
        let base_term = self.term(base)?;
        self.entries.drain(..(base - self.base.0) as usize);
        self.base = (base, base_term);
        let current = self.memberships.iter().rposition(|(at, _)| *at <= index).unwrap_or(0);
        self.memberships.drain(..current);
        Some(&self.snapshot)
    }

    /// Index before the entries up to `index` that have [`KEPT_BYTES`] together.
    fn within_bytes(&self, index: u64) -> u64 {
        let before = (self.base.0 + 1..=index).rev().filter_map(|at| self.get(at));
        let mut bytes = 0;
        let kept = before.take_while(|entry| {
            bytes += entry.encoded_len();
            bytes <= KEPT_BYTES
        });
        index - kept.count() as u64
    }

    /// Encoded length of the entries after the snapshot, in bytes.
    pub(crate) fn bytes_after_snapshot(&self) -> usize {
        let first = (self.snapshot.index - self.base.0) as usize;
        self.entries.range(first..).map(Entry::encoded_len).sum()
    }

    /// Replaces the whole log by a snapshot.
    pub(crate) fn restore(&mut self, snapshot: Snapshot) {
        self.base = (snapshot.index, snapshot.term);
        self.entries.clear();
        self.memberships = vec![(snapshot.index, snapshot.members.clone())];
        self.snapshot = snapshot;
    }

    /// The newest membership, committed or not, with its index.
    pub(crate) fn membership(&self) -> (u64, &Members) {
        let (index, members) = self.memberships.last().expect("a snapshot contains a membership");
        (*index, members)
    }

    /// The membership before the newest one.
    pub(crate) fn previous_membership(&self) -> Option<&Members> {
        let before = self.memberships.len().checked_sub(2)?;
        self.memberships.get(before).map(|(_, members)| members)
    }

    fn members_at(&self, index: u64) -> Members {
        let found = self.memberships.iter().rev().find(|(at, _)| *at <= index);
        found.map_or_else(Members::default, |(_, members)| members.clone())
    }
}
