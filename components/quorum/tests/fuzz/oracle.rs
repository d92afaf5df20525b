//! Oracle: the list of committed entries, and the invariants that hold under all faults.

use std::collections::{BTreeMap, BTreeSet};

use wire::quorum::{Entry, Members, entry};

/// Expected state of the cluster.
#[derive(Debug, Default)]
pub struct Oracle {
    /// Term and digest of each committed entry; the first has index one.
    committed: Vec<(u64, u64)>,
    /// Leader of each term.
    leaders: BTreeMap<u64, u64>,
    /// Committed proposals, by member and token.
    proposals: BTreeSet<(u64, u64)>,
    /// Proposals reported as not run, by member and token.
    not_run: BTreeSet<(u64, u64)>,
    /// Number of entries committed when a read was requested, by member and token.
    reads: BTreeMap<(u64, u64), u64>,
    /// Newest committed membership.
    pub members: Members,
    /// Maximum number of voters.
    max_voters: usize,
    /// Number of proposals that their member has seen applied.
    pub acknowledged: u64,
    /// Number of confirmed reads.
    pub confirmed: u64,
}

/// Digest (FNV-1a) of a list of entries, from the digest `before` of all but the last entry.
pub fn digest(before: u64, entry: &Entry) -> u64 {
    let body = match &entry.body {
        Some(entry::Body::Command(bytes)) => format!("{bytes:?}"),
        Some(entry::Body::Members(members)) => format!("{members:?}"),
        None => String::new(),
    };
    let text =
        format!("{before} {} {} {} {} {body}", entry.index, entry.term, entry.origin, entry.token);
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |hash: u64, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

impl Oracle {
    /// Creates an oracle for a cluster with the given maximum number of voters.
    pub fn new(max_voters: usize) -> Self {
        Self { max_voters, ..Self::default() }
    }

    pub fn len(&self) -> u64 {
        self.committed.len() as u64
    }

    pub fn digest_at(&self, index: u64) -> u64 {
        index.checked_sub(1).map_or(0, |position| self.committed[position as usize].1)
    }

    /// Checks an entry that a member has applied, and the digest of all entries it has applied.
    pub fn applied(&mut self, member: u64, entry: &Entry, digest: u64) {
        if entry.index <= self.len() {
            assert_eq!(
                digest,
                self.digest_at(entry.index),
                "committed entry {} changed",
                entry.index
            );
            return;
        }
        assert_eq!(entry.index, self.len() + 1, "member {member} applied past a gap");
        self.committed.push((entry.term, digest));
        if let Some(entry::Body::Members(members)) = &entry.body {
            let voters = members.members.iter().filter(|member| member.voter).count();
            assert!(voters <= self.max_voters, "{voters} members are voters");
            self.members = members.clone();
        }
        if entry.origin != 0 && matches!(entry.body, Some(entry::Body::Command(_))) {
            let proposal = (entry.origin, entry.token);
            assert!(self.proposals.insert(proposal), "a proposal is in the log twice");
            assert!(!self.not_run.contains(&proposal), "a proposal that was not run ran");
        }
    }

    pub fn restored(&self, index: u64, digest: u64) {
        assert!(index <= self.len(), "a snapshot includes uncommitted entries");
        assert_eq!(digest, self.digest_at(index), "a snapshot differs from the log");
    }

    pub fn leads(&mut self, term: u64, member: u64) {
        let leader = *self.leaders.entry(term).or_insert(member);
        assert_eq!(leader, member, "two leaders in term {term}");
    }

    pub fn not_run(&mut self, member: u64, token: u64) {
        assert!(!self.proposals.contains(&(member, token)), "a proposal that was not run ran");
        self.not_run.insert((member, token));
    }

    pub fn read(&mut self, member: u64, token: u64) {
        self.reads.insert((member, token), self.len());
    }

    pub fn confirmed(&mut self, member: u64, token: u64, index: u64) {
        let Some(needed) = self.reads.remove(&(member, token)) else {
            panic!("a read was confirmed twice or never requested");
        };
        assert!(index >= needed, "a read saw {index} of {needed} committed entries");
        self.confirmed += 1;
    }
}
