//! How far an entry is with the log of one member: what comes is applied in
//! order, and confirmed beats extend the lease.
//!
//! An entry holds one state, whichever member it follows, and its index only
//! rises: what is older than the state is passed over. A beat's confirmation
//! counts once the state has come up to the index that it names.

use std::collections::VecDeque;
use std::fmt;

use base::prelude::*;
use bytes::BytesMut;
use control::State;
use smallvec::SmallVec;
use wire::control::{Beat, Confirm, Down, Image, down};
use wire::log::Join;

use crate::view::View;

/// Time after which an unconfirmed beat makes an entry try another member.
pub const CONFIRM_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest time for which what still comes of a long message keeps a link whose
/// beats are unconfirmed: they are confirmed behind it.
pub const TRANSFER_TIMEOUT: Duration = Duration::from_secs(10);

/// Time after which an entry that the state does not hold joins again.
pub const REJOIN_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest image in bytes.
pub const MAX_IMAGE_BYTES: u64 = 256 << 20;

/// Why a link to a member is given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The link could not be made or broke.
    Link,
    /// The member closed it.
    Closed,
    /// The member cannot serve.
    Refused,
    /// A beat stayed unconfirmed.
    Silent,
    /// The log does not know the entry.
    Absent,
    /// An entry of the log is missing.
    Gap {
        /// Index that was due.
        due: u64,
        /// Index that came.
        found: u64,
    },
    /// An image is cut, crossed or can't be read.
    Image,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Link => f.write_str("the link to control failed"),
            Self::Closed => f.write_str("the control member closed the link"),
            Self::Refused => f.write_str("the control member cannot serve"),
            Self::Silent => f.write_str("the control member confirms no beat"),
            Self::Absent => f.write_str("the control log does not know this entry"),
            Self::Gap { due, found } => {
                write!(f, "index {due} of the log is missing before {found}")
            }
            Self::Image => f.write_str("the image of the state can't be read"),
        }
    }
}

impl std::error::Error for Fault {}

/// The pieces of an image that came so far.
#[derive(Debug)]
struct Pieces {
    index: u64,
    bytes: BytesMut,
}

/// How far an entry is with one member.
#[derive(Debug)]
pub struct Progress {
    join: Join,
    sequence: u64,
    sent: VecDeque<(u64, Instant)>,
    waiting: SmallVec<[(Confirm, Instant); 4]>,
    pieces: Option<Pieces>,
    known: Instant,
    confirmed: bool,
    told: u64,
    /// Bytes of an unfinished message at the last look, and since when.
    unfinished: (usize, Instant),
}

impl Progress {
    /// Starts with a fresh link.
    pub fn new(now: Instant, join: Join) -> Self {
        Self {
            join,
            sequence: 0,
            sent: VecDeque::new(),
            waiting: SmallVec::new(),
            pieces: None,
            known: now,
            confirmed: false,
            told: 0,
            unfinished: (0, now),
        }
    }

    /// Whether this member has confirmed a beat.
    pub fn has_confirmed(&self) -> bool {
        self.confirmed
    }

    /// Keeps in `given` the groups that were given up, until the state shows
    /// that they are no longer returning. Due after each change of the state,
    /// so that a group that is granted and taken back again is not taken for
    /// given up. Returns the index that was looked at.
    pub fn collect_given_up(&self, view: &View, given: &mut Vec<Name>) -> u64 {
        for group in view.take_returned() {
            if !given.contains(&group) {
                given.push(group);
            }
        }
        view.read(|state| {
            given.retain(|group| self.returns(state, group));
            state.index
        })
    }

    /// Whether something was taken from a lease of this entry since the last
    /// beat. Control grants it to another only once it hears that this entry
    /// knows, so a beat is due at once.
    pub fn has_reduced_lease(&self, view: &View) -> bool {
        view.read(|state| self.reduced(state)) > self.told
    }

    /// Index of the newest command that took something from its leases.
    fn reduced(&self, state: &State) -> u64 {
        let holds = |group: &&control::Group| group.lease(&self.join.entry).is_some();
        let reduced = state.groups.values().filter(holds).map(|group| group.reduced);
        reduced.max().unwrap_or_default()
    }

    /// Makes the next beat; it names all that was given up.
    pub fn beat(&mut self, now: Instant, view: &View, given: &mut Vec<Name>) -> Beat {
        self.sequence += 1;
        self.sent.push_back((self.sequence, now));
        let applied = self.collect_given_up(view, given);
        self.told = view.read(|state| self.reduced(state)).min(applied);
        let returned = given.iter().map(Name::to_string).collect();
        Beat { sequence: self.sequence, applied, returned }
    }

    fn returns(&self, state: &State, group: &Name) -> bool {
        let lease = state.groups.get(group).and_then(|group| group.lease(&self.join.entry));
        lease.is_some_and(|lease| lease.returning && lease.incarnation == self.join.incarnation)
    }

    /// Takes a message of the member.
    ///
    /// # Errors
    /// A [`Fault`] after which the link is of no use.
    pub fn on(&mut self, view: &View, message: Down) -> Result<(), Report<Fault>> {
        match message.body {
            Some(down::Body::Image(image)) => self.image(view, &image)?,
            Some(down::Body::Entries(entries)) => apply(view, entries)?,
            Some(down::Body::Confirm(confirm)) => self.confirm(confirm),
            Some(down::Body::Refuse(_)) => return Err(Report::new(Fault::Refused)),
            Some(down::Body::Members(_)) | None => {}
        }
        self.extend(view);
        Ok(())
    }

    /// Whether the link serves. `unfinished` is what came of a message that is
    /// not whole, in bytes.
    ///
    /// # Errors
    /// [`Fault::Silent`] or [`Fault::Absent`].
    pub fn check(
        &mut self,
        now: Instant,
        view: &View,
        unfinished: usize,
    ) -> Result<(), Report<Fault>> {
        if self.unfinished.0 != unfinished {
            self.unfinished = (unfinished, now);
        }
        if self.is_silent(now) {
            return Err(Report::new(Fault::Silent));
        }
        let own =
            |state: &State| state.entries.get(self.join.entry.as_str()).map(|e| e.incarnation);
        let behind = !self.confirmed || !self.waiting.is_empty();
        if behind || view.read(own) == Some(self.join.incarnation) {
            self.known = now;
        }
        if now.since(self.known) > REJOIN_TIMEOUT {
            return Err(Report::new(Fault::Absent));
        }
        Ok(())
    }

    fn is_silent(&self, now: Instant) -> bool {
        let Some(&(_, oldest)) = self.sent.front() else {
            return false;
        };
        let comes = now.since(self.unfinished.1) <= CONFIRM_TIMEOUT
            && now.since(oldest) <= TRANSFER_TIMEOUT;
        now.since(oldest) > CONFIRM_TIMEOUT && !comes
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

    fn extend(&mut self, view: &View) {
        let applied = view.read(|state| state.index);
        self.waiting.retain(|(confirm, sent)| {
            if applied < confirm.index {
                return true;
            }
            let lease = Duration::from_millis(confirm.lease_ms).min(control::lease::LEASE);
            view.extend_lease(*sent + lease);
            false
        });
    }

    fn image(&mut self, view: &View, image: &Image) -> Result<(), Report<Fault>> {
        if image.offset == 0 {
            self.pieces = Some(Pieces { index: image.index, bytes: BytesMut::new() });
        }
        let pieces = self.pieces.as_mut().ok_or(Fault::Image)?;
        let next = pieces.index == image.index && pieces.bytes.len() as u64 == image.offset;
        if !next || image.length > MAX_IMAGE_BYTES {
            return Err(Report::new(Fault::Image));
        }
        pieces.bytes.extend_from_slice(&image.bytes);
        if (pieces.bytes.len() as u64) < image.length {
            return Ok(());
        }
        let state = State::decode(&pieces.bytes).change_context(Fault::Image)?;
        self.pieces = None;
        if state.index != image.index {
            return Err(Report::new(Fault::Image));
        }
        if state.index > view.read(|own| own.index) {
            view.write(|own| *own = state);
        }
        Ok(())
    }
}

fn apply(view: &View, entries: wire::control::Entries) -> Result<(), Report<Fault>> {
    let mut applied = view.read(|state| state.index);
    let mut due = Vec::with_capacity(entries.entries.len());
    for entry in entries.entries {
        if entry.index <= applied {
            continue;
        }
        if entry.index != applied + 1 {
            return Err(Report::new(Fault::Gap { due: applied + 1, found: entry.index }));
        }
        applied = entry.index;
        due.push(entry);
    }
    if due.is_empty() {
        return Ok(());
    }
    view.write(|state| {
        for entry in &due {
            match &entry.command {
                Some(command) => drop(state.apply(entry.index, command)),
                None => state.skip(entry.index),
            }
        }
    });
    Ok(())
}
