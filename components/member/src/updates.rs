//! Updates for entries: the part of the applied commands that concerns each entry.
//!
//! Most commands concern only the keepers of one group. An entry that a change doesn't
//! concern gets no message for it; its index advances with the next confirmation of a
//! heartbeat, or with the next change that does concern it.

use std::collections::{BTreeMap, BTreeSet};

use ::link::Frame;
use base::prelude::*;
use bytes::Bytes;
use control::feed::Known;
use control::{Feed, State};
use wire::control::{Down, Image, Update, down};

use crate::core::Core;
use crate::follower::{Follower, MAX_IMAGE_LAG};

/// Shortest time between two updates of all entries. Changes of this time are sent together.
const UPDATE_INTERVAL: Duration = Duration::from_millis(10);

/// Largest size in bytes of one piece of the encoded state.
const CHUNK_BYTES: usize = 256 << 10;

/// What entries are sent of the state.
#[derive(Debug)]
pub(crate) struct Updates {
    /// What changed in the state and when.
    pub(crate) feed: Feed,
    /// Newest encoded state for entries that get all commands.
    pub(crate) full_image: Option<SharedImage>,
    /// Newest encoded state for entries that get updates, which complete it.
    partial_image: Option<SharedImage>,
    /// Index of the state when entries were last sent updates, and the time.
    sent: (u64, Instant),
    /// Whether an entry was sent no update because its queue was too long.
    has_paused: bool,
}

impl Updates {
    pub(crate) fn new(now: Instant, state: &State) -> Self {
        Self {
            feed: Feed::new(now, state),
            full_image: None,
            partial_image: None,
            sent: (0, now),
            has_paused: false,
        }
    }
}

/// What an entry was sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sent {
    /// State up to which the entry has all that concerns it.
    known: Known,
    /// Index that the entry was told it has reached; not above that of `known`.
    announced: u64,
    /// Highest index of a confirmation, for which the entry waits to extend its lease.
    awaited: u64,
}

impl Sent {
    pub(crate) fn new(index: u64, version: u64) -> Self {
        Self { known: Known { index, version }, announced: index, awaited: 0 }
    }
}

/// Encoded updates of one pass, shared by the entries that know the same.
#[derive(Debug, Default)]
struct Shared {
    /// Entries that need their own update, by the index that they know.
    concerned: BTreeMap<u64, BTreeSet<String>>,
    /// Messages for the others, by what they know; none if nothing concerns them.
    frames: BTreeMap<Known, Option<Frame>>,
}

impl Core {
    /// Sends the entries that follow updates what changed since the last call, unless that was
    /// less than [`UPDATE_INTERVAL`] ago.
    pub(crate) fn send_updates(&mut self) {
        let now = self.now();
        let (index, sent_at) = self.updates.sent;
        let is_due = self.state.index > index || self.updates.has_paused;
        if !is_due || now.since(sent_at) < UPDATE_INTERVAL {
            return;
        }
        self.updates.has_paused = false;
        self.updates.sent = (self.state.index, now);
        let keys: Vec<_> = self.followers.iter().map(|(key, _)| key).collect();
        let mut shared = Shared::default();
        for key in keys {
            self.update_follower(key, &mut shared);
        }
    }

    /// Sends one entry what it lacks.
    pub(crate) fn send_update(&mut self, key: Key<Follower>) {
        self.update_follower(key, &mut Shared::default());
    }

    /// Notes that a confirmation with an index was sent: the entry waits until it has reached
    /// that index, so it is told how far it has got.
    pub(crate) fn await_index(&mut self, key: Key<Follower>, index: u64) {
        let Some(sent) = self.followers.get_mut(key).and_then(|follower| follower.sent.as_mut())
        else {
            return;
        };
        sent.awaited = sent.awaited.max(index);
        self.announce_awaited(key);
    }

    /// Tells an entry the index that it has reached, if it waits for a confirmed index.
    fn announce_awaited(&mut self, key: Key<Follower>) {
        let sent = self.followers.get(key).and_then(|follower| follower.sent);
        if sent.is_some_and(|sent| sent.announced < sent.awaited) {
            self.announce_index(key);
        }
    }

    /// Tells an entry the index up to which it has all that concerns it.
    fn announce_index(&mut self, key: Key<Follower>) {
        let Some(sent) = self.followers.get_mut(key).and_then(|follower| follower.sent.as_mut())
        else {
            return;
        };
        let (base, index) = (sent.announced, sent.known.index);
        sent.announced = index;
        if base < index {
            let empty = Update { base, index, ..Update::default() };
            self.send_down(key, down::Body::Update(empty));
        }
    }

    fn update_follower(&mut self, key: Key<Follower>, shared: &mut Shared) {
        let Some(follower) = self.followers.get(key) else { return };
        let Some(Sent { known, .. }) = follower.sent else { return };
        if known.index >= self.state.index {
            return;
        }
        if follower.outbox.is_paused() {
            self.updates.has_paused = true;
            return;
        }
        if known.index == 0 || !self.updates.feed.covers(known.index) {
            self.send_partial_image(key);
            return;
        }
        let entry = follower.join.entry.clone();
        let feed = &self.updates.feed;
        let concerned =
            shared.concerned.entry(known.index).or_insert_with(|| feed.concerned(known.index));
        let frame = if concerned.contains(&entry) {
            let update = self.updates.feed.update(&self.state, known, &entry, false);
            encode(update)
        } else if let Some(frame) = shared.frames.get(&known) {
            frame.clone()
        } else {
            let frame = encode(self.updates.feed.shared_update(&self.state, known));
            shared.frames.insert(known, frame.clone());
            frame
        };
        if let Some(frame) = frame {
            self.announce_index(key);
            self.enqueue(key, frame);
            self.set_known(key, true);
        } else {
            self.set_known(key, false);
            self.announce_awaited(key);
        }
    }

    /// Records that an entry has all that concerns it of the current state; `announced` if it
    /// was also sent the index.
    fn set_known(&mut self, key: Key<Follower>, announced: bool) {
        let known = Known { index: self.state.index, version: self.state.version };
        if let Some(sent) = self.followers.get_mut(key).and_then(|follower| follower.sent.as_mut())
        {
            sent.known = known;
            if announced {
                sent.announced = known.index;
            }
        }
    }

    /// Sends an entry the newest partial image, or a new one if that is too old, and the update
    /// that completes it.
    fn send_partial_image(&mut self, key: Key<Follower>) {
        let is_recent = |image: &SharedImage| {
            self.state.index - image.known.index <= MAX_IMAGE_LAG
                && self.updates.feed.covers(image.known.index)
                && self.updates.feed.has_version(image.known.version)
        };
        if !self.updates.partial_image.as_ref().is_some_and(is_recent) {
            let bytes = self.state.encode_shared();
            self.updates.partial_image = Some(SharedImage::new(&self.state, bytes, true));
        }
        let Some(image) = &self.updates.partial_image else { return };
        let (known, frames) = (image.known, image.frames.clone());
        let Some(entry) = self.followers.get(key).map(|follower| follower.join.entry.clone())
        else {
            return;
        };
        let update = self.updates.feed.update(&self.state, known, &entry, true);
        self.enqueue_all(key, &frames);
        self.send_down(key, down::Body::Update(update));
        self.set_known(key, true);
    }
}

/// Encodes an update; `None` if it contains nothing that concerns the entry.
fn encode(update: Update) -> Option<Frame> {
    if update.content.is_empty() && update.packed.is_empty() {
        return None;
    }
    // an update is shorter than the limit of a message: the declarations, its longest part,
    // came in one command
    Frame::encode(&Down { body: Some(down::Body::Update(update)) }).ok()
}

/// An encoded image of the state, shared by the entries that come for one.
#[derive(Debug)]
pub(crate) struct SharedImage {
    /// Index of the state, and version of its declarations.
    known: Known,
    /// Messages that carry the pieces.
    pub(crate) frames: Vec<Frame>,
}

impl SharedImage {
    /// Splits an encoded state into messages. A `partial` state must be completed by an
    /// update.
    pub(crate) fn new(state: &State, bytes: Vec<u8>, partial: bool) -> Self {
        let (index, version) = (state.index, state.version);
        let bytes = Bytes::from(bytes);
        let length = bytes.len() as u64;
        let piece = |offset: usize| {
            let end = (offset + CHUNK_BYTES).min(bytes.len());
            let bytes = bytes.slice(offset..end);
            let image = Image { index, offset: offset as u64, length, bytes, partial };
            Frame::encode(&Down { body: Some(down::Body::Image(image)) })
        };
        // pieces are shorter than the limit of a message
        let frames = (0..bytes.len()).step_by(CHUNK_BYTES).filter_map(|offset| piece(offset).ok());
        Self { known: Known { index, version }, frames: frames.collect() }
    }

    /// Index of the state.
    pub(crate) fn index(&self) -> u64 {
        self.known.index
    }
}
