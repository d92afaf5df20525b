//! Access of services to database groups, and the declared rules of requests.

use config::model::Class;
use config::{Declarations, Rule};
use control::State;
use pg::scan::{Scan, Statement, Verb, strip_leading_comments};

use std::sync::Arc;

use base::prelude::*;
use pg::{Code, Problem};

/// How an admitted request is to be run.
#[derive(Clone, Debug, PartialEq)]
pub struct Admission {
    /// Declared rule of the request.
    pub rule: Rule,
    /// Time that the request may take in total, over all attempts.
    pub deadline: Duration,
    /// Version of the declarations that admitted the request.
    pub version: u64,
    /// Declarations of that version.
    pub declarations: Arc<Declarations>,
}

/// Checks that a service may use a database group.
///
/// # Errors
/// The reason why the service may not use it.
pub fn check_access(state: &State, service: &str, group: &str) -> Result<(), Problem> {
    let declarations = &state.declarations;
    if !declarations.services.contains_key(service) {
        let message = format!("service `{service}` is not declared");
        return Err(Problem::new(Code::Login, message));
    }
    if !declarations.groups.contains_key(group) {
        let message = format!("database group `{group}` is not declared");
        return Err(Problem::new(Code::Database, message));
    }
    if !declarations.can_access_group(service, group) {
        let message = format!("no selector opens group `{group}` to service `{service}`");
        return Err(Problem::new(Code::Login, message));
    }
    Ok(())
}

/// Admits a request that consists of `texts`.
///
/// A request runs under [`Rule::UNDECLARED`] if its texts have different rules, if a
/// statement affects its transaction (such as BEGIN, COMMIT, ROLLBACK TO or CALL) or
/// is allowed only within one, or if a text holds several statements and no tag
/// that names its kind.
///
/// # Errors
/// As [`check_access`].
pub fn admit<'a>(
    state: &State,
    service: &str,
    group: &str,
    texts: impl Iterator<Item = (&'a str, &'a Scan)>,
) -> Result<Admission, Problem> {
    check_access(state, service, group)?;
    let mut rules = texts.map(|(text, scan)| rule(state, service, group, text, scan));
    let first = rules.next().unwrap_or(Rule::UNDECLARED);
    let rule = if rules.all(|rule| rule == first) { first } else { Rule::UNDECLARED };
    let limits = state.declarations.services.get(service);
    let deadline = limits.map_or(Duration::ZERO, config::Service::deadline);
    let declarations = Arc::clone(&state.declarations);
    Ok(Admission { rule, deadline, version: state.version, declarations })
}

fn rule(state: &State, service: &str, group: &str, text: &str, scan: &Scan) -> Rule {
    let plain = |statement: &Statement| matches!(statement, Statement::Remote(Verb::Other));
    let single = scan.statements.len() == 1;
    if !scan.statements.iter().all(plain) || !(single || scan.tag.is_some()) {
        return Rule::UNDECLARED;
    }
    state.declarations.rule(service, group, scan.tag.as_deref(), strip_leading_comments(text))
}

/// Converts a class to its form on the link to keepers.
pub fn wire_class(class: Class) -> wire::data::Class {
    match class {
        Class::Write => wire::data::Class::Write,
        Class::Idempotent => wire::data::Class::Idempotent,
        Class::Read => wire::data::Class::Read,
    }
}
