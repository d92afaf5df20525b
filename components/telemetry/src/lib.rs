//! Logs, metrics and health, alike in every program.

pub mod budget;
pub mod cli;
pub mod event;
pub mod health;
pub mod log;
pub mod web;

pub use health::Health;
pub use log::{Format, Level, Output, logger, logger_to};
pub use web::Failure;
