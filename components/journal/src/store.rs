//! Writing of frames to the newest segment and of snapshots, and removal of the
//! segments and snapshots that a newer snapshot makes obsolete.

use std::fmt;

use error_stack::{Report, ResultExt};

use crate::disk::Disk;
use crate::frame::{self, Record};

/// Default length of a segment, in bytes, after which the next segment begins.
pub const SEGMENT_BYTES: u64 = 8 << 20;

/// Failure to read or write a journal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Failure {
    /// The disk failed or is full.
    Disk {
        /// Name of the file.
        file: String,
    },
    /// The content of a file differs from what was written.
    Corrupt {
        /// Name of the file.
        file: String,
        /// Offset of the first invalid frame, in bytes; zero if a snapshot or the id is
        /// invalid, or if entries are missing.
        offset: u64,
    },
    /// An earlier write failed; the journal must be opened again.
    Stopped,
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Disk { file } => write!(f, "disk access failed on `{file}`"),
            Self::Corrupt { file, offset } => {
                write!(f, "`{file}` is corrupt from byte {offset} on")
            }
            Self::Stopped => f.write_str("an earlier write to the journal failed"),
        }
    }
}

impl std::error::Error for Failure {}

/// Hard state of a member: the current term and the vote in that term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Hard {
    /// Current term.
    pub term: u64,
    /// Id of the member that got the vote; zero for none.
    pub vote: u64,
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Index of the entry.
    pub index: u64,
    /// Encoded content of the entry.
    pub bytes: Vec<u8>,
}

/// A snapshot of the state.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// Index of the last entry included in the snapshot.
    pub index: u64,
    /// Encoded content of the snapshot.
    pub bytes: Vec<u8>,
}

/// The content of one write. A write is atomic, except that after a crash the
/// snapshot alone may have become durable.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Batch {
    /// New term or vote.
    pub hard: Option<Hard>,
    /// New snapshot; entries up to the snapshot's index are obsolete from then on.
    pub snapshot: Option<Snapshot>,
    /// Whether all entries written earlier become void.
    pub reset: bool,
    /// New entries; entries written earlier become void from the index of the first
    /// new entry on.
    pub entries: Vec<Entry>,
}

/// A segment that is complete and no longer written.
#[derive(Debug)]
pub(crate) struct Closed {
    pub(crate) name: String,
    /// Index of the last entry written before the segment was closed.
    pub(crate) last: u64,
}

/// A journal that is open for writing.
#[derive(Debug)]
pub struct Journal<D> {
    pub(crate) disk: D,
    /// Sequence of the last frame.
    pub(crate) sequence: u64,
    /// Number of the newest segment.
    pub(crate) segment: u64,
    /// Length of the newest segment, in bytes.
    pub(crate) length: u64,
    /// Length of a segment, in bytes, after which the next segment begins.
    pub(crate) limit: u64,
    /// Index of the last entry.
    pub(crate) last: u64,
    /// Older segments, oldest first.
    pub(crate) closed: Vec<Closed>,
    pub(crate) hard: Hard,
    /// Index of the newest snapshot; zero for none.
    pub(crate) snapshot: u64,
    /// Whether a write has failed, after which all further writes are refused.
    pub(crate) stopped: bool,
}

pub(crate) fn segment_name(number: u64) -> String {
    format!("{number:020}.log")
}

pub(crate) fn snapshot_name(index: u64) -> String {
    format!("{index:020}.snap")
}

impl<D: Disk> Journal<D> {
    /// Sets the length of a segment, in bytes, after which the next segment begins.
    pub fn set_segment_bytes(&mut self, limit: u64) {
        self.limit = limit;
    }

    /// Makes a batch durable; returns once the batch is synced.
    ///
    /// # Errors
    /// [`Failure::Disk`], and [`Failure::Stopped`] on all writes after that.
    pub fn write(&mut self, batch: Batch) -> Result<(), Report<Failure>> {
        if self.stopped {
            return Err(Report::new(Failure::Stopped));
        }
        self.stopped = true;
        self.put(batch)?;
        self.stopped = false;
        Ok(())
    }

    fn put(&mut self, batch: Batch) -> Result<(), Report<Failure>> {
        let snapshot = batch.snapshot.as_ref().map(|snapshot| snapshot.index);
        if let Some(snapshot) = &batch.snapshot {
            self.put_snapshot(snapshot, batch.reset)?;
        }
        self.put_records(batch)?;
        if let Some(index) = snapshot {
            self.compact(index)?;
        }
        Ok(())
    }

    fn put_snapshot(&mut self, snapshot: &Snapshot, reset: bool) -> Result<(), Report<Failure>> {
        let name = snapshot_name(snapshot.index);
        let temporary = format!("{name}.tmp");
        // a crash before the next frame must not restore void entries
        let void = if reset { self.sequence + 1 } else { 0 };
        let bytes = frame::encode_snapshot(void, &snapshot.bytes);
        if self.disk.read(&temporary).is_ok() {
            self.disk.remove(&temporary).change_context_lazy(|| failed(&temporary))?;
        }
        let mut write = || {
            self.disk.append(&temporary, &bytes)?;
            self.disk.sync(&temporary)?;
            self.disk.rename(&temporary, &name)?;
            self.disk.sync_folder()
        };
        write().change_context_lazy(|| failed(&name))
    }

    fn put_records(&mut self, batch: Batch) -> Result<(), Report<Failure>> {
        let mut records = Vec::with_capacity(batch.entries.len() + 2);
        self.hard = batch.hard.unwrap_or(self.hard);
        // each segment begins with the hard state, also a segment whose first frame
        // was truncated after a crash
        let first = self.length == 0 && !batch.entries.is_empty();
        if batch.hard.is_some() || batch.reset || first {
            records.push(Record::Hard(self.hard));
        }
        if batch.reset {
            self.last = batch.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
            records.push(Record::Reset);
        }
        if let Some(entry) = batch.entries.last() {
            self.last = entry.index;
        }
        records.extend(batch.entries.into_iter().map(Record::Entry));
        if records.is_empty() {
            return Ok(());
        }
        self.put_frame(&records)?;
        if self.length >= self.limit { self.rotate() } else { Ok(()) }
    }

    fn put_frame(&mut self, records: &[Record]) -> Result<(), Report<Failure>> {
        let name = segment_name(self.segment);
        let bytes = frame::encode(self.sequence + 1, records);
        let first = self.length == 0;
        let mut write = || {
            self.disk.append(&name, &bytes)?;
            self.disk.sync(&name)?;
            if first { self.disk.sync_folder() } else { Ok(()) }
        };
        write().change_context_lazy(|| failed(&name))?;
        self.sequence += 1;
        self.length += bytes.len() as u64;
        Ok(())
    }

    /// Begins the next segment, which starts with a copy of the hard state.
    fn rotate(&mut self) -> Result<(), Report<Failure>> {
        self.closed.push(Closed { name: segment_name(self.segment), last: self.last });
        self.segment += 1;
        self.length = 0;
        self.put_frame(&[Record::Hard(self.hard)])
    }

    /// Removes the previous snapshot, and the segments whose last entry is at or before
    /// the index of the new snapshot.
    fn compact(&mut self, index: u64) -> Result<(), Report<Failure>> {
        // the removed segments may contain the only record of the hard state
        if self.length == 0 && !self.closed.is_empty() {
            self.put_frame(&[Record::Hard(self.hard)])?;
        }
        if self.length > 0 && self.last <= index {
            self.rotate()?;
        }
        let old = std::mem::replace(&mut self.snapshot, index);
        if old > 0 && old != index {
            self.remove(&snapshot_name(old))?;
        }
        // the oldest segment is removed first and each removal is synced, so that a
        // crash leaves no gap between two segments
        let obsolete = self.closed.iter().take_while(|closed| closed.last <= index).count();
        for closed in self.closed.drain(..obsolete).collect::<Vec<_>>() {
            self.remove(&closed.name)?;
        }
        Ok(())
    }

    fn remove(&mut self, name: &str) -> Result<(), Report<Failure>> {
        let mut remove = || {
            self.disk.remove(name)?;
            self.disk.sync_folder()
        };
        remove().change_context_lazy(|| failed(name))
    }
}

pub(crate) fn failed(file: &str) -> Failure {
    Failure::Disk { file: file.to_owned() }
}
