//! Statements, transactions and parameters, through a PostgreSQL client library.

use base::prelude::*;
use standin::{Group, Settings};
use tokio_postgres::{Client, NoTls};

async fn start() -> (Group, Client, Client) {
    let name = Name::new("entries-1").unwrap();
    let settings = Settings { settled: true, servers: 1, ..Settings::new(name) };
    let group = Group::start(settings).await.unwrap();
    let first = connect(&group).await;
    let table = "CREATE TABLE entries (id bigint primary key, club text not null, paid boolean, \
                 ring int, fee real)";
    first.simple_query(table).await.unwrap();
    let second = connect(&group).await;
    (group, first, second)
}

async fn connect(group: &Group) -> Client {
    let address = group.servers()[0];
    let mut config = tokio_postgres::Config::new();
    config.host(address.ip().to_string()).port(address.port()).user("ring").dbname("entries-1");
    let (client, connection) = config.connect(NoTls).await.unwrap();
    tokio::spawn(connection);
    client
}

fn code(error: &tokio_postgres::Error) -> &str {
    error.code().map_or("none", tokio_postgres::error::SqlState::code)
}

#[tokio::test]
async fn takes_and_gives_typed_values() {
    let (group, client, _) = start().await;
    let insert = "INSERT INTO entries (id, club, paid, ring, fee) VALUES ($1, $2, $3, $4, $5)";
    let changed = client.execute(insert, &[&7_i64, &"4-H", &true, &3_i32, &1.5_f64]).await;
    assert_eq!(changed.unwrap(), 1);
    let row = client.query_one("SELECT * FROM entries WHERE id = $1", &[&7_i64]).await.unwrap();
    assert_eq!(row.get::<_, i64>("id"), 7);
    assert_eq!(row.get::<_, &str>("club"), "4-H");
    assert!(row.get::<_, bool>("paid"));
    assert_eq!((row.get::<_, i32>("ring"), row.get::<_, f64>("fee")), (3, 1.5));
    let count = client.query_one("SELECT count(*) FROM entries", &[]).await.unwrap();
    assert_eq!(count.get::<_, i64>(0), 1);
    let updated = client.execute("UPDATE entries SET ring = ring + $1", &[&1_i32]).await;
    assert_eq!(updated.unwrap(), 1);
    group.stop().await;
}

#[tokio::test]
async fn hides_an_open_transaction_from_others() {
    let (group, mut first, second) = start().await;
    let count = "SELECT count(*) FROM entries";
    let open = first.transaction().await.unwrap();
    open.execute("INSERT INTO entries (id, club) VALUES (1, 'a')", &[]).await.unwrap();
    assert_eq!(open.query_one(count, &[]).await.unwrap().get::<_, i64>(0), 1);
    assert_eq!(second.query_one(count, &[]).await.unwrap().get::<_, i64>(0), 0);
    second.execute("INSERT INTO entries (id, club) VALUES (2, 'b')", &[]).await.unwrap();
    open.commit().await.unwrap();
    assert_eq!(second.query_one(count, &[]).await.unwrap().get::<_, i64>(0), 2);
    group.stop().await;
}

#[tokio::test]
async fn rejects_a_commit_whose_results_no_longer_hold() {
    let (group, mut first, second) = start().await;
    second.execute("INSERT INTO entries (id, club) VALUES (1, 'a')", &[]).await.unwrap();
    let open = first.transaction().await.unwrap();
    let changed = open.execute("UPDATE entries SET ring = 1 WHERE club = 'a'", &[]).await;
    assert_eq!(changed.unwrap(), 1);
    second.execute("UPDATE entries SET club = 'b'", &[]).await.unwrap();
    assert_eq!(code(&open.commit().await.unwrap_err()), "40001");
    let ring = first.query_one("SELECT ring FROM entries", &[]).await.unwrap();
    assert_eq!(ring.get::<_, Option<i32>>(0), None);
    group.stop().await;
}

#[tokio::test]
async fn ignores_statements_of_a_failed_transaction() {
    let (group, client, _) = start().await;
    client.batch_execute("BEGIN; INSERT INTO entries (id, club) VALUES (1, 'a')").await.unwrap();
    let twice = client.batch_execute("INSERT INTO entries (id, club) VALUES (1, 'a')").await;
    assert_eq!(code(&twice.unwrap_err()), "23505");
    assert_eq!(code(&client.batch_execute("SELECT 1").await.unwrap_err()), "25P02");
    client.batch_execute("COMMIT").await.unwrap();
    let count = client.query_one("SELECT count(*) FROM entries", &[]).await.unwrap();
    assert_eq!(count.get::<_, i64>(0), 0);
    group.stop().await;
}

#[tokio::test]
async fn undoes_a_failed_batch_as_a_whole() {
    let (group, client, _) = start().await;
    let batch =
        "INSERT INTO entries (id, club) VALUES (1, 'a'); INSERT INTO entries (id) VALUES (2)";
    assert_eq!(code(&client.batch_execute(batch).await.unwrap_err()), "23502");
    let count = client.query_one("SELECT count(*) FROM entries", &[]).await.unwrap();
    assert_eq!(count.get::<_, i64>(0), 0);
    group.stop().await;
}

#[tokio::test]
async fn goes_back_to_a_savepoint() {
    let (group, mut client, _) = start().await;
    let mut open = client.transaction().await.unwrap();
    open.execute("INSERT INTO entries (id, club) VALUES (1, 'a')", &[]).await.unwrap();
    let inner = open.savepoint("inner").await.unwrap();
    let twice = inner.execute("INSERT INTO entries (id, club) VALUES (1, 'a')", &[]).await;
    assert_eq!(code(&twice.unwrap_err()), "23505");
    inner.rollback().await.unwrap();
    open.execute("INSERT INTO entries (id, club) VALUES (2, 'b')", &[]).await.unwrap();
    open.commit().await.unwrap();
    let count = client.query_one("SELECT count(*) FROM entries", &[]).await.unwrap();
    assert_eq!(count.get::<_, i64>(0), 2);
    group.stop().await;
}

#[tokio::test]
async fn cancels_a_running_statement() {
    let (group, client, _) = start().await;
    let token = client.cancel_token();
    let slow = client.simple_query("SELECT trefoil_sleep(60000)");
    let cancel = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        token.cancel_query(NoTls).await.unwrap();
    };
    let (ended, ()) = tokio::join!(slow, cancel);
    assert_eq!(code(&ended.unwrap_err()), "57014");
    client.simple_query("SELECT 1").await.unwrap();
    group.stop().await;
}

#[tokio::test]
async fn rejects_unsupported_statements() {
    let (group, client, _) = start().await;
    for statement in ["COPY entries FROM STDIN", "LISTEN rings"] {
        assert_eq!(code(&client.batch_execute(statement).await.unwrap_err()), "0A000");
    }
    group.stop().await;
}

#[tokio::test]
async fn answers_a_pipeline_in_order() {
    let (group, client, _) = start().await;
    let statement = client.prepare("SELECT $1 || '!' AS answer").await.unwrap();
    let asked = (0..20).map(|number| {
        let (client, statement) = (&client, &statement);
        async move {
            let row = client.query_one(statement, &[&number.to_string()]).await.unwrap();
            assert_eq!(row.get::<_, &str>(0), format!("{number}!"));
        }
    });
    futures::future::join_all(asked).await;
    group.stop().await;
}
