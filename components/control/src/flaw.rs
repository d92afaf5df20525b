//! Deliberate flaws that the tests must detect.

/// A safety rule that a leader breaks; for tests only.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, strum::Display)]
pub enum Flaw {
    /// The leader keeps all rules.
    #[default]
    None,
    /// Grants a share that is being taken back, although its holder has not released it yet.
    GrantEarly,
    /// Ignores, as a new leader, removed entries that may not know of their removal yet.
    ForgetDeparted,
    /// Chooses a primary by log position, without the log term.
    IgnoreLogTerm,
    /// Chooses a primary once a single server is fenced.
    FenceMinority,
    /// Sends keepers no update when a server of their group changes.
    ForgetServers,
}
