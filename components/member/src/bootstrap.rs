//! The first membership.
//!
//! Ids are drawn with the data folders, so they must be asked for. The member
//! with the lowest name asks all others; if all of them, and itself, hold no
//! log, it names the first membership. A host that lost its disk meets members
//! that do hold one, and waits until an operator adds it under its new id.

use base::prelude::*;
use slog::{info, warn};
use wire::quorum::{Member, Members};

use crate::host::Peer;
use crate::input::{Input, Sender};
use crate::link::Endpoint;
use crate::peers;

/// Wait between two rounds of questions.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Finds the first membership, if that is this member's task.
pub(crate) async fn find(peers: Vec<Peer>, endpoint: Endpoint, core: Sender) {
    let first = peers.iter().map(|peer| peer.name.as_str()).min();
    if first != Some(endpoint.own.name.as_str()) {
        return;
    }
    loop {
        match survey(&peers, &endpoint).await {
            Survey::Fresh(members) => {
                info!(endpoint.log, "names the first membership";
                    "members" => members.members.len());
                drop(core.send(Input::Bootstrap(members)).await);
                return;
            }
            Survey::Held(name) => {
                warn!(endpoint.log, "another member holds a log: waits to be added";
                    "holder" => name);
                return;
            }
            Survey::Incomplete => tokio::time::sleep(RETRY_INTERVAL).await,
        }
    }
}

enum Survey {
    /// All members, and none holds a log.
    Fresh(Members),
    /// A member that holds a log.
    Held(String),
    /// Not all answered.
    Incomplete,
}

fn voter(member: Member) -> Member {
    Member { voter: true, beacon: String::new(), ..member }
}

async fn survey(peers: &[Peer], endpoint: &Endpoint) -> Survey {
    let mut members = vec![voter(endpoint.own.clone())];
    let others = peers.iter().filter(|peer| peer.name.as_str() != endpoint.own.name);
    let asked =
        others.map(|peer| async move { (peer, peers::exchange_hello(peer.link, endpoint).await) });
    let mut complete = true;
    for (peer, exchanged) in futures::future::join_all(asked).await {
        let Ok((hello, _, _)) = exchanged else {
            complete = false;
            continue;
        };
        let Some(member) = hello.member else { return Survey::Incomplete };
        if !hello.fresh {
            return Survey::Held(member.name);
        }
        complete &= member.name == peer.name.as_str();
        members.push(voter(member));
    }
    if complete { Survey::Fresh(Members { members }) } else { Survey::Incomplete }
}
