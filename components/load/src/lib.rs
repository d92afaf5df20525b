//! Load generator with fault injection for database groups, and an oracle that
//! compares the answers that callers received with the rows that the groups hold.
//!
//! - [`scenario`]: workloads with their sizes and declarations.
//! - [`bench`]: systems under load, and the faults injected into them.
//! - [`proxied`]: entries, control members and groups as a system under load.
//! - [`client`]: a caller's connection, and the classification of answers.
//! - [`caller`]: a caller's session, which moves between entries.
//! - [`writer`]: a steady writer for each group, from which the age of read data is
//!   checked.
//! - [`shared`]: state that all callers of a run share.
//! - [`run`]: the phases of a run.
//! - [`overload`]: the overload phase, which measures fairness between services.
//! - [`oracle`]: the consistency check at the end of a run.
//! - [`verdict`]: the result of a run.
//! - [`failure`]: failures that prevent a run from completing.

pub mod bench;
pub mod caller;
pub mod client;
pub mod failure;
pub mod oracle;
pub mod overload;
pub mod proxied;
pub mod run;
pub mod scenario;
pub mod shared;
pub mod verdict;
pub mod writer;

pub use bench::{Bench, Direct, Fault};
pub use failure::Failure;
pub use proxied::Proxied;
pub use run::{Baseline, Settings, run};
pub use scenario::Scenario;
pub use verdict::Verdict;
