//! Loss, planned stop and isolation of the leader of a cluster.

mod cluster;

use cluster::Cluster;
use reqwest::StatusCode;
use serde_json::json;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn keeps_an_accepted_change_when_the_leader_is_killed() {
    let mut cluster = Cluster::start().await;
    let leader = cluster.leader().await;
    let follower = (leader + 1) % 3;
    let (status, answer) = cluster.change(follower, "one", 0, &json!({"g": {"servers": 3}})).await;
    assert_eq!((status, &answer["version"]), (StatusCode::OK, &json!(1)), "{answer}");

    cluster.handles[leader].take().expect("runs").kill();
    assert_eq!(cluster.version(follower).await, 1);
    let (status, answer) = cluster.change(follower, "two", 0, &json!({})).await;
    assert_eq!((status, &answer["version"]), (StatusCode::CONFLICT, &json!(1)), "{answer}");
    let (status, again) = cluster.change(follower, "one", 0, &json!({"g": {"servers": 3}})).await;
    assert_eq!((status, &again["version"]), (StatusCode::OK, &json!(1)), "{again}");
    let (status, answer) = cluster.change(follower, "three", 1, &json!({})).await;
    assert_eq!((status, &answer["version"]), (StatusCode::OK, &json!(2)), "{answer}");

    cluster.restart(leader).await;
    assert_eq!(cluster.version(leader).await, 2);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn hands_over_at_a_planned_stop() {
    let mut cluster = Cluster::start().await;
    let leader = cluster.leader().await;
    let (status, _) = cluster.change(leader, "one", 0, &json!({})).await;
    assert_eq!(status, StatusCode::OK);
    cluster.handles[leader].take().expect("runs").stop().await;
    let next = cluster.leader().await;
    assert_ne!(next, leader);
    assert_eq!(cluster.version(next).await, 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn confirms_nothing_old_when_it_returns_from_isolation() {
    let cluster = Cluster::start().await;
    let leader = cluster.leader().await;
    let other = (leader + 1) % 3;
    let (status, _) = cluster.change(leader, "one", 0, &json!({})).await;
    assert_eq!(status, StatusCode::OK);

    cluster.handles[leader].as_ref().expect("runs").isolate(true);
    let (status, answer) = cluster.change(other, "two", 1, &json!({})).await;
    assert_eq!((status, &answer["version"]), (StatusCode::OK, &json!(2)), "{answer}");
    let (status, answer) = cluster.get(leader, "/v1/config").await.expect("an answer");
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE, "{answer}");

    cluster.handles[leader].as_ref().expect("runs").isolate(false);
    assert_eq!(cluster.version(leader).await, 2);
    let (status, answer) = cluster.change(leader, "three", 1, &json!({})).await;
    assert_eq!((status, &answer["version"]), (StatusCode::CONFLICT, &json!(2)), "{answer}");
}
