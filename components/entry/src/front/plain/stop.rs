//! What a stop of the front ends: open transactions, and statements that still run.

use std::sync::Arc;

use ::plain::{Problem, Statement};
use base::prelude::*;
use wire::data::Reason;

use super::caller::{Caller, Transaction, Work};
use crate::front::attempt::{Attempt, not_run};
use crate::front::conn::Disconnect;
use crate::front::link::Link;

impl Caller {
    /// Whether a statement ends the open transaction.
    pub(super) fn ends(&self, statement: &Statement) -> bool {
        let is_open = !matches!(self.transaction, Transaction::None);
        is_open && matches!(statement, Statement::Commit | Statement::Rollback)
    }

    /// Error for a statement that comes after the time for open transactions.
    pub(super) fn refusal(&self) -> Problem {
        match self.transaction {
            Transaction::None => Problem::Busy,
            _ => Problem::Aborted,
        }
    }

    /// Answers a statement that has not ended when the front stops.
    pub(super) async fn end_unfinished(
        &mut self,
        work: &Work,
        link: Option<Arc<Link>>,
        group: Name,
    ) -> Result<(), Report<Disconnect>> {
        let attempt = match link {
            Some(_) => Attempt::Broken { forwarded: false, own_answers: 0 },
            None => Attempt::ended(not_run(Reason::Closing)),
        };
        if matches!(self.transaction, Transaction::None) {
            self.leave(link.clone()).await;
        }
        self.finish(work, &attempt, None, link, group).await
    }
}
