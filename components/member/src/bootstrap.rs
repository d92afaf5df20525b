//! Bootstrap of the first membership from a static list of peers.
//!
//! Member ids are random and created with the data folders, so members must ask
//! each other for them. The member with the lowest name asks all others; if none
//! of them, itself included, holds a log, it proposes the first membership. A
//! host that lost its disk finds members with a log and waits until an operator
//! adds it under its new id.

use base::prelude::*;
use slog::{info, warn};
use wire::quorum::{Member, Members};

use crate::host::Peer;
use crate::input::{Input, Sender};
use crate::link::Endpoint;
use crate::peers;

/// Delay between two surveys of the peers.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Determines the first membership if this member has the lowest name.
pub(crate) async fn run(peers: Vec<Peer>, endpoint: Endpoint, core: Sender) {
    let first = peers.iter().map(|peer| peer.name.as_str()).min();
    if first != Some(endpoint.own.name.as_str()) {
        return;
    }
    loop {
        match survey(&peers, &endpoint).await {
            Survey::Fresh(members) => {
                info!(endpoint.log, "bootstrapping the first membership";
                    "members" => members.members.len());
                drop(core.send(Input::Bootstrap(members)).await);
                return;
            }
            Survey::Held(name) => {
                warn!(endpoint.log, "another member holds a log; waiting to be added";
                    "holder" => name);
                return;
            }
            Survey::Incomplete => tokio::time::sleep(RETRY_INTERVAL).await,
        }
    }
}

/// State of the peers.
enum Survey {
    /// All peers answered, and none holds a log.
    Fresh(Members),
    /// The named peer holds a log.
    Held(String),
    /// At least one peer did not answer, is not a member, or answered under another
    /// name.
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
