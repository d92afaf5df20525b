//! Write barrier: collects the writes of an event, and defers actions until the
//! writes that they depend on are durable.

use std::collections::VecDeque;

use wire::quorum::{Entry, Message};

use crate::log::Snapshot;

/// Hard state of a member: the durable state besides the log and the snapshot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Hard {
    /// Highest term that the member knows.
    pub term: u64,
    /// Id of the member that got this member's vote in that term; zero for none.
    pub vote: u64,
}

/// Write to the disk, which is complete and synced before it is reported as persisted.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Write {
    /// Sequence number of the write, which rises by one with each write.
    pub token: u64,
    /// New hard state, if it changed.
    pub hard: Option<Hard>,
    /// New snapshot. With `reset`, it replaces all entries.
    pub snapshot: Option<Snapshot>,
    /// Whether all entries of earlier writes are discarded.
    pub reset: bool,
    /// New entries. Earlier entries at or after the index of the first one are discarded.
    pub entries: Vec<Entry>,
}

impl Write {
    fn is_empty(&self) -> bool {
        self.hard.is_none() && self.snapshot.is_none() && self.entries.is_empty()
    }
}

/// Action that is deferred until the preceding writes are durable.
#[derive(Debug)]
pub(crate) enum Action {
    Send(Message),
    /// Counts the member's vote for itself in a term.
    Vote(u64),
}

/// Pending writes and deferred actions.
#[derive(Debug)]
pub(crate) struct Barrier {
    /// Write of the current event.
    next: Write,
    /// Token of the last write that was issued.
    last_issued: u64,
    /// Token of the last write that is durable.
    last_persisted: u64,
    durable_index: u64,
    /// Token of the last write with a hard state.
    hard_token: u64,
    /// Tokens of writes that are not durable yet, each with the last index of the log after it.
    last_indexes: VecDeque<(u64, u64)>,
    /// Deferred actions, each with the token of the write that must be durable first.
    held: VecDeque<(u64, Action)>,
    /// Actions of the current event.
    new_actions: Vec<Action>,
}

impl Barrier {
    pub(crate) fn new(durable_index: u64) -> Self {
        Self {
            next: Write::default(),
            last_issued: 0,
            last_persisted: 0,
            durable_index,
            hard_token: 0,
            last_indexes: VecDeque::new(),
            held: VecDeque::new(),
            new_actions: Vec::new(),
        }
    }

    /// Last index of the log that is durable.
    pub(crate) fn durable_index(&self) -> u64 {
        self.durable_index
    }

    /// Whether the newest hard state is durable.
    pub(crate) fn is_hard_durable(&self) -> bool {
        self.next.hard.is_none() && self.hard_token <= self.last_persisted
    }

    pub(crate) fn set_hard(&mut self, hard: Hard) {
        self.next.hard = Some(hard);
    }

    pub(crate) fn push_entry(&mut self, entry: Entry) {
        self.next.entries.push(entry);
    }

    pub(crate) fn set_snapshot(&mut self, snapshot: Snapshot, reset: bool) {
        self.next.snapshot = Some(snapshot);
        if reset {
            self.next.reset = true;
            self.next.entries.clear();
        }
    }

    /// Discards the entries from an index on.
    pub(crate) fn truncate(&mut self, from: u64) {
        let last = from - 1;
        self.durable_index = self.durable_index.min(last);
        for (_, last_index) in &mut self.last_indexes {
            *last_index = (*last_index).min(last);
        }
        self.next.entries.retain(|entry| entry.index < from);
    }

    /// Defers an action until all writes so far are durable.
    pub(crate) fn defer(&mut self, action: Action) {
        self.new_actions.push(action);
    }

    /// Ends an event. Returns the write of the event, if any, and the actions that need not wait.
    pub(crate) fn flush(&mut self, last_index: u64) -> (Option<Write>, Vec<Action>) {
        let mut write = None;
        if !self.next.is_empty() {
            self.last_issued += 1;
            let mut next = std::mem::take(&mut self.next);
            next.token = self.last_issued;
            if next.hard.is_some() {
                self.hard_token = next.token;
            }
            self.last_indexes.push_back((self.last_issued, last_index));
            write = Some(next);
        }
        let new_actions = std::mem::take(&mut self.new_actions);
        if self.last_persisted == self.last_issued {
            return (write, new_actions);
        }
        self.held.extend(new_actions.into_iter().map(|action| (self.last_issued, action)));
        (write, Vec::new())
    }

    /// Notes that a write and all earlier ones are durable. Returns the actions that waited
    /// for them.
    pub(crate) fn persisted(&mut self, token: u64) -> Vec<Action> {
        self.last_persisted = self.last_persisted.max(token);
        while let Some((issued, last)) = self.last_indexes.front().copied()
            && issued <= token
        {
            self.durable_index = last;
            self.last_indexes.pop_front();
        }
        let ready = self.held.iter().take_while(|(needed, _)| *needed <= token).count();
        self.held.drain(..ready).map(|(_, action)| action).collect()
    }
}
