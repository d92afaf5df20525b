//! Error budgets and burn rates of service-level objectives.
//!
//! Each entry keeps a [`Ledger`]: the number of good and bad requests of each
//! service and objective, by minute and by hour. The entry serves these counts as
//! a [`Page`]. A [`Report`] merges the pages of all entries, and computes the
//! remaining error budget and the burn rate over long and short windows.

pub mod html;
pub mod ledger;
pub mod report;
pub mod series;
pub mod text;

pub use ledger::{Event, Ledger, Page};
pub use report::Report;
pub use series::Series;
