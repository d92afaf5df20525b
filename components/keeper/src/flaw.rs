//! Deliberate violations of rules, with which tests show that their checks
//! detect such violations.

/// A deliberate violation of a rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::EnumIter, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Flaw {
    /// Acknowledges a write that only the primary holds.
    PrimaryAlone,
    /// Compares positions without their terms.
    Termless,
    /// Resends a request whose first attempt may have run.
    Resend,
    /// Reuses a connection before its rollback is confirmed.
    EarlyReuse,
    /// Uses the position of a primary that no majority has confirmed.
    Unverified,
    /// Chooses the replica with the most free slots, whatever its answers.
    MostFree,
    /// Puts a server on probation for any failure, also for those that callers cause.
    EjectByRate,
    /// Widens the window of slow start by one statement every 250 ms, whatever the
    /// answers.
    FixedRamp,
    /// Passes a failed read on to its caller without trying another server.
    KeepFailed,
    /// Ignores errors in slow start.
    NoBackoff,
    /// Takes a suspension of the process for a run time, and refuses requests for the
    /// load estimated from it although free slots can run them.
    CountSuspension,
    /// Runs a request on an idle connection of another team.
    ForeignTeam,
    /// Serves waiting requests in the order of their arrival, whatever their priority,
    /// objective and team.
    ArrivalOrder,
    /// Refuses no request for load.
    AdmitAll,
    /// Runs no probe of an estimate by which a request would be refused.
    NoProbes,
    /// Gives lower priorities no minimum share.
    NoMinimumShare,
    /// Keeps the waiting requests of callers that have left.
    KeepLeft,
    /// Admits retries of fronts without regard to the retry budget.
    UnlimitedRetries,
    /// Asks all refused callers to come back after the same time.
    FixedReturn,
}
