//! The consistency check at the end of a run: compares the answers that callers
//! received with the rows that the groups hold.

use std::collections::HashMap;

use base::prelude::*;

use crate::bench::{Bench, Snapshot};
use crate::caller::{Journal, Outcome};
use crate::client::{self, Answer, Connection};
use crate::failure::Failure;
use crate::verdict::Verdict;

const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const AUDIT_USER: &str = "trefoil_probe";

/// Rows of one group at the end of a run.
#[derive(Debug, Default)]
pub struct Rows {
    /// Number of rows for each request id, which is how often the request ran.
    pub requests: HashMap<String, u64>,
    /// Final value of each session's counter.
    pub counters: HashMap<usize, u64>,
    /// Sum of the payments over all accounts.
    pub paid: u64,
}

/// Waits until all servers of a group hold and have applied the same log entries.
///
/// # Errors
/// [`Failure::Convergence`] after 30 seconds.
pub async fn wait_convergence(
    bench: &impl Bench,
    group: usize,
) -> Result<Snapshot, Report<Failure>> {
    let converged = async {
        loop {
            let snapshot = bench.snapshot(group).await;
            if has_converged(&snapshot.statuses) {
                return snapshot;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    match tokio::time::timeout(CONVERGENCE_TIMEOUT, converged).await {
        Ok(snapshot) => Ok(snapshot),
        Err(_elapsed) => {
            let snapshot = bench.snapshot(group).await;
            Err(Report::new(Failure::Convergence).attach(format!("{:#?}", snapshot.statuses)))
        }
    }
}

fn has_converged(statuses: &[Status]) -> bool {
    let primary = statuses.iter().find(|status| status.role == Role::Primary);
    primary.is_some_and(|primary| {
        statuses.iter().all(|status| {
            status.term == primary.term
                && status.last() == primary.last()
                && status.applied == primary.received
        })
    })
}

/// Reads all rows from a group's primary.
///
/// # Errors
/// [`Failure::Audit`] when there is no primary, or the connection or a query fails.
pub async fn read(snapshot: &Snapshot) -> Result<Rows, Report<Failure>> {
    let address = snapshot.primary.ok_or(Failure::Audit)?;
    // servers exempt this user from their connection limit, so that the check can
    // connect while callers hold all connections
    let connection = client::connect(address, AUDIT_USER, AUDIT_USER, None).await;
    let connection = connection.ok_or(Failure::Audit)?;
    let requests = query(&connection, "SELECT id, count(*) FROM requests GROUP BY id").await?;
    let counters = query(&connection, "SELECT session, value FROM counters").await?;
    let paid = query(&connection, "SELECT sum(paid) FROM accounts").await?;
    let number = |text: &String| text.parse::<u64>().change_context(Failure::Audit);
    let mut rows = Rows::default();
    for row in requests {
        rows.requests.insert(row[0].clone(), number(&row[1])?);
    }
    for row in counters {
        rows.counters.insert(number(&row[0])? as usize, number(&row[1])?);
    }
    for row in paid {
        rows.paid = number(&row[0])?;
    }
    Ok(rows)
}

async fn query(connection: &Connection, sql: &str) -> Result<Vec<Vec<String>>, Report<Failure>> {
    match connection.query(sql).await {
        Answer::Done(rows) => Ok(rows),
        _ => Err(Report::new(Failure::Audit)),
    }
}

/// Checks the journals of a group's callers against its rows and adds the result
/// to the verdict.
pub fn check<'a>(rows: &Rows, journals: impl Iterator<Item = &'a Journal>, verdict: &mut Verdict) {
    let mut payments = 0;
    for journal in journals {
        check_journal(rows, journal, verdict);
        let records = journal.records.iter().filter(|record| record.payment);
        payments += records.filter_map(|record| rows.requests.get(&record.id)).sum::<u64>();
    }
    verdict.torn_transactions += u64::from(payments != rows.paid);
}

fn check_journal(rows: &Rows, journal: &Journal, verdict: &mut Verdict) {
    for record in &journal.records {
        let ran = rows.requests.get(&record.id).copied().unwrap_or_default();
        verdict.acked += u64::from(record.outcome == Outcome::Acked);
        verdict.acked_lost += u64::from(record.outcome == Outcome::Acked && ran == 0);
        verdict.not_run_but_ran += u64::from(record.outcome == Outcome::NotRun && ran > 0);
        verdict.doubled += u64::from(ran > 1);
    }
    let counter = rows.counters.get(&journal.session).copied().unwrap_or_default();
    verdict.acked += journal.acked_updates;
    verdict.acked_lost += u64::from(counter < journal.acked_counter);
    verdict.ryw_violations += journal.ryw_violations;
    verdict.mixed_answers += journal.mixed_answers;
    verdict.stale_beyond_age += journal.stale;
    verdict.outcome_unknown += journal.unknown;
    verdict.connects_failed += journal.connects_failed;
    for (code, count) in &journal.errors {
        *verdict.errors.entry(code.clone()).or_default() += count;
    }
}
