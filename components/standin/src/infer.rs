//! Inference of the types of parameters that a client leaves unspecified.
//!
//! SQLite does not type parameters. A parameter takes the type of the column that
//! it is compared with, computed with or inserted into, if that can be derived
//! from the adjacent tokens. A parameter after `LIMIT` or `OFFSET` is an `int8`, and
//! any other is text.

use std::collections::HashMap;

use rusqlite::Connection;

use crate::value::Kind;

const COLUMNS: &str = "SELECT p.name, p.type FROM sqlite_master AS m, pragma_table_info(m.name) \
                       AS p WHERE m.type = 'table'";

/// Infers the types of the first `count` parameters.
pub fn parameters(connection: &Connection, sql: &str, count: usize) -> Vec<Kind> {
    let mut kinds = vec![Kind::Text; count];
    if count == 0 {
        return kinds;
    }
    let columns = column_kinds(connection).unwrap_or_default();
    let tokens = tokenize(sql);
    let inserted = insert_columns(&tokens);
    for (at, token) in tokens.iter().enumerate() {
        let Some(kind) = parameter_number(token).and_then(|number| kinds.get_mut(number - 1))
        else {
            continue;
        };
        let column = adjacent_column(&tokens, at).or_else(|| inserted.get(&at).cloned());
        match column.as_deref() {
            Some("limit" | "offset") => *kind = Kind::Int8,
            Some(name) => *kind = columns.get(name).copied().unwrap_or(*kind),
            None => {}
        }
    }
    kinds
}

fn column_kinds(connection: &Connection) -> rusqlite::Result<HashMap<String, Kind>> {
    let mut prepared = connection.prepare_cached(COLUMNS)?;
    let rows = prepared.query_map([], |row| {
        let (name, declared): (String, String) = (row.get(0)?, row.get(1)?);
        Ok((name.to_ascii_lowercase(), Kind::from_declaration(&declared)))
    })?;
    rows.collect()
}

fn parameter_number(token: &str) -> Option<usize> {
    token.strip_prefix('$')?.parse().ok().filter(|number| *number > 0)
}

fn is_operator(token: &str) -> bool {
    token.chars().all(|character| "=<>!+-*/".contains(character))
}

// keyword `limit` or `offset` if it precedes the token at `at`, else the operand on
// the other side of an operator next to that token
fn adjacent_column(tokens: &[String], at: usize) -> Option<String> {
    let before = at.checked_sub(1).map(|at| tokens[at].as_str());
    if let Some(word @ ("limit" | "offset")) = before {
        return Some(word.to_owned());
    }
    if before.is_some_and(is_operator) {
        return at.checked_sub(2).map(|at| tokens[at].clone());
    }
    let after = tokens.get(at + 1).is_some_and(|token| is_operator(token));
    after.then(|| tokens.get(at + 2).cloned()).flatten()
}

// columns that an INSERT assigns its values to, by the index of the value's token
fn insert_columns(tokens: &[String]) -> HashMap<usize, String> {
    let mut columns = HashMap::new();
    let Some(open) = tokens.iter().position(|token| token == "(") else {
        return columns;
    };
    if tokens.first().is_none_or(|token| token != "insert") {
        return columns;
    }
    let Some(values) = tokens.iter().position(|token| token == "values") else {
        return columns;
    };
    let list = tokens[open..values.max(open)].iter();
    let names: Vec<_> = list.filter(|token| !["(", ",", ")"].contains(&token.as_str())).collect();
    let mut column = 0;
    for (at, token) in tokens.iter().enumerate().skip(values) {
        match token.as_str() {
            "(" => column = 0,
            "," => column += 1,
            _ => {
                if let Some(name) = names.get(column) {
                    columns.insert(at, (*name).clone());
                }
            }
        }
    }
    columns
}

fn tokenize(sql: &str) -> Vec<String> {
    let mut tokens = Vec::new();
    let mut word = String::new();
    let mut operator = String::new();
    for character in sql.chars() {
        let in_word = character.is_alphanumeric() || "_$'".contains(character);
        let in_operator = "=<>!+-*/".contains(character);
        if !in_word && !word.is_empty() {
            tokens.push(std::mem::take(&mut word));
        }
        if !in_operator && !operator.is_empty() {
            tokens.push(std::mem::take(&mut operator));
        }
        match character {
            _ if in_word => word.extend(character.to_lowercase()),
            _ if in_operator => operator.push(character),
            _ if character.is_whitespace() || character == '.' => {}
            other => tokens.push(other.to_string()),
        }
    }
    tokens.extend([word, operator].into_iter().filter(|token| !token.is_empty()));
    tokens
}
