//! Messages that the front itself sends to a caller.

use bytes::{BufMut, Bytes, BytesMut};
use pgwire::messages::data::{
    DataRow, FieldDescription, NoData, ParameterDescription, RowDescription,
};
use pgwire::messages::extendedquery::{BindComplete, CloseComplete, ParseComplete};
use pgwire::messages::response::{
    CommandComplete, EmptyQueryResponse, ErrorResponse, ReadyForQuery, TransactionStatus,
};
use pgwire::messages::startup::{
    Authentication, BackendKeyData, NegotiateProtocolVersion, ParameterStatus, SecretKey,
};

use crate::code::Problem;
use crate::startup::CancelKey;

/// Object id of the type `text` in PostgreSQL.
const TEXT_OID: u32 = 25;

const FATAL: &str = "FATAL";
const ERROR: &str = "ERROR";

/// Transaction status of a session, as ReadyForQuery reports it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Status {
    /// No transaction is open.
    #[default]
    Idle,
    /// A transaction is open.
    Open,
    /// A transaction is open and has failed.
    Failed,
}

impl Status {
    /// Reads the status byte of a ReadyForQuery message.
    pub fn from_byte(byte: u8) -> Option<Self> {
        match byte {
            b'I' => Some(Self::Idle),
            b'T' => Some(Self::Open),
            b'E' => Some(Self::Failed),
            _ => None,
        }
    }
}

/// Buffer of encoded messages to a caller.
#[derive(Debug, Default)]
pub struct Writer {
    buffer: BytesMut,
}

impl Writer {
    /// Creates an empty buffer.
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of buffered bytes.
    pub fn len(&self) -> usize {
        self.buffer.len()
    }

    /// Whether no byte is buffered.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Returns all buffered bytes and releases the memory of the buffer.
    pub fn take(&mut self) -> Bytes {
        std::mem::take(&mut self.buffer).freeze()
    }

    /// Appends complete messages that are already encoded.
    pub fn raw(&mut self, messages: &[u8]) {
        self.buffer.extend_from_slice(messages);
    }

    fn put(&mut self, message: &impl pgwire::messages::Message) {
        let start = self.buffer.len();
        if message.encode(&mut self.buffer).is_err() {
            self.buffer.truncate(start);
        }
    }

    /// Appends an authentication message.
    pub fn authentication(&mut self, step: &Authentication) {
        self.put(step);
    }

    /// Appends a `NegotiateProtocolVersion`: the minor version is 0, and the `unknown`
    /// protocol options are not supported.
    pub fn negotiate(&mut self, unknown: Vec<String>) {
        self.put(&NegotiateProtocolVersion::new(0, unknown));
    }

    /// Appends a `BackendKeyData` with the key that cancels requests of the session.
    pub fn cancel_key(&mut self, key: CancelKey) {
        self.put(&BackendKeyData::new(key.process, SecretKey::I32(key.secret)));
    }

    /// Appends a `ParameterStatus` with the value of a setting.
    pub fn parameter(&mut self, name: &str, value: &str) {
        self.put(&ParameterStatus::new(name.to_owned(), value.to_owned()));
    }

    /// Appends a ReadyForQuery, which ends the answer to a Query or a Sync.
    pub fn ready(&mut self, status: Status) {
        let status = match status {
            Status::Idle => TransactionStatus::Idle,
            Status::Open => TransactionStatus::Transaction,
            Status::Failed => TransactionStatus::Error,
        };
        self.put(&ReadyForQuery::new(status));
    }

    /// Appends the error of a statement.
    pub fn error(&mut self, problem: &Problem) {
        self.problem(ERROR, problem);
    }

    /// Appends an error that ends the session.
    pub fn fatal(&mut self, problem: &Problem) {
        self.problem(FATAL, problem);
    }

    fn problem(&mut self, severity: &str, problem: &Problem) {
        let mut fields = vec![
            (b'S', severity.to_owned()),
            (b'V', severity.to_owned()),
            (b'C', problem.code.as_str().to_owned()),
            (b'M', problem.message.replace('\0', " ")),
        ];
        if let Some(after) = problem.retry_after {
            fields.push((b'H', format!("retry after {} ms", after.as_millis())));
        }
        self.put(&ErrorResponse::new(fields));
    }

    /// Appends the answer to a Parse.
    pub fn parsed(&mut self) {
        self.put(&ParseComplete::new());
    }

    /// Appends the answer to a Bind.
    pub fn bound(&mut self) {
        self.put(&BindComplete::new());
    }

    /// Appends the answer to a Close.
    pub fn closed(&mut self) {
        self.put(&CloseComplete::new());
    }

    /// Appends the `ParameterDescription` of a statement without parameters.
    pub fn parameters(&mut self) {
        self.put(&ParameterDescription::new(Vec::new()));
    }

    /// Appends the description of rows with one text column, or `NoData` for `None`.
    pub fn column(&mut self, name: Option<&str>) {
        match name {
            Some(name) => {
                let field = FieldDescription::new(name.to_owned(), 0, 0, TEXT_OID, -1, -1, 0);
                self.put(&RowDescription::new(vec![field]));
            }
            None => self.put(&NoData::new()),
        }
    }

    /// Appends a row with one text column.
    pub fn row(&mut self, value: &str) {
        let mut data = BytesMut::with_capacity(4 + value.len());
        data.put_u32(value.len() as u32);
        data.put_slice(value.as_bytes());
        self.put(&DataRow::new(data, 1));
    }

    /// Appends a `CommandComplete` with a command tag such as `SET`.
    pub fn complete(&mut self, tag: &str) {
        self.put(&CommandComplete::new(tag.to_owned()));
    }

    /// Appends the answer to an empty query.
    pub fn empty(&mut self) {
        self.put(&EmptyQueryResponse::new());
    }
}
