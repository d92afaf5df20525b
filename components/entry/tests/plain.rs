//! Callers of plain statements that leave while their statement waits at a keeper, or
//! whose request crosses the stop of the front.

#[path = "../../pg/tests/server/mod.rs"]
mod server;

mod fake;

use std::io::Read as _;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use base::prelude::*;
use bytes::{Buf, Bytes, BytesMut};
use fake::{Bench, Fault, Shared};
use plain::{Access, Answer, Dialect, Malformed, Order, Problem, Query, Reply, Request, Statement};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use wire::data::ask;

/// Dialect of one byte for each message: `S` starts a session, `B` begins a transaction, `R`
/// reads, and `C` commits. The end of an answer is a dot, or `!` if the front is busy.
#[derive(Debug)]
struct Dots;

impl Dialect for Dots {
    fn decode_request(&self, input: &mut BytesMut) -> Result<Option<Request>, Report<Malformed>> {
        if input.is_empty() {
            return Ok(None);
        }
        let statement = match input.get_u8() {
            b'S' => {
                let (database, key) = ("seats".to_owned(), Bytes::new());
                return Ok(Some(Request::Start { database, key }));
            }
            b'B' => Statement::Begin(Access::Read),
            b'R' => Statement::Read,
            b'C' => Statement::Commit,
            _ => return Ok(Some(Request::Terminate)),
        };
        let text = Bytes::from_static(b"select 1");
        Ok(Some(Request::Query(Query { id: text.clone(), text, statement: Some(statement) })))
    }

    fn encode_answer(&self, answer: &Answer, out: &mut BytesMut) {
        match answer {
            Answer::Problem(Problem::Busy) => out.extend_from_slice(b"!"),
            Answer::Ready(_) => out.extend_from_slice(b"."),
            _ => {}
        }
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
    let (answers, _) =
        tokio::join!(crossing, bench.front.close(Duration::from_secs(10), Duration::ZERO));
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
    let (answers, _) =
        tokio::join!(late, bench.front.close(Duration::from_secs(1), Duration::ZERO));
    assert_eq!(answers, b"!");
}

/// A front with a keeper that answers, and a caller in a transaction that is open there.
async fn open_transaction() -> (Bench, TcpStream) {
    let bench = serving_bench().await;
    let mut caller = connect(&bench).await;
    caller.write_all(b"B").await.unwrap();
    assert_eq!(caller.read_u8().await.unwrap(), b'.');
    (bench, caller)
}

/// A front whose keeper answers each statement.
async fn serving_bench() -> Bench {
    let shared = Arc::new(Shared::default());
    shared.plain.store(true, Ordering::Relaxed);
    let keeper = fake::keeper("one", Arc::clone(&shared)).await;
    let (lease, keepers) = (Duration::from_mins(10), [("one", keeper)]);
    fake::bench_of(None, Some(Arc::new(Dots)), lease, shared, &keepers).await
}

/// Sends a message and returns all that arrives until the connection ends.
async fn send_last(mut caller: TcpStream, message: &[u8]) -> Vec<u8> {
    caller.write_all(message).await.unwrap();
    let mut answers = Vec::new();
    caller.read_to_end(&mut answers).await.unwrap();
    answers
}

/// review/3: at the end of the time for open transactions, statements that a server was
/// running were cut off without an answer.
#[tokio::test]
async fn a_statement_that_runs_when_the_time_for_transactions_ends_is_answered() {
    let (bench, caller) = open_transaction().await;
    bench.shared.inject(Fault::Late(Duration::from_millis(400)));
    let limits = (Duration::from_millis(100), Duration::from_secs(10));
    let (answers, _) = tokio::join!(send_last(caller, b"R"), bench.front.close(limits.0, limits.1));
    assert_eq!(answers, b".");
}

/// A transaction that goes on after its time would keep the front from stopping.
#[tokio::test]
async fn a_statement_after_the_time_for_transactions_is_refused_unless_it_ends_one() {
    for (next, runs) in [(b"R", 1), (b"C", 2)] {
        let (bench, mut caller) = open_transaction().await;
        bench.shared.inject(Fault::Late(Duration::from_millis(300)));
        let session = async {
            caller.write_all(b"R").await.unwrap();
            assert_eq!(caller.read_u8().await.unwrap(), b'.');
            send_last(caller, next).await
        };
        let limits = (Duration::from_millis(100), Duration::from_secs(10));
        let (answers, _) = tokio::join!(session, bench.front.close(limits.0, limits.1));
        assert_eq!(answers, b".", "{next:?}");
        assert_eq!(bench.shared.runs().len(), runs, "{next:?}");
    }
}

/// A statement that outlasts a stop was cut off, although its outcome could be reported.
#[tokio::test]
async fn a_statement_that_outlasts_the_stop_is_answered_as_unfinished() {
    let (bench, caller) = open_transaction().await;
    bench.shared.inject(Fault::Late(Duration::from_mins(10)));
    let limits = (Duration::from_millis(100), Duration::from_millis(200));
    let (answers, _) = tokio::join!(send_last(caller, b"R"), bench.front.close(limits.0, limits.1));
    assert_eq!(answers, b".");
}

/// Number of random stops.
const STOPS: u64 = 12;

/// Number of callers at a random stop.
const CALLERS: usize = 16;

/// Random transactions of many callers around a stop: each statement that was sent while its
/// session was open is answered, however long a server runs it.
#[tokio::test]
async fn each_statement_is_answered_around_a_random_stop() {
    let mut interrupted = 0;
    for seed in 0..STOPS {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let bench = serving_bench().await;
        for _ in 0..CALLERS * 40 {
            let wait = Duration::from_millis(rng.random_range(0..120));
            bench.shared.inject(Fault::Late(wait));
        }
        let mut sessions = tokio::task::JoinSet::new();
        for _ in 0..CALLERS {
            let caller = connect(&bench).await;
            sessions.spawn(random_session(caller, ChaCha8Rng::seed_from_u64(rng.next_u64())));
        }
        tokio::time::sleep(Duration::from_millis(rng.random_range(0..200))).await;
        let transactions = Duration::from_millis(rng.random_range(0..300));
        let statements = Duration::from_millis(rng.random_range(0..150));
        interrupted += bench.front.close(transactions, statements).await;
        for unanswered in sessions.join_all().await {
            assert_eq!(unanswered, None, "seed {seed}: a statement got no answer");
        }
    }
    assert!(interrupted > CALLERS, "{interrupted} callers were interrupted");
}

/// Runs transactions until the connection ends. Returns the statement that was sent while the
/// connection was open and that got no answer, if any.
async fn random_session(mut caller: TcpStream, mut rng: ChaCha8Rng) -> Option<u8> {
    loop {
        let statements = rng.random_range(1..6);
        let messages = [b"B".to_vec(), vec![b'R'; statements], b"C".to_vec()].concat();
        for message in messages {
            let pause = Duration::from_millis(rng.random_range(0..60));
            let mut end = [0];
            // between two statements the front may end the session
            match tokio::time::timeout(pause, caller.read(&mut end)).await {
                Ok(_closed) => return None,
                Err(_elapsed) => caller.write_all(&[message]).await.ok()?,
            }
            match caller.read(&mut end).await {
                Ok(1) => {}
                _ => return Some(message),
            }
        }
    }
}

/// Number of sessions that a stop closes in one burst.
const IDLE_SESSIONS: usize = 40;

/// A stop closed many idle sessions in one burst. Requests that arrived during the burst, after
/// the runtime had looked for input, were discarded with the close of their connection.
#[tokio::test]
async fn a_request_that_arrives_while_many_sessions_are_closed_is_answered() {
    for _ in 0..5 {
        let bench = serving_bench().await;
        let mut callers = Vec::new();
        for _ in 0..IDLE_SESSIONS {
            callers.push(connect(&bench).await);
        }
        let started = tokio::time::Instant::now();
        let writes = callers.iter_mut().enumerate().map(|(at, caller)| async move {
            // the grace of idle sessions ends at the same time as this wait, so that the
            // request is written between the closes of other sessions
            tokio::time::sleep_until(started + Duration::from_millis(99 + at as u64 % 4)).await;
            let is_open = !is_closed(caller);
            is_open && caller.try_write(b"R").is_ok_and(|written| written == 1)
        });
        let close = bench.front.close(Duration::from_secs(10), Duration::ZERO);
        let (written, _) = tokio::join!(futures::future::join_all(writes), close);
        for (mut caller, written) in callers.into_iter().zip(written) {
            let mut answers = Vec::new();
            let ended = caller.read_to_end(&mut answers).await;
            let unanswered = written && ended.is_ok() && answers.is_empty();
            assert!(!unanswered, "a request was discarded");
        }
    }
}

/// Whether the front has closed a connection, as the kernel knows it.
fn is_closed(caller: &TcpStream) -> bool {
    let socket = socket2::SockRef::from(caller);
    matches!((&*socket).read(&mut [0; 1]), Ok(0))
}
