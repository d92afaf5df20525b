//! Rules that a test may break, to see that the breach is noticed.

/// A rule that is broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::EnumIter, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Flaw {
    /// Acknowledge once the primary alone holds a write.
    PrimaryAlone,
    /// Compare positions without their terms.
    Termless,
    /// Send a request again though the first try may have run.
    Resend,
    /// Use a connection again before its rollback is confirmed.
    EarlyReuse,
    /// Take the position of a primary that no majority confirmed.
    Unverified,
}
