//! `user`: prints a line for the file of users.

use std::io::{BufRead, Write};
use std::process::ExitCode;

use pg::scram::{SALT_BYTES, Verifier};

/// Reads a password from standard input and prints `NAME:VERIFIER`.
pub fn run(name: &str) -> ExitCode {
    let mut line = String::new();
    if std::io::stdin().lock().read_line(&mut line).is_err() {
        return ExitCode::FAILURE;
    }
    let password = line.trim_end_matches(['\r', '\n']);
    let salt: [u8; SALT_BYTES] = rand::random();
    let verifier = Verifier::new(password, &salt);
    match writeln!(std::io::stdout(), "{name}:{verifier}") {
        Ok(()) => ExitCode::SUCCESS,
        Err(_) => ExitCode::FAILURE,
    }
}
