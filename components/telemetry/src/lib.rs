//! Logs, metrics, health and common command-line flags, shared by all programs.

pub mod budget;
pub mod cli;
pub mod event;
pub mod health;
pub mod log;
pub mod web;

pub use health::Health;
pub use log::{Format, Level, Output, logger, logger_to};
pub use web::Failure;
