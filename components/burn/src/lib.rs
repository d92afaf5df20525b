//! The report on service-level burn.
//!
//! Each entry keeps a [`Ledger`]: for each service and objective, how many
//! requests were good and bad, by minute and by hour. Its [`Page`] goes to who
//! asks; [`Report`] merges the pages of all entries and computes the budget
//! that is left and how fast it burns over long and short windows.

pub mod html;
pub mod ledger;
pub mod report;
pub mod series;
pub mod text;

pub use ledger::{Event, Ledger, Page};
pub use report::Report;
pub use series::Series;
