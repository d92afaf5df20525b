//! As much of SQL as a server must see before SQLite does.

use base::prelude::*;

/// What a statement asks of the session rather than of the database.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Nothing but white space and comments.
    Empty,
    /// Opens a transaction.
    Begin,
    /// Ends it and keeps its work.
    Commit,
    /// Ends it and drops its work.
    Rollback,
    /// Sets or releases a savepoint.
    Savepoint,
    /// Goes back to a savepoint.
    RollbackTo,
    /// Sets a parameter; it has no effect.
    Set,
    /// Shows a parameter.
    Show(String),
    /// Forgets the session's state.
    Discard,
    /// Is not offered.
    Unsupported,
    /// A statement for the database.
    Other,
}

/// Splits a text at the semicolons between its statements.
pub fn split_statements(text: &str) -> Vec<&str> {
    let mut parts = Vec::new();
    let mut start = 0;
    let mut at = 0;
    while at < text.len() {
        if text.as_bytes()[at] == b';' {
            parts.push(&text[start..at]);
            start = at + 1;
        }
        at += token(&text.as_bytes()[at..]);
    }
    parts.push(&text[start..]);
    parts.retain(|part| !strip_leading_comments(part).is_empty());
    parts
}

// bytes of a quoted text or comment that begins here, else one
fn token(bytes: &[u8]) -> usize {
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

/// The text without white space and comments before its first word.
pub fn strip_leading_comments(text: &str) -> &str {
    let mut rest = text.trim();
    while rest.starts_with("--") || rest.starts_with("/*") {
        rest = rest[token(rest.as_bytes())..].trim_start();
    }
    rest
}

/// The first words of a statement, in upper case.
pub fn words(text: &str) -> impl Iterator<Item = String> + use<'_> {
    strip_leading_comments(text)
        .split(|character: char| !(character.is_alphanumeric() || character == '_'))
        .filter(|word| !word.is_empty())
        .map(str::to_ascii_uppercase)
}

/// What a statement asks of the session.
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

/// The tag of a statement that has completed.
pub fn command_tag(text: &str, rows: usize, changed: u64) -> String {
    let mut words = words(text);
    let first = words.next().unwrap_or_default();
    match first.as_str() {
        "INSERT" | "REPLACE" => format!("INSERT 0 {changed}"),
        "UPDATE" | "DELETE" => format!("{first} {changed}"),
        "SELECT" | "VALUES" | "WITH" => format!("SELECT {rows}"),
        "CREATE" | "DROP" | "ALTER" => {
            let passed = ["TEMP", "TEMPORARY", "UNIQUE", "OR", "REPLACE"];
            let object = words.find(|word| !passed.contains(&word.as_str()));
            format!("{first} {}", object.unwrap_or_default())
        }
        "START" => "BEGIN".to_owned(),
        "END" => "COMMIT".to_owned(),
        "ABORT" => "ROLLBACK".to_owned(),
        "DISCARD" => "DISCARD ALL".to_owned(),
        _ => first,
    }
}

/// The time that a statement asks to hold its slot by `trefoil_sleep(MS)`.
pub fn sleep_duration(text: &str) -> Duration {
    let name = "trefoil_sleep(";
    let Some(at) = text.find(name) else {
        return Duration::ZERO;
    };
    let digits = text[at + name.len()..].trim_start();
    let end = digits.find(|character: char| !character.is_ascii_digit()).unwrap_or(digits.len());
    Duration::from_millis(digits[..end].parse().unwrap_or_default())
}
