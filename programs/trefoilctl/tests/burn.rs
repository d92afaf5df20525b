//! Runs `burn` against a minimal fake member and fake entries.

use std::net::SocketAddr;
use std::process::Output;

use axum::routing::get;
use axum::{Json, Router};
use base::prelude::*;
use burn::{Event, Ledger, Report};
use config::{Declarations, Objective};
use serde_json::{Value, json};

const DECLARED: &str = r#"{"services": {"tags": {"objectives": [
    {"measure": "latency", "target": 0.99, "within_ms": 100}]}}}"#;

async fn serve(routes: Router) -> SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move { axum::serve(listener, routes).await });
    address
}

/// Starts a fake entry whose page counts `fast` requests of 10 ms and `slow` ones
/// of 500 ms; the objective is 100 ms.
async fn entry(name: &str, fast: u64, slow: u64) -> SocketAddr {
    let declarations: Declarations = serde_json::from_str(DECLARED).unwrap();
    let (service, declared) = declarations.services.first_key_value().unwrap();
    let objectives: &[Objective] = &declared.objectives;
    let mut ledger = Ledger::new();
    for index in 0..fast + slow {
        let latency = Duration::from_millis(if index < fast { 10 } else { 500 });
        let event = Event { latency, done: true, write: false, age: None };
        ledger.record(Instant::from_millis(1_000), service, objectives, event);
    }
    let page = ledger.page(Instant::from_millis(2_000), &Name::new(name).unwrap(), 1);
    serve(Router::new().route("/v1/burn", get(async move || Json(page)))).await
}

async fn member(entries: Value) -> SocketAddr {
    let config = async || Json(json!({"version": 1, "index": 1, "content": DECLARED}));
    let status = async move || Json(json!({"leads": true, "entries": entries}));
    serve(Router::new().route("/v1/config", get(config)).route("/v1/status", get(status))).await
}

async fn run(admin: SocketAddr, arguments: &[&str]) -> Output {
    let mut command = tokio::process::Command::new(env!("CARGO_BIN_EXE_trefoilctl"));
    command.env_remove("TREFOIL_ADMIN").arg("--admin").arg(admin.to_string()).arg("burn");
    command.args(arguments).output().await.unwrap()
}

#[tokio::test]
async fn merges_entries_and_names_those_without_a_page() {
    let (one, two) = (entry("e1", 8, 0).await, entry("e2", 9, 0).await);
    let other_process = entry("other", 100, 100).await;
    let entries = json!([
        {"name": "e1", "web": one}, {"name": "e2", "web": two},
        {"name": "e3", "web": "127.0.0.1:9"}, {"name": "e4", "web": null},
        {"name": "e5", "web": other_process},
    ]);
    let folder = tempfile::tempdir().unwrap();
    let html = folder.path().join("burn.html");
    let admin = member(entries).await;
    let output = run(admin, &["--json", "--check", "--html", html.to_str().unwrap()]).await;
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    let report: Report = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(report.rows[0].count.total(), 17);
    let missing: Vec<&str> = report.missing.iter().map(Name::as_str).collect();
    assert_eq!(missing, ["e3", "e4", "e5"]);
    assert!(std::fs::read_to_string(html).unwrap().contains("e4"));
    let text = String::from_utf8(run(admin, &[]).await.stdout).unwrap();
    assert!(text.contains("latency <= 100 ms") && text.contains("e3"), "{text}");
}

#[tokio::test]
async fn exits_with_three_for_an_alarm_only_when_asked_to_check() {
    let web = entry("e1", 1, 1).await;
    let admin = member(json!([{"name": "e1", "web": web}])).await;
    assert_eq!(run(admin, &[]).await.status.code(), Some(0));
    let output = run(admin, &["--check"]).await;
    assert_eq!(output.status.code(), Some(3), "{output:?}");
    assert!(String::from_utf8(output.stderr).unwrap().contains("a fast alarm stands"));
}

#[tokio::test]
async fn errors_when_no_entry_gives_a_page() {
    let admin = member(json!([{"name": "e1", "web": "127.0.0.1:9"}])).await;
    let output = run(admin, &["--json"]).await;
    assert_eq!(output.status.code(), Some(1), "{output:?}");
    assert!(output.stdout.is_empty());
}
