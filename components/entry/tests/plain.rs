//! Callers of plain statements that leave while their statement waits at a keeper, or
//! whose request crosses the stop of the front.

#[path = "../../pg/tests/server/mod.rs"]
mod server;

mod fake;

use std::sync::Arc;

use base::prelude::*;
use bytes::{Buf, Bytes, BytesMut};
use fake::{Bench, Fault, Shared};
use plain::{Answer, Dialect, Malformed, Order, Problem, Query, Reply, Request, Statement};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use wire::data::ask;

/// Dialect of one byte for each message: `S` starts a session, `R` reads, and every answer
/// is a dot, or `!` if the front is busy.
#[derive(Debug)]
struct Dots;

impl Dialect for Dots {
    fn decode_request(&self, input: &mut BytesMut) -> Result<Option<Request>, Report<Malformed>> {
        if input.is_empty() {
            return Ok(None);
        }
        let text = Bytes::from_static(b"read");
        Ok(Some(match input.get_u8() {
            b'S' => Request::Start { database: "seats".to_owned(), key: Bytes::new() },
            b'R' => {
                Request::Query(Query { id: text.clone(), text, statement: Some(Statement::Read) })
            }
            _ => Request::Terminate,
        }))
    }

    fn encode_answer(&self, answer: &Answer, out: &mut BytesMut) {
        let is_busy = matches!(answer, Answer::Problem(Problem::Busy));
        out.extend_from_slice(if is_busy { b"!" } else { b"." });
    }

    fn encode_order(&self, _order: &Order, _out: &mut BytesMut) {}

    fn decode_reply(&self, _input: &mut BytesMut) -> Result<Option<Reply>, Report<Malformed>> {
        Ok(None)
    }
}

/// A front whose keeper leaves the next statement without an answer.
async fn bench() -> Bench {
    let shared = Arc::new(Shared::default());
    shared.inject(Fault::Late(Duration::from_mins(10)));
    let keeper = fake::keeper("one", Arc::clone(&shared)).await;
    let keepers = [("one", keeper)];
    let lease = Duration::from_mins(10);
    fake::bench_of(None, Some(Arc::new(Dots)), lease, shared, &keepers).await
}

async fn connect(bench: &Bench) -> TcpStream {
    let mut caller = TcpStream::connect(bench.address).await.unwrap();
    caller.write_all(b"S").await.unwrap();
    assert_eq!(caller.read_u8().await.unwrap(), b'.');
    caller
}

/// Waits for a message to the keeper, and returns the number of its session.
async fn wait_for(bench: &Bench, session: impl Fn(&ask::Body) -> Option<u64>) -> u64 {
    loop {
        let found = bench.shared.asks.lock().unwrap().iter().find_map(&session);
        if let Some(found) = found {
            return found;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

fn run(body: &ask::Body) -> Option<u64> {
    if let ask::Body::Run(run) = body { Some(run.caller) } else { None }
}

fn leave(body: &ask::Body) -> Option<u64> {
    if let ask::Body::Leave(leave) = body { Some(leave.caller) } else { None }
}

#[tokio::test]
async fn a_caller_that_closes_its_connection_while_its_statement_waits_leaves_the_keeper() {
    let bench = bench().await;
    let mut caller = connect(&bench).await;
    caller.write_all(b"R").await.unwrap();
    let session = wait_for(&bench, run).await;
    drop(caller);
    let limit = Duration::from_secs(2);
    let left = tokio::time::timeout(limit, wait_for(&bench, leave)).await;
    assert_eq!(left.expect("long before the deadline of 3 s"), session);
}

#[tokio::test]
async fn a_caller_that_sends_ahead_while_its_statement_waits_stays() {
    let bench = bench().await;
    let mut caller = connect(&bench).await;
    caller.write_all(b"R").await.unwrap();
    wait_for(&bench, run).await;
    caller.write_all(b"RR").await.unwrap();
    let limit = Duration::from_millis(200);
    let left = tokio::time::timeout(limit, wait_for(&bench, leave)).await;
    assert!(left.is_err(), "the keeper was told that the caller left");
}

/// Guards against a planned stop that cuts off a request which was on its way when the
/// front closed the idle session.
#[tokio::test]
async fn a_request_that_crosses_a_stop_is_answered() {
    let shared = Arc::new(Shared::default());
    let keeper = fake::keeper("one", Arc::clone(&shared)).await;
    let (lease, keepers) = (Duration::from_mins(10), [("one", keeper)]);
    let bench = fake::bench_of(None, Some(Arc::new(Dots)), lease, shared, &keepers).await;
    let mut caller = connect(&bench).await;
    let crossing = async {
        tokio::time::sleep(Duration::from_millis(10)).await;
        caller.write_all(b"R").await.unwrap();
        let mut answers = Vec::new();
        caller.read_to_end(&mut answers).await.unwrap();
        answers
    };
    let (answers, _) = tokio::join!(crossing, bench.front.close(Duration::from_secs(10)));
    assert!(!answers.is_empty(), "the connection was closed without an answer");
}

/// Guards against a session that is accepted by a front which closes it at once.
#[tokio::test]
async fn a_session_that_starts_during_a_stop_is_refused() {
    let bench = bench().await;
    let mut waiting = connect(&bench).await;
    waiting.write_all(b"R").await.unwrap();
    wait_for(&bench, run).await;
    let mut caller = TcpStream::connect(bench.address).await.unwrap();
    // the front accepts the connection before it stops
    tokio::time::sleep(Duration::from_millis(50)).await;
    let late = async {
        tokio::time::sleep(Duration::from_millis(10)).await;
        caller.write_all(b"S").await.unwrap();
        let mut answers = Vec::new();
        caller.read_to_end(&mut answers).await.unwrap();
        answers
    };
    let (answers, _) = tokio::join!(late, bench.front.close(Duration::from_secs(1)));
    assert_eq!(answers, b"!");
}
