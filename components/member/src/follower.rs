//! Entries (proxy processes) that follow the log through this member.

use std::sync::atomic::Ordering;

use ::link::Frame;
use base::prelude::*;
use bytes::Bytes;
use control::{Phase, State};
use tokio::sync::oneshot;
use wire::Message as _;
use wire::control::{Condition, Down, Entries, Follow, Members, Refuse, Seal, Symptom, down};
use wire::log::command::Body;
use wire::log::{Command, Join, Leave};
use wire::quorum::{Heartbeat, Observed, Sealed};

use crate::core::Core;
use crate::outbox::Outbox;
use crate::pending::Read;
use crate::updates::{Sent, SharedImage};

/// Largest number of commands in one message.
const BATCH_COMMANDS: usize = 256;

/// Largest total length of several commands in one message, in bytes.
const BATCH_BYTES: usize = 1 << 20;

/// Largest number of missing commands that are sent as commands; an entry that lacks
/// more receives the whole state.
const MAX_CATCH_UP_COMMANDS: u64 = 4_096;

/// Largest number of commands that are sent as commands to an entry that has no state.
/// Small, since many entries that start at once share one image.
const MAX_FIRST_COMMANDS: u64 = 64;

/// Number of commands by which a shared image may be older than the state.
pub(crate) const MAX_IMAGE_LAG: u64 = 256;

/// Time without a leader after which entries are refused, so that they connect to
/// other members.
const LEADERLESS_TIMEOUT: Duration = Duration::from_millis(700);

/// Largest number of unconfirmed heartbeats with returned leases kept for one entry.
const MAX_RETURNED_HEARTBEATS: usize = 16;

/// An entry that follows the log.
#[derive(Debug)]
pub(crate) struct Follower {
    pub(crate) join: Join,
    pub(crate) outbox: Outbox,
    /// Index of the next command to send, if the entry gets all commands.
    next: u64,
    /// What the entry was sent, if it gets updates.
    pub(crate) sent: Option<Sent>,
    /// Current symptoms of backend servers that the entry reported, one per group.
    symptoms: Vec<Symptom>,
    /// Newest seal of each group that the entry reported: the confirmation that the
    /// entry has ended its work for earlier primaries.
    seals: Vec<Seal>,
    /// Unconfirmed heartbeats that contain returned leases.
    returned: Vec<Heartbeat>,
}

impl Core {
    /// Registers an entry as a follower and sends it the missing part of the log. A member
    /// that belongs to no membership yet can confirm nothing, and refuses it.
    pub(crate) fn add_follower(
        &mut self,
        follow: Follow,
        outbox: Outbox,
        reply: oneshot::Sender<Key<Follower>>,
    ) {
        let Some(join) = follow.join.filter(|_| self.stopping_since.is_none()) else { return };
        let next = follow.applied + 1;
        let follower = Follower {
            join: join.clone(),
            outbox,
            next,
            sent: follow.updates.then(|| Sent::new(follow.applied, follow.version)),
            symptoms: Vec::new(),
            seals: Vec::new(),
            returned: Vec::new(),
        };
        let key = self.followers.insert(follower);
        if reply.send(key).is_err() {
            drop(self.followers.remove(key));
            return;
        }
        if self.fresh.load(Ordering::Acquire) {
            self.send_down(key, down::Body::Refuse(Refuse {}));
            drop(self.followers.remove(key));
            return;
        }
        self.send_members(key);
        self.catch_up(key);
        self.notify_leader(control::Event::Joined(join));
    }

    /// Sends a follower the addresses of the members.
    fn send_members(&mut self, key: Key<Follower>) {
        let members = &self.replica.members().members;
        let links = members.iter().map(|member| member.link.clone()).collect();
        self.send_down(key, down::Body::Members(Members { links }));
    }

    /// Sends all followers the current addresses of the members.
    pub(crate) fn broadcast_members(&mut self) {
        let keys: Vec<_> = self.followers.iter().map(|(key, _)| key).collect();
        for key in keys {
            self.send_members(key);
        }
    }

    /// Sends a follower the commands that it lacks, or the whole state if it lacks many.
    fn catch_up(&mut self, key: Key<Follower>) {
        let applied = self.state.index;
        let Some(follower) = self.followers.get(key) else { return };
        if follower.sent.is_some() {
            self.send_update(key);
            return;
        }
        let known = follower.next - 1;
        if known >= applied {
            return;
        }
        let limit = if known == 0 { MAX_FIRST_COMMANDS } else { MAX_CATCH_UP_COMMANDS };
        let few = applied - known <= limit;
        if !(few && self.send_commands_after(key, known)) {
            self.send_image(key);
        }
    }

    /// Sends a follower the commands after an index. Returns false if the log has
    /// dropped some of them.
    fn send_commands_after(&mut self, key: Key<Follower>, known: u64) -> bool {
        let applied = self.state.index;
        let Some(entries) = self.replica.entries_after(known) else { return false };
        let entries = entries.filter(|entry| entry.index <= applied).map(entry_message);
        let frames = encode_entries(entries);
        self.enqueue_all(key, &frames);
        if let Some(follower) = self.followers.get_mut(key) {
            follower.next = applied + 1;
        }
        true
    }

    /// Sends a follower the whole state in pieces: a recent image, and the commands after
    /// it.
    fn send_image(&mut self, key: Key<Follower>) {
        let recent = self.updates.full_image.as_ref().map(SharedImage::index);
        let recent = recent.filter(|index| self.state.index - index <= MAX_IMAGE_LAG);
        if let Some(index) = recent {
            self.enqueue_image(key);
            if self.send_commands_after(key, index) {
                return;
            }
        }
        let bytes = self.state.encode_for_entries();
        self.updates.full_image = Some(SharedImage::new(&self.state, bytes, false));
        self.enqueue_image(key);
        if let Some(follower) = self.followers.get_mut(key) {
            follower.next = self.state.index + 1;
        }
    }

    fn enqueue_image(&mut self, key: Key<Follower>) {
        let frames = self.updates.full_image.as_ref().map(|image| image.frames.clone());
        self.enqueue_all(key, &frames.unwrap_or_default());
    }

    /// Sends a message to one follower.
    pub(crate) fn send_down(&mut self, key: Key<Follower>, body: down::Body) {
        match Frame::encode(&Down { body: Some(body) }) {
            Ok(frame) => self.enqueue(key, frame),
            Err(_oversized) => self.drop_follower(key),
        }
    }

    /// Queues messages for a follower, and drops the follower if its queue is full.
    pub(crate) fn enqueue_all(&mut self, key: Key<Follower>, frames: &[Frame]) {
        let Some(follower) = self.followers.get(key) else { return };
        if follower.outbox.send_all(frames).is_err() {
            self.drop_follower(key);
        }
    }

    /// Queues a message for a follower, and drops the follower if its queue is full.
    pub(crate) fn enqueue(&mut self, key: Key<Follower>, frame: Frame) {
        self.enqueue_all(key, &[frame]);
    }

    fn drop_follower(&mut self, key: Key<Follower>) {
        drop(self.followers.remove(key));
        self.meter.followers_dropped.inc();
    }

    /// Sends followers the log entries applied since the last call. Followers that lack
    /// the same entries share the encoded messages.
    pub(crate) fn send_applied(&mut self) {
        self.send_updates();
        let applied = std::mem::take(&mut self.applied);
        let (Some(first), Some(last)) = (applied.first(), applied.last()) else { return };
        let (first, last) = (first.index, last.index);
        let keys: Vec<_> = self.followers.iter().map(|(key, _)| key).collect();
        let mut shared: Option<(u64, Vec<Frame>)> = None;
        for key in keys {
            let Some(follower) = self.followers.get_mut(key) else { continue };
            if follower.sent.is_some() {
                continue;
            }
            let from = follower.next.max(first);
            follower.next = follower.next.max(last + 1);
            let frames = match &shared {
                Some((known, frames)) if *known == from => frames,
                _ => {
                    let lacking = applied.iter().filter(|entry| entry.index >= from).cloned();
                    &shared.insert((from, encode_entries(lacking))).1
                }
            };
            for frame in frames.clone() {
                self.enqueue(key, frame);
            }
        }
    }

    /// Sends followers the commands that they lack, or the whole state, after a snapshot
    /// replaced the state.
    pub(crate) fn restore_followers(&mut self) {
        let keys: Vec<_> = self.followers.iter().map(|(key, _)| key).collect();
        for key in keys {
            self.catch_up(key);
        }
    }

    /// Starts the read that confirms a heartbeat. The leader receives the heartbeat in
    /// the same message as the read.
    pub(crate) fn on_heartbeat(&mut self, key: Key<Follower>, received: wire::control::Heartbeat) {
        let Some(follower) = self.followers.get_mut(key) else { return };
        let returned = std::mem::take(&mut follower.returned);
        let heartbeat = Heartbeat {
            join: Some(brief_join(&self.state, &follower.join)),
            applied: received.applied,
            returned: received.returned,
            symptoms: follower.symptoms.clone(),
            seals: open_seals(&self.state, &follower.seals),
        };
        self.entry_indexes.insert(follower.join.entry.clone(), received.applied);
        for heartbeat in returned {
            let note = heartbeat.encode_to_vec().into();
            self.read(Read::ReturnedLeases { key, heartbeat }, Some(note));
        }
        let note = heartbeat.encode_to_vec().into();
        self.read(Read::Heartbeat { key, sequence: received.sequence, heartbeat }, Some(note));
    }

    /// Keeps an unconfirmed heartbeat that contains returned leases, to be sent again
    /// with the next one. The kept heartbeat contains the index that the entry had
    /// applied when it returned the leases.
    pub(crate) fn retain_returned(&mut self, key: Key<Follower>, heartbeat: Heartbeat) {
        let Some(follower) = self.followers.get_mut(key) else { return };
        if !heartbeat.returned.is_empty() && follower.returned.len() < MAX_RETURNED_HEARTBEATS {
            follower.returned.push(Heartbeat { symptoms: Vec::new(), ..heartbeat });
        }
    }

    /// Forwards a keeper's symptom to the leader at once, and repeats it with each heartbeat
    /// until the keeper reports that the server is healthy.
    pub(crate) fn report_symptom(&mut self, key: Key<Follower>, symptom: Symptom) {
        let Some(follower) = self.followers.get_mut(key) else { return };
        follower.symptoms.retain(|known| known.group != symptom.group);
        if symptom.condition() != Condition::Healthy {
            follower.symptoms.push(symptom.clone());
        }
        let entry = follower.join.entry.clone();
        self.forward.symptoms.push(Observed { entry, symptom: Some(symptom) });
    }

    /// Forwards a keeper's seal to the leader at once, and repeats it with each heartbeat.
    pub(crate) fn report_seal(&mut self, key: Key<Follower>, seal: Seal) {
        let Some(follower) = self.followers.get_mut(key) else { return };
        follower.seals.retain(|known| known.group != seal.group);
        follower.seals.push(seal.clone());
        let entry = follower.join.entry.clone();
        let incarnation = follower.join.incarnation;
        self.forward.seals.push(Sealed { entry, incarnation, seal: Some(seal) });
    }

    /// Reports the planned stop of an entry to the leader.
    pub(crate) fn report_leave(&mut self, key: Key<Follower>) {
        let Some(follower) = self.followers.get(key) else { return };
        let (entry, incarnation) = (follower.join.entry.clone(), follower.join.incarnation);
        self.forward.leaves.push(Leave { entry, incarnation, over: true });
    }

    /// Refuses all entries once this member has had no leader for [`LEADERLESS_TIMEOUT`].
    pub(crate) fn refuse_if_leaderless(&mut self) {
        if !self.followers.is_empty() && self.leaderless_for() >= LEADERLESS_TIMEOUT {
            self.refuse_all();
        }
    }

    /// Refuses all entries, so that they connect to other members.
    pub(crate) fn refuse_all(&mut self) {
        let keys: Vec<_> = self.followers.iter().map(|(key, _)| key).collect();
        for key in keys {
            self.send_down(key, down::Body::Refuse(Refuse {}));
            drop(self.followers.remove(key));
        }
    }
}

/// Encodes log entries as messages of at most [`BATCH_COMMANDS`] commands and, unless one
/// command is longer, [`BATCH_BYTES`].
fn encode_entries(entries: impl Iterator<Item = wire::control::Entry>) -> Vec<Frame> {
    let mut frames = Vec::new();
    let (mut batch, mut bytes) = (Vec::new(), 0);
    for entry in entries {
        let length = entry.encoded_len();
        if batch.len() >= BATCH_COMMANDS || (bytes + length > BATCH_BYTES && !batch.is_empty()) {
            frames.extend(encode_batch(std::mem::take(&mut batch)));
            bytes = 0;
        }
        bytes += length;
        batch.push(entry);
    }
    if !batch.is_empty() {
        frames.extend(encode_batch(batch));
    }
    frames
}

/// Encodes one message. A command that doesn't fit into a message is left out: it didn't
/// fit into a message between members either, so there is none.
fn encode_batch(entries: Vec<wire::control::Entry>) -> Option<Frame> {
    Frame::encode(&Down { body: Some(down::Body::Entries(Entries { entries })) }).ok()
}

/// Converts a log entry to the message for followers.
fn entry_message(entry: &wire::quorum::Entry) -> wire::control::Entry {
    let command = match &entry.body {
        Some(wire::quorum::entry::Body::Command(bytes)) => {
            Command::decode(bytes.clone()).ok().map(without_document)
        }
        Some(wire::quorum::entry::Body::Members(_)) | None => None,
    };
    wire::control::Entry { index: entry.index, command }
}

/// Removes the document of an edition from a command, since only members need it.
pub(crate) fn without_document(mut command: Command) -> Command {
    if let Some(Body::Replace(replace)) = &mut command.body {
        replace.document = Bytes::new();
    }
    command
}

/// The join of an entry for a heartbeat: only its name and incarnation if this member knows
/// that it has joined. A leader that lacks the entry ignores such a join, and gets the whole one
/// once this member has applied the removal.
fn brief_join(state: &State, join: &Join) -> Join {
    let known = state.entries.get(join.entry.as_str());
    if known.is_none_or(|known| known.incarnation != join.incarnation) {
        return join.clone();
    }
    let (entry, incarnation) = (join.entry.clone(), join.incarnation);
    Join { entry, incarnation, ..Join::default() }
}

/// The seals that a leader may still wait for: those of changes of a primary that are not known
/// to have ended.
fn open_seals(state: &State, seals: &[Seal]) -> Vec<Seal> {
    let has_ended = |seal: &Seal| {
        state
            .groups
            .get(seal.group.as_str())
            .is_some_and(|group| group.phase == Phase::Settled && group.term >= Term(seal.term))
    };
    seals.iter().filter(|seal| !has_ended(seal)).cloned().collect()
}
