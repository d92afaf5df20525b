//! From seeds to a membership.
//!
//! Seeds found the first membership: each asks the others, and if all of them hold
//! no log, the one with the lowest address names them and itself. Any other
//! member that knows no leader dials seeds and members, whose leader then adds
//! it; that holds for a new host, for one that lost its disk, and for one that
//! was removed while it was away.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;

use base::prelude::*;
use slog::info;
use wire::quorum::{Member, Members};

use crate::host::Seeds;
use crate::input::{Input, Sender};
use crate::link::Endpoint;
use crate::peers;

/// Wait between two rounds while there is something to do.
const DIAL_INTERVAL: Duration = Duration::from_millis(150);

/// Wait between two looks at whether there is.
const IDLE_INTERVAL: Duration = Duration::from_millis(500);

/// Runs as long as the member does.
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

fn others(seeds: &Seeds, own: Option<SocketAddr>) -> Vec<SocketAddr> {
    let mut links = seeds.links.borrow().clone();
    links.retain(|link| Some(*link) != own);
    links
}

/// Founds the first membership, if that is this member's task.
async fn bootstrap(seeds: &Seeds, endpoint: &Endpoint, core: &Sender) {
    let own: Option<SocketAddr> = endpoint.own.link.parse().ok();
    let Some(own) = own.filter(|own| seeds.links.borrow().contains(own)) else { return };
    while endpoint.fresh.load(Ordering::Acquire) {
        match survey(seeds, endpoint, own).await {
            Survey::Incomplete => tokio::time::sleep(DIAL_INTERVAL).await,
            Survey::Held { link } => {
                info!(endpoint.log, "another member holds a log: asks to join"; "link" => %link);
                return;
            }
            Survey::Fresh { first, members } if first == own => {
                info!(endpoint.log, "names the first membership"; "members" => members.len());
                drop(core.send(Input::Bootstrap(Members { members })).await);
                return;
            }
            Survey::Fresh { .. } => return,
        }
    }
}

/// What the seeds are.
enum Survey {
    /// Not all answered.
    Incomplete,
    /// One of them holds a log.
    Held { link: SocketAddr },
    /// None does; those that can be members, and the lowest address of these.
    Fresh { first: SocketAddr, members: Vec<Member> },
}

/// Asks all other seeds. A host without a disk stands by and is no member.
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

/// Dials the seeds, so that the leader hears of this member.
async fn dial_seeds(seeds: &Seeds, endpoint: &Endpoint) {
    let own = endpoint.own.link.parse().ok();
    let dial = |link| async move { drop(peers::exchange_hello(link, endpoint).await) };
    futures::future::join_all(others(seeds, own).into_iter().map(dial)).await;
}
