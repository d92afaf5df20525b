//! Classification of SQL text by its tokens.
//!
//! The text is not parsed: a statement is classified by its first words, and by a few
//! words that are not supported anywhere in it.

use std::borrow::Cow;

use smallvec::SmallVec;
use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::tokenizer::{Token, Tokenizer, Whitespace};

use crate::code::{Code, Problem};
use crate::setting::{self, Local};

/// Key in a SQL comment whose value names the kind of a request.
pub const KIND_KEY: &str = "kind";

/// Reason for refusing a request, such as a feature of PostgreSQL that a shared connection
/// can't support.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
pub enum Feature {
    /// LISTEN and UNLISTEN.
    #[strum(serialize = "LISTEN and UNLISTEN are not carried")]
    Listen,
    /// PREPARE, EXECUTE and DEALLOCATE of a named statement.
    #[strum(serialize = "PREPARE, EXECUTE and DEALLOCATE are not carried; \
                         prepare statements by the protocol")]
    Prepare,
    /// PREPARE TRANSACTION, COMMIT PREPARED and ROLLBACK PREPARED.
    #[strum(serialize = "two-phase transactions are not carried")]
    TwoPhase,
    /// Cursor that stays open after its transaction.
    #[strum(serialize = "DECLARE WITH HOLD is not carried")]
    Hold,
    /// LOAD of a shared library.
    #[strum(serialize = "LOAD is not carried")]
    Load,
    /// DISCARD other than DISCARD ALL.
    #[strum(serialize = "DISCARD is not carried; DISCARD ALL is")]
    Discard,
    /// COPY in either direction.
    #[strum(serialize = "COPY is not carried")]
    Copy,
    /// Temporary tables, views and sequences.
    #[strum(serialize = "temporary objects are not carried")]
    Temporary,
    /// Advisory locks that are held after their transaction.
    #[strum(serialize = "advisory locks of a session are not carried; \
                         those of a transaction are (pg_advisory_xact_lock)")]
    AdvisoryLock,
    /// Last values that sequences returned in this session.
    #[strum(serialize = "currval and lastval are carried in a transaction only")]
    SequenceState,
    /// Change of a session setting.
    #[strum(serialize = "this setting can't be changed for a session; \
                         SET LOCAL in a transaction is carried")]
    Setting,
    /// Statements for the front and for a backend server in one request.
    #[strum(serialize = "statements about the session go in requests of their own")]
    Mixed,
    /// Text that can't be split into tokens.
    #[strum(serialize = "the statement can't be read: a quote or comment is not closed")]
    Unreadable,
    /// Flush after messages that bind or execute a statement outside of a transaction,
    /// other than to begin one.
    #[strum(serialize = "Flush after a statement that runs outside a transaction is not \
                         carried; end the cycle with Sync. Nothing of it was run")]
    Flush,
    /// Function calls by object id, with the `FunctionCall` message.
    #[strum(serialize = "calls of functions by number are not carried")]
    FunctionCall,
    /// Replication connections.
    #[strum(serialize = "replication is not carried")]
    Replication,
}

impl From<Feature> for Problem {
    fn from(feature: Feature) -> Self {
        let message: &'static str = feature.into();
        Self::new(Code::Feature, message)
    }
}

/// Effect of a statement on the transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verb {
    /// Begins a transaction.
    Begin,
    /// Commits the transaction.
    Commit,
    /// Rolls the transaction back.
    Rollback,
    /// Rolls back to a savepoint.
    RollbackTo,
    /// Runs code that may itself commit.
    Call,
    /// Has none of these effects.
    Other,
}

/// Class of a statement, which tells how it is handled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Statement {
    /// Statement that is sent to a backend server.
    Remote(Verb),
    /// Statement that is sent to a backend server in a transaction, and refused outside of
    /// one.
    InTransaction(Feature),
    /// Statement that the front answers.
    Local(Local),
    /// Statement that is refused for this reason.
    Refused(Feature),
}

/// Classification of a SQL text.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Scan {
    /// Classes of the statements in the text, without empty statements.
    pub statements: SmallVec<[Statement; 1]>,
    /// Kind of the request: the value of [`KIND_KEY`] in a comment in the text.
    pub tag: Option<String>,
}

impl Scan {
    /// Classifies a text.
    pub fn new(text: &str) -> Self {
        let tokens = Tokenizer::new(&PostgreSqlDialect {}, text).with_unescape(false).tokenize();
        let Ok(tokens) = tokens else {
            let statements = SmallVec::from_elem(Statement::Refused(Feature::Unreadable), 1);
            return Self { statements, tag: None };
        };
        let tag = tokens.iter().find_map(|token| match token {
            Token::Whitespace(Whitespace::MultiLineComment(comment)) => read_kind(comment),
            _ => None,
        });
        let significant: Vec<&Token> =
            tokens.iter().filter(|token| !matches!(token, Token::Whitespace(_))).collect();
        let parts = significant.split(|token| matches!(token, Token::SemiColon));
        let statements = parts.filter(|part| !part.is_empty()).map(classify).collect();
        Self { statements, tag }
    }

    /// Returns the first reason for which the text is refused, if there is one.
    /// `in_transaction` tells whether a transaction is open.
    pub fn refusal(&self, in_transaction: bool) -> Option<Feature> {
        let begins = |statement: &Statement| matches!(statement, Statement::Remote(Verb::Begin));
        let in_transaction = in_transaction || self.statements.first().is_some_and(begins);
        let refused = self.statements.iter().find_map(|statement| match statement {
            Statement::Refused(feature) => Some(*feature),
            Statement::InTransaction(feature) if !in_transaction => Some(*feature),
            _ => None,
        });
        refused.or_else(|| self.is_mixed().then_some(Feature::Mixed))
    }

    /// Whether the front answers all statements of the text.
    pub fn is_local(&self) -> bool {
        let local = |statement: &Statement| matches!(statement, Statement::Local(_));
        !self.statements.is_empty() && self.statements.iter().all(local)
    }

    fn is_mixed(&self) -> bool {
        let local = |statement: &Statement| matches!(statement, Statement::Local(_));
        self.statements.iter().any(local) && !self.is_local()
    }

    /// Whether a statement of the text commits a transaction or may do so.
    pub fn commits(&self) -> bool {
        let commits = |statement: &Statement| {
            matches!(statement, Statement::Remote(Verb::Commit | Verb::Call))
        };
        self.statements.iter().any(commits)
    }

    /// Whether the text is a single statement that begins a transaction.
    pub fn begins(&self) -> bool {
        self.is_verb(Verb::Begin)
    }

    /// Whether the text is a single statement that ends a transaction.
    pub fn ends(&self) -> bool {
        self.is_verb(Verb::Commit) || self.is_verb(Verb::Rollback)
    }

    fn is_verb(&self, verb: Verb) -> bool {
        self.statements[..] == [Statement::Remote(verb)]
    }
}

/// Returns the text without the whitespace and comments before its first word.
pub fn strip_leading_comments(text: &str) -> &str {
    let mut rest = text.trim_start();
    loop {
        let after = if let Some(comment) = rest.strip_prefix("/*") {
            comment.find("*/").map(|end| &comment[end + 2..])
        } else if let Some(comment) = rest.strip_prefix("--") {
            comment.find('\n').map(|end| &comment[end + 1..])
        } else {
            None
        };
        match after {
            Some(after) => rest = after.trim_start(),
            None => return rest,
        }
    }
}

/// Returns an unquoted word in upper case; `None` for any other token.
pub(crate) fn word<'a>(token: Option<&&'a Token>) -> Option<Cow<'a, str>> {
    match token {
        Some(Token::Word(word)) if word.quote_style.is_none() => {
            let is_upper = !word.value.bytes().any(|byte| byte.is_ascii_lowercase());
            Some(if is_upper {
                Cow::Borrowed(word.value.as_str())
            } else {
                Cow::Owned(word.value.to_ascii_uppercase())
            })
        }
        _ => None,
    }
}

/// Classifies the tokens of one statement.
fn classify(tokens: &[&Token]) -> Statement {
    if tokens.iter().any(|token| matches!(token, Token::CopyData { .. })) {
        return Statement::Refused(Feature::Copy);
    }
    let words: SmallVec<[Cow<'_, str>; 4]> =
        (0..4).map_while(|index| word(tokens.get(index))).collect();
    let second = words.get(1).map(AsRef::as_ref);
    let class = match words.first().map(AsRef::as_ref) {
        Some("BEGIN" | "START") => Statement::Remote(Verb::Begin),
        Some("COMMIT" | "END" | "ROLLBACK" | "ABORT") => classify_end(&words),
        Some("CALL" | "DO") => Statement::Remote(Verb::Call),
        Some("LISTEN" | "UNLISTEN") => Statement::Refused(Feature::Listen),
        Some("PREPARE") if second == Some("TRANSACTION") => Statement::Refused(Feature::TwoPhase),
        Some("DEALLOCATE") if words.last().is_some_and(|last| last == "ALL") => {
            Statement::Local(Local::DeallocateAll)
        }
        Some("PREPARE" | "EXECUTE" | "DEALLOCATE") => Statement::Refused(Feature::Prepare),
        Some("DISCARD") if second == Some("ALL") => Statement::Local(Local::DiscardAll),
        Some("DISCARD") => Statement::Refused(Feature::Discard),
        Some("LOAD") => Statement::Refused(Feature::Load),
        Some("COPY") => Statement::Refused(Feature::Copy),
        Some("DECLARE") if has_pair(tokens, "WITH", &["HOLD"]) => Statement::Refused(Feature::Hold),
        Some("CREATE") if is_temporary(&words) => Statement::Refused(Feature::Temporary),
        Some("SELECT" | "WITH") if has_pair(tokens, "INTO", &["TEMP", "TEMPORARY"]) => {
            Statement::Refused(Feature::Temporary)
        }
        Some("SET") => setting::set(&tokens[1..]),
        Some("RESET") => setting::reset(&tokens[1..]),
        Some("SHOW") => setting::show(&tokens[1..]),
        _ => Statement::Remote(Verb::Other),
    };
    match class {
        Statement::Remote(_) => classify_functions(tokens).unwrap_or(class),
        _ => class,
    }
}

/// Classifies COMMIT, END, ROLLBACK and ABORT.
fn classify_end(words: &[Cow<'_, str>]) -> Statement {
    let has = |wanted: &str| words.iter().any(|word| word == wanted);
    let is_commit = words[0] == "COMMIT" || words[0] == "END";
    match is_commit {
        _ if has("PREPARED") => Statement::Refused(Feature::TwoPhase),
        true => Statement::Remote(Verb::Commit),
        false if has("TO") => Statement::Remote(Verb::RollbackTo),
        false => Statement::Remote(Verb::Rollback),
    }
}

fn is_temporary(words: &[Cow<'_, str>]) -> bool {
    let mut words = words.iter().skip(1).map(AsRef::as_ref);
    let kind = words.find(|word| !["GLOBAL", "LOCAL", "OR", "REPLACE"].contains(word));
    matches!(kind, Some("TEMP" | "TEMPORARY"))
}

fn has_pair(tokens: &[&Token], first: &str, second: &[&str]) -> bool {
    tokens.windows(2).any(|pair| {
        let follows = word(pair.get(1)).is_some_and(|word| second.contains(&word.as_ref()));
        follows && word(pair.first()).is_some_and(|word| word == first)
    })
}

/// Returns the class of a statement that uses session state through a function or a
/// temporary schema; `None` if it uses none.
fn classify_functions(tokens: &[&Token]) -> Option<Statement> {
    tokens.iter().enumerate().find_map(|(index, token)| {
        let Token::Word(word) = token else {
            return None;
        };
        let name = word.value.to_ascii_lowercase();
        let called = matches!(tokens.get(index + 1), Some(Token::LParen));
        match name.as_str() {
            "pg_temp" => Some(Statement::Refused(Feature::Temporary)),
            "set_config" if called && !is_local_config(&tokens[index..]) => {
                Some(Statement::Refused(Feature::Setting))
            }
            "currval" | "lastval" if called => {
                Some(Statement::InTransaction(Feature::SequenceState))
            }
            _ if called && is_session_lock(&name) => {
                Some(Statement::Refused(Feature::AdvisoryLock))
            }
            _ => None,
        }
    })
}

fn is_session_lock(name: &str) -> bool {
    let lock = name.strip_prefix("pg_try_advisory_").or(name.strip_prefix("pg_advisory_"));
    lock.is_some_and(|lock| !lock.starts_with("xact_"))
}

/// Whether the last argument of a `set_config` call is `true`, which limits the setting
/// to the transaction.
fn is_local_config(tokens: &[&Token]) -> bool {
    let mut depth = 0_u32;
    for pair in tokens.windows(2) {
        match pair[1] {
            Token::LParen => depth += 1,
            Token::RParen if depth == 1 => {
                return word(pair.first()).is_some_and(|word| word == "TRUE");
            }
            Token::RParen => depth = depth.saturating_sub(1),
            _ => {}
        }
    }
    false
}

/// Returns the value of [`KIND_KEY`] in a comment with sqlcommenter tags
/// (`key='value',...`).
fn read_kind(comment: &str) -> Option<String> {
    comment.split(',').find_map(|pair| {
        let (key, value) = pair.trim().split_once('=')?;
        if decode_percent(key.trim())? != KIND_KEY {
            return None;
        }
        let value = value.trim().strip_prefix('\'')?.strip_suffix('\'')?;
        decode_percent(value)
    })
}

/// Decodes percent-encoded (`%XX`) text; `None` if it is invalid.
fn decode_percent(text: &str) -> Option<String> {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((first, after)) = rest.split_first() {
        rest = after;
        if *first == b'%' {
            let digits = std::str::from_utf8(rest.get(..2)?).ok()?;
            bytes.push(u8::from_str_radix(digits, 16).ok()?);
            rest = &rest[2..];
        } else {
            bytes.push(*first);
        }
    }
    String::from_utf8(bytes).ok()
}
