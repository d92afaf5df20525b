//! Deliberate faults, with which tests prove that they detect them.

/// A deliberate fault in a [`crate::Ledger`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Flaw {
    /// No fault.
    #[default]
    None,
    /// A share that grows is used at once, while other hosts may still use theirs.
    GrowEarly,
    /// A host that receives several states at once forgets those that it skips.
    ForgetSkipped,
    /// A lender sends tokens without taking them out of its bucket.
    LendFree,
    /// Borrowed tokens never expire.
    KeepLoans,
    /// A new holder starts with a full bucket.
    StartFull,
    /// A lower limit leaves the balance as it is.
    KeepBalance,
    /// A returned token is added even if the bucket has been full since it was taken.
    RefundAlways,
    /// The host never borrows.
    NeverBorrow,
}
