//! The settings that hold for each session.
//!
//! A connection to a backend server is shared, so no caller can change its
//! settings. A caller that sets the value that holds anyway is told that it is
//! set; another value is refused.

use sqlparser::tokenizer::Token;

use crate::scan::{Feature, Statement, Verb, word};

/// Name of the setting that carries the session token.
pub const SESSION: &str = "trefoil.session";

/// Name of the setting that a caller may give any value.
pub const APPLICATION: &str = "application_name";

/// Version of PostgreSQL that callers are told.
pub const SERVER_VERSION: &str = "16.0";

/// What the front answers by itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Local {
    /// Sets the session by a token.
    SetSession(String),
    /// Shows the session's token.
    ShowSession,
    /// Forgets the session.
    ResetSession,
    /// Sets the caller's name for itself.
    SetApplication(String),
    /// Shows it.
    ShowApplication,
    /// Sets what holds anyway.
    Set,
    /// Resets what holds anyway.
    Reset,
    /// Shows what holds.
    Show {
        /// Name of the setting.
        name: &'static str,
        /// Its value.
        value: &'static str,
    },
    /// Drops all that the session holds.
    DiscardAll,
    /// Drops all statements that the session prepared.
    DeallocateAll,
}

impl Local {
    /// The tag that ends the statement.
    pub fn tag(&self) -> &'static str {
        match self {
            Self::SetSession(_) | Self::SetApplication(_) | Self::Set => "SET",
            Self::ShowSession | Self::ShowApplication | Self::Show { .. } => "SHOW",
            Self::ResetSession | Self::Reset => "RESET",
            Self::DiscardAll => "DISCARD ALL",
            Self::DeallocateAll => "DEALLOCATE ALL",
        }
    }

    /// Name of the column that it returns, if it returns one.
    pub fn column(&self) -> Option<&'static str> {
        match self {
            Self::ShowSession => Some(SESSION),
            Self::ShowApplication => Some(APPLICATION),
            Self::Show { name, .. } => Some(name),
            _ => None,
        }
    }
}

struct Setting {
    name: &'static str,
    value: &'static str,
    /// Values that mean the same, in small letters without spaces or quotes.
    same: &'static [&'static str],
}

const fn setting(
    name: &'static str,
    value: &'static str,
    same: &'static [&'static str],
) -> Setting {
    Setting { name, value, same }
}

const ON: &[&str] = &["on", "true", "yes", "1"];
const OFF: &[&str] = &["off", "false", "no", "0"];
const NONE: &[&str] = &["0", "0ms", "0s"];

const SETTINGS: &[Setting] = &[
    setting("bytea_output", "hex", &["hex"]),
    setting("client_encoding", "UTF8", &["utf8", "utf-8", "unicode"]),
    setting("client_min_messages", "notice", &["notice"]),
    setting("DateStyle", "ISO, MDY", &["iso", "iso,mdy"]),
    setting("default_transaction_isolation", "read committed", &["readcommitted"]),
    setting("default_transaction_read_only", "off", OFF),
    setting("extra_float_digits", "1", &["1", "2", "3"]),
    setting("idle_in_transaction_session_timeout", "0", NONE),
    setting("IntervalStyle", "postgres", &["postgres"]),
    setting("lock_timeout", "0", NONE),
    setting("search_path", "\"$user\", public", &["$user,public"]),
    setting("standard_conforming_strings", "on", ON),
    setting("statement_timeout", "0", NONE),
    setting("TimeZone", "UTC", &["utc", "etc/utc"]),
];

/// Settings that a caller is told of at login.
pub const REPORTED: &[(&str, &str)] = &[
    ("server_version", SERVER_VERSION),
    ("server_encoding", "UTF8"),
    ("client_encoding", "UTF8"),
    ("DateStyle", "ISO, MDY"),
    ("default_transaction_read_only", "off"),
    ("in_hot_standby", "off"),
    ("integer_datetimes", "on"),
    ("IntervalStyle", "postgres"),
    ("is_superuser", "off"),
    ("standard_conforming_strings", "on"),
    ("TimeZone", "UTC"),
];

/// What setting a value comes to; `None` stands for the default.
pub fn assign(name: &str, value: Option<&str>) -> Result<Local, Feature> {
    if name.eq_ignore_ascii_case(SESSION) {
        let token = value.filter(|token| !token.is_empty());
        return Ok(token.map_or(Local::ResetSession, |token| Local::SetSession(token.to_owned())));
    }
    if name.eq_ignore_ascii_case(APPLICATION) {
        return Ok(Local::SetApplication(value.unwrap_or_default().to_owned()));
    }
    let setting = find(name).ok_or(Feature::Setting)?;
    let normal = value.map(normalize);
    match normal {
        Some(value) if !setting.same.contains(&value.as_str()) => Err(Feature::Setting),
        _ => Ok(Local::Set),
    }
}

fn normalize(value: &str) -> String {
    let kept = value.chars().filter(|c| !c.is_whitespace() && !"'\"".contains(*c));
    kept.flat_map(char::to_lowercase).collect()
}

fn find(name: &str) -> Option<&'static Setting> {
    SETTINGS.iter().find(|setting| setting.name.eq_ignore_ascii_case(name))
}

fn answered(result: Result<Local, Feature>) -> Statement {
    result.map_or_else(Statement::Refused, Statement::Local)
}

/// What follows SET.
pub(crate) fn set(tokens: &[&Token]) -> Statement {
    match word(tokens.first()).as_deref() {
        // these end with the transaction
        Some("LOCAL" | "TRANSACTION" | "CONSTRAINTS") => Statement::Remote(Verb::Other),
        Some("SESSION") if word(tokens.get(1)).is_some() => set(&tokens[1..]),
        Some("TIME") if word(tokens.get(1)).is_some_and(|word| word == "ZONE") => {
            answered(assign("TimeZone", value(&tokens[2..]).as_deref()))
        }
        Some("NAMES") => answered(assign("client_encoding", value(&tokens[1..]).as_deref())),
        _ => named(tokens).map_or(Statement::Refused(Feature::Setting), |(name, rest)| {
            let is_sign = match rest.first() {
                Some(Token::Eq) => true,
                token => word(token).is_some_and(|word| word == "TO"),
            };
            if !is_sign || rest.len() < 2 {
                return Statement::Refused(Feature::Setting);
            }
            answered(assign(&name, value(&rest[1..]).as_deref()))
        }),
    }
}

/// What follows RESET.
pub(crate) fn reset(tokens: &[&Token]) -> Statement {
    let Some((name, _)) = named(tokens) else {
        return Statement::Refused(Feature::Setting);
    };
    if name.eq_ignore_ascii_case("all") {
        return Statement::Local(Local::Reset);
    }
    match assign(&name, None) {
        Ok(Local::Set) => Statement::Local(Local::Reset),
        result => answered(result),
    }
}

/// What follows SHOW.
pub(crate) fn show(tokens: &[&Token]) -> Statement {
    let Some((name, _)) = named(tokens) else {
        return Statement::Remote(Verb::Other);
    };
    if name.eq_ignore_ascii_case(SESSION) {
        return Statement::Local(Local::ShowSession);
    }
    if name.eq_ignore_ascii_case(APPLICATION) {
        return Statement::Local(Local::ShowApplication);
    }
    let reported = REPORTED.iter().find(|(reported, _)| reported.eq_ignore_ascii_case(&name));
    let held = find(&name).map(|setting| (setting.name, setting.value));
    match held.or(reported.copied()) {
        Some((name, value)) => Statement::Local(Local::Show { name, value }),
        None => Statement::Remote(Verb::Other),
    }
}

/// A name with periods in it, and what follows it.
fn named<'a, 'b>(tokens: &'a [&'b Token]) -> Option<(String, &'a [&'b Token])> {
    let Some(Token::Word(first)) = tokens.first() else {
        return None;
    };
    let mut name = first.value.clone();
    let mut rest = &tokens[1..];
    while let [Token::Period, Token::Word(word), after @ ..] = rest {
        name.push('.');
        name.push_str(&word.value);
        rest = after;
    }
    Some((name, rest))
}

/// A list of values as one text; `None` for DEFAULT.
fn value(tokens: &[&Token]) -> Option<String> {
    let mut text = String::new();
    for token in tokens {
        match token {
            Token::Word(word) if word.quote_style.is_none() && is_default(&word.value) => {
                return None;
            }
            Token::Word(word) => text.push_str(&word.value),
            Token::SingleQuotedString(value) | Token::Number(value, _) => text.push_str(value),
            Token::Comma => text.push(','),
            other => text.push_str(&other.to_string()),
        }
    }
    Some(text)
}

fn is_default(word: &str) -> bool {
    word.eq_ignore_ascii_case("default") || word.eq_ignore_ascii_case("local")
}
