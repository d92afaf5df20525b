//! Callers of plain statements that are identified by a key of their team.

#[path = "../../pg/tests/server/mod.rs"]
mod server;

mod fake;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use base::prelude::*;
use bytes::{Buf, Bytes, BytesMut};
use config::{Declarations, Digest, Team};
use fake::{Bench, Shared, name};
use plain::{Access, Answer, Dialect, Malformed, Order, Problem, Query, Reply, Request, Statement};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Dialect of short messages: `S` and one byte of key start a session, `B` begins a
/// transaction, `R` reads. Errors of the proxy are answered by `!`, the end of an answer by
/// a dot.
#[derive(Debug)]
struct Bytewise;

fn query(statement: Statement) -> Request {
    let text = Bytes::from_static(b"text");
    Request::Query(Query { id: text.clone(), text, statement: Some(statement) })
}

impl Dialect for Bytewise {
    fn decode_request(&self, input: &mut BytesMut) -> Result<Option<Request>, Report<Malformed>> {
        if input.is_empty() || (input[0] == b'S' && input.len() < 2) {
            return Ok(None);
        }
        Ok(Some(match input.get_u8() {
            b'S' => {
                Request::Start { database: "seats".to_owned(), key: input.split_to(1).freeze() }
            }
            b'B' => query(Statement::Begin(Access::Write)),
            b'R' => query(Statement::Read),
            _ => Request::Terminate,
        }))
    }

    fn encode_answer(&self, answer: &Answer, out: &mut BytesMut) {
        match answer {
            Answer::Problem(Problem::Key) => out.extend_from_slice(b"!"),
            Answer::Ready(_) => out.extend_from_slice(b"."),
            _ => {}
        }
    }

    fn encode_order(&self, _order: &Order, _out: &mut BytesMut) {}

    fn decode_reply(&self, _input: &mut BytesMut) -> Result<Option<Reply>, Report<Malformed>> {
        Ok(None)
    }
}

async fn bench(keys: &[&str]) -> Bench {
    let shared = Arc::new(Shared::default());
    let keeper = fake::keeper("one", Arc::clone(&shared)).await;
    let (lease, keepers) = (Duration::from_mins(10), [("one", keeper)]);
    let bench = fake::bench_of(None, Some(Arc::new(Bytewise)), lease, shared, &keepers).await;
    declare(&bench, keys, |_| {});
    bench
}

/// Declares a team with these keys in a new version of the declarations.
fn declare(bench: &Bench, keys: &[&str], change: impl FnOnce(&mut Declarations)) {
    let keys: BTreeSet<_> = keys.iter().map(|key| Digest::of(key.as_bytes())).collect();
    bench.view.write(|state| {
        let mut declarations = Declarations::clone(&state.declarations);
        let team = Team { keys, ..Team::default() };
        declarations.teams = Some(BTreeMap::from([(name("yard"), team)]));
        change(&mut declarations);
        state.declarations = Arc::new(declarations);
        state.version += 1;
        state.index += 1;
    });
}

async fn connect(bench: &Bench, key: &str) -> TcpStream {
    let mut caller = TcpStream::connect(bench.address).await.unwrap();
    caller.write_all(format!("S{key}").as_bytes()).await.unwrap();
    caller
}

async fn rest(mut caller: TcpStream) -> String {
    let mut answers = String::new();
    caller.read_to_string(&mut answers).await.unwrap();
    answers
}

/// Guards against callers that are served under a key that no team holds.
#[tokio::test]
async fn a_caller_with_an_unknown_key_is_refused_at_once() {
    let bench = bench(&["k"]).await;
    assert_eq!(rest(connect(&bench, "x").await).await, "!");
    assert_eq!(connect(&bench, "k").await.read_u8().await.unwrap(), b'.');
}

#[tokio::test]
async fn a_public_database_needs_no_key() {
    let bench = bench(&[]).await;
    declare(&bench, &[], |declarations| {
        declarations.databases.get_mut("seats").unwrap().public = true;
    });
    assert_eq!(connect(&bench, "x").await.read_u8().await.unwrap(), b'.');
}

/// Guards against open sessions that outlive their key.
#[tokio::test]
async fn a_withdrawn_key_ends_idle_sessions_and_may_come_back() {
    let bench = bench(&["k"]).await;
    let mut caller = connect(&bench, "k").await;
    assert_eq!(caller.read_u8().await.unwrap(), b'.');
    declare(&bench, &[], |_| {});
    assert_eq!(rest(caller).await, "");
    assert_eq!(rest(connect(&bench, "k").await).await, "!");
    declare(&bench, &["k"], |_| {});
    assert_eq!(connect(&bench, "k").await.read_u8().await.unwrap(), b'.');
}

/// Guards against new work of a session whose key was withdrawn: a transaction that has
/// sent no statement to a server has not started.
#[tokio::test]
async fn a_withdrawn_key_starts_no_statement() {
    let bench = bench(&["k"]).await;
    let mut caller = connect(&bench, "k").await;
    caller.write_all(b"B").await.unwrap();
    let mut answers = [0; 2];
    caller.read_exact(&mut answers).await.unwrap();
    declare(&bench, &[], |_| {});
    caller.write_all(b"R").await.unwrap();
    assert_eq!(rest(caller).await, "!");
    assert!(bench.shared.runs().is_empty());
}
