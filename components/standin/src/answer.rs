//! Encoding of PostgreSQL backend messages into a buffer.

use bytes::{BufMut, BytesMut};
use pgwire::messages::PgWireBackendMessage as Message;
use pgwire::messages::data::{DataRow, FieldDescription, RowDescription};
use pgwire::messages::response::{
    CommandComplete, ErrorResponse, ReadyForQuery, TransactionStatus,
};
use pgwire::messages::startup::ParameterStatus;

use crate::failure::Rejection;
use crate::value::{self, Kind, Value};

const NO_TYPE_MODIFIER: i32 = -1;

/// Severity field of an `ErrorResponse`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "UPPERCASE")]
pub enum Severity {
    /// The statement failed; the session continues.
    Error,
    /// The session ends, and the server closes the connection.
    Fatal,
}

/// Appends an encoded message.
pub fn put(buffer: &mut BytesMut, message: &Message) {
    // encoding fails only for a message longer than the protocol allows; the
    // truncated message then breaks the connection
    drop(message.encode(buffer));
}

/// Appends an `ErrorResponse`.
pub fn put_error(buffer: &mut BytesMut, severity: Severity, rejection: &Rejection) {
    let fields = vec![
        (b'S', severity.to_string()),
        (b'V', severity.to_string()),
        (b'C', rejection.state.code().to_owned()),
        (b'M', rejection.message.clone()),
    ];
    put(buffer, &Message::ErrorResponse(ErrorResponse::new(fields)));
}

/// Appends the `RowDescription` of a result.
pub fn put_row_description(buffer: &mut BytesMut, columns: &[(String, Kind)], formats: &[i16]) {
    let field = |(index, (name, kind)): (usize, &(String, Kind))| {
        let format = i16::from(is_binary(formats, index));
        let (oid, size) = (kind.oid(), kind.size());
        FieldDescription::new(name.clone(), 0, 0, oid, size, NO_TYPE_MODIFIER, format)
    };
    let fields = columns.iter().enumerate().map(field).collect();
    put(buffer, &Message::RowDescription(RowDescription::new(fields)));
}

/// Appends a `DataRow`.
pub fn put_data_row(buffer: &mut BytesMut, row: &[Value], kinds: &[Kind], formats: &[i16]) {
    let mut data = BytesMut::new();
    for (index, (value, kind)) in row.iter().zip(kinds).enumerate() {
        match value::encode(value, *kind, is_binary(formats, index)) {
            None => data.put_i32(-1),
            Some(bytes) => {
                data.put_i32(i32::try_from(bytes.len()).unwrap_or(i32::MAX));
                data.put_slice(&bytes);
            }
        }
    }
    let count = i16::try_from(row.len()).unwrap_or(i16::MAX);
    put(buffer, &Message::DataRow(DataRow::new(data, count)));
}

/// Whether the column or parameter at `index` is in binary format. Without format
/// codes, all are in text format; a single code applies to all.
pub fn is_binary(formats: &[i16], index: usize) -> bool {
    match formats {
        [] => false,
        [all] => *all == 1,
        each => each.get(index) == Some(&1),
    }
}

/// Appends a `CommandComplete` with a command tag.
pub fn put_command_complete(buffer: &mut BytesMut, tag: &str) {
    put(buffer, &Message::CommandComplete(CommandComplete::new(tag.to_owned())));
}

/// Appends a `ReadyForQuery`, which ends a query cycle.
pub fn put_ready_for_query(buffer: &mut BytesMut, status: TransactionStatus) {
    put(buffer, &Message::ReadyForQuery(ReadyForQuery::new(status)));
}

/// Appends a `ParameterStatus`.
pub fn put_parameter_status(buffer: &mut BytesMut, name: &str, value: &str) {
    let status = ParameterStatus::new(name.to_owned(), value.to_owned());
    put(buffer, &Message::ParameterStatus(status));
}
