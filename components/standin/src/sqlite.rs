//! The SQLite database of a server.

use std::path::Path;

use rusqlite::Connection;
use rusqlite::functions::FunctionFlags;

use crate::failure::{Rejection, SqlState};
use crate::infer;
use crate::log::Statement;
use crate::value::{Kind, Value};

const CACHED_STATEMENTS: usize = 256;
const BUSY_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(5);

/// A column of a result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Column {
    /// Name of the column.
    pub name: String,
    /// Declared type, if the result's column is a column of a table.
    pub declared: Option<Kind>,
}

/// The result of a statement.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Output {
    /// Columns; empty for a statement that returns no rows.
    pub columns: Vec<Column>,
    /// Values by row and column.
    pub rows: Vec<Vec<Value>>,
    /// Number of rows inserted, updated or deleted.
    pub changed: u64,
    /// Whether the statement only reads.
    pub read_only: bool,
}

impl Output {
    /// Type of a column: as declared, else by the first non-null value, else text.
    pub fn kind(&self, column: usize) -> Kind {
        let by_value = || {
            let values = self.rows.iter().map(|row| &row[column]);
            let first = values.into_iter().find(|value| !matches!(value, Value::Null));
            first.map_or(Kind::Text, Kind::from_value)
        };
        self.columns[column].declared.unwrap_or_else(by_value)
    }

    /// Types of all columns.
    pub fn kinds(&self) -> Vec<Kind> {
        (0..self.columns.len()).map(|column| self.kind(column)).collect()
    }
}

/// Opens a database, and creates the file if there is none.
///
/// # Errors
/// Errors of SQLite.
pub fn open(path: &Path) -> rusqlite::Result<Connection> {
    let connection = Connection::open(path)?;
    connection.busy_timeout(BUSY_TIMEOUT)?;
    connection.execute_batch("PRAGMA journal_mode = WAL; PRAGMA synchronous = OFF;")?;
    connection.set_prepared_statement_cache_capacity(CACHED_STATEMENTS);
    let flags = FunctionFlags::SQLITE_UTF8;
    // `trefoil_sleep` only returns its argument, since the session has already waited
    // for that time when SQLite runs the statement
    connection.create_scalar_function("trefoil_sleep", 1, flags, |call| call.get::<i64>(0))?;
    connection
        .create_scalar_function("version", 0, flags, |_call| Ok("PostgreSQL 16.0 stand-in"))?;
    Ok(connection)
}

/// Runs a statement and collects its whole result.
///
/// # Errors
/// The error of SQLite with the closest SQLSTATE, or [`SqlState::ProtocolViolation`]
/// if a parameter has no value.
pub fn run(connection: &Connection, statement: &Statement) -> Result<Output, Rejection> {
    let mut prepared = connection.prepare_cached(&statement.sql)?;
    bind(&mut prepared, &statement.values)?;
    let read_only = prepared.readonly();
    if prepared.column_count() == 0 {
        let changed = prepared.raw_execute()? as u64;
        return Ok(Output { changed, read_only, ..Output::default() });
    }
    let columns = columns(&prepared);
    let mut rows = Vec::new();
    let mut cursor = prepared.raw_query();
    while let Some(row) = cursor.next()? {
        let values = (0..columns.len()).map(|column| row.get(column));
        rows.push(values.collect::<rusqlite::Result<Vec<Value>>>()?);
    }
    let changed = if read_only { 0 } else { connection.changes() };
    Ok(Output { columns, rows, changed, read_only })
}

fn bind(prepared: &mut rusqlite::Statement<'_>, values: &[Value]) -> Result<(), Rejection> {
    for index in 1..=prepared.parameter_count() {
        let number = parameter_number(prepared, index);
        let value = number.checked_sub(1).and_then(|at| values.get(at));
        let missing = || {
            Rejection::new(SqlState::ProtocolViolation, format!("parameter ${number} is missing"))
        };
        prepared.raw_bind_parameter(index, value.ok_or_else(missing)?)?;
    }
    Ok(())
}

// the number in a name such as `$1`, since SQLite numbers parameters by first
// appearance
fn parameter_number(prepared: &rusqlite::Statement<'_>, index: usize) -> usize {
    let name = prepared.parameter_name(index).unwrap_or_default();
    name.trim_start_matches(['$', '?']).parse().unwrap_or(index)
}

fn columns(prepared: &rusqlite::Statement<'_>) -> Vec<Column> {
    let column = |column: rusqlite::Column<'_>| Column {
        name: column.name().to_owned(),
        declared: column.decl_type().map(Kind::from_declaration),
    };
    prepared.columns().map(column).collect()
}

/// Whether a statement only reads.
///
/// # Errors
/// A rejection if the statement can't be prepared.
pub fn is_read_only(connection: &Connection, sql: &str) -> Result<bool, Rejection> {
    Ok(connection.prepare_cached(sql)?.readonly())
}

/// Parameters and columns of a prepared statement.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Description {
    /// Types of the parameters; text where no type could be inferred.
    pub parameters: Vec<Kind>,
    /// Names and types of the columns.
    pub columns: Vec<(String, Kind)>,
}

/// Describes a statement. If a read has a column without a declared type, the
/// statement runs with all parameters null, and the type follows from the values
/// of that result.
///
/// # Errors
/// A rejection if the statement can't be prepared.
pub fn describe(connection: &Connection, sql: &str) -> Result<Description, Rejection> {
    let prepared = connection.prepare_cached(sql)?;
    let numbers = (1..=prepared.parameter_count()).map(|index| parameter_number(&prepared, index));
    let parameters = infer::parameters(connection, sql, numbers.max().unwrap_or_default());
    let mut output = Output { columns: columns(&prepared), ..Output::default() };
    let undeclared = output.columns.iter().any(|column| column.declared.is_none());
    if undeclared && prepared.readonly() {
        drop(prepared);
        let values = vec![Value::Null; parameters.len()];
        let result = run(connection, &Statement { sql: sql.to_owned(), values });
        output.rows = result.map(|result| result.rows).unwrap_or_default();
    }
    let kinds = output.kinds();
    let names = output.columns.into_iter().map(|column| column.name);
    Ok(Description { parameters, columns: names.zip(kinds).collect() })
}
