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
use crate::link::End;
use crate::peers;

/// Wait between two rounds of questions.
const PAUSE: Duration = Duration::from_millis(100);

/// Finds the first membership, if that is this member's task.
pub(crate) async fn find(peers: Vec<Peer>, end: End, core: Sender) {
    let first = peers.iter().map(|peer| peer.name.as_str()).min();
    if first != Some(end.own.name.as_str()) {
        return;
    }
    loop {
        match ask(&peers, &end).await {
            Found::All(members) => {
                info!(end.log, "names the first membership"; "members" => members.members.len());
                drop(core.send(Input::Bootstrap(members)).await);
                return;
            }
            Found::Log(name) => {
                warn!(end.log, "another member holds a log: waits to be added"; "holder" => name);
                return;
            }
            Found::Some => tokio::time::sleep(PAUSE).await,
        }
    }
}

enum Found {
    /// All members, and none holds a log.
    All(Members),
    /// A member that holds a log.
    Log(String),
    /// Not all answered.
    Some,
}

fn voter(member: Member) -> Member {
    Member { voter: true, beacon: String::new(), ..member }
}

async fn ask(peers: &[Peer], end: &End) -> Found {
    let mut members = vec![voter(end.own.clone())];
    let others = peers.iter().filter(|peer| peer.name.as_str() != end.own.name);
    let asked = others.map(|peer| async move { (peer, peers::greet(peer.link, end).await) });
    let mut complete = true;
    for (peer, greeted) in futures::future::join_all(asked).await {
        let Ok((hello, _, _)) = greeted else {
            complete = false;
            continue;
        };
        let Some(member) = hello.member else { return Found::Some };
        if !hello.fresh {
            return Found::Log(member.name);
        }
        complete &= member.name == peer.name.as_str();
        members.push(voter(member));
    }
    if complete { Found::All(Members { members }) } else { Found::Some }
}
