//! Announcements of backend servers over HTTP.

mod cluster;

use cluster::Cluster;
use reqwest::StatusCode;
use serde_json::{Value, json};

fn announcement(fields: &Value) -> Value {
    let mut body = json!({"server": "s1", "incarnation": 7, "group": "g",
        "address": "127.0.0.1:7001", "zone": "z", "connections": 16, "slots": 2});
    for (field, value) in fields.as_object().expect("fields") {
        body[field] = value.clone();
    }
    body
}

async fn announce(cluster: &Cluster, place: usize, fields: Value) -> Option<StatusCode> {
    let answer = cluster.post(place, "/v1/announce", &announcement(&fields)).await;
    answer.map(|(status, _)| status)
}

/// Waits until a member knows the server.
async fn wait_for_server(cluster: &Cluster, place: usize) {
    loop {
        let (_, status) = cluster.get(place, "/v1/status").await.expect("a status");
        if status.to_string().contains("s1") {
            return;
        }
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
}

/// An announcement of a leaving server was acknowledged although it took no effect.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_leaving_server_is_acknowledged_only_once_its_leave_is_in_the_log() {
    let cluster = Cluster::start().await;
    let leader = cluster.leader().await;
    let (status, _) = cluster.change(leader, "one", 0, &json!({"g": {"servers": 3}})).await;
    assert_eq!(status, StatusCode::OK);
    assert_eq!(announce(&cluster, leader, json!({})).await, Some(StatusCode::OK));
    wait_for_server(&cluster, leader).await;

    cluster.handles[leader].as_ref().expect("runs").isolate(true);
    let leaving = announce(&cluster, leader, json!({"leaving": true})).await;
    assert_eq!(leaving, Some(StatusCode::SERVICE_UNAVAILABLE), "the leader has no quorum");

    cluster.handles[leader].as_ref().expect("runs").isolate(false);
    let other = (leader + 1) % 3;
    wait_for_server(&cluster, other).await;
    // a server repeats its announcement until it is acknowledged
    while announce(&cluster, other, json!({"leaving": true})).await != Some(StatusCode::OK) {
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    }
    let (_, status) = cluster.get(other, "/v1/status").await.expect("a status");
    assert!(status.to_string().contains("\"leaving\":true"), "{status}");
}

/// Announcements that no server can have sent were stored, and hid those of the server.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn announcements_with_odd_values_are_refused() {
    let cluster = Cluster::start().await;
    let leader = cluster.leader().await;
    let odd = [
        json!({"slots": 0}),
        json!({"connections": 0}),
        json!({"slots": u32::MAX}),
        json!({"incarnation": u64::MAX}),
        json!({"address": "127.0.0.1:0"}),
        json!({"address": "127.0.0.1:70000"}),
        json!({"address": "0.0.0.0:7001"}),
        json!({"server": ""}),
        json!({"zone": "a b"}),
    ];
    for fields in odd {
        let status = announce(&cluster, leader, fields.clone()).await;
        assert!(status.is_some_and(|status| status.is_client_error()), "{fields}: {status:?}");
    }
    assert_eq!(announce(&cluster, leader, json!({})).await, Some(StatusCode::OK));
}
