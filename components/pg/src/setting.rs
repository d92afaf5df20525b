//! Session settings that the front answers without a backend server.
//!
//! Connections to backend servers are shared, so all settings except [`SESSION`] and
//! [`APPLICATION`] have fixed values that a caller can't change. A SET to the fixed value
//! succeeds without effect; a SET to any other value is refused.

use sqlparser::tokenizer::Token;

use crate::scan::{Feature, Statement, Verb, word};

/// Name of the setting that carries the session token.
pub const SESSION: &str = "trefoil.session";

/// Name of the setting with the application name, which a caller may set to any value.
pub const APPLICATION: &str = "application_name";

/// Version of PostgreSQL that is reported to callers.
pub const SERVER_VERSION: &str = "16.0";

/// Statement that the front answers without a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Local {
    /// Merges the positions in a session token into the session, so that the session's
    /// reads include the writes that the token covers.
    SetSession(String),
    /// Shows the token of the session.
    ShowSession,
    /// Resets the session to one without a token.
    ResetSession,
    /// Sets the application name of the caller.
    SetApplication(String),
    /// Shows the application name.
    ShowApplication,
    /// Sets a setting to its fixed value, without effect.
    Set,
    /// Resets a setting to its fixed value, without effect.
    Reset,
    /// Shows the fixed value of a setting.
    Show {
        /// Name of the setting.
        name: &'static str,
        /// Value of the setting.
        value: &'static str,
    },
    /// Answers DISCARD ALL, which closes all prepared statements of the session. The
    /// session token and the application name are kept.
    DiscardAll,
    /// Closes all prepared statements of the session.
    DeallocateAll,
}

impl Local {
    /// Command tag of the answer.
    pub fn tag(&self) -> &'static str {
        match self {
            Self::SetSession(_) | Self::SetApplication(_) | Self::Set => "SET",
            Self::ShowSession | Self::ShowApplication | Self::Show { .. } => "SHOW",
            Self::ResetSession | Self::Reset => "RESET",
            Self::DiscardAll => "DISCARD ALL",
            Self::DeallocateAll => "DEALLOCATE ALL",
        }
    }

    /// Name of the column in the answer, or `None` if the answer has no rows.
    pub fn column(&self) -> Option<&'static str> {
        match self {
            Self::ShowSession => Some(SESSION),
            Self::ShowApplication => Some(APPLICATION),
            Self::Show { name, .. } => Some(name),
            _ => None,
        }
    }
}

/// Setting with a fixed value.
struct Setting {
    name: &'static str,
    value: &'static str,
    /// Accepted spellings of the value, in lower case without spaces or quotes.
    accepted: &'static [&'static str],
}

const fn setting(
    name: &'static str,
    value: &'static str,
    accepted: &'static [&'static str],
) -> Setting {
    Setting { name, value, accepted }
}

const ON: &[&str] = &["on", "true", "yes", "1"];
const OFF: &[&str] = &["off", "false", "no", "0"];
const ZERO: &[&str] = &["0", "0ms", "0s"];

const SETTINGS: &[Setting] = &[
    setting("bytea_output", "hex", &["hex"]),
    setting("client_encoding", "UTF8", &["utf8", "utf-8", "unicode"]),
    setting("client_min_messages", "notice", &["notice"]),
    setting("DateStyle", "ISO, MDY", &["iso", "iso,mdy"]),
    setting("default_transaction_isolation", "read committed", &["readcommitted"]),
    setting("default_transaction_read_only", "off", OFF),
    // all positive values have the same effect since PostgreSQL 12
    setting("extra_float_digits", "1", &["1", "2", "3"]),
    setting("idle_in_transaction_session_timeout", "0", ZERO),
    setting("IntervalStyle", "postgres", &["postgres"]),
    setting("lock_timeout", "0", ZERO),
    setting("search_path", "\"$user\", public", &["$user,public"]),
    setting("standard_conforming_strings", "on", ON),
    setting("statement_timeout", "0", ZERO),
    setting("TimeZone", "UTC", &["utc", "etc/utc"]),
];

/// Settings that are reported to a caller at login, with their values.
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

/// Returns the effect of setting `name` to `value`; `None` stands for the default.
///
/// # Errors
/// [`Feature::Setting`] if the setting can't have this value.
pub fn assign(name: &str, value: Option<&str>) -> Result<Local, Feature> {
    if name.eq_ignore_ascii_case(SESSION) {
        let token = value.filter(|token| !token.is_empty());
        return Ok(token.map_or(Local::ResetSession, |token| Local::SetSession(token.to_owned())));
    }
    if name.eq_ignore_ascii_case(APPLICATION) {
        return Ok(Local::SetApplication(value.unwrap_or_default().to_owned()));
    }
    let setting = find(name).ok_or(Feature::Setting)?;
    let normalized = value.map(normalize);
    match normalized {
        Some(value) if !setting.accepted.contains(&value.as_str()) => Err(Feature::Setting),
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

fn local_or_refused(result: Result<Local, Feature>) -> Statement {
    result.map_or_else(Statement::Refused, Statement::Local)
}

/// Classifies a SET statement by the tokens after SET.
pub(crate) fn set(tokens: &[&Token]) -> Statement {
    match word(tokens.first()).as_deref() {
        // the effect of these statements ends with the transaction
        Some("LOCAL" | "TRANSACTION" | "CONSTRAINTS") => Statement::Remote(Verb::Other),
        Some("SESSION") if word(tokens.get(1)).is_some() => set(&tokens[1..]),
        Some("TIME") if word(tokens.get(1)).is_some_and(|word| word == "ZONE") => {
            local_or_refused(assign("TimeZone", join_values(&tokens[2..]).as_deref()))
        }
        Some("NAMES") => {
            local_or_refused(assign("client_encoding", join_values(&tokens[1..]).as_deref()))
        }
        _ => split_name(tokens).map_or(Statement::Refused(Feature::Setting), |(name, rest)| {
            let is_assignment = match rest.first() {
                Some(Token::Eq) => true,
                token => word(token).is_some_and(|word| word == "TO"),
            };
            if !is_assignment || rest.len() < 2 {
                return Statement::Refused(Feature::Setting);
            }
            local_or_refused(assign(&name, join_values(&rest[1..]).as_deref()))
        }),
    }
}

/// Classifies a RESET statement by the tokens after RESET.
pub(crate) fn reset(tokens: &[&Token]) -> Statement {
    let Some((name, _)) = split_name(tokens) else {
        return Statement::Refused(Feature::Setting);
    };
    if name.eq_ignore_ascii_case("all") {
        return Statement::Local(Local::Reset);
    }
    match assign(&name, None) {
        Ok(Local::Set) => Statement::Local(Local::Reset),
        result => local_or_refused(result),
    }
}

/// Classifies a SHOW statement by the tokens after SHOW.
pub(crate) fn show(tokens: &[&Token]) -> Statement {
    let Some((name, _)) = split_name(tokens) else {
        return Statement::Remote(Verb::Other);
    };
    if name.eq_ignore_ascii_case(SESSION) {
        return Statement::Local(Local::ShowSession);
    }
    if name.eq_ignore_ascii_case(APPLICATION) {
        return Statement::Local(Local::ShowApplication);
    }
    let reported = REPORTED.iter().find(|(reported, _)| reported.eq_ignore_ascii_case(&name));
    let fixed = find(&name).map(|setting| (setting.name, setting.value));
    match fixed.or(reported.copied()) {
        Some((name, value)) => Statement::Local(Local::Show { name, value }),
        None => Statement::Remote(Verb::Other),
    }
}

/// Splits a name, which may contain periods, from the tokens after it.
fn split_name<'a, 'b>(tokens: &'a [&'b Token]) -> Option<(String, &'a [&'b Token])> {
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

/// Joins a list of values into one text; `None` if DEFAULT or LOCAL, which stand for the
/// default value, is among them.
fn join_values(tokens: &[&Token]) -> Option<String> {
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
