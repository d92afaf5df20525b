//! Command-line flags and errors that all programs share.

use std::fmt;
use std::process::ExitCode;

use base::mechanism::Without;
use bpaf::{ParseFailure, Parser, long};

use crate::log::{Format, Level};

/// Exit code of a program that was called with an invalid argument.
pub const USAGE_EXIT_CODE: u8 = 2;

/// Width of help texts, in columns.
const COLUMNS: usize = 100;

/// The error of a flag with a value that isn't allowed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Invalid {
    flag: String,
    value: String,
    allowed: String,
}

impl Invalid {
    /// Makes the error of a flag, from its value and the values that are allowed.
    pub fn new(flag: &str, value: &str, allowed: &str) -> Self {
        Self { flag: flag.to_owned(), value: value.to_owned(), allowed: allowed.to_owned() }
    }
}

impl fmt::Display for Invalid {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: `{}` is not allowed, expected {}", self.flag, self.value, self.allowed)
    }
}

impl std::error::Error for Invalid {}

/// Prints a help text, a version or an error, and returns the exit code.
pub fn show(failure: &ParseFailure) -> ExitCode {
    let code = match failure {
        ParseFailure::Stderr(_) => ExitCode::from(USAGE_EXIT_CODE),
        ParseFailure::Stdout(..) | ParseFailure::Completion(_) => ExitCode::SUCCESS,
    };
    failure.print_message(COLUMNS);
    code
}

/// Parses the value of a flag.
///
/// # Errors
/// [`Invalid`], which names `flag`, `text` and `allowed`, if the value can't be parsed.
pub fn read<T: std::str::FromStr>(flag: &str, text: &str, allowed: &str) -> Result<T, Invalid> {
    text.parse().map_err(|_unreadable| Invalid::new(flag, text, allowed))
}

/// Parser of `--log-level`, or `TREFOIL_LOG_LEVEL`.
pub fn level(fallback: Level) -> impl Parser<Level> {
    long("log-level")
        .env("TREFOIL_LOG_LEVEL")
        .help("least severity that is logged: error, warning, info or debug")
        .argument::<String>("LEVEL")
        .parse(|text| read("--log-level", &text, "error, warning, info or debug"))
        .fallback(fallback)
        .display_fallback()
}

/// Parser of `--log-format`, or `TREFOIL_LOG_FORMAT`.
pub fn format() -> impl Parser<Format> {
    long("log-format")
        .env("TREFOIL_LOG_FORMAT")
        .help("form of the log: auto (human on a terminal, else json), human or json")
        .argument::<String>("FORMAT")
        .parse(|text| read("--log-format", &text, "auto, human or json"))
        .fallback(Format::Auto)
        .display_fallback()
}

/// Parser of `--without`, or the given variable: mechanisms to turn off, for measurements.
pub fn without(variable: &'static str) -> impl Parser<Without> {
    long("without")
        .env(variable)
        .help("mechanisms to turn off, separated by commas; for measurements only")
        .argument::<String>("NAMES")
        .parse(|text| text.parse::<Without>())
        .fallback(Without::default())
}
