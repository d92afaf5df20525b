//! Runs the command line against minimal fake members.

use std::net::SocketAddr;
use std::process::Output;
use std::sync::{Arc, Mutex};

use axum::extract::State;
use axum::http::StatusCode;
use axum::routing::{get, post};
use axum::{Json, Router};
use serde_json::{Value, json};

/// Fake member: its remaining answers to changes, last one first, and the change
/// requests that it received.
#[derive(Clone, Default)]
struct Member {
    answers: Arc<Mutex<Vec<(u16, Value)>>>,
    received: Arc<Mutex<Vec<Value>>>,
}

async fn change(
    State(member): State<Member>,
    Json(body): Json<Value>,
) -> (StatusCode, Json<Value>) {
    member.received.lock().unwrap().push(body);
    let (code, answer) = member.answers.lock().unwrap().pop().expect("an answer is left");
    (StatusCode::from_u16(code).unwrap(), Json(answer))
}

async fn start(answers: &[(u16, Value)]) -> (SocketAddr, Member) {
    let member = Member::default();
    member.answers.lock().unwrap().extend(answers.iter().rev().cloned());
    let config = || async { Json(json!({"version": 4, "index": 9, "content": "{}"})) };
    let status = || async {
        let entry = |name: &str, applied: u64| json!({"name": name, "applied": applied});
        let failover = json!({"group": "g", "term": 7, "intended_ms": 5_000, "chosen_ms": 5_040,
            "established_ms": 5_095});
        let entries = [entry("e1", 12), entry("e2", 12)];
        Json(json!({"index": 12, "entries": entries, "failovers": [failover]}))
    };
    let routes = Router::new()
        .route("/v1/changes", post(change))
        .route("/v1/config", get(config))
        .route("/v1/status", get(status))
        .with_state(member.clone());
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move { axum::serve(listener, routes).await });
    (address, member)
}

async fn run(admin: SocketAddr, arguments: &[&str]) -> Output {
    let mut command = tokio::process::Command::new(env!("CARGO_BIN_EXE_trefoilctl"));
    command.env_remove("TREFOIL_ADMIN").arg("--admin").arg(admin.to_string());
    command.args(arguments).output().await.unwrap()
}

fn lakeshore() -> String {
    concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/lakeshore").to_owned()
}

#[tokio::test]
async fn asks_again_under_the_same_id_when_an_answer_is_lost() {
    let lost = (503, json!({"error": "no leader", "retry_after_ms": 10, "not_run": false}));
    let accepted = (200, json!({"version": 5, "index": 12}));
    let (address, member) = start(&[lost, accepted]).await;
    let output = run(address, &["apply", "-f", &lakeshore(), "--wait"]).await;
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    let received = member.received.lock().unwrap();
    assert_eq!((received.len(), &received[0]["base"]), (2, &json!(4)));
    assert_eq!(received[0], received[1]);
    let text = String::from_utf8(output.stdout).unwrap();
    assert!(text.contains("version 5 is in force at 2 entries"), "{text}");
}

#[tokio::test]
async fn tells_a_conflict_and_the_current_version() {
    let (address, _member) = start(&[(409, json!({"version": 7}))]).await;
    let output = run(address, &["apply", "-f", &lakeshore(), "--base", "3"]).await;
    assert_eq!(output.status.code(), Some(1));
    let text = String::from_utf8(output.stderr).unwrap();
    assert!(text.contains("the current version is 7"), "{text}");
}

#[tokio::test]
async fn changes_nothing_by_a_bad_file() {
    let directory = tempfile::tempdir().unwrap();
    std::fs::write(directory.path().join("a.toml"), "[services.s]\nweight = 0\n").unwrap();
    let (address, member) = start(&[]).await;
    let output = run(address, &["apply", "-f", directory.path().to_str().unwrap()]).await;
    assert_eq!(output.status.code(), Some(1));
    assert!(member.received.lock().unwrap().is_empty());
    let text = String::from_utf8(output.stderr).unwrap();
    assert!(text.contains("a.toml:2: services.s.weight: a whole number of at least 1"), "{text}");
}

#[tokio::test]
async fn exits_with_two_for_invalid_arguments() {
    let (address, _member) = start(&[]).await;
    assert_eq!(run(address, &["apply"]).await.status.code(), Some(2));
    assert_eq!(run(address, &["nothing"]).await.status.code(), Some(2));
}

#[tokio::test]
async fn shows_what_would_change_and_the_status() {
    let (address, _member) = start(&[]).await;
    let output = run(address, &["diff", "-f", &lakeshore()]).await;
    let text = String::from_utf8(output.stdout).unwrap();
    assert!(text.contains("+ groups.entries-1 = "), "{text}");
    let output = run(address, &["status"]).await;
    let text = String::from_utf8(output.stdout).unwrap();
    for expected in ["e1", "12", "+40 ms", "+95 ms"] {
        assert!(text.contains(expected), "{expected}: {text}");
    }
}

fn ctl(arguments: &[&str]) -> Output {
    let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_trefoilctl"));
    command.env_remove("TREFOIL_ADMIN").args(arguments).output().unwrap()
}

#[test]
fn the_path_of_a_request_is_told_without_a_member() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("entry-1.log");
    let line = r#"{"time_ms":5,"msg":"a statement was late or not done","request":"r1"}"#;
    std::fs::write(&file, format!("{line}\nfree text\n")).unwrap();
    let file = file.to_str().unwrap();
    let output = ctl(&["path", "r1", file]);
    let text = String::from_utf8(output.stdout).unwrap();
    assert!(output.status.success() && text.contains("entry-1  a statement was late"), "{text}");
    assert!(String::from_utf8(output.stderr).unwrap().starts_with("1 lines are no"));
    assert_eq!(ctl(&["path", "r2", file]).status.code(), Some(1));
    assert_eq!(ctl(&["path", "r1", "/no/such/file"]).status.code(), Some(1));
    assert_eq!(ctl(&["path", "r1"]).status.code(), Some(2));
}

#[test]
fn a_command_that_needs_a_member_asks_for_its_address() {
    let output = ctl(&["get"]);
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8(output.stderr).unwrap().contains("--admin"));
}
