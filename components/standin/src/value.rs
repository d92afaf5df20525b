//! Values with their PostgreSQL types, and the text and binary encodings.

use base::prelude::*;

use crate::failure::{Rejection, SqlState};

/// A value as SQLite stores it.
pub type Value = rusqlite::types::Value;

/// A PostgreSQL type that the stand-in supports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::EnumIter)]
pub enum Kind {
    /// `bool`
    Bool,
    /// `bytea`
    Bytea,
    /// `int8`
    Int8,
    /// `int2`
    Int2,
    /// `int4`
    Int4,
    /// `text`
    Text,
    /// `float4`
    Float4,
    /// `float8`
    Float8,
    /// `varchar`
    Varchar,
}

impl Kind {
    /// OID of the type.
    pub const fn oid(self) -> u32 {
        match self {
            Self::Bool => 16,
            Self::Bytea => 17,
            Self::Int8 => 20,
            Self::Int2 => 21,
            Self::Int4 => 23,
            Self::Text => 25,
            Self::Float4 => 700,
            Self::Float8 => 701,
            Self::Varchar => 1043,
        }
    }

    /// Length of the type in bytes, -1 if variable.
    pub const fn size(self) -> i16 {
        match self {
            Self::Bool => 1,
            Self::Int2 => 2,
            Self::Int4 | Self::Float4 => 4,
            Self::Int8 | Self::Float8 => 8,
            Self::Bytea | Self::Text | Self::Varchar => -1,
        }
    }

    /// The type with an OID; text if the OID is unknown.
    pub fn from_oid(oid: u32) -> Self {
        use strum::IntoEnumIterator;
        Self::iter().find(|kind| kind.oid() == oid).unwrap_or(Self::Text)
    }

    /// The type of a column by its SQL declaration; text if the declaration is
    /// unknown.
    pub fn from_declaration(declared: &str) -> Self {
        let word = declared.to_ascii_lowercase();
        let word = word.split(['(', ' ']).next().unwrap_or_default();
        match word {
            "bool" | "boolean" => Self::Bool,
            "bytea" | "blob" => Self::Bytea,
            "smallint" | "int2" => Self::Int2,
            "int" | "integer" | "int4" | "serial" => Self::Int4,
            "bigint" | "int8" | "bigserial" => Self::Int8,
            "float4" => Self::Float4,
            "real" | "double" | "float" | "float8" | "numeric" => Self::Float8,
            "varchar" | "character" => Self::Varchar,
            _ => Self::Text,
        }
    }

    /// The type of a value whose column has no declared type.
    pub fn from_value(value: &Value) -> Self {
        match value {
            Value::Integer(_) => Self::Int8,
            Value::Real(_) => Self::Float8,
            Value::Blob(_) => Self::Bytea,
            Value::Null | Value::Text(_) => Self::Text,
        }
    }
}

/// Encodes a value for a `DataRow`; `None` stands for null.
pub fn encode(value: &Value, kind: Kind, binary: bool) -> Option<Vec<u8>> {
    if matches!(value, Value::Null) {
        return None;
    }
    Some(if binary { encode_binary(value, kind) } else { encode_text(value, kind).into_bytes() })
}

fn encode_text(value: &Value, kind: Kind) -> String {
    match (value, kind) {
        (Value::Null, _) => String::new(),
        (Value::Integer(number), Kind::Bool) => (if *number == 0 { "f" } else { "t" }).to_owned(),
        (Value::Integer(number), _) => number.to_string(),
        (Value::Real(number), _) => number.to_string(),
        (Value::Text(text), _) => text.clone(),
        (Value::Blob(bytes), _) => encode_hex(bytes),
    }
}

fn encode_hex(bytes: &[u8]) -> String {
    use std::fmt::Write;
    bytes.iter().fold("\\x".to_owned(), |mut text, byte| {
        write!(text, "{byte:02x}").expect("writing to a String cannot fail");
        text
    })
}

fn encode_binary(value: &Value, kind: Kind) -> Vec<u8> {
    match kind {
        Kind::Bool => vec![u8::from(integer(value) != 0)],
        Kind::Int2 => (integer(value) as i16).to_be_bytes().to_vec(),
        Kind::Int4 => (integer(value) as i32).to_be_bytes().to_vec(),
        Kind::Int8 => integer(value).to_be_bytes().to_vec(),
        Kind::Float4 => (real(value) as f32).to_be_bytes().to_vec(),
        Kind::Float8 => real(value).to_be_bytes().to_vec(),
        Kind::Text | Kind::Varchar => encode_text(value, kind).into_bytes(),
        Kind::Bytea => match value {
            Value::Blob(bytes) => bytes.clone(),
            other => encode_text(other, kind).into_bytes(),
        },
    }
}

fn integer(value: &Value) -> i64 {
    match value {
        Value::Integer(number) => *number,
        Value::Real(number) => *number as i64,
        Value::Text(text) => text.trim().parse().unwrap_or_default(),
        Value::Null | Value::Blob(_) => 0,
    }
}

fn real(value: &Value) -> f64 {
    match value {
        Value::Integer(number) => *number as f64,
        Value::Real(number) => *number,
        Value::Text(text) => text.trim().parse().unwrap_or_default(),
        Value::Null | Value::Blob(_) => 0.0,
    }
}

/// Decodes the value of a parameter; `None` stands for null.
///
/// # Errors
/// [`SqlState::InvalidValue`] if the bytes are not a valid value of the type.
pub fn decode(bytes: Option<&[u8]>, kind: Kind, binary: bool) -> Result<Value, Rejection> {
    let Some(bytes) = bytes else {
        return Ok(Value::Null);
    };
    if binary { decode_binary(bytes, kind) } else { decode_text(bytes, kind) }
}

fn invalid(kind: Kind) -> Rejection {
    Rejection::new(SqlState::InvalidValue, format!("invalid value of type {kind:?}"))
}

fn decode_text(bytes: &[u8], kind: Kind) -> Result<Value, Rejection> {
    let text = str::from_utf8(bytes).map_err(|_ignored| invalid(kind))?;
    let number = || text.trim().parse().map_err(|_ignored| invalid(kind));
    Ok(match kind {
        Kind::Bool => match text.trim().to_ascii_lowercase().as_str() {
            "t" | "true" | "1" | "on" | "yes" => Value::Integer(1),
            "f" | "false" | "0" | "off" | "no" => Value::Integer(0),
            _ => return Err(invalid(kind)),
        },
        Kind::Int2 | Kind::Int4 | Kind::Int8 => Value::Integer(number()?),
        Kind::Float4 | Kind::Float8 => {
            Value::Real(text.trim().parse().map_err(|_ignored| invalid(kind))?)
        }
        Kind::Text | Kind::Varchar | Kind::Bytea => Value::Text(text.to_owned()),
    })
}

fn decode_binary(bytes: &[u8], kind: Kind) -> Result<Value, Rejection> {
    Ok(match kind {
        Kind::Bool => Value::Integer(i64::from(u8::from_be_bytes(to_array(bytes, kind)?) != 0)),
        Kind::Int2 => Value::Integer(i64::from(i16::from_be_bytes(to_array(bytes, kind)?))),
        Kind::Int4 => Value::Integer(i64::from(i32::from_be_bytes(to_array(bytes, kind)?))),
        Kind::Int8 => Value::Integer(i64::from_be_bytes(to_array(bytes, kind)?)),
        Kind::Float4 => Value::Real(f64::from(f32::from_be_bytes(to_array(bytes, kind)?))),
        Kind::Float8 => Value::Real(f64::from_be_bytes(to_array(bytes, kind)?)),
        Kind::Text | Kind::Varchar => {
            let text = str::from_utf8(bytes).map_err(|_ignored| invalid(kind))?;
            Value::Text(text.to_owned())
        }
        Kind::Bytea => Value::Blob(bytes.to_vec()),
    })
}

fn to_array<const N: usize>(bytes: &[u8], kind: Kind) -> Result<[u8; N], Rejection> {
    bytes.try_into().map_err(|_ignored| invalid(kind))
}

/// Converts a status report to a row, in the order of `backend::sql::COLUMNS`.
pub fn status_row(status: &Status) -> Vec<Value> {
    let number = |number: u64| Value::Integer(number.cast_signed());
    vec![
        Value::Text(status.server.to_string()),
        number(status.incarnation),
        number(status.term.0),
        number(status.log_term.0),
        number(status.received.0),
        number(status.applied.0),
        Value::Text(status.role.to_string()),
        number(status.silence.as_millis() as u64),
        Value::Text(status.history.to_string()),
        number(status.version),
    ]
}
