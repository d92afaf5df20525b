//! Messages that no member can have sent.
//!
//! The state machine relies on what each member keeps to: numbers that only count up, entries
//! without gaps, a snapshot with a membership. A message that breaks this, because it was
//! damaged or comes from a faulty member, is dropped like a lost one.

use wire::quorum::message::Body;
use wire::quorum::{Append, Install, Message};

/// Largest term, index and length. None is reached by counting.
const MAX_NUMBER: u64 = 1 << 53;

/// Whether a member can have sent a message.
pub(crate) fn is_possible(message: &Message) -> bool {
    let body = match &message.body {
        Some(Body::Append(append)) => is_append_possible(append, message.term),
        Some(Body::Install(install)) => is_install_possible(install, message.term),
        Some(Body::Appended(appended)) => appended.index <= MAX_NUMBER,
        Some(Body::Installed(installed)) => installed.index.max(installed.offset) <= MAX_NUMBER,
        _ => true,
    };
    message.term <= MAX_NUMBER && body
}

fn is_append_possible(append: &Append, term: u64) -> bool {
    let numbered = (append.prev_index.saturating_add(1)..).zip(&append.entries);
    let mut follows =
        numbered.map(|(index, entry)| entry.index == index && (1..=term).contains(&entry.term));
    append.prev_index <= MAX_NUMBER && follows.all(|follows| follows)
}

fn is_install_possible(install: &Install, term: u64) -> bool {
    let members = install.members.as_ref().is_some_and(|members| !members.members.is_empty());
    let end = install.offset.saturating_add(install.bytes.len() as u64);
    members && install.index <= MAX_NUMBER && install.term <= term && end <= install.length
}
