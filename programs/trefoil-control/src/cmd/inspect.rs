//! `inspect`: shows the contents of a control member's data folder.

use base::prelude::*;
use serde::Serialize;
use wire::Message as _;

use crate::cli::{Failure, Inspect};

#[derive(Debug, Serialize)]
struct Contents {
    term: u64,
    vote: String,
    snapshot: Snapshot,
    members: Vec<String>,
    entries: Vec<Entry>,
}

#[derive(Debug, Serialize)]
struct Snapshot {
    index: u64,
    term: u64,
    bytes: usize,
}

#[derive(Debug, Serialize)]
struct Entry {
    index: u64,
    term: u64,
    bytes: usize,
}

/// Prints a summary of the data folder of a stopped member as JSON.
pub(crate) fn inspect(options: &Inspect) -> Result<(), Report<Failure>> {
    let stored = member::inspect(&options.data).change_context(Failure::Data)?;
    let (snapshot, hard) = (&stored.snapshot, stored.hard);
    let entry = |entry: &wire::quorum::Entry| Entry {
        index: entry.index,
        term: entry.term,
        bytes: entry.encoded_len(),
    };
    let contents = Contents {
        term: hard.term,
        vote: format!("{:016x}", hard.vote),
        snapshot: Snapshot {
            index: snapshot.index,
            term: snapshot.term,
            bytes: snapshot.data.len(),
        },
        members: snapshot.members.members.iter().map(|member| member.name.clone()).collect(),
        entries: stored.entries.iter().map(entry).collect(),
    };
    let text = serde_json::to_string_pretty(&contents).change_context(Failure::Data)?;
    println!("{text}");
    Ok(())
}
