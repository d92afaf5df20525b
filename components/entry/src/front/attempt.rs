//! The result of an attempt to run a request at a keeper: whether the request may
//! be retried at another keeper, and which error the caller gets.
//!
//! The functions of this module have no side effects. The guarantees that a request
//! reported as not run did not run, and that a write runs at most once, depend on
//! them.

use base::prelude::*;
use config::model::Class;
use pg::{Code, Problem};
use wire::data::{End, Outcome, Reason};

/// Time after which a caller should retry, if the keeper suggests none.
const RETRY_AFTER: Duration = Duration::from_millis(250);

/// Result of one attempt at a keeper.
#[derive(Clone, Debug, PartialEq)]
pub enum Attempt {
    /// The keeper sent the end of the answer, or the front made an end because no keeper
    /// finished the request.
    Ended {
        /// Outcome and reason, as the keeper or the front reports them.
        end: End,
        /// Whether a part of the answer was forwarded to the caller.
        forwarded: bool,
        /// Number of answers to the caller's own Parse and Close messages that
        /// were forwarded.
        own_answers: usize,
    },
    /// The request was not sent to the keeper.
    NotSent,
    /// The link broke, the answer was invalid, or the attempt timed out.
    Broken {
        /// Whether a part of the answer was forwarded to the caller.
        forwarded: bool,
        /// Number of answers to the caller's own Parse and Close messages that
        /// were forwarded.
        own_answers: usize,
    },
}

impl Attempt {
    /// A result without any part of an answer, for instance when no keeper ran the
    /// request.
    pub fn ended(end: End) -> Self {
        Self::Ended { end, forwarded: false, own_answers: 0 }
    }

    /// Reason of a request whose outcome is not `Done`; [`Reason::Broken`] if there is
    /// no end.
    pub fn reason(&self) -> Reason {
        match self {
            Self::Ended { end, .. } => end.reason(),
            Self::NotSent | Self::Broken { .. } => Reason::Broken,
        }
    }

    /// Number of answers to the caller's own Parse and Close messages that were
    /// forwarded.
    pub fn own_answers(&self) -> usize {
        match self {
            Self::Ended { own_answers, .. } | Self::Broken { own_answers, .. } => *own_answers,
            Self::NotSent => 0,
        }
    }
}

/// Makes the end of a request that was not run.
pub fn not_run(reason: Reason) -> End {
    End { outcome: Outcome::NotRun as i32, reason: reason as i32, ..End::default() }
}

/// Combines the ends of two attempts. The outcome stays unknown once an earlier
/// attempt may have run the request.
pub fn combine(last: End, next: End) -> End {
    if last.outcome() == Outcome::Unknown { last } else { next }
}

/// Combines a final attempt with the end of the attempts before it.
pub fn with_earlier(last: End, attempt: Attempt) -> Attempt {
    match attempt {
        Attempt::Ended { end, forwarded: false, .. } if end.outcome() == Outcome::NotRun => {
            Attempt::ended(combine(last, end))
        }
        attempt => attempt,
    }
}

/// Returns the end to report if no other keeper runs the request, or `None` if the
/// request must not be retried. The request must be outside a transaction.
///
/// A retry is allowed if the request is proved not to have run or is declared as a
/// read, and no part of an answer was forwarded to the caller.
pub fn retryable_end(attempt: &Attempt, class: Class) -> Option<End> {
    match attempt {
        Attempt::NotSent => Some(not_run(Reason::Unavailable)),
        Attempt::Ended { end, forwarded: false, .. } if is_retryable(end) => Some(end.clone()),
        Attempt::Broken { forwarded: false, .. } if class == Class::Read => {
            let (outcome, reason) = (Outcome::Unknown as i32, Reason::Broken as i32);
            Some(End { outcome, reason, ..End::default() })
        }
        Attempt::Ended { .. } | Attempt::Broken { .. } => None,
    }
}

/// Whether the request is proved not to have run, for a reason that may not apply to
/// another keeper or at a later time.
fn is_retryable(end: &End) -> bool {
    let transient = matches!(
        end.reason(),
        Reason::WrongKeeper
            | Reason::Closing
            | Reason::Lease
            | Reason::Unavailable
            | Reason::Replaced
            | Reason::Broken
    );
    end.outcome() == Outcome::NotRun && transient
}

/// Returns the error for the caller, or `None` if the request is done. `within` is
/// whether the request belongs to an open transaction, and `commits` whether it may
/// commit a transaction.
///
/// A transaction whose keeper is lost is rolled back at the backend server, unless
/// the lost request may have committed it.
pub fn problem(attempt: &Attempt, within: bool, commits: bool) -> Option<Problem> {
    match attempt {
        Attempt::Ended { end, .. } if end.outcome() == Outcome::Done => None,
        Attempt::Ended { end, .. } => Some(explain(end)),
        Attempt::NotSent => Some(rolled_back()),
        Attempt::Broken { .. } if within && !commits => Some(rolled_back()),
        Attempt::Broken { .. } => {
            Some(Problem::new(Code::Unknown, "the keeper was lost; the outcome is unknown"))
        }
    }
}

/// Whether the keeper may still hold a transaction or a request of the session.
pub fn is_session_held(attempt: &Attempt, within: bool) -> bool {
    match attempt {
        Attempt::Ended { end, .. } => within || end.outcome() != Outcome::NotRun,
        Attempt::NotSent => within,
        Attempt::Broken { .. } => true,
    }
}

fn rolled_back() -> Problem {
    let message = "the keeper was lost and the transaction was rolled back";
    Problem::new(Code::NotRun, message).after(RETRY_AFTER)
}

/// Converts the end of a request whose outcome is not `Done` to the error for the
/// caller.
fn explain(end: &End) -> Problem {
    let reason = end.reason();
    if end.outcome() == Outcome::NotRun {
        if reason == Reason::Cancelled {
            return Problem::new(Code::Cancelled, "cancelled as the caller asked; it was not run");
        }
        let after = match end.retry_after_ms {
            0 => RETRY_AFTER,
            millis => Duration::from_millis(millis),
        };
        return Problem::new(Code::NotRun, format!("not run: {}", cause(reason))).after(after);
    }
    Problem::new(Code::Unknown, format!("the outcome is unknown: {}", cause(reason)))
}

fn cause(reason: Reason) -> &'static str {
    match reason {
        Reason::None => "no reason was given",
        Reason::QueueFull => "the queue of the service is full",
        Reason::Deadline => "the deadline would pass first",
        Reason::WrongKeeper => "the group has no keeper at present",
        Reason::Closing => "the keeper is stopping",
        Reason::Lease => "this entry has lost touch with control",
        Reason::Unavailable => "no server of the group can be used",
        Reason::Replaced => "the primary was replaced",
        Reason::Broken => "the connection to the backend server broke",
        Reason::TransactionGone => "the transaction is gone",
        Reason::Refused => "no selector lets the service reach a server of the group",
        Reason::TooLarge => "the answer is too large to be held back",
        Reason::Cancelled => "it was cancelled",
        Reason::RetryBudget => "the service spent its retries",
        Reason::Quota => "the quota of the team is used up",
    }
}
