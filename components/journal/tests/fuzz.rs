//! Fuzz tests of the journal against a model of the acknowledged writes, on a disk
//! that may fail at any change and loses unsynced changes in a crash.

mod fake;

use arbtest::arbitrary::{self, Unstructured};
use arbtest::arbtest;
use journal::{Batch, Entry, Failure, Hard, Journal, Snapshot, inspect};

use fake::Fake;

/// Default number of schedules, as run in CI.
const SCHEDULES: u64 = 2_000;

/// Length of the random input of a schedule, in bytes, which is the lower half of a
/// seed of `arbtest`.
const SIZE_BYTES: u64 = 8_192;

/// Number of writes in a schedule.
const STEPS: usize = 60;

/// Length of a segment, in bytes, short enough for several segments in a schedule.
const SEGMENT_BYTES: u64 = 400;

/// The content that a journal must have.
#[derive(Clone, Debug, Default, PartialEq)]
struct Model {
    hard: Hard,
    snapshot: Option<Snapshot>,
    entries: Vec<Entry>,
}

impl Model {
    fn write(&mut self, batch: &Batch) {
        self.write_snapshot(batch);
        self.hard = batch.hard.unwrap_or(self.hard);
        if let Some(first) = batch.entries.first() {
            self.entries.retain(|entry| entry.index < first.index);
        }
        self.entries.extend(batch.entries.clone());
    }

    /// Applies the snapshot of a batch, which may become durable alone.
    fn write_snapshot(&mut self, batch: &Batch) {
        if let Some(snapshot) = &batch.snapshot {
            self.entries.retain(|entry| !batch.reset && entry.index > snapshot.index);
            self.snapshot = Some(snapshot.clone());
        }
    }

    fn base(&self) -> u64 {
        self.snapshot.as_ref().map_or(0, |snapshot| snapshot.index)
    }

    fn last(&self) -> u64 {
        self.base() + self.entries.len() as u64
    }
}

fn bytes(u: &mut Unstructured<'_>) -> arbitrary::Result<Vec<u8>> {
    let length = u.int_in_range(0..=80)?;
    Ok(u.bytes(length)?.to_vec())
}

fn batch(u: &mut Unstructured<'_>, model: &Model) -> arbitrary::Result<Batch> {
    let mut batch = Batch::default();
    if u.ratio(1, 3)? {
        batch.hard = Some(Hard { term: model.hard.term + 1, vote: u.arbitrary()? });
    }
    let mut first = u.int_in_range(model.base() + 1..=model.last() + 1)?;
    if u.ratio(1, 8)? {
        batch.reset = u.arbitrary()?;
        let max = if batch.reset { model.last() + 20 } else { model.last() };
        let index = u.int_in_range(model.base()..=max)?;
        if index > model.base() {
            batch.snapshot = Some(Snapshot { index, bytes: bytes(u)? });
            first = if batch.reset { index + 1 } else { first.max(index + 1) };
        } else {
            batch.reset = false;
        }
    }
    for index in first..first + u.int_in_range(0..=4)? {
        batch.entries.push(Entry { index, bytes: bytes(u)? });
    }
    Ok(batch)
}

fn open(disk: &Fake) -> (Journal<Fake>, Model) {
    let (mut journal, recovered) =
        Journal::open(disk.clone()).expect("the journal opens after a crash");
    journal.set_segment_bytes(SEGMENT_BYTES);
    let (hard, snapshot) = (recovered.hard, recovered.snapshot);
    (journal, Model { hard, snapshot, entries: recovered.entries })
}

fn schedule(u: &mut Unstructured<'_>) -> arbitrary::Result<()> {
    let disk = Fake::default();
    let (mut journal, mut model) = open(&disk);
    for _ in 0..STEPS {
        let batch = batch(u, &model)?;
        if u.ratio(3, 4)? {
            journal.write(batch.clone()).expect("the disk accepts writes");
            model.write(&batch);
            continue;
        }
        disk.fail_after(u.int_in_range(0..=12)?);
        let mut after = model.clone();
        after.write(&batch);
        let mut between = model.clone();
        between.write_snapshot(&batch);
        let written = journal.write(batch).is_ok();
        disk.crash(u)?;
        let (opened, found) = open(&disk);
        let allowed = if written { vec![after] } else { vec![model, between, after] };
        assert!(allowed.contains(&found), "found {found:?}\nallowed {allowed:?}");
        (journal, model) = (opened, found);
    }
    Ok(())
}

#[test]
fn keeps_acknowledged_writes() {
    let set = std::env::var("TREFOIL_FUZZ_SCHEDULES").ok();
    let schedules = set.map_or(SCHEDULES, |set| set.parse().expect("a number"));
    let start = std::time::Instant::now();
    for seed in 1..=schedules {
        let spread = seed.wrapping_mul(0x9e37_79b9) & u64::from(u32::MAX);
        arbtest(schedule).seed((spread << 32) | SIZE_BYTES).run();
    }
    println!("{schedules} schedules of {STEPS} steps, {:.1} s", start.elapsed().as_secs_f64());
}

fn three_frames() -> Fake {
    let disk = Fake::default();
    let (mut journal, _) = open(&disk);
    for index in 1..=3 {
        let entries = vec![Entry { index, bytes: vec![7; 20] }];
        journal.write(Batch { entries, ..Batch::default() }).expect("the disk accepts writes");
    }
    disk
}

const SEGMENT: &str = "00000000000000000001.log";

#[test]
fn truncates_a_torn_tail() {
    let disk = three_frames();
    let length = disk.length(SEGMENT);
    disk.truncate_file(SEGMENT, length - 1);
    let (mut journal, model) = open(&disk);
    assert_eq!(model.entries.len(), 2);
    let entries = vec![Entry { index: 3, bytes: vec![8] }];
    journal.write(Batch { entries, ..Batch::default() }).expect("the disk accepts writes");
    assert_eq!(open(&disk).1.entries.len(), 3);
}

#[test]
fn rejects_a_corrupt_frame_before_a_valid_one() {
    let disk = three_frames();
    for offset in 0..disk.length(SEGMENT) * 2 / 3 {
        disk.flip_bit(SEGMENT, offset);
        let failure = inspect(&disk).expect_err("the file is corrupt");
        assert!(matches!(failure.current_context(), Failure::Corrupt { .. }), "{failure:?}");
        disk.flip_bit(SEGMENT, offset);
    }
}

#[test]
fn rejects_a_corrupt_snapshot() {
    let disk = three_frames();
    let (mut journal, _) = open(&disk);
    let snapshot = Some(Snapshot { index: 2, bytes: vec![1, 2, 3] });
    journal.write(Batch { snapshot, ..Batch::default() }).expect("the disk accepts writes");
    let name = "00000000000000000002.snap";
    for offset in 0..disk.length(name) {
        disk.flip_bit(name, offset);
        let failure = inspect(&disk).expect_err("the file is corrupt");
        assert!(matches!(failure.current_context(), Failure::Corrupt { .. }), "{failure:?}");
        disk.flip_bit(name, offset);
    }
}

#[test]
fn stops_on_a_full_disk() {
    let disk = three_frames();
    let (mut journal, _) = open(&disk);
    disk.fail_after(0);
    let batch = Batch { hard: Some(Hard { term: 9, vote: 1 }), ..Batch::default() };
    let failure = journal.write(batch.clone()).expect_err("the disk is full");
    assert!(matches!(failure.current_context(), Failure::Disk { .. }), "{failure:?}");
    disk.heal();
    let failure = journal.write(batch).expect_err("the state of the disk is unknown");
    assert_eq!(*failure.current_context(), Failure::Stopped);
}

#[test]
fn keeps_its_identity() {
    let mut disk = Fake::default();
    assert_eq!(journal::identity(&mut disk, 5).expect("an id"), 5);
    assert_eq!(journal::identity(&mut disk, 6).expect("an id"), 5);
}
