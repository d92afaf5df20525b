//! Reads confirmed by a quorum.
//!
//! A read is answered only after a heartbeat round that began after it came;
//! all reads that wait share one round. A follower asks the leader for all its
//! reads in one message at a time.

use base::prelude::*;
use bytes::Bytes;
use wire::quorum::message::Body;
use wire::quorum::{Confirmed, Read};

use crate::HEARTBEAT_INTERVAL;
use crate::event::{Effect, Flaw};
use crate::replica::{Replica, Role};

/// Who asked for a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ask {
    Own { token: u64 },
    Peer { id: u64, batch: u64 },
}

/// A leader's heartbeat rounds.
#[derive(Debug, Default)]
pub(crate) struct Rounds {
    round: u64,
    index: u64,
    open: Vec<Ask>,
    waiting: Vec<Ask>,
}

impl Rounds {
    pub(crate) fn current(&self) -> u64 {
        self.round
    }

    /// Reads of the leader itself that are not confirmed.
    pub(crate) fn own(&self) -> impl Iterator<Item = u64> {
        self.open.iter().chain(&self.waiting).filter_map(|ask| match ask {
            Ask::Own { token } => Some(*token),
            Ask::Peer { .. } => None,
        })
    }
}

/// What a follower has asked its leader.
#[derive(Debug)]
pub(crate) struct Asks {
    batch: u64,
    sent: Vec<(u64, Option<Bytes>)>,
    sent_at: Instant,
    waiting: Vec<(u64, Option<Bytes>)>,
}

impl Asks {
    pub(crate) fn new(first_batch: u64) -> Self {
        Self { batch: first_batch, sent: Vec::new(), sent_at: Instant::ZERO, waiting: Vec::new() }
    }

    /// Gives up all reads and returns their numbers.
    pub(crate) fn clear(&mut self) -> Vec<u64> {
        let sent = std::mem::take(&mut self.sent);
        let waiting = std::mem::take(&mut self.waiting);
        sent.into_iter().chain(waiting).map(|(token, _)| token).collect()
    }
}

impl Replica {
    pub(crate) fn read(&mut self, now: Instant, token: u64, note: Option<Bytes>) {
        let own = self.settings.id;
        match self.leader {
            None => self.out.push(Effect::Unconfirmed { token }),
            Some(leader) if leader == own => {
                self.out.extend(note.map(Effect::Noted));
                self.ask(now, Ask::Own { token });
            }
            Some(_) => {
                self.asks.waiting.push((token, note));
                self.ask_leader(now);
            }
        }
    }

    /// Sends the next batch unless one is under way.
    fn ask_leader(&mut self, now: Instant) {
        if !self.asks.sent.is_empty() || self.asks.waiting.is_empty() {
            return;
        }
        self.asks.sent = std::mem::take(&mut self.asks.waiting);
        self.asks.batch += 1;
        self.send_asks(now);
    }

    /// Sends a batch again that was not answered.
    pub(crate) fn ask_again(&mut self, now: Instant) {
        if !self.asks.sent.is_empty() && now.since(self.asks.sent_at) >= HEARTBEAT_INTERVAL {
            self.send_asks(now);
        }
    }

    fn send_asks(&mut self, now: Instant) {
        let Some(leader) = self.leader else { return };
        self.asks.sent_at = now;
        let notes = self.asks.sent.iter().filter_map(|(_, note)| note.clone()).collect();
        let batch = self.asks.batch;
        self.send(leader, Body::Read(Read { batch, notes }));
    }

    pub(crate) fn on_read(&mut self, now: Instant, from: u64, read: Read) {
        if !matches!(self.role, Role::Leader(_)) {
            return;
        }
        self.out.extend(read.notes.into_iter().map(Effect::Noted));
        self.ask(now, Ask::Peer { id: from, batch: read.batch });
    }

    pub(crate) fn on_confirmed(&mut self, now: Instant, confirmed: Confirmed) {
        if confirmed.batch != self.asks.batch {
            return;
        }
        let index = confirmed.index;
        for (token, _) in std::mem::take(&mut self.asks.sent) {
            self.out.push(Effect::Confirmed { token, index });
        }
        self.ask_leader(now);
    }

    fn ask(&mut self, now: Instant, ask: Ask) {
        if self.settings.flaw == Some(Flaw::LocalRead) {
            self.answer(ask, self.commit);
            return;
        }
        let Some(lead) = self.leading() else { return };
        if !lead.rounds.waiting.contains(&ask) {
            lead.rounds.waiting.push(ask);
        }
        self.begin_reads(now);
    }

    /// Begins a round for the reads that wait, unless one is open or nothing
    /// of the own term is committed yet.
    pub(crate) fn begin_reads(&mut self, now: Instant) {
        let commit = self.commit;
        let Some(lead) = self.leading() else { return };
        let early = commit < lead.start;
        let rounds = &mut lead.rounds;
        if early || !rounds.open.is_empty() || rounds.waiting.is_empty() {
            return;
        }
        rounds.round += 1;
        rounds.index = commit;
        rounds.open = std::mem::take(&mut rounds.waiting);
        self.beat(now);
        self.confirm_reads(now);
    }

    /// Answers the reads of the open round once a quorum has echoed it.
    pub(crate) fn confirm_reads(&mut self, now: Instant) {
        let own = self.settings.id;
        let Role::Leader(lead) = &self.role else { return };
        let round = lead.rounds.round;
        let echoed = |id| lead.peers.get(&id).is_some_and(|peer| peer.round >= round);
        if lead.rounds.open.is_empty() || !self.is_quorum(|id| id == own || echoed(id)) {
            return;
        }
        let Some(lead) = self.leading() else { return };
        let index = lead.rounds.index;
        for ask in std::mem::take(&mut lead.rounds.open) {
            self.answer(ask, index);
        }
        self.begin_reads(now);
    }

    fn answer(&mut self, ask: Ask, index: u64) {
        match ask {
            Ask::Own { token } => self.out.push(Effect::Confirmed { token, index }),
            Ask::Peer { id, batch } => self.send(id, Body::Confirmed(Confirmed { batch, index })),
        }
    }
}
