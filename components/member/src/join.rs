//! Bootstrap from seeds, and joining an existing membership.
//!
//! Seeds bootstrap the first membership: each asks the others, and if no seed holds a
//! log, the seed that has the lowest address of those with a disk proposes a membership
//! of all seeds with a disk. Any other member without a leader dials the known
//! seeds and members, whose leader then adds it. This covers a new host, a host
//! that lost its disk, and a host that was removed while it was unreachable.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;

use base::prelude::*;
use slog::info;
use wire::quorum::{Member, Members};

use crate::host::Seeds;
use crate::input::{Input, Sender};
use crate::link::Endpoint;
use crate::peers;

/// Delay between two rounds of dialling while this member bootstraps or joins.
const DIAL_INTERVAL: Duration = Duration::from_millis(150);

/// Delay between two checks whether this member must join.
const IDLE_INTERVAL: Duration = Duration::from_millis(500);

/// Bootstraps or joins a membership; runs until the member stops.
pub(crate) async fn run(seeds: Seeds, endpoint: Endpoint, core: Sender) {
    if seeds.founding && endpoint.fresh.load(Ordering::Acquire) {
        bootstrap(&seeds, &endpoint, &core).await;
    }
    loop {
        let wants_to_join = endpoint.wants_to_join.load(Ordering::Acquire);
        if wants_to_join {
            dial_seeds(&seeds, &endpoint).await;
        }
        tokio::time::sleep(if wants_to_join { DIAL_INTERVAL } else { IDLE_INTERVAL }).await;
    }
}

/// Addresses of the seeds except this member's own.
fn others(seeds: &Seeds, own: Option<SocketAddr>) -> Vec<SocketAddr> {
    let mut links = seeds.links.borrow().clone();
    links.retain(|link| Some(*link) != own);
    links
}

/// Bootstraps the first membership if no seed holds a log and this member has the lowest
/// address among the seeds that have a disk.
async fn bootstrap(seeds: &Seeds, endpoint: &Endpoint, core: &Sender) {
    let own: Option<SocketAddr> = endpoint.own.link.parse().ok();
    let Some(own) = own.filter(|own| seeds.links.borrow().contains(own)) else { return };
    while endpoint.fresh.load(Ordering::Acquire) {
        match survey(seeds, endpoint, own).await {
            Survey::Incomplete => tokio::time::sleep(DIAL_INTERVAL).await,
            Survey::Held { link } => {
                info!(endpoint.log, "another member holds a log; asking to join"; "link" => %link);
                return;
            }
            Survey::Fresh { first, members } if first == own => {
                info!(endpoint.log, "bootstrapping the first membership";
                    "members" => members.len());
                drop(core.send(Input::Bootstrap(Members { members })).await);
                return;
            }
            Survey::Fresh { .. } => return,
        }
    }
}

/// State of the seeds.
enum Survey {
    /// At least one seed did not answer.
    Incomplete,
    /// The seed at this address holds a log.
    Held { link: SocketAddr },
    /// No seed holds a log. Contains the seeds that can be members, and the lowest
    /// address among them.
    Fresh { first: SocketAddr, members: Vec<Member> },
}

/// Asks all other seeds for their state. A standby host without a disk answers
/// without a member and is not counted.
async fn survey(seeds: &Seeds, endpoint: &Endpoint, own: SocketAddr) -> Survey {
    let mut members = vec![Member { voter: true, ..endpoint.own.clone() }];
    let mut first = own;
    for link in others(seeds, Some(own)) {
        let Ok((hello, _, _)) = peers::exchange_hello(link, endpoint).await else {
            return Survey::Incomplete;
        };
        if !hello.fresh {
            return Survey::Held { link };
        }
        if let Some(member) = hello.member {
            first = first.min(link);
            members.push(Member { voter: true, ..member });
        }
    }
    Survey::Fresh { first, members }
}

/// Dials the seeds, so that the leader learns of this member.
async fn dial_seeds(seeds: &Seeds, endpoint: &Endpoint) {
    let own = endpoint.own.link.parse().ok();
    let dial = |link| async move { drop(peers::exchange_hello(link, endpoint).await) };
    futures::future::join_all(others(seeds, own).into_iter().map(dial)).await;
}
