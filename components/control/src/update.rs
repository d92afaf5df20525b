//! Updates of an entry's state: encoding and application.
//!
//! An entry holds a reduced state: all declarations, the holders of the leases on each
//! group, and the entries that hold them. It holds the whole group (shares, seats,
//! phase, history) and its servers only of the groups that it keeps.

use std::sync::Arc;

use base::prelude::*;
use bytes::Bytes;
use config::{Declarations, Edit};
use error_stack::ensure;
use wire::Message as _;
use wire::control::Update;
use wire::log::{Join, Lease};
use wire::pack;

use crate::image::{GroupImage, Malformed, ServerImage, name, read_group, read_server};
use crate::state::{Entry, Group, Server, State};

/// Length in bytes from which on the content of an update is compressed.
const PACK_BYTES: usize = 192;

/// Content of an update.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Content {
    /// The declarations, if they changed.
    #[prost(message, optional, tag = "1")]
    pub(crate) declared: Option<Declared>,
    /// Changed groups that the entry keeps.
    #[prost(message, repeated, tag = "2")]
    pub(crate) kept: Vec<KeptGroup>,
    /// Other groups whose leases have other holders than before.
    #[prost(message, repeated, tag = "3")]
    pub(crate) others: Vec<Holders>,
    /// Entries that are new or changed.
    #[prost(message, repeated, tag = "4")]
    pub(crate) entries: Vec<Present>,
    /// Entries that are gone.
    #[prost(string, repeated, tag = "5")]
    pub(crate) gone: Vec<String>,
}

/// New declarations.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Declared {
    #[prost(uint64, tag = "1")]
    pub(crate) version: u64,
    #[prost(uint64, tag = "2")]
    pub(crate) edition: u64,
    /// Complete declarations, compressed; empty if an edit is given.
    #[prost(bytes = "bytes", tag = "3")]
    pub(crate) whole: Bytes,
    /// Compressed text of the edit of the version `from`.
    #[prost(bytes = "bytes", tag = "4")]
    pub(crate) edit: Bytes,
    #[prost(uint64, tag = "5")]
    pub(crate) from: u64,
}

/// A whole group with its servers.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct KeptGroup {
    #[prost(message, optional, tag = "1")]
    pub(crate) group: Option<GroupImage>,
    #[prost(message, repeated, tag = "2")]
    pub(crate) servers: Vec<ServerImage>,
}

/// Holders of the leases on a group.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Holders {
    #[prost(string, tag = "1")]
    pub(crate) group: String,
    /// Leases without their shares.
    #[prost(message, repeated, tag = "2")]
    pub(crate) leases: Vec<Lease>,
}

/// An entry that is alive.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Present {
    #[prost(message, optional, tag = "1")]
    pub(crate) join: Option<Join>,
    #[prost(bool, tag = "2")]
    pub(crate) draining: bool,
}

impl Content {
    /// Encodes the content as an update, compressed if that makes it shorter.
    pub(crate) fn into_update(self, base: u64, index: u64) -> Update {
        let content = Bytes::from(self.encode_to_vec());
        if content.len() >= PACK_BYTES {
            let packed = pack::pack(&content);
            if packed.len() < content.len() {
                return Update { base, index, content: Bytes::new(), packed };
            }
        }
        Update { base, index, content, packed: Bytes::new() }
    }
}

/// A lease without its shares.
pub(crate) fn without_shares(lease: &Lease) -> Lease {
    Lease { shares: Vec::new(), ..lease.clone() }
}

/// A decoded group with its servers.
type Decoded = ((Name, Group), Vec<(Name, Server)>);

impl State {
    /// Applies an update to an entry's state. An update to an earlier index than the state's
    /// has no effect.
    ///
    /// # Errors
    /// [`Malformed`] if the update can't be decoded, or edits another version of the
    /// declarations; the state is unchanged then.
    pub fn update(&mut self, update: &Update) -> Result<(), Report<Malformed>> {
        if update.index < self.index {
            return Ok(());
        }
        let content = decode(update)?;
        let declared = content.declared.map(|declared| self.read(&declared)).transpose()?;
        let kept: Result<Vec<_>, _> = content.kept.iter().map(read_kept).collect();
        let others: Result<Vec<_>, _> =
            content.others.iter().map(|other| name(&other.group)).collect();
        let entries: Option<Vec<_>> = content.entries.iter().map(read_present).collect();
        let (kept, others, entries) = (kept?, others?, entries.ok_or(Malformed)?);
        self.index = update.index;
        if let Some((version, edition, declarations)) = declared {
            (self.version, self.edition) = (version, edition);
            match declarations {
                New::Whole(declarations) => self.declarations = Arc::new(declarations),
                // copies the declarations only while a request or a keeper uses them
                New::Edit(edit) => edit.apply(Arc::make_mut(&mut self.declarations)),
            }
        }
        for ((group, known), servers) in kept {
            self.servers.retain(|_, server| server.group != group);
            self.servers.extend(servers);
            self.groups.insert(group, known);
        }
        for (group, holders) in others.into_iter().zip(content.others) {
            self.groups.entry(group).or_default().leases = holders.leases.into();
        }
        for gone in &content.gone {
            self.entries.remove(gone.as_str());
        }
        self.entries.extend(entries);
        Ok(())
    }

    fn read(&self, declared: &Declared) -> Result<(u64, u64, New), Report<Malformed>> {
        let declarations = if declared.whole.is_empty() {
            ensure!(declared.from == self.version, Malformed);
            let text = pack::unpack_text(&declared.edit).change_context(Malformed)?;
            New::Edit(Edit::parse(&text).change_context(Malformed)?)
        } else {
            let text = pack::unpack_text(&declared.whole).change_context(Malformed)?;
            New::Whole(serde_json::from_str(&text).change_context(Malformed)?)
        };
        Ok((declared.version, declared.edition, declarations))
    }
}

/// New declarations that were read but not applied yet.
enum New {
    Whole(Declarations),
    Edit(Edit),
}

fn decode(update: &Update) -> Result<Content, Report<Malformed>> {
    if update.packed.is_empty() {
        return Content::decode(update.content.clone()).change_context(Malformed);
    }
    let content = pack::unpack(&update.packed).change_context(Malformed)?;
    Content::decode(Bytes::from(content)).change_context(Malformed)
}

fn read_kept(kept: &KeptGroup) -> Result<Decoded, Report<Malformed>> {
    let group = read_group(kept.group.as_ref().ok_or(Malformed)?)?;
    let servers: Result<Vec<_>, _> = kept.servers.iter().map(read_server).collect();
    Ok((group, servers?))
}

fn read_present(present: &Present) -> Option<(Name, Entry)> {
    let (name, entry) = Entry::from_join(present.join.as_ref()?)?;
    Some((name, Entry { draining: present.draining, ..entry }))
}
