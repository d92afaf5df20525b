//! Encodes and decodes the whole state, for a member's snapshot and for an entry
//! that has fallen too far behind the log.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::Arc;

use base::prelude::*;
use bytes::Bytes;
use config::{Declarations, Violation};
use wire::Message;
use wire::{log, pack};

use crate::changes::{Answer, Changes};
use crate::state::{Candidate, Entry, Group, Phase, Retired, Server, State};
use crate::update::without_shares;

/// Error for bytes that are no valid image.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed;

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the bytes are no image of the control state")
    }
}

impl std::error::Error for Malformed {}

#[derive(Clone, PartialEq, prost::Message)]
struct Image {
    #[prost(uint64, tag = "1")]
    index: u64,
    #[prost(uint64, tag = "2")]
    version: u64,
    /// The declarations, compressed.
    #[prost(bytes = "bytes", tag = "12")]
    declarations: Bytes,
    #[prost(message, repeated, tag = "4")]
    groups: Vec<GroupImage>,
    #[prost(message, repeated, tag = "5")]
    servers: Vec<ServerImage>,
    #[prost(message, repeated, tag = "6")]
    entries: Vec<log::Join>,
    #[prost(string, repeated, tag = "7")]
    drained: Vec<String>,
    #[prost(message, repeated, tag = "8")]
    changes: Vec<ChangeImage>,
    #[prost(uint64, tag = "9")]
    edition: u64,
    #[prost(bytes = "bytes", tag = "13")]
    document: Bytes,
    #[prost(message, repeated, tag = "11")]
    departed: Vec<DepartedImage>,
    #[prost(message, repeated, tag = "14")]
    retired: Vec<RetiredImage>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct DepartedImage {
    #[prost(string, tag = "1")]
    entry: String,
    #[prost(uint64, tag = "2")]
    incarnation: u64,
    #[prost(uint64, tag = "3")]
    index: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
struct RetiredImage {
    #[prost(string, tag = "1")]
    server: String,
    #[prost(uint64, tag = "2")]
    incarnation: u64,
    #[prost(uint64, tag = "3")]
    index: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct GroupImage {
    #[prost(string, tag = "1")]
    pub(crate) name: String,
    #[prost(string, repeated, tag = "2")]
    pub(crate) seats: Vec<String>,
    #[prost(uint64, tag = "3")]
    pub(crate) term: u64,
    #[prost(bool, tag = "4")]
    pub(crate) intended: bool,
    #[prost(message, optional, tag = "5")]
    pub(crate) chosen: Option<log::Choose>,
    #[prost(string, optional, tag = "6")]
    pub(crate) primary: Option<String>,
    #[prost(message, repeated, tag = "7")]
    pub(crate) history: Vec<wire::mark::Mark>,
    #[prost(message, repeated, tag = "8")]
    pub(crate) leases: Vec<log::Lease>,
    #[prost(uint64, tag = "9")]
    pub(crate) generation: u64,
    #[prost(uint64, tag = "10")]
    pub(crate) reduced_index: u64,
    #[prost(uint64, tag = "11")]
    pub(crate) ended_index: u64,
    #[prost(uint64, tag = "12")]
    pub(crate) uncovered_index: u64,
    #[prost(message, optional, tag = "13")]
    pub(crate) candidate: Option<CandidateImage>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct CandidateImage {
    #[prost(string, tag = "1")]
    server: String,
    #[prost(uint64, optional, tag = "2")]
    above: Option<u64>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct ServerImage {
    #[prost(message, optional, tag = "1")]
    announce: Option<log::Announce>,
    #[prost(bool, tag = "2")]
    expired: bool,
}

#[derive(Clone, PartialEq, prost::Message)]
struct ChangeImage {
    #[prost(string, tag = "1")]
    change: String,
    #[prost(uint64, tag = "2")]
    version: u64,
    #[prost(uint64, tag = "3")]
    index: u64,
    #[prost(enumeration = "Kind", tag = "4")]
    kind: i32,
    #[prost(string, tag = "5")]
    faults: String,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
enum Kind {
    Missing = 0,
    Accepted = 1,
    Conflict = 2,
    Invalid = 3,
}

impl State {
    /// Encodes the whole state; equal states give equal bytes.
    pub fn encode(&self) -> Vec<u8> {
        Image { document: self.document.clone(), ..self.image() }.encode_to_vec()
    }

    /// Encodes the state for entries, without the document of the declarations.
    pub fn encode_for_entries(&self) -> Vec<u8> {
        self.image().encode_to_vec()
    }

    /// Encodes the part of the state that all entries need. An update that is complete for
    /// one entry adds what that entry needs.
    pub fn encode_shared(&self) -> Vec<u8> {
        let kept_groups = self.groups.iter().filter(|(_, group)| !group.leases.is_empty());
        let holders = |group: &Group| group.leases.iter().map(without_shares).collect();
        let reduced = |(name, group): (&Name, &Group)| GroupImage {
            name: name.to_string(),
            leases: holders(group),
            ..GroupImage::default()
        };
        let leases = self.groups.values().flat_map(|group| &group.leases);
        let keepers: BTreeSet<&str> = leases.map(|lease| lease.entry.as_str()).collect();
        let entries = self.entries.iter().filter(|(name, _)| keepers.contains(name.as_str()));
        let image = Image {
            index: self.index,
            version: self.version,
            edition: self.edition,
            declarations: pack::pack(self.declarations.canonical().as_bytes()),
            groups: kept_groups.map(reduced).collect(),
            entries: entries.map(|(name, entry)| entry.to_join(name)).collect(),
            drained: self.drained.iter().map(Name::to_string).collect(),
            ..Image::default()
        };
        image.encode_to_vec()
    }

    fn image(&self) -> Image {
        Image {
            index: self.index,
            version: self.version,
            declarations: pack::pack(self.declarations.canonical().as_bytes()),
            groups: self.groups.iter().map(write_group).collect(),
            servers: self.servers.iter().map(write_server).collect(),
            entries: self.entries.iter().map(|(name, entry)| entry.to_join(name)).collect(),
            drained: self.drained.iter().map(Name::to_string).collect(),
            changes: self.changes.iter().map(write_change).collect(),
            edition: self.edition,
            document: Bytes::new(),
            departed: self.departed.iter().map(write_departed).collect(),
            retired: self.retired.iter().map(write_retired).collect(),
        }
    }

    /// Decodes an image.
    ///
    /// # Errors
    /// [`Malformed`] if the bytes are no valid image.
    pub fn decode(bytes: &[u8]) -> Result<Self, Report<Malformed>> {
        let image = Image::decode(bytes).change_context(Malformed)?;
        let declarations = pack::unpack_text(&image.declarations).change_context(Malformed)?;
        let declarations: Declarations = read_json(&declarations)?;
        let drained: Result<BTreeSet<Name>, _> = image.drained.iter().map(|n| name(n)).collect();
        let drained = drained?;
        let mut entries = BTreeMap::new();
        for join in &image.entries {
            let (name, mut entry) = Entry::from_join(join).ok_or(Malformed)?;
            entry.draining = drained.contains(&name);
            entries.insert(name, entry);
        }
        let groups: Result<BTreeMap<Name, Group>, _> =
            image.groups.iter().map(read_group).collect();
        let servers: Result<BTreeMap<Name, Server>, _> =
            image.servers.iter().map(read_server).collect();
        let mut changes = Changes::default();
        for change in image.changes {
            let answer = read_answer(&change)?;
            changes.insert(change.change, answer);
        }
        Ok(Self {
            index: image.index,
            version: image.version,
            edition: image.edition,
            document: image.document,
            declarations: Arc::new(declarations),
            groups: groups?,
            servers: servers?,
            entries,
            departed: image.departed.iter().map(read_departed).collect::<Result<_, _>>()?,
            retired: image.retired.iter().map(read_retired).collect::<Result<_, _>>()?,
            drained,
            changes,
        })
    }
}

pub(crate) fn name(text: &str) -> Result<Name, Report<Malformed>> {
    Name::new(text).change_context(Malformed)
}

fn read_json<T: serde::de::DeserializeOwned>(text: &str) -> Result<T, Report<Malformed>> {
    serde_json::from_str(text).change_context(Malformed)
}

fn write_departed(((entry, incarnation), index): (&(Name, u64), &u64)) -> DepartedImage {
    DepartedImage { entry: entry.to_string(), incarnation: *incarnation, index: *index }
}

fn read_departed(image: &DepartedImage) -> Result<((Name, u64), u64), Report<Malformed>> {
    Ok(((name(&image.entry)?, image.incarnation), image.index))
}

fn write_retired((server, retired): (&Name, &Retired)) -> RetiredImage {
    let Retired { incarnation, index } = *retired;
    RetiredImage { server: server.to_string(), incarnation, index }
}

fn read_retired(image: &RetiredImage) -> Result<(Name, Retired), Report<Malformed>> {
    let retired = Retired { incarnation: image.incarnation, index: image.index };
    Ok((name(&image.server)?, retired))
}

pub(crate) fn write_group((name, group): (&Name, &Group)) -> GroupImage {
    let chosen = match &group.phase {
        Phase::Chosen { server, start, incarnation } => Some(log::Choose {
            group: name.to_string(),
            term: group.term.0,
            server: server.to_string(),
            start: Some((*start).into()),
            incarnation: *incarnation,
            reported_term: None,
        }),
        Phase::Settled | Phase::Intended => None,
    };
    GroupImage {
        name: name.to_string(),
        seats: group.seats.iter().map(Name::to_string).collect(),
        term: group.term.0,
        intended: group.phase == Phase::Intended,
        chosen,
        primary: group.primary.as_ref().map(Name::to_string),
        history: group.history.starts().iter().map(|&start| start.into()).collect(),
        leases: group.leases.to_vec(),
        generation: group.generation,
        reduced_index: group.reduced_index,
        ended_index: group.ended_index,
        uncovered_index: group.uncovered_index,
        candidate: group.candidate.as_ref().map(|candidate| CandidateImage {
            server: candidate.server.to_string(),
            above: candidate.above.map(|term| term.0),
        }),
    }
}

pub(crate) fn read_group(image: &GroupImage) -> Result<(Name, Group), Report<Malformed>> {
    let phase = match &image.chosen {
        Some(chosen) => {
            let start = chosen.start.ok_or(Malformed)?.into();
            Phase::Chosen { server: name(&chosen.server)?, start, incarnation: chosen.incarnation }
        }
        None if image.intended => Phase::Intended,
        None => Phase::Settled,
    };
    let mut history = History::default();
    for start in &image.history {
        history.begin(Term(start.term), Position(start.position));
    }
    let seats: Result<_, _> = image.seats.iter().map(|seat| name(seat)).collect();
    let group = Group {
        seats: seats?,
        term: Term(image.term),
        phase,
        primary: image.primary.as_deref().map(name).transpose()?,
        history,
        leases: image.leases.iter().cloned().collect(),
        generation: image.generation,
        reduced_index: image.reduced_index,
        ended_index: image.ended_index,
        uncovered_index: image.uncovered_index,
        candidate: image.candidate.as_ref().map(read_candidate).transpose()?,
    };
    Ok((name(&image.name)?, group))
}

fn read_candidate(image: &CandidateImage) -> Result<Candidate, Report<Malformed>> {
    Ok(Candidate { server: name(&image.server)?, above: image.above.map(Term) })
}

pub(crate) fn write_server((name, server): (&Name, &Server)) -> ServerImage {
    ServerImage { announce: Some(server.to_announce(name)), expired: server.expired }
}

pub(crate) fn read_server(image: &ServerImage) -> Result<(Name, Server), Report<Malformed>> {
    let announce = image.announce.as_ref().ok_or(Malformed)?;
    let (name, server) = Server::from_announce(announce).ok_or(Malformed)?;
    Ok((name, Server { expired: image.expired, ..server }))
}

fn write_change((change, answer): (&str, &Answer)) -> ChangeImage {
    let mut image = ChangeImage { change: change.to_owned(), ..ChangeImage::default() };
    match answer {
        Answer::Accepted { version, index } => {
            image.set_kind(Kind::Accepted);
            image.version = *version;
            image.index = *index;
        }
        Answer::Conflict { version } => {
            image.set_kind(Kind::Conflict);
            image.version = *version;
        }
        Answer::Invalid(faults) => {
            image.set_kind(Kind::Invalid);
            image.faults = serde_json::to_string(faults).expect("faults can be written as JSON");
        }
    }
    image
}

fn read_answer(image: &ChangeImage) -> Result<Answer, Report<Malformed>> {
    match image.kind() {
        Kind::Accepted => Ok(Answer::Accepted { version: image.version, index: image.index }),
        Kind::Conflict => Ok(Answer::Conflict { version: image.version }),
        Kind::Invalid => {
            let faults: Vec<Violation> = read_json(&image.faults)?;
            Ok(Answer::Invalid(faults))
        }
        Kind::Missing => Err(Report::new(Malformed)),
    }
}
