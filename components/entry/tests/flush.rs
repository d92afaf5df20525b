//! Flush messages, which ask for answers before their cycle ends.

#[path = "../../pg/tests/server/mod.rs"]
mod server;

mod fake;

use fake::bench;
use fake::raw::{Client, EXECUTE, FLUSH, SYNC, bind, describe, message, parse, statement};

#[tokio::test]
async fn a_describe_is_answered_at_a_flush_before_the_bind() {
    let bench = bench(None).await;
    let mut client = Client::connect(bench.address).await;
    for _ in 0..2 {
        let prepare: [&[u8]; 3] = [&parse("", "select 1"), &describe(""), FLUSH];
        assert_eq!(client.exchange(&prepare, 3).await, "1tT");
        assert_eq!(client.exchange(&[&bind(""), EXECUTE, SYNC], 4).await, "2DCZ");
    }
    assert_eq!(client.exchange(&[&parse("", "bad"), &describe(""), FLUSH], 1).await, "E");
    assert_eq!(client.exchange(&[&bind(""), EXECUTE, SYNC], 1).await, "Z");
    assert_eq!(client.exchange(&[FLUSH, SYNC], 1).await, "Z");
}

#[tokio::test]
async fn a_pipeline_within_a_transaction_is_answered_at_each_flush() {
    let bench = bench(None).await;
    let mut client = Client::connect(bench.address).await;
    let begin = statement("BEGIN");
    let update = statement("update t");
    assert_eq!(client.exchange(&[&begin, &update, FLUSH], 7).await, "12C12DC");
    assert_eq!(client.exchange(&[&update, FLUSH], 4).await, "12DC");
    let commit = statement("COMMIT");
    assert_eq!(client.exchange(&[&commit, SYNC], 4).await, "12CZ");
    let runs = bench.shared.runs();
    assert_eq!(runs.iter().map(|run| run.in_transaction).collect::<Vec<_>>(), [false, true, true]);
}

#[tokio::test]
async fn a_query_is_answered_whatever_was_flushed_or_left_open_before() {
    let bench = bench(None).await;
    let mut client = Client::connect(bench.address).await;
    let query = message(b'Q', b"select 1\0");
    // psycopg ends a pipeline in this way
    let update = statement("update t");
    assert_eq!(client.exchange(&[&update, SYNC, FLUSH], 5).await, "12DCZ");
    assert_eq!(client.exchange(&[&query], 4).await, "TDCZ");
    assert_eq!(client.exchange(&[&update, &query], 2).await, "EZ");
    // asyncpg ends a transaction in this way if it could not encode the arguments
    assert_eq!(client.exchange(&[&parse("", "select 1"), FLUSH, &query], 5).await, "1TDCZ");
    assert_eq!(client.exchange(&[&query], 4).await, "TDCZ");
}

#[tokio::test]
async fn a_failed_part_skips_the_rest_of_its_cycle() {
    let bench = bench(None).await;
    let mut client = Client::connect(bench.address).await;
    let begin = statement("BEGIN");
    let fail = statement("fail");
    assert_eq!(client.exchange(&[&begin, &fail, FLUSH], 6).await, "12C12E");
    let runs = bench.shared.runs().len();
    assert_eq!(client.exchange(&[&begin, FLUSH, &begin, SYNC], 1).await, "Z");
    assert_eq!(bench.shared.runs().len(), runs);
}
