//! Links between members that go silent without being closed.

mod cluster;

use std::net::SocketAddr;

use cluster::{Cluster, bind};
use member::Peer;
use reqwest::{Client, StatusCode};
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Forwards connections to `target`. Each change of `mutes` mutes the connections
/// open at that time: they stay open but forward nothing, while new connections
/// are forwarded.
async fn proxy(target: SocketAddr, mutes: watch::Receiver<u64>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((near, _)) = listener.accept().await {
            let Ok(far) = TcpStream::connect(target).await else { continue };
            let (near, far) = (near.into_split(), far.into_split());
            let generation = *mutes.borrow();
            tokio::spawn(forward(near.0, far.1, generation, mutes.clone()));
            tokio::spawn(forward(far.0, near.1, generation, mutes.clone()));
        }
    });
    address
}

async fn forward(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    generation: u64,
    mutes: watch::Receiver<u64>,
) {
    let mut bytes = vec![0; 16 << 10];
    while let Ok(read @ 1..) = from.read(&mut bytes).await {
        if *mutes.borrow() != generation {
            // bytes on a muted connection are read and discarded
            continue;
        }
        if to.write_all(&bytes[..read]).await.is_err() {
            return;
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn members_find_each_other_again_when_all_their_links_go_silent() {
    let data = tempfile::tempdir().unwrap();
    let (mute, mutes) = watch::channel(0);
    let (mut bounds, mut peers) = (Vec::new(), Vec::new());
    for name in ["a", "b", "c"] {
        let bound = bind(name, data.path(), None).await;
        let link = proxy(bound.addresses().link, mutes.clone()).await;
        peers.push(Peer { name: name.parse().unwrap(), link, web: bound.addresses().web });
        bounds.push(bound);
    }
    let start = |bound: member::Bound| bound.start(peers.clone(), axum::Router::new()).unwrap();
    let handles = bounds.into_iter().map(|bound| Some(start(bound))).collect();
    let cluster = Cluster { data, peers: peers.clone(), handles, client: Client::new() };
    let leader = cluster.leader().await;
    let groups = json!({ "g1": { "servers": 3 } });
    assert_eq!(cluster.change(leader, "one", 0, &groups).await.0, StatusCode::OK);
    for round in 1..=2 {
        mute.send_replace(round);
        let place = (leader + round as usize) % 3;
        let change = cluster.change(place, &format!("after-{round}"), round, &groups).await;
        assert_eq!(change.0, StatusCode::OK, "round {round}");
    }
}
