//! What waits for the disk: writes under way, and the messages that rest on
//! them.

use std::collections::VecDeque;

use wire::quorum::{Entry, Message};

use crate::log::Snapshot;

/// What a member must never forget besides its log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Hard {
    /// Highest term it knows.
    pub term: u64,
    /// Id that has its vote in that term; zero for none.
    pub vote: u64,
}

/// One write, carried out whole and synced before it is reported.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Write {
    /// Number of the write; it rises by one.
    pub token: u64,
    /// A new term or vote.
    pub hard: Option<Hard>,
    /// A snapshot. With `reset`, it stands in place of all entries.
    pub snapshot: Option<Snapshot>,
    /// Whether entries written before are void.
    pub reset: bool,
    /// Entries; those written before at the first one's index and after are void.
    pub entries: Vec<Entry>,
}

impl Write {
    fn is_empty(&self) -> bool {
        self.hard.is_none() && self.snapshot.is_none() && self.entries.is_empty()
    }
}

/// What is let go once its write is durable.
#[derive(Debug)]
pub(crate) enum Item {
    Send(Message),
    /// The member's own vote in a term.
    Vote(u64),
}

#[derive(Debug)]
pub(crate) struct Hold {
    next: Write,
    issued: u64,
    done: u64,
    durable: u64,
    marks: VecDeque<(u64, u64)>,
    items: VecDeque<(u64, Item)>,
    fresh: Vec<Item>,
}

impl Hold {
    pub(crate) fn new(durable: u64) -> Self {
        Self {
            next: Write::default(),
            issued: 0,
            done: 0,
            durable,
            marks: VecDeque::new(),
            items: VecDeque::new(),
            fresh: Vec::new(),
        }
    }

    /// Last index of the log that is durable.
    pub(crate) fn durable(&self) -> u64 {
        self.durable
    }

    pub(crate) fn hard(&mut self, hard: Hard) {
        self.next.hard = Some(hard);
    }

    pub(crate) fn entry(&mut self, entry: Entry) {
        self.next.entries.push(entry);
    }

    pub(crate) fn snapshot(&mut self, snapshot: Snapshot, reset: bool) {
        self.next.snapshot = Some(snapshot);
        if reset {
            self.next.reset = true;
            self.next.entries.clear();
        }
    }

    /// Entries from an index on are void.
    pub(crate) fn truncate(&mut self, from: u64) {
        let last = from - 1;
        self.durable = self.durable.min(last);
        for (_, mark) in &mut self.marks {
            *mark = (*mark).min(last);
        }
        self.next.entries.retain(|entry| entry.index < from);
    }

    /// Lets an item go once all that was written so far is durable.
    pub(crate) fn after(&mut self, item: Item) {
        self.fresh.push(item);
    }

    /// Ends one event: the write that it caused, if any, and what may go now.
    pub(crate) fn seal(&mut self, last_index: u64) -> (Option<Write>, Vec<Item>) {
        let mut write = None;
        if !self.next.is_empty() {
            self.issued += 1;
            let mut next = std::mem::take(&mut self.next);
            next.token = self.issued;
            self.marks.push_back((self.issued, last_index));
            write = Some(next);
        }
        let fresh = std::mem::take(&mut self.fresh);
        if self.done == self.issued {
            return (write, fresh);
        }
        self.items.extend(fresh.into_iter().map(|item| (self.issued, item)));
        (write, Vec::new())
    }

    /// A write and all before it are durable; what may go now.
    pub(crate) fn persisted(&mut self, token: u64) -> Vec<Item> {
        self.done = self.done.max(token);
        while let Some((mark, last)) = self.marks.front().copied()
            && mark <= token
        {
            self.durable = last;
            self.marks.pop_front();
        }
        let ready = self.items.iter().take_while(|(needed, _)| *needed <= token).count();
        self.items.drain(..ready).map(|(_, item)| item).collect()
    }
}
