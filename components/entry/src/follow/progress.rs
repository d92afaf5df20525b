//! Progress of an entry on the control log of one member: log entries are
//! applied in order, and confirmed heartbeats extend the lease.
//!
//! An entry holds one control state, whichever member it follows, and the index
//! of that state only rises: log entries and images that are older than the
//! state are ignored. A confirmation of a heartbeat extends the lease only once
//! the state has reached the index in the confirmation.

use std::collections::VecDeque;
use std::fmt;

use base::prelude::*;
use bytes::BytesMut;
use control::State;
use smallvec::SmallVec;
use wire::control::{Confirm, Down, Heartbeat, Image, Update, down};
use wire::log::Join;

use crate::view::View;

/// Time after which an unconfirmed heartbeat makes an entry try another member;
/// also the timeout for sending a message.
pub const CONFIRM_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest time for which a long message that is still arriving keeps a link with
/// unconfirmed heartbeats alive: the confirmations come after that message.
pub const TRANSFER_TIMEOUT: Duration = Duration::from_secs(10);

/// Time after which an entry that is missing from the control state joins again.
pub const REJOIN_TIMEOUT: Duration = Duration::from_secs(1);

/// Limit on the length of an image of the control state, in bytes.
pub const MAX_IMAGE_BYTES: u64 = 256 << 20;

/// Reason for which the entry gives up a link to a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The link could not be established, or failed.
    Link,
    /// The member closed the link.
    Closed,
    /// The member cannot serve entries at present.
    Refused,
    /// A heartbeat was not confirmed in time.
    Silent,
    /// The control state does not contain this entry.
    Absent,
    /// The control log was received with a gap.
    Gap {
        /// Index that was expected next.
        due: u64,
        /// Index that was received instead.
        found: u64,
    },
    /// An image is too long, its pieces are out of order, or it cannot be decoded.
    Image,
    /// An update can't be decoded, or doesn't follow on the state.
    Update,
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Link => f.write_str("the link to control failed"),
            Self::Closed => f.write_str("the control member closed the link"),
            Self::Refused => f.write_str("the control member cannot serve"),
            Self::Silent => f.write_str("the control member did not confirm a heartbeat in time"),
            Self::Absent => f.write_str("the control state does not contain this entry"),
            Self::Gap { due, found } => {
                write!(f, "expected index {due} of the control log, received {found}")
            }
            Self::Image => f.write_str("the image of the control state is invalid"),
            Self::Update => f.write_str("the update of the control state is invalid"),
        }
    }
}

impl std::error::Error for Failure {}

/// An image of which some pieces have been received.
#[derive(Debug)]
struct PartialImage {
    index: u64,
    bytes: BytesMut,
}

/// Progress of an entry on the log of one member.
#[derive(Debug)]
pub struct Progress {
    join: Join,
    /// Sequence number of the last heartbeat.
    sequence: u64,
    /// Sequence numbers and send times of the unconfirmed heartbeats, oldest first.
    sent: VecDeque<(u64, Instant)>,
    /// Confirmations whose index the state has not reached yet, each with the time
    /// when its heartbeat was sent.
    waiting: SmallVec<[(Confirm, Instant); 4]>,
    /// Image that is being received.
    image: Option<PartialImage>,
    /// State that lacks what concerns only this entry, until the update that completes it.
    incomplete: Option<State>,
    /// Last time at which the entry was part of the state, or at which the state had
    /// not caught up enough to tell.
    last_present: Instant,
    /// Whether the member has confirmed a heartbeat.
    confirmed: bool,
    /// Index of the newest reduction of a lease that the last heartbeat acknowledged.
    acknowledged: u64,
    /// Received bytes of an unfinished message at the last check, and the time at
    /// which that number last changed.
    unfinished: (usize, Instant),
}

impl Progress {
    /// Creates the progress on a new link.
    pub fn new(now: Instant, join: Join) -> Self {
        Self {
            join,
            sequence: 0,
            sent: VecDeque::new(),
            waiting: SmallVec::new(),
            image: None,
            incomplete: None,
            last_present: now,
            confirmed: false,
            acknowledged: 0,
            unfinished: (0, now),
        }
    }

    /// Whether the member has confirmed a heartbeat.
    pub fn has_confirmed(&self) -> bool {
        self.confirmed
    }

    /// Adds to `released` the groups whose leases were released since the last call,
    /// and removes from it those whose leases are no longer returning according to the
    /// state. Must be called after each change of the state: otherwise a group that is
    /// leased to this entry again, and whose new lease is then taken back, would still
    /// be listed as released. Returns the index of the state that was read.
    pub fn collect_released(&self, view: &View, released: &mut Vec<Name>) -> u64 {
        for group in view.take_released() {
            if !released.contains(&group) {
                released.push(group);
            }
        }
        view.read(|state| {
            released.retain(|group| self.is_returning(state, group));
            state.index
        })
    }

    /// Whether a lease of this entry was reduced after the state that the last
    /// heartbeat acknowledged. Control grants the freed part to another entry only
    /// once this entry has acknowledged the reduction, so a heartbeat should be sent
    /// immediately.
    pub fn has_reduced_lease(&self, view: &View) -> bool {
        view.read(|state| self.last_reduction(state)) > self.acknowledged
    }

    /// Returns the index of the newest command that reduced a lease of this entry.
    fn last_reduction(&self, state: &State) -> u64 {
        let holds = |group: &&control::Group| group.lease(&self.join.entry).is_some();
        let reduced = state.groups.values().filter(holds).map(|group| group.reduced_index);
        reduced.max().unwrap_or_default()
    }

    /// Creates the next heartbeat, which lists all groups whose leases were released.
    pub fn next_heartbeat(
        &mut self,
        now: Instant,
        view: &View,
        released: &mut Vec<Name>,
    ) -> Heartbeat {
        self.sequence += 1;
        self.sent.push_back((self.sequence, now));
        let applied = self.collect_released(view, released);
        self.acknowledged = view.read(|state| self.last_reduction(state)).min(applied);
        let returned = released.iter().map(Name::to_string).collect();
        Heartbeat { sequence: self.sequence, applied, returned }
    }

    fn is_returning(&self, state: &State, group: &Name) -> bool {
        let lease = state.groups.get(group).and_then(|group| group.lease(&self.join.entry));
        lease.is_some_and(|lease| lease.returning && lease.incarnation == self.join.incarnation)
    }

    /// Handles a message from the member.
    ///
    /// # Errors
    /// Returns a [`Failure`] after which the link must be closed.
    pub fn on(&mut self, view: &View, message: Down) -> Result<(), Report<Failure>> {
        match message.body {
            Some(down::Body::Image(image)) => self.receive_image(view, &image)?,
            Some(down::Body::Entries(entries)) => apply(view, entries)?,
            Some(down::Body::Update(update)) => self.update(view, &update)?,
            Some(down::Body::Confirm(confirm)) => self.confirm(confirm),
            Some(down::Body::Refuse(_)) => return Err(Report::new(Failure::Refused)),
            Some(down::Body::Members(_)) | None => {}
        }
        self.extend_lease(view);
        Ok(())
    }

    /// Checks whether the member still serves this entry. `unfinished` is the number
    /// of bytes received of a message that is not complete yet.
    ///
    /// # Errors
    /// Returns [`Failure::Silent`] or [`Failure::Absent`].
    pub fn check(
        &mut self,
        now: Instant,
        view: &View,
        unfinished: usize,
    ) -> Result<(), Report<Failure>> {
        if self.unfinished.0 != unfinished {
            self.unfinished = (unfinished, now);
        }
        if self.is_silent(now) {
            return Err(Report::new(Failure::Silent));
        }
        let own_incarnation =
            |state: &State| state.entries.get(self.join.entry.as_str()).map(|e| e.incarnation);
        let is_behind = !self.confirmed || !self.waiting.is_empty();
        if is_behind || view.read(own_incarnation) == Some(self.join.incarnation) {
            self.last_present = now;
        }
        if now.since(self.last_present) > REJOIN_TIMEOUT {
            return Err(Report::new(Failure::Absent));
        }
        Ok(())
    }

    fn is_silent(&self, now: Instant) -> bool {
        let Some(&(_, oldest)) = self.sent.front() else {
            return false;
        };
        let is_receiving = now.since(self.unfinished.1) <= CONFIRM_TIMEOUT
            && now.since(oldest) <= TRANSFER_TIMEOUT;
        now.since(oldest) > CONFIRM_TIMEOUT && !is_receiving
    }

    fn confirm(&mut self, confirm: Confirm) {
        while let Some(&(sequence, sent)) = self.sent.front() {
            if sequence > confirm.sequence {
                return;
            }
            self.sent.pop_front();
            if sequence == confirm.sequence {
                self.confirmed = true;
                self.waiting.push((confirm, sent));
            }
        }
    }

    fn extend_lease(&mut self, view: &View) {
        let applied = view.read(|state| state.index);
        self.waiting.retain(|(confirm, sent)| {
            if applied < confirm.index {
                return true;
            }
            let lease = Duration::from_millis(confirm.lease_ms).min(control::lease::LEASE_DURATION);
            view.extend_lease(*sent + lease);
            false
        });
    }

    fn receive_image(&mut self, view: &View, image: &Image) -> Result<(), Report<Failure>> {
        if image.offset == 0 {
            self.image = Some(PartialImage { index: image.index, bytes: BytesMut::new() });
        }
        let partial = self.image.as_mut().ok_or(Failure::Image)?;
        let is_next = partial.index == image.index && partial.bytes.len() as u64 == image.offset;
        if !is_next || image.length > MAX_IMAGE_BYTES {
            return Err(Report::new(Failure::Image));
        }
        partial.bytes.extend_from_slice(&image.bytes);
        if (partial.bytes.len() as u64) < image.length {
            return Ok(());
        }
        let state = State::decode(&partial.bytes).change_context(Failure::Image)?;
        self.image = None;
        if state.index != image.index {
            return Err(Report::new(Failure::Image));
        }
        if image.partial {
            self.incomplete = Some(state);
        } else if state.index > view.read(|current| current.index) {
            view.write(|current| *current = state);
        }
        Ok(())
    }

    /// Applies an update to the state, or completes an image with it.
    fn update(&mut self, view: &View, update: &Update) -> Result<(), Report<Failure>> {
        if let Some(mut state) = self.incomplete.take() {
            if update.base != state.index {
                return Err(Report::new(Failure::Update));
            }
            state.update(update).change_context(Failure::Update)?;
            if state.index > view.read(|current| current.index) {
                view.write(|current| *current = state);
            }
            return Ok(());
        }
        let applied = view.read(|state| state.index);
        if update.index <= applied {
            return Ok(());
        }
        if update.base > applied {
            return Err(Report::new(Failure::Gap { due: applied + 1, found: update.base + 1 }));
        }
        let mut updated = Ok(());
        view.write(|state| updated = state.update(update));
        updated.change_context(Failure::Update)
    }
}

fn apply(view: &View, entries: wire::control::Entries) -> Result<(), Report<Failure>> {
    let mut applied = view.read(|state| state.index);
    let mut new_entries = Vec::with_capacity(entries.entries.len());
    for entry in entries.entries {
        if entry.index <= applied {
            continue;
        }
        if entry.index != applied + 1 {
            return Err(Report::new(Failure::Gap { due: applied + 1, found: entry.index }));
        }
        applied = entry.index;
        new_entries.push(entry);
    }
    if new_entries.is_empty() {
        return Ok(());
    }
    view.write(|state| {
        for entry in &new_entries {
            match &entry.command {
                Some(command) => drop(state.apply(entry.index, command)),
                None => state.skip_to(entry.index),
            }
        }
    });
    Ok(())
}
