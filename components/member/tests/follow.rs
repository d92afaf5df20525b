//! Entries that follow the log through a member.

mod cluster;

use control::lease::LEASE_DURATION;
use std::time::Duration;

use cluster::{Cluster, TIMEOUT};
use link::{Peer, Purpose, Reader, Writer};
use reqwest::StatusCode;
use serde_json::json;
use wire::control::{Confirm, Down, Follow, Heartbeat, Up, down, up};
use wire::log::{Join, command};

async fn follow(cluster: &Cluster, place: usize, applied: u64) -> (Reader, Writer) {
    let key = cluster::settings("x", cluster.data.path(), None).key;
    let peer = Peer::new("entry", 1, Purpose::Control);
    let dialled = link::dial(cluster.peers[place].link, &peer, &key).await;
    let (_, reader, mut writer) = dialled.expect("a link");
    let join = Join {
        entry: "entry".to_owned(),
        incarnation: 1,
        address: "127.0.0.1:9".to_owned(),
        zone: "zone".to_owned(),
        web: String::new(),
        sole: false,
        weight: 0,
    };
    let follow = Follow { join: Some(join), applied, ..Follow::default() };
    writer.send(&Up { body: Some(up::Body::Follow(follow)) }).await.expect("sent");
    (reader, writer)
}

async fn next(reader: &mut Reader) -> down::Body {
    let next = tokio::time::timeout(TIMEOUT, reader.next::<Down>()).await;
    let down = next.expect("in time").expect("a link").expect("a message");
    down.body.expect("a body")
}

async fn send_heartbeat(reader: &mut Reader, writer: &mut Writer, sequence: u64) -> Confirm {
    let heartbeat = Heartbeat { sequence, applied: 0, returned: Vec::new() };
    writer.send(&Up { body: Some(up::Body::Heartbeat(heartbeat)) }).await.expect("sent");
    loop {
        if let down::Body::Confirm(confirm) = next(reader).await {
            return confirm;
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn sends_commands_in_order_and_confirms_heartbeats() {
    let cluster = Cluster::start().await;
    let leader = cluster.leader().await;
    let (status, _) = cluster.change(leader, "one", 0, &json!({})).await;
    assert_eq!(status, StatusCode::OK);
    for place in 0..3 {
        let (mut reader, mut writer) = follow(&cluster, place, 0).await;
        let (mut index, mut joined, mut configured) = (0, false, false);
        while !joined || !configured {
            let down::Body::Entries(entries) = next(&mut reader).await else { continue };
            for entry in entries.entries {
                assert_eq!(entry.index, index + 1);
                index = entry.index;
                let body = entry.command.and_then(|command| command.body);
                joined |= matches!(body, Some(command::Body::Join(_)));
                configured |= matches!(body, Some(command::Body::Configure(_)));
            }
        }
        let confirm = send_heartbeat(&mut reader, &mut writer, 7).await;
        assert_eq!(
            (confirm.sequence, u128::from(confirm.lease_ms)),
            (7, LEASE_DURATION.as_millis())
        );
        assert!(confirm.index >= index, "{confirm:?} before {index}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn confirms_nothing_without_a_quorum() {
    let mut cluster = Cluster::start().await;
    let leader = cluster.leader().await;
    let (mut reader, mut writer) = follow(&cluster, leader, 0).await;
    send_heartbeat(&mut reader, &mut writer, 1).await;
    for other in (0..3).filter(|place| *place != leader) {
        cluster.handles[other].take().expect("runs").kill();
    }
    let confirmed = tokio::time::timeout(Duration::from_secs(1), async {
        loop {
            let heartbeat = Heartbeat { sequence: 2, applied: 0, returned: Vec::new() };
            let heartbeat = Up { body: Some(up::Body::Heartbeat(heartbeat)) };
            if writer.send(&heartbeat).await.is_err() {
                return false;
            }
            match reader.next::<Down>().await {
                Ok(Some(Down { body: Some(down::Body::Confirm(_)) })) => return true,
                Ok(Some(Down { body: Some(down::Body::Refuse(_)) }) | None) | Err(_) => {
                    return false;
                }
                Ok(Some(_)) => {}
            }
        }
    });
    assert!(!confirmed.await.unwrap_or(false), "a heartbeat was confirmed without a quorum");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn shows_the_progress_of_the_other_members() {
    let cluster = Cluster::start().await;
    let leader = cluster.leader().await;
    let (status, answer) = cluster.change(leader, "one", 0, &json!({})).await;
    assert_eq!(status, StatusCode::OK);
    let start = std::time::Instant::now();
    for place in 0..3 {
        loop {
            let (_, status) = cluster.get(place, "/v1/status").await.expect("an answer");
            let members = status["members"].as_array().expect("a list");
            let heard = members.iter().filter(|m| m["beacon"]["index"] == answer["index"]);
            if heard.count() == 2 {
                break;
            }
            assert!(start.elapsed() < TIMEOUT, "{status}");
            tokio::time::sleep(cluster::POLL_INTERVAL).await;
        }
    }
}

/// Reads an image, or a part of it, and commands, and returns the index that the entry has
/// reached once a heartbeat is confirmed.
async fn reach(reader: &mut Reader, writer: &mut Writer) -> (u64, bool) {
    let heartbeat = Heartbeat { sequence: 1, applied: 0, returned: Vec::new() };
    writer.send(&Up { body: Some(up::Body::Heartbeat(heartbeat)) }).await.expect("sent");
    let (mut index, mut image, mut confirmed) = (0, Vec::new(), None);
    while confirmed.is_none_or(|confirmed| index < confirmed) {
        match next(reader).await {
            down::Body::Image(piece) => {
                assert_eq!(piece.offset, image.len() as u64);
                image.extend_from_slice(&piece.bytes);
                if image.len() as u64 == piece.length {
                    index = control::State::decode(&image).expect("an image").index;
                    assert_eq!(index, piece.index);
                }
            }
            down::Body::Entries(entries) => {
                for entry in entries.entries {
                    assert_eq!(entry.index, index + 1, "no gap after the image");
                    index = entry.index;
                }
            }
            down::Body::Confirm(confirm) => confirmed = Some(confirm.index),
            _ => {}
        }
    }
    (index, !image.is_empty())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entries_that_start_late_get_a_recent_image_and_the_commands_after_it() {
    let cluster = Cluster::start().await;
    let leader = cluster.leader().await;
    for version in 0..80 {
        let (status, _) = cluster.change(leader, &format!("c{version}"), version, &json!({})).await;
        assert_eq!(status, StatusCode::OK);
    }
    let mut last = 0;
    for version in 80..83 {
        let (mut reader, mut writer) = follow(&cluster, leader, 0).await;
        let (index, has_image) = reach(&mut reader, &mut writer).await;
        assert!(has_image && index > last, "{index} after {last}");
        last = index;
        let (status, _) = cluster.change(leader, &format!("c{version}"), version, &json!({})).await;
        assert_eq!(status, StatusCode::OK);
    }
}

/// Guards against an entry that waits for an index of commands that don't concern it and so
/// are not sent, and against a state without the entry itself.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_entry_that_gets_updates_reaches_each_confirmed_index() {
    let cluster = Cluster::start().await;
    let leader = cluster.leader().await;
    let key = cluster::settings("x", cluster.data.path(), None).key;
    let dialled =
        link::dial(cluster.peers[leader].link, &Peer::new("own", 1, Purpose::Control), &key).await;
    let (_, mut reader, mut writer) = dialled.expect("a link");
    let join = Join {
        entry: "own".to_owned(),
        incarnation: 1,
        address: "127.0.0.1:8".to_owned(),
        zone: "zone".to_owned(),
        ..Join::default()
    };
    let request = Follow { join: Some(join), updates: true, ..Follow::default() };
    writer.send(&Up { body: Some(up::Body::Follow(request)) }).await.expect("sent");
    let mut state = control::State::default();
    let mut incomplete = None;
    let mut sent_updates = 0;
    for round in 0..6 {
        // the joins of others and rejected changes concern no other entry
        let (status, _) = cluster.change(leader, &format!("c{round}"), 9, &json!({})).await;
        assert_eq!(status, StatusCode::CONFLICT);
        let (other, _writer) = follow(&cluster, leader, 0).await;
        let heartbeat =
            Heartbeat { sequence: round + 1, applied: state.index, returned: Vec::new() };
        writer.send(&Up { body: Some(up::Body::Heartbeat(heartbeat)) }).await.expect("sent");
        let mut confirmed = None;
        while confirmed.is_none_or(|confirmed| state.index < confirmed) {
            match next(&mut reader).await {
                down::Body::Image(image) => {
                    assert!(image.partial && image.bytes.len() as u64 == image.length);
                    incomplete = Some(control::State::decode(&image.bytes).expect("an image"));
                }
                down::Body::Update(update) => {
                    let complete = incomplete.take().unwrap_or(state);
                    assert!(update.base <= complete.index, "a gap");
                    state = complete;
                    state.update(&update).expect("an update");
                    sent_updates += 1;
                }
                down::Body::Entries(_) => panic!("commands were not asked for"),
                down::Body::Confirm(confirm) => confirmed = Some(confirm.index),
                _ => {}
            }
        }
        drop(other);
    }
    assert!(state.entries.contains_key("own"), "the entry itself");
    assert!(!state.entries.contains_key("entry"), "an entry that keeps nothing");
    assert!(sent_updates > 0);
}
