//! Deliberate flaws that the fuzz tests must find.

/// A rule that a leader breaks; for tests only.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, strum::Display)]
pub enum Flaw {
    /// All rules are kept.
    #[default]
    None,
    /// Grants a returning share before its holder gave it up.
    GrantEarly,
    /// Forgets, as a new leader, who was given up and may not know it.
    ForgetDeparted,
    /// Chooses a primary by position alone.
    IgnoreLogTerm,
    /// Chooses a primary once a single server is fenced.
    FenceMinority,
}
