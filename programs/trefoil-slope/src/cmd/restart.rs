//! Measures the restart time of a control member and the size of its data folder,
//! by number of changes in the journal.

use std::time::Instant;

use control::State;
use error_stack::{Report, ResultExt};
use journal::{Batch, Entry, Folder, Journal, Snapshot};
use serde::Serialize;
use wire::Message;
use wire::log::Command;

use crate::size::{self, Size};

const CHANGES: [u64; 4] = [10, 100, 1_000, 10_000];

/// Changes between two snapshots of the measured journal. A control member takes
/// snapshots less often.
const CHANGES_PER_SNAPSHOT: u64 = 1_024;

/// Error of a measurement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
pub(crate) enum Failure {
    /// A folder or file could not be created or read.
    Folder,
    /// The journal could not be written or read back.
    Journal,
    /// The encoded state could not be decoded.
    Image,
}

impl std::error::Error for Failure {}

#[derive(Serialize)]
struct Row {
    measure: &'static str,
    changes: u64,
    /// Total size of all files in the data folder in bytes, snapshots included.
    journal_bytes: u64,
    /// Size of the last snapshot after the initial one in bytes; 0 if there was
    /// none.
    snapshot_bytes: usize,
    write_micros_a_change: f64,
    restart_millis: f64,
}

pub(crate) fn run() -> Result<(), Report<Failure>> {
    for changes in CHANGES {
        println!("{}", serde_json::json!(measure(changes)?));
    }
    Ok(())
}

fn measure(changes: u64) -> Result<Row, Report<Failure>> {
    let folder = tempfile::tempdir().change_context(Failure::Folder)?;
    let mut state = size::build_state(Size { entries: 9, groups: 3, services: 8 });
    let disk = Folder::open(folder.path()).change_context(Failure::Folder)?;
    let (mut journal, _) = Journal::open(disk).change_context(Failure::Journal)?;
    let mut snapshot_bytes = 0;
    let first = Snapshot { index: state.index, bytes: state.encode() };
    let batch = Batch { snapshot: Some(first), ..Batch::default() };
    journal.write(batch).change_context(Failure::Journal)?;
    let start = Instant::now();
    for number in 0..changes {
        let weight = 1 + (number % 100) as u32;
        let id = format!("change-{number}");
        let body = size::change_weight(&id, state.version, &state.declarations, weight);
        let command = Command { body: Some(body) };
        let index = state.index + 1;
        state.apply(index, &command);
        let entries = vec![Entry { index, bytes: command.encode_to_vec() }];
        let is_snapshot_due = (number + 1).is_multiple_of(CHANGES_PER_SNAPSHOT);
        let snapshot = is_snapshot_due.then(|| Snapshot { index, bytes: state.encode() });
        if let Some(snapshot) = &snapshot {
            snapshot_bytes = snapshot.bytes.len();
        }
        let batch = Batch { snapshot, entries, ..Batch::default() };
        journal.write(batch).change_context(Failure::Journal)?;
    }
    let written = start.elapsed();
    drop(journal);
    let journal_bytes = folder_bytes(folder.path())?;
    let start = Instant::now();
    let disk = Folder::open(folder.path()).change_context(Failure::Folder)?;
    let (_journal, recovered) = Journal::open(disk).change_context(Failure::Journal)?;
    let snapshot = recovered.snapshot.ok_or(Failure::Journal)?;
    let mut state = State::decode(&snapshot.bytes).change_context(Failure::Image)?;
    for entry in &recovered.entries {
        let command = Command::decode(entry.bytes.as_slice()).change_context(Failure::Journal)?;
        state.apply(entry.index, &command);
    }
    Ok(Row {
        measure: "restart",
        changes,
        journal_bytes,
        snapshot_bytes,
        write_micros_a_change: written.as_secs_f64() * 1e6 / changes as f64,
        restart_millis: start.elapsed().as_secs_f64() * 1e3,
    })
}

fn folder_bytes(folder: &std::path::Path) -> Result<u64, Report<Failure>> {
    let mut total = 0;
    for file in std::fs::read_dir(folder).change_context(Failure::Folder)? {
        let file = file.change_context(Failure::Folder)?;
        total += file.metadata().change_context(Failure::Folder)?.len();
    }
    Ok(total)
}
