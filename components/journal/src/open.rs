//! Opening and recovery of a journal, which truncates a torn tail.

use std::collections::BTreeMap;

use error_stack::{Report, ResultExt};

use crate::disk::Disk;
use crate::frame::{self, Record};
use crate::store::{
    Closed, Entry, Failure, Hard, Journal, SEGMENT_BYTES, Snapshot, failed, segment_name,
    snapshot_name,
};

/// The content of a journal, as recovered when opening it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recovered {
    /// Latest term and vote.
    pub hard: Hard,
    /// Newest snapshot.
    pub snapshot: Option<Snapshot>,
    /// Entries after the snapshot, in log order and without gaps.
    pub entries: Vec<Entry>,
    /// Length of the truncated torn tail, in bytes.
    pub cut_bytes: u64,
}

/// The content of the segments, read from the oldest to the newest.
#[derive(Debug, Default)]
struct Scan {
    /// Sequence before which the entries of all frames are void.
    void: u64,
    /// Sequence of the last frame that was read.
    sequence: Option<u64>,
    hard: Hard,
    /// Encoded content of each entry, by index.
    entries: BTreeMap<u64, Vec<u8>>,
    /// Index of the last entry that was read.
    last: u64,
    /// Number and length in bytes of each segment, and the value of `last` at its end.
    segments: Vec<(u64, u64, u64)>,
    /// File name, offset and length in bytes of a torn tail.
    torn: Option<(String, u64, u64)>,
}

/// Reads the journal of a data folder without changing the folder.
///
/// # Errors
/// [`Failure::Disk`] and [`Failure::Corrupt`].
pub fn inspect<D: Disk>(disk: &D) -> Result<Recovered, Report<Failure>> {
    let (void, snapshot) = newest_snapshot(disk)?;
    let scan = scan(disk, void)?;
    recover(&scan, snapshot)
}

impl<D: Disk> Journal<D> {
    /// Opens the journal of a data folder, truncates a torn tail, and returns the
    /// recovered content.
    ///
    /// # Errors
    /// [`Failure::Disk`]; [`Failure::Corrupt`] when the newest snapshot is corrupt, an
    /// invalid frame is not the torn tail of the newest segment, or entries are missing.
    pub fn open(mut disk: D) -> Result<(Self, Recovered), Report<Failure>> {
        let (void, snapshot) = newest_snapshot(&disk)?;
        let scan = scan(&disk, void)?;
        let recovered = recover(&scan, snapshot)?;
        if let Some((name, length, _)) = &scan.torn {
            let mut truncate = || {
                disk.truncate(name, *length)?;
                disk.sync(name)
            };
            truncate().change_context_lazy(|| failed(name))?;
        }
        remove_obsolete(&mut disk, recovered.snapshot.as_ref())?;
        let mut segments = scan.segments;
        let (segment, length, _) = segments.pop().unwrap_or((1, 0, 0));
        let closed = segments.into_iter();
        let closed = closed.map(|(number, _, last)| Closed { name: segment_name(number), last });
        let journal = Self {
            disk,
            sequence: scan.sequence.unwrap_or(0),
            segment,
            length,
            limit: SEGMENT_BYTES,
            last: scan.last,
            closed: closed.collect(),
            hard: scan.hard,
            snapshot: recovered.snapshot.as_ref().map_or(0, |snapshot| snapshot.index),
            stopped: false,
        };
        Ok((journal, recovered))
    }
}

fn file_numbers<D: Disk>(disk: &D, suffix: &str) -> Result<Vec<u64>, Report<Failure>> {
    let names = disk.list().change_context_lazy(|| failed("."))?;
    let number = |name: &String| name.strip_suffix(suffix)?.parse().ok();
    let mut numbers: Vec<u64> = names.iter().filter_map(number).collect();
    numbers.sort_unstable();
    Ok(numbers)
}

fn newest_snapshot<D: Disk>(disk: &D) -> Result<(u64, Option<Snapshot>), Report<Failure>> {
    let Some(index) = file_numbers(disk, ".snap")?.pop() else { return Ok((0, None)) };
    let name = snapshot_name(index);
    let bytes = disk.read(&name).change_context_lazy(|| failed(&name))?;
    let corrupt = || Failure::Corrupt { file: name.clone(), offset: 0 };
    let (void, content) = frame::decode_snapshot(&bytes).ok_or_else(corrupt)?;
    Ok((void, Some(Snapshot { index, bytes: content.to_vec() })))
}

fn scan<D: Disk>(disk: &D, void: u64) -> Result<Scan, Report<Failure>> {
    let numbers = file_numbers(disk, ".log")?;
    let mut scan = Scan { void, ..Scan::default() };
    for (index, number) in numbers.iter().enumerate() {
        let newest = index + 1 == numbers.len();
        scan.read_segment(disk, *number, newest)?;
    }
    Ok(scan)
}

impl Scan {
    fn read_segment<D: Disk>(
        &mut self,
        disk: &D,
        number: u64,
        newest: bool,
    ) -> Result<(), Report<Failure>> {
        let name = segment_name(number);
        let bytes = disk.read(&name).change_context_lazy(|| failed(&name))?;
        let mut offset = 0;
        while offset < bytes.len() {
            let is_next = |sequence| self.sequence.is_none_or(|last| sequence == last + 1);
            let frame = frame::decode(&bytes, offset).filter(|frame| is_next(frame.sequence));
            let Some(frame) = frame else {
                let last = self.sequence.unwrap_or(0);
                if !newest || frame::has_valid_frame_after(&bytes, offset, last) {
                    let corrupt = Failure::Corrupt { file: name, offset: offset as u64 };
                    return Err(Report::new(corrupt));
                }
                self.torn = Some((name, offset as u64, (bytes.len() - offset) as u64));
                break;
            };
            self.sequence = Some(frame.sequence);
            offset = frame.end;
            let void = frame.sequence < self.void;
            frame.records.into_iter().for_each(|record| self.apply(record, void));
        }
        self.segments.push((number, offset as u64, self.last));
        Ok(())
    }

    fn apply(&mut self, record: Record, void: bool) {
        match record {
            Record::Hard(hard) => self.hard = hard,
            Record::Entry(_) if void => {}
            Record::Reset => {
                self.entries.clear();
                self.last = 0;
            }
            Record::Entry(entry) => {
                drop(self.entries.split_off(&entry.index));
                self.last = entry.index;
                self.entries.insert(entry.index, entry.bytes);
            }
        }
    }
}

fn recover(scan: &Scan, snapshot: Option<Snapshot>) -> Result<Recovered, Report<Failure>> {
    let base = snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
    let mut entries = Vec::new();
    for (index, bytes) in scan.entries.range(base + 1..) {
        if *index != base + 1 + entries.len() as u64 {
            // frames are missing although later ones are valid
            let file = scan.segments.last().map_or(1, |(number, _, _)| *number);
            return Err(Report::new(Failure::Corrupt { file: segment_name(file), offset: 0 }));
        }
        entries.push(Entry { index: *index, bytes: bytes.clone() });
    }
    let cut_bytes = scan.torn.as_ref().map_or(0, |(_, _, bytes)| *bytes);
    Ok(Recovered { hard: scan.hard, snapshot, entries, cut_bytes })
}

/// Removes older snapshots and temporary files that a crash left behind.
fn remove_obsolete<D: Disk>(
    disk: &mut D,
    snapshot: Option<&Snapshot>,
) -> Result<(), Report<Failure>> {
    let newest = snapshot.map(|snapshot| snapshot_name(snapshot.index));
    for name in disk.list().change_context_lazy(|| failed("."))? {
        let old = has_extension(&name, "snap") && Some(&name) != newest.as_ref();
        if old || has_extension(&name, "tmp") {
            disk.remove(&name).change_context_lazy(|| failed(&name))?;
        }
    }
    Ok(())
}

fn has_extension(name: &str, extension: &str) -> bool {
    name.rsplit_once('.').is_some_and(|(_, found)| found == extension)
}
