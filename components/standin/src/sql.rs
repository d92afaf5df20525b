//! Scanning of SQL for what a server handles before SQLite runs the statement.

use base::prelude::*;

/// Class of a statement, by whether the session or the database handles it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Only white space and comments.
    Empty,
    /// Opens a transaction.
    Begin,
    /// Commits the transaction.
    Commit,
    /// Rolls the transaction back.
    Rollback,
    /// Sets or releases a savepoint.
    Savepoint,
    /// Rolls back to a savepoint.
    RollbackTo,
    /// Sets or resets a parameter; has no effect.
    Set,
    /// Shows the parameter of this name.
    Show(String),
    /// Discards session state or a prepared statement; has no effect.
    Discard,
    /// A statement that the stand-in does not support.
    Unsupported,
    /// Any other statement, which the database runs.
    Other,
}

/// Splits a text at the semicolons outside of quotes and comments; empty
/// statements are left out.
pub fn split_statements(text: &str) -> Vec<&str> {
    let mut parts = Vec::new();
    let mut start = 0;
    let mut at = 0;
    while at < text.len() {
        if text.as_bytes()[at] == b';' {
            parts.push(&text[start..at]);
            start = at + 1;
        }
        at += token_length(&text.as_bytes()[at..]);
    }
    parts.push(&text[start..]);
    parts.retain(|part| !strip_leading_comments(part).is_empty());
    parts
}

// length in bytes of the quoted text or comment at the start of `bytes`, else 1
fn token_length(bytes: &[u8]) -> usize {
    let until = |end: &[u8], from: usize| {
        let rest = bytes.get(from..).unwrap_or_default();
        let found = rest.windows(end.len()).position(|window| window == end);
        found.map_or(bytes.len(), |position| from + position + end.len())
    };
    match bytes {
        [b'\'', ..] => until(b"'", 1),
        [b'"', ..] => until(b"\"", 1),
        [b'-', b'-', ..] => until(b"\n", 2),
        [b'/', b'*', ..] => until(b"*/", 2),
        _ => 1,
    }
}

/// Strips white space around a statement and comments before its first word.
pub fn strip_leading_comments(text: &str) -> &str {
    let mut rest = text.trim();
    while rest.starts_with("--") || rest.starts_with("/*") {
        rest = rest[token_length(rest.as_bytes())..].trim_start();
    }
    rest
}

/// Words of a statement, in upper case.
pub fn words(text: &str) -> impl Iterator<Item = String> + use<'_> {
    strip_leading_comments(text)
        .split(|character: char| !(character.is_alphanumeric() || character == '_'))
        .filter(|word| !word.is_empty())
        .map(str::to_ascii_uppercase)
}

/// Classifies a statement by its first words.
pub fn classify(text: &str) -> Command {
    let mut words = words(text);
    let Some(first) = words.next() else {
        return if strip_leading_comments(text).is_empty() {
            Command::Empty
        } else {
            Command::Other
        };
    };
    match first.as_str() {
        "BEGIN" | "START" => Command::Begin,
        "COMMIT" | "END" => Command::Commit,
        "ROLLBACK" if words.any(|word| word == "TO") => Command::RollbackTo,
        "ROLLBACK" | "ABORT" => Command::Rollback,
        "SAVEPOINT" | "RELEASE" => Command::Savepoint,
        "SET" | "RESET" => Command::Set,
        "SHOW" => Command::Show(words.collect::<Vec<_>>().join(".").to_ascii_lowercase()),
        "DISCARD" | "DEALLOCATE" => Command::Discard,
        "COPY" | "LISTEN" | "NOTIFY" | "UNLISTEN" | "DECLARE" | "FETCH" | "PREPARE" | "EXECUTE"
        | "LOCK" | "ATTACH" | "DETACH" | "PRAGMA" | "VACUUM" => Command::Unsupported,
        _ => Command::Other,
    }
}

/// Command tag of a completed statement.
pub fn command_tag(text: &str, rows: usize, changed: u64) -> String {
    let mut words = words(text);
    let first = words.next().unwrap_or_default();
    match first.as_str() {
        "INSERT" | "REPLACE" => format!("INSERT 0 {changed}"),
        "UPDATE" | "DELETE" => format!("{first} {changed}"),
        "SELECT" | "VALUES" | "WITH" => format!("SELECT {rows}"),
        "CREATE" | "DROP" | "ALTER" => {
            let modifiers = ["TEMP", "TEMPORARY", "UNIQUE", "OR", "REPLACE"];
            let object = words.find(|word| !modifiers.contains(&word.as_str()));
            format!("{first} {}", object.unwrap_or_default())
        }
        "START" => "BEGIN".to_owned(),
        "END" => "COMMIT".to_owned(),
        "ABORT" => "ROLLBACK".to_owned(),
        "DISCARD" => "DISCARD ALL".to_owned(),
        _ => first,
    }
}

/// Time by which `trefoil_sleep(MS)` in a statement prolongs the use of its slot.
pub fn sleep_duration(text: &str) -> Duration {
    let name = "trefoil_sleep(";
    let Some(at) = text.find(name) else {
        return Duration::ZERO;
    };
    let digits = text[at + name.len()..].trim_start();
    let end = digits.find(|character: char| !character.is_ascii_digit()).unwrap_or(digits.len());
    Duration::from_millis(digits[..end].parse().unwrap_or_default())
}
