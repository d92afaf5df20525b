//! Linearizable reads, confirmed by a quorum.
//!
//! A read is confirmed only after a heartbeat round that began after the read
//! arrived. All waiting reads share one round. A follower sends its reads to the
//! leader in batches, one batch at a time.

use base::prelude::*;
use bytes::Bytes;
use wire::quorum::message::Body;
use wire::quorum::{Confirmed, Read};

use crate::HEARTBEAT_INTERVAL;
use crate::event::{Effect, Flaw};
use crate::replica::{Replica, Role};

/// Query for confirmation of the leader's own read, or of a batch of reads of a follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Query {
    Own { token: u64 },
    Peer { id: u64, batch: u64 },
}

/// Heartbeat rounds of a leader.
#[derive(Debug, Default)]
pub(crate) struct Rounds {
    /// Number of the last round.
    round: u64,
    /// Commit index at the start of the last round.
    index: u64,
    /// Queries that the last round confirms.
    open: Vec<Query>,
    /// Queries for the next round.
    waiting: Vec<Query>,
}

impl Rounds {
    pub(crate) fn current(&self) -> u64 {
        self.round
    }

    /// Tokens of the leader's own reads that are not confirmed.
    pub(crate) fn own(&self) -> impl Iterator<Item = u64> {
        self.open.iter().chain(&self.waiting).filter_map(|query| match query {
            Query::Own { token } => Some(*token),
            Query::Peer { .. } => None,
        })
    }
}

/// Reads of a follower that the leader has not confirmed.
#[derive(Debug)]
pub(crate) struct PendingReads {
    /// Number of the last batch.
    batch: u64,
    /// Tokens and notes of the reads in the last batch.
    sent: Vec<(u64, Option<Bytes>)>,
    sent_at: Instant,
    /// Tokens and notes of the reads for the next batch.
    waiting: Vec<(u64, Option<Bytes>)>,
}

impl PendingReads {
    /// Creates an empty list of reads, whose batches are numbered after `start_batch`.
    pub(crate) fn new(start_batch: u64) -> Self {
        Self { batch: start_batch, sent: Vec::new(), sent_at: Instant::ZERO, waiting: Vec::new() }
    }

    /// Removes all reads and returns their tokens.
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
                self.enqueue_read(now, Query::Own { token });
            }
            Some(_) => {
                self.pending_reads.waiting.push((token, note));
                self.send_next_batch(now);
            }
        }
    }

    /// Sends the next batch unless a batch is still unanswered.
    fn send_next_batch(&mut self, now: Instant) {
        if !self.pending_reads.sent.is_empty() || self.pending_reads.waiting.is_empty() {
            return;
        }
        self.pending_reads.sent = std::mem::take(&mut self.pending_reads.waiting);
        self.pending_reads.batch += 1;
        self.send_batch(now);
    }

    /// Repeats a batch that was not answered within a heartbeat interval.
    pub(crate) fn resend_batch(&mut self, now: Instant) {
        if !self.pending_reads.sent.is_empty()
            && now.since(self.pending_reads.sent_at) >= HEARTBEAT_INTERVAL
        {
            self.send_batch(now);
        }
    }

    fn send_batch(&mut self, now: Instant) {
        let Some(leader) = self.leader else { return };
        self.pending_reads.sent_at = now;
        let notes = self.pending_reads.sent.iter().filter_map(|(_, note)| note.clone()).collect();
        let batch = self.pending_reads.batch;
        self.send(leader, Body::Read(Read { batch, notes }));
    }

    pub(crate) fn on_read(&mut self, now: Instant, from: u64, read: Read) {
        if !matches!(self.role, Role::Leader(_)) {
            return;
        }
        self.out.extend(read.notes.into_iter().map(Effect::Noted));
        self.enqueue_read(now, Query::Peer { id: from, batch: read.batch });
    }

    pub(crate) fn on_confirmed(&mut self, now: Instant, confirmed: Confirmed) {
        if confirmed.batch != self.pending_reads.batch {
            return;
        }
        let index = confirmed.index;
        for (token, _) in std::mem::take(&mut self.pending_reads.sent) {
            self.out.push(Effect::Confirmed { token, index });
        }
        self.send_next_batch(now);
    }

    fn enqueue_read(&mut self, now: Instant, query: Query) {
        if self.settings.flaw == Some(Flaw::LocalRead) {
            self.confirm(query, self.commit);
            return;
        }
        let Some(lead) = self.leader_mut() else { return };
        if !lead.rounds.waiting.contains(&query) {
            lead.rounds.waiting.push(query);
        }
        self.begin_reads(now);
    }

    /// Starts a round for the waiting reads, unless a round is open or no entry of the current
    /// term is committed yet.
    pub(crate) fn begin_reads(&mut self, now: Instant) {
        let commit = self.commit;
        let Some(lead) = self.leader_mut() else { return };
        let early = commit < lead.first_index;
        let rounds = &mut lead.rounds;
        if early || !rounds.open.is_empty() || rounds.waiting.is_empty() {
            return;
        }
        rounds.round += 1;
        rounds.index = commit;
        rounds.open = std::mem::take(&mut rounds.waiting);
        self.broadcast_round();
        self.confirm_reads(now);
    }

    /// Confirms the reads of the open round once a quorum has answered the round.
    pub(crate) fn confirm_reads(&mut self, now: Instant) {
        let own = self.settings.id;
        let Role::Leader(lead) = &self.role else { return };
        let round = lead.rounds.round;
        let answered = |id| lead.peers.get(&id).is_some_and(|peer| peer.round >= round);
        if lead.rounds.open.is_empty() || !self.is_quorum(|id| id == own || answered(id)) {
            return;
        }
        let Some(lead) = self.leader_mut() else { return };
        let index = lead.rounds.index;
        for query in std::mem::take(&mut lead.rounds.open) {
            self.confirm(query, index);
        }
        self.begin_reads(now);
    }

    fn confirm(&mut self, query: Query, index: u64) {
        match query {
            Query::Own { token } => self.out.push(Effect::Confirmed { token, index }),
            Query::Peer { id, batch } => self.send(id, Body::Confirmed(Confirmed { batch, index })),
        }
    }
}
