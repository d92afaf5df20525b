//! Members of one process on loopback, whose leader goes.

mod trio;

use reqwest::StatusCode;
use serde_json::json;
use trio::Trio;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn keeps_an_accepted_change_when_the_leader_is_killed() {
    let mut trio = Trio::start().await;
    let leader = trio.leader().await;
    let follower = (leader + 1) % 3;
    let (status, answer) = trio.change(follower, "one", 0, &json!({"g": {"servers": 3}})).await;
    assert_eq!((status, &answer["version"]), (StatusCode::OK, &json!(1)), "{answer}");

    trio.handles[leader].take().expect("runs").kill();
    assert_eq!(trio.version(follower).await, 1);
    let (status, answer) = trio.change(follower, "two", 0, &json!({})).await;
    assert_eq!((status, &answer["version"]), (StatusCode::CONFLICT, &json!(1)), "{answer}");
    let (status, again) = trio.change(follower, "one", 0, &json!({"g": {"servers": 3}})).await;
    assert_eq!((status, &again["version"]), (StatusCode::OK, &json!(1)), "{again}");
    let (status, answer) = trio.change(follower, "three", 1, &json!({})).await;
    assert_eq!((status, &answer["version"]), (StatusCode::OK, &json!(2)), "{answer}");

    trio.restart(leader).await;
    assert_eq!(trio.version(leader).await, 2);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn hands_over_at_a_planned_stop() {
    let mut trio = Trio::start().await;
    let leader = trio.leader().await;
    let (status, _) = trio.change(leader, "one", 0, &json!({})).await;
    assert_eq!(status, StatusCode::OK);
    trio.handles[leader].take().expect("runs").stop().await;
    let next = trio.leader().await;
    assert_ne!(next, leader);
    assert_eq!(trio.version(next).await, 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn confirms_nothing_old_when_it_returns_from_isolation() {
    let trio = Trio::start().await;
    let leader = trio.leader().await;
    let other = (leader + 1) % 3;
    let (status, _) = trio.change(leader, "one", 0, &json!({})).await;
    assert_eq!(status, StatusCode::OK);

    trio.handles[leader].as_ref().expect("runs").isolate(true);
    let (status, answer) = trio.change(other, "two", 1, &json!({})).await;
    assert_eq!((status, &answer["version"]), (StatusCode::OK, &json!(2)), "{answer}");
    let (status, answer) = trio.get(leader, "/v1/config").await.expect("an answer");
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE, "{answer}");

    trio.handles[leader].as_ref().expect("runs").isolate(false);
    assert_eq!(trio.version(leader).await, 2);
    let (status, answer) = trio.change(leader, "three", 1, &json!({})).await;
    assert_eq!((status, &answer["version"]), (StatusCode::CONFLICT, &json!(2)), "{answer}");
}
