//! Dials control members until one of them answers.
//!
//! After a loss of power many members are down at once, and an address without a host
//! doesn't refuse a connection. The next member is therefore dialled before the attempt
//! at the one before has timed out, and the first that answers is followed.

use std::net::SocketAddr;

use base::prelude::*;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use link::{Key, Peer, Reader, Writer};
use rand::seq::SliceRandom;
use tokio::time::{sleep, timeout};

use super::progress::Failure;

/// Timeout for a dial; short enough that several dials can fail before the lease
/// expires.
const DIAL_TIMEOUT: Duration = Duration::from_millis(250);

/// Time without an answer after which the next member is dialled too.
const STAGGER: Duration = Duration::from_millis(60);

/// Number of members that are dialled before the next backoff.
const MEMBERS_PER_ROUND: usize = 3;

/// An established link, and the address of its member.
pub(super) type Dialled = (SocketAddr, Reader, Writer);

/// Members to dial next, in order: the one on this host, if there is one, then the others
/// in random order. The member that was followed last comes at the end.
pub fn order(
    mut known: Vec<SocketAddr>,
    local: Option<SocketAddr>,
    last: Option<SocketAddr>,
) -> Vec<SocketAddr> {
    known.extend(local);
    known.sort_unstable();
    known.dedup();
    known.shuffle(&mut rand::rng());
    known.sort_by_key(|&address| (Some(address) == last, Some(address) != local));
    known.truncate(MEMBERS_PER_ROUND);
    known
}

/// Dials members in the given order and returns the first link that is established.
///
/// # Errors
/// The failure of the last dial, if none succeeds.
pub(super) async fn dial_first(
    members: Vec<SocketAddr>,
    own: &Peer,
    key: &Key,
) -> Result<Dialled, Report<Failure>> {
    let mut rest = members.into_iter();
    let mut dials = FuturesUnordered::new();
    let mut failure = Report::new(Failure::Link);
    loop {
        if let Some(address) = rest.next() {
            dials.push(dial(address, own, key));
        }
        if dials.is_empty() {
            return Err(failure);
        }
        let more = rest.len() > 0;
        tokio::select! {
            Some(dialled) = dials.next() => match dialled {
                Ok(dialled) => return Ok(dialled),
                Err(report) => failure = report,
            },
            () = sleep(STAGGER), if more => {}
        }
    }
}

async fn dial(address: SocketAddr, own: &Peer, key: &Key) -> Result<Dialled, Report<Failure>> {
    let dialled = timeout(DIAL_TIMEOUT, link::dial(address, own, key)).await;
    let (_peer, reader, writer) =
        dialled.change_context(Failure::Link)?.change_context(Failure::Link)?;
    Ok((address, reader, writer))
}
