//! Callers that put load on database groups, faults, and the oracle that
//! checks what callers were told against what the groups hold.
//!
//! - [`scenario`]: the users' workloads, sizes and declarations.
//! - [`bench`]: what the load runs against, and the faults it can suffer.
//! - [`proxied`]: the whole path as a bench.
//! - [`client`]: one connection of a caller, and what an answer means.
//! - [`caller`]: one caller's session, which roams between entries.
//! - [`writer`]: a steady writer for each group, which dates what reads show.
//! - [`run`]: the phases of a run.
//! - [`oracle`]: the check at the end.
//! - [`verdict`]: the result.

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
