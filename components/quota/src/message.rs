//! Requests and loans in the form of messages between hosts.

use wire::data::{BorrowItem, LoanItem};
use xxhash_rust::xxh3::xxh3_64;

use crate::ledger::Request;
use crate::team::Loan;

/// Units per token in which a balance is sent.
const TENTHS: f64 = 10.0;

/// Digest of the name of a team.
pub fn digest(team: &str) -> u32 {
    xxh3_64(team.as_bytes()) as u32
}

impl From<&Request> for BorrowItem {
    fn from(request: &Request) -> Self {
        let more = request.tokens.saturating_sub(1);
        Self { team: digest(request.team.as_str()), more }
    }
}

impl From<Loan> for LoanItem {
    fn from(loan: Loan) -> Self {
        // rounded down, so that no borrower expects too much
        Self { tokens: loan.tokens, left_tenths: (loan.left * TENTHS) as u32 }
    }
}

impl From<LoanItem> for Loan {
    fn from(item: LoanItem) -> Self {
        Self { tokens: item.tokens, left: f64::from(item.left_tenths) / TENTHS }
    }
}
