//! Messages that the front writes itself.

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

/// Object id of the type `text`.
const TEXT: u32 = 25;

const FATAL: &str = "FATAL";
const ERROR: &str = "ERROR";

/// Status of a session's transaction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Status {
    /// None is open.
    #[default]
    Idle,
    /// One is open.
    Open,
    /// One is open and has failed.
    Failed,
}

impl Status {
    /// The status from the byte of a ReadyForQuery.
    pub fn from_byte(byte: u8) -> Option<Self> {
        match byte {
            b'I' => Some(Self::Idle),
            b'T' => Some(Self::Open),
            b'E' => Some(Self::Failed),
            _ => None,
        }
    }
}

/// Messages on their way to a caller.
#[derive(Debug, Default)]
pub struct Writer {
    buffer: BytesMut,
}

impl Writer {
    /// Makes an empty writer.
    pub fn new() -> Self {
        Self::default()
    }

    /// Bytes that wait.
    pub fn len(&self) -> usize {
        self.buffer.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Takes all that waits and the memory that held it.
    pub fn take(&mut self) -> Bytes {
        std::mem::take(&mut self.buffer).freeze()
    }

    /// Adds whole messages.
    pub fn raw(&mut self, messages: &[u8]) {
        self.buffer.extend_from_slice(messages);
    }

    fn put(&mut self, message: &impl pgwire::messages::Message) {
        let start = self.buffer.len();
        if message.encode(&mut self.buffer).is_err() {
            self.buffer.truncate(start);
        }
    }

    /// Adds a step of the login.
    pub fn authentication(&mut self, step: &Authentication) {
        self.put(step);
    }

    /// Tells which version of the protocol is spoken, and which options are not.
    pub fn negotiate(&mut self, unknown: Vec<String>) {
        self.put(&NegotiateProtocolVersion::new(0, unknown));
    }

    /// Tells the number and secret by which the session can be cancelled.
    pub fn cancel_key(&mut self, key: CancelKey) {
        self.put(&BackendKeyData::new(key.process, SecretKey::I32(key.secret)));
    }

    /// Tells the value of a setting.
    pub fn parameter(&mut self, name: &str, value: &str) {
        self.put(&ParameterStatus::new(name.to_owned(), value.to_owned()));
    }

    /// Ends a cycle.
    pub fn ready(&mut self, status: Status) {
        let status = match status {
            Status::Idle => TransactionStatus::Idle,
            Status::Open => TransactionStatus::Transaction,
            Status::Failed => TransactionStatus::Error,
        };
        self.put(&ReadyForQuery::new(status));
    }

    /// Tells of an error in a statement.
    pub fn error(&mut self, problem: &Problem) {
        self.problem(ERROR, problem);
    }

    /// Tells of an error that ends the session.
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

    /// Answers a Parse.
    pub fn parsed(&mut self) {
        self.put(&ParseComplete::new());
    }

    /// Answers a Bind.
    pub fn bound(&mut self) {
        self.put(&BindComplete::new());
    }

    /// Answers a Close.
    pub fn closed(&mut self) {
        self.put(&CloseComplete::new());
    }

    /// Tells that a statement has no parameters.
    pub fn parameters(&mut self) {
        self.put(&ParameterDescription::new(Vec::new()));
    }

    /// Describes one column of text, or none.
    pub fn column(&mut self, name: Option<&str>) {
        match name {
            Some(name) => {
                let field = FieldDescription::new(name.to_owned(), 0, 0, TEXT, -1, -1, 0);
                self.put(&RowDescription::new(vec![field]));
            }
            None => self.put(&NoData::new()),
        }
    }

    /// Adds a row of one text.
    pub fn row(&mut self, value: &str) {
        let mut data = BytesMut::with_capacity(4 + value.len());
        data.put_u32(value.len() as u32);
        data.put_slice(value.as_bytes());
        self.put(&DataRow::new(data, 1));
    }

    /// Ends a statement.
    pub fn complete(&mut self, tag: &str) {
        self.put(&CommandComplete::new(tag.to_owned()));
    }

    /// Ends an empty statement.
    pub fn empty(&mut self) {
        self.put(&EmptyQueryResponse::new());
    }
}
