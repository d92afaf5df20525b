//! Writing: frames to the newest segment, snapshots beside them, and the
//! removal of what a snapshot makes needless.

use std::fmt;

use error_stack::{Report, ResultExt};

use crate::disk::Disk;
use crate::frame::{self, Record};

/// Length of a segment in bytes after which the next one begins.
pub const SEGMENT_BYTES: u64 = 8 << 20;

/// Why a journal can't be read or written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Failure {
    /// The disk failed or is full.
    Disk {
        /// File that it happened on.
        file: String,
    },
    /// A file holds something other than what was written.
    Corrupt {
        /// The file.
        file: String,
        /// Offset of the first bad byte.
        offset: u64,
    },
    /// An earlier write failed; the journal must be opened again.
    Stopped,
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Disk { file } => write!(f, "the disk failed at `{file}`"),
            Self::Corrupt { file, offset } => {
                write!(f, "`{file}` is corrupt from byte {offset} on")
            }
            Self::Stopped => f.write_str("an earlier write failed"),
        }
    }
}

impl std::error::Error for Failure {}

/// A term and the vote given in it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Hard {
    /// The term.
    pub term: u64,
    /// Id that has the vote; zero for none.
    pub vote: u64,
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Its index.
    pub index: u64,
    /// Its encoded content.
    pub bytes: Vec<u8>,
}

/// A snapshot.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// Index of the last entry in it.
    pub index: u64,
    /// Its encoded content.
    pub bytes: Vec<u8>,
}

/// What one write makes durable, whole or not at all but for the snapshot,
/// which may last alone.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Batch {
    /// A new term or vote.
    pub hard: Option<Hard>,
    /// A snapshot; entries up to its index are needless from then on.
    pub snapshot: Option<Snapshot>,
    /// Whether all entries written before are void.
    pub reset: bool,
    /// Entries; those written before at the first one's index and after are void.
    pub entries: Vec<Entry>,
}

/// A segment that is not written any more, and its last entry's index.
#[derive(Debug)]
pub(crate) struct Closed {
    pub(crate) name: String,
    pub(crate) last: u64,
}

/// A journal that is open for writing.
#[derive(Debug)]
pub struct Journal<D> {
    pub(crate) disk: D,
    pub(crate) sequence: u64,
    pub(crate) segment: u64,
    pub(crate) length: u64,
    pub(crate) limit: u64,
    pub(crate) last: u64,
    pub(crate) closed: Vec<Closed>,
    pub(crate) hard: Hard,
    pub(crate) snapshot: u64,
    pub(crate) stopped: bool,
}

pub(crate) fn segment_name(number: u64) -> String {
    format!("{number:020}.log")
}

pub(crate) fn snapshot_name(index: u64) -> String {
    format!("{index:020}.snap")
}

impl<D: Disk> Journal<D> {
    /// Sets the length in bytes after which the next segment begins.
    pub fn set_segment_bytes(&mut self, limit: u64) {
        self.limit = limit;
    }

    /// Makes a batch durable; returns once it is synced.
    ///
    /// # Errors
    /// [`Failure::Disk`], and [`Failure::Stopped`] from then on.
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
        // a crash before the next frame must not bring void entries back
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
        // each segment begins with it, also one whose first frame a crash cut off
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

    /// Begins the next segment, which repeats the term and vote.
    fn rotate(&mut self) -> Result<(), Report<Failure>> {
        self.closed.push(Closed { name: segment_name(self.segment), last: self.last });
        self.segment += 1;
        self.length = 0;
        self.put_frame(&[Record::Hard(self.hard)])
    }

    /// Removes older snapshots, and the segments that end at or before one.
    fn compact(&mut self, index: u64) -> Result<(), Report<Failure>> {
        // what is removed may hold the only record of the term and vote
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
        // from the oldest on, each synced, so that a crash leaves no gap between two
        let needless = self.closed.iter().take_while(|closed| closed.last <= index).count();
        for closed in self.closed.drain(..needless).collect::<Vec<_>>() {
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
