//! Membership changes by an operator: a lost host is replaced under a new id, after
//! which the cluster tolerates another loss.

mod cluster;

use cluster::{Cluster, POLL_INTERVAL, TIMEOUT};
use reqwest::StatusCode;
use serde_json::{Value, json};

/// Waits until a member reports three voters, none of which has the id `old`.
async fn wait_until_replaced(cluster: &Cluster, place: usize, old: &Value) {
    let start = std::time::Instant::now();
    while start.elapsed() < TIMEOUT {
        if let Some((_, status)) = cluster.get(place, "/v1/status").await {
            let members = status["members"].as_array().expect("a list");
            let voters = members.iter().filter(|member| member["voter"] == true).count();
            if voters == 3 && members.len() == 3 && members.iter().all(|m| m["id"] != *old) {
                return;
            }
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    panic!("not replaced: {:?}", cluster.get(place, "/v1/status").await);
}

async fn add(cluster: &Cluster, place: usize, new: usize) {
    let peer = cluster.peers[new].clone();
    let body = json!({ "action": "add", "name": peer.name, "link": peer.link, "web": peer.web });
    let start = std::time::Instant::now();
    while start.elapsed() < TIMEOUT {
        match cluster.post(place, "/v1/members", &body).await {
            Some((StatusCode::OK, _)) => return,
            Some((StatusCode::SERVICE_UNAVAILABLE, _)) | None => {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
            Some((status, answer)) => panic!("{status} {answer}"),
        }
    }
    panic!("not added");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn survives_a_second_loss_right_after_a_repair() {
    let mut cluster = Cluster::start().await;
    let leader = cluster.leader().await;
    let (lost, other) = ((leader + 1) % 3, (leader + 2) % 3);
    let (status, _) = cluster.change(leader, "one", 0, &json!({})).await;
    assert_eq!(status, StatusCode::OK);
    let (_, status) = cluster.get(lost, "/v1/status").await.expect("an answer");
    let old = status["id"].clone();

    cluster.handles[lost].take().expect("runs").kill();
    let folder = cluster.data.path().join(cluster.peers[lost].name.as_str());
    std::fs::remove_dir_all(folder).expect("removed");
    cluster.restart(lost).await;
    add(&cluster, leader, lost).await;
    wait_until_replaced(&cluster, leader, &old).await;

    cluster.handles[other].take().expect("runs").kill();
    let (status, answer) = cluster.change(lost, "two", 1, &json!({})).await;
    assert_eq!((status, &answer["version"]), (StatusCode::OK, &json!(2)), "{answer}");
    assert_eq!(cluster.version(lost).await, 2);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn does_not_start_anew_on_an_empty_disk() {
    let mut cluster = Cluster::start().await;
    let leader = cluster.leader().await;
    // the member with the lowest name bootstraps the first membership
    let (first, other) = (0, if leader == 0 { 1 } else { leader });
    let (status, _) = cluster.change(leader, "one", 0, &json!({})).await;
    assert_eq!(status, StatusCode::OK);
    cluster.handles[first].take().expect("runs").kill();
    let folder = cluster.data.path().join(cluster.peers[first].name.as_str());
    std::fs::remove_dir_all(folder).expect("removed");
    cluster.restart(first).await;

    assert_eq!(cluster.version(other).await, 1);
    tokio::time::sleep(std::time::Duration::from_millis(500)).await;
    let (_, status) = cluster.get(first, "/v1/status").await.expect("an answer");
    assert_eq!((&status["members"], &status["index"]), (&json!([]), &json!(0)), "{status}");
}

/// Number of members that a member knows.
async fn member_count(cluster: &Cluster, place: usize) -> usize {
    let (_, status) = cluster.get(place, "/v1/status").await.expect("an answer");
    status["members"].as_array().map_or(0, Vec::len)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn removes_the_leader_itself() {
    let mut cluster = Cluster::start().await;
    let leader = cluster.leader().await;
    let other = (leader + 1) % 3;
    let (status, _) = cluster.change(leader, "one", 0, &json!({})).await;
    assert_eq!(status, StatusCode::OK);
    let body = json!({ "action": "remove", "name": cluster.peers[leader].name });
    // The leader refuses the change until it has received a message from the third
    // member, which may start after the first election. On an overloaded host the
    // leader may lose its leadership before it can answer, and then reports an
    // unknown outcome.
    let mut refusals = Vec::new();
    loop {
        let (status, answer) = cluster.post(leader, "/v1/members", &body).await.expect("an answer");
        if status == StatusCode::OK {
            break;
        }
        let no_quorum = answer["error"] == json!("the membership stays: quorum");
        let unknown = answer["not_run"] == json!(false);
        assert!(no_quorum || unknown, "{answer}");
        if unknown && member_count(&cluster, other).await == 2 {
            break;
        }
        refusals.push(answer);
        assert!(refusals.len() < 100, "{refusals:?}");
        tokio::time::sleep(std::time::Duration::from_millis(100)).await;
    }
    cluster.handles[leader].take().expect("runs").kill();

    let (status, answer) = cluster.change(other, "two", 1, &json!({})).await;
    assert_eq!((status, &answer["version"]), (StatusCode::OK, &json!(2)), "{answer}");
    let (_, status) = cluster.get(other, "/v1/status").await.expect("an answer");
    assert_eq!(status["members"].as_array().map(Vec::len), Some(2), "{status}");
}
