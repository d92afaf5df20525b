//! The thread that owns the journal.
//!
//! Queued writes are made durable together with one sync.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc;
use std::thread::JoinHandle;

use base::prelude::*;
use bytes::Bytes;
use journal::{Batch, Folder, Journal, Recovered};
use quorum::{Hard, Snapshot, Stored, Write};
use wire::Message as _;
use wire::quorum::{Entry, Members};

use crate::host::Failure;
use crate::input::{Input, Sender};

/// A snapshot as stored in the journal.
#[derive(Clone, PartialEq, prost::Message)]
pub struct StoredSnapshot {
    /// Index of the last log entry that the snapshot covers.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// Term of the last log entry that the snapshot covers.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Membership at the index of the snapshot.
    #[prost(message, optional, tag = "3")]
    pub members: Option<Members>,
    /// Encoded state at the index of the snapshot.
    #[prost(bytes = "bytes", tag = "4")]
    pub data: Bytes,
}

/// Contents of an opened data folder.
#[derive(Debug)]
pub(crate) struct Opened {
    /// Id of the member.
    pub(crate) id: u64,
    pub(crate) journal: Journal<Folder>,
    pub(crate) stored: Stored,
    /// Bytes of an incomplete write that were cut off the journal's end.
    pub(crate) cut_bytes: u64,
}

/// Opens a data folder; a new folder is given the id `new_id`.
pub(crate) fn open(path: &Path, new_id: u64) -> Result<Opened, Report<Failure>> {
    let failure = || Failure::Data { path: path.to_owned() };
    let mut folder = Folder::open(path).change_context_lazy(failure)?;
    let id = journal::identity(&mut folder, new_id).change_context_lazy(failure)?;
    let (journal, recovered) = Journal::open(folder).change_context_lazy(failure)?;
    let cut_bytes = recovered.cut_bytes;
    let stored = decode_stored(recovered).change_context_lazy(failure)?;
    Ok(Opened { id, journal, stored, cut_bytes })
}

/// Reads a data folder that no process uses, without changing it.
///
/// # Errors
/// [`Failure::Data`] if the folder is missing or can't be read.
pub fn inspect(path: &Path) -> Result<Stored, Report<Failure>> {
    let failure = || Failure::Data { path: path.to_owned() };
    if !path.is_dir() {
        return Err(Report::new(failure()));
    }
    let folder = Folder::open(path).change_context_lazy(failure)?;
    let recovered = journal::inspect(&folder).change_context_lazy(failure)?;
    decode_stored(recovered).change_context_lazy(failure)
}

fn decode_stored(recovered: Recovered) -> Result<Stored, prost::DecodeError> {
    let hard = Hard { term: recovered.hard.term, vote: recovered.hard.vote };
    let mut snapshot = Snapshot::default();
    if let Some(stored) = recovered.snapshot {
        let stored = StoredSnapshot::decode(stored.bytes.as_slice())?;
        let members = stored.members.unwrap_or_default();
        snapshot = Snapshot { index: stored.index, term: stored.term, members, data: stored.data };
    }
    let entries = recovered.entries.iter().map(|entry| Entry::decode(entry.bytes.as_slice()));
    Ok(Stored { hard, snapshot, entries: entries.collect::<Result<_, _>>()? })
}

/// Handle of the journal thread.
#[derive(Debug)]
pub(crate) struct Disk {
    writes: mpsc::Sender<Write>,
    killed: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

/// Sender of writes to the journal thread.
pub(crate) type Writes = mpsc::Sender<Write>;

impl Disk {
    /// Starts the thread, which ends when all of its [`Writes`] are dropped.
    pub(crate) fn start(journal: Journal<Folder>, core: Sender) -> std::io::Result<Self> {
        let (writes, due) = mpsc::channel();
        let killed = Arc::new(AtomicBool::new(false));
        let flag = Arc::clone(&killed);
        let run = move || run(journal, &due, &core, &flag);
        let thread = std::thread::Builder::new().name("journal".to_owned()).spawn(run)?;
        Ok(Self { writes, killed, thread: Some(thread) })
    }

    pub(crate) fn writes(&self) -> Writes {
        self.writes.clone()
    }

    /// Ends the thread after the current write, discards queued writes, and releases
    /// the folder.
    pub(crate) fn kill(&mut self) {
        self.killed.store(true, Ordering::Release);
        drop(self.writes.send(Write::default()));
        if let Some(thread) = self.thread.take() {
            drop(thread.join());
        }
    }
}

fn run(
    mut journal: Journal<Folder>,
    due: &mpsc::Receiver<Write>,
    core: &Sender,
    killed: &AtomicBool,
) {
    while let Ok(first) = due.recv() {
        let mut token = first.token;
        let mut batches = vec![batch(first)];
        while let Ok(next) = due.try_recv() {
            token = next.token;
            join(&mut batches, batch(next));
        }
        if killed.load(Ordering::Acquire) {
            return;
        }
        let written = batches.into_iter().try_for_each(|batch| journal.write(batch));
        let sent = match written {
            Ok(()) => core.blocking_send(Input::Persisted(token)),
            Err(report) => core.blocking_send(Input::DiskFailed(report)),
        };
        if sent.is_err() {
            return;
        }
    }
}

fn batch(write: Write) -> Batch {
    let snapshot = write.snapshot.map(|snapshot| {
        let Snapshot { index, term, members, data } = snapshot;
        let stored = StoredSnapshot { index, term, members: Some(members), data };
        journal::Snapshot { index, bytes: stored.encode_to_vec() }
    });
    let entry = |entry: &Entry| journal::Entry { index: entry.index, bytes: entry.encode_to_vec() };
    Batch {
        hard: write.hard.map(|hard| journal::Hard { term: hard.term, vote: hard.vote }),
        snapshot,
        reset: write.reset,
        entries: write.entries.iter().map(entry).collect(),
    }
}

/// Appends a batch to the queue, merged into the last one if neither has a
/// snapshot.
fn join(batches: &mut Vec<Batch>, next: Batch) {
    match batches.last_mut() {
        Some(last) if last.snapshot.is_none() && next.snapshot.is_none() => {
            last.hard = next.hard.or(last.hard);
            last.entries.extend(next.entries);
        }
        _ => batches.push(next),
    }
}
