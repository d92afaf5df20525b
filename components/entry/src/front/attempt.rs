//! What follows from an attempt: whether another keeper may be asked, and what
//! the caller is told.
//!
//! Nothing here acts; the promises about requests that did not run or ran at
//! most once hang on these few functions.

use base::prelude::*;
use config::model::Class;
use pg::{Code, Problem};
use wire::data::{End, Outcome, Reason};

/// When it is worth asking again, where a keeper does not say.
const RETRY_AFTER: Duration = Duration::from_millis(250);

/// What became of one attempt at a keeper.
#[derive(Clone, Debug, PartialEq)]
pub enum Attempt {
    /// The keeper ended it.
    Ended {
        /// How.
        end: End,
        /// Whether a part of the answer was passed on.
        forwarded: bool,
        /// Number of own answers that were passed on.
        own_answers: usize,
    },
    /// It never reached the keeper.
    NotSent,
    /// The link or the answer broke, or it took too long.
    Broken {
        /// Whether a part of the answer was passed on.
        forwarded: bool,
        /// Number of own answers that were passed on.
        own_answers: usize,
    },
}

impl Attempt {
    /// What stands when no keeper ran it.
    pub fn ended(end: End) -> Self {
        Self::Ended { end, forwarded: false, own_answers: 0 }
    }

    /// Why it ended as it did.
    pub fn reason(&self) -> Reason {
        match self {
            Self::Ended { end, .. } => end.reason(),
            Self::NotSent | Self::Broken { .. } => Reason::Broken,
        }
    }

    /// Number of own answers that were passed on.
    pub fn own_answers(&self) -> usize {
        match self {
            Self::Ended { own_answers, .. } | Self::Broken { own_answers, .. } => *own_answers,
            Self::NotSent => 0,
        }
    }
}

/// The end of a request that was not run.
pub fn not_run(reason: Reason) -> End {
    End { outcome: Outcome::NotRun as i32, reason: reason as i32, ..End::default() }
}

/// What stands of two ends: one that may have run is not told to be not run.
pub fn combine(last: End, next: End) -> End {
    if last.outcome() == Outcome::Unknown { last } else { next }
}

/// What stands of an attempt after others that were passed on.
pub fn with_earlier(last: End, attempt: Attempt) -> Attempt {
    match attempt {
        Attempt::Ended { end, forwarded: false, .. } if end.outcome() == Outcome::NotRun => {
            Attempt::ended(combine(last, end))
        }
        attempt => attempt,
    }
}

/// Whether another keeper may run a request outside a transaction, and if so
/// how it ends where none does.
///
/// It may when the request is proved not to have run, or is declared to read
/// only, and the caller has seen nothing of an answer.
pub fn retryable_end(attempt: &Attempt, class: Class) -> Option<End> {
    match attempt {
        Attempt::NotSent => Some(not_run(Reason::Unavailable)),
        Attempt::Ended { end, forwarded: false, .. } if is_movable(end) => Some(end.clone()),
        Attempt::Broken { forwarded: false, .. } if class == Class::Read => {
            let (outcome, reason) = (Outcome::Unknown as i32, Reason::Broken as i32);
            Some(End { outcome, reason, ..End::default() })
        }
        Attempt::Ended { .. } | Attempt::Broken { .. } => None,
    }
}

/// Whether it is proved not to have run, for a reason that passes.
fn is_movable(end: &End) -> bool {
    let passes = matches!(
        end.reason(),
        Reason::WrongKeeper
            | Reason::Closing
            | Reason::Lease
            | Reason::Unavailable
            | Reason::Replaced
            | Reason::Broken
    );
    end.outcome() == Outcome::NotRun && passes
}

/// What the caller is told of an attempt that is not done.
///
/// A transaction whose keeper is lost is rolled back there, but for a request
/// that may have committed it.
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

/// Whether the keeper may hold something of the session still.
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

/// What a caller is told of an end that is not done.
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
    }
}
