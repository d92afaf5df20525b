//! Connection of a caller of plain statements, with buffers for input and output.

use std::sync::Arc;

use ::plain::{Answer, Dialect, Malformed, Request};
use base::prelude::*;
use bytes::BytesMut;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::front::conn::{Disconnect, linger};

/// Time limit for one write to a caller.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// Initial capacity of the input buffer, and capacity reserved for a read, in bytes.
const INPUT_BYTES: usize = 1 << 10;

/// Input that is read ahead while a statement of the caller runs, in bytes.
const AHEAD_BYTES: usize = 64 << 10;

/// Connection of a caller of plain statements.
pub(super) struct Conn {
    dialect: Arc<dyn Dialect>,
    io: TcpStream,
    input: BytesMut,
    output: BytesMut,
}

impl Conn {
    /// Wraps a connection, with empty buffers.
    pub(super) fn new(io: TcpStream, dialect: Arc<dyn Dialect>) -> Self {
        let (input, output) = (BytesMut::with_capacity(INPUT_BYTES), BytesMut::new());
        Self { dialect, io, input, output }
    }

    /// Decodes the next buffered message, if it is complete.
    pub(super) fn take(&mut self) -> Result<Option<Request>, Report<Malformed>> {
        self.dialect.decode_request(&mut self.input)
    }

    /// Whether no input is buffered.
    pub(super) fn is_input_empty(&self) -> bool {
        self.input.is_empty()
    }

    /// Returns the next message, and reads until it is complete; `None` if the input is
    /// malformed.
    pub(super) async fn next(&mut self) -> Result<Option<Request>, Report<Disconnect>> {
        loop {
            match self.take() {
                Ok(Some(request)) => return Ok(Some(request)),
                Ok(None) => self.fill().await?,
                Err(_malformed) => return Ok(None),
            }
        }
    }

    /// Reads available bytes into the input buffer, and waits until there are some.
    /// This method is cancel safe.
    pub(super) async fn fill(&mut self) -> Result<(), Report<Disconnect>> {
        self.input.reserve(INPUT_BYTES);
        match self.io.read_buf(&mut self.input).await.change_context(Disconnect::Io)? {
            0 => Err(Report::new(Disconnect::Closed)),
            _ => Ok(()),
        }
    }

    /// Reads what has arrived and was not noticed yet. Returns whether there was any: a request
    /// that has arrived is answered, since the close of the connection would discard it.
    pub(super) fn fill_now(&mut self) -> bool {
        let mut chunk = [0; INPUT_BYTES];
        let read = link::socket::read_now(&self.io, &mut chunk);
        self.input.extend_from_slice(&chunk[..read]);
        read > 0
    }

    /// Waits until the caller closes its connection, and reads ahead meanwhile. The close of
    /// a caller that has sent more than [`AHEAD_BYTES`] is not noticed. This method is cancel
    /// safe.
    pub(super) async fn closed(&mut self) -> Report<Disconnect> {
        while self.input.len() < AHEAD_BYTES {
            if let Err(report) = self.fill().await {
                return report;
            }
        }
        std::future::pending().await
    }

    pub(super) fn put(&mut self, answer: &Answer) {
        self.dialect.encode_answer(answer, &mut self.output);
    }

    pub(super) async fn flush(&mut self) -> Result<(), Report<Disconnect>> {
        if self.output.is_empty() {
            return Ok(());
        }
        let write = self.io.write_all_buf(&mut self.output);
        let written = tokio::time::timeout(WRITE_TIMEOUT, write).await;
        written.change_context(Disconnect::Timeout)?.change_context(Disconnect::Io)
    }

    /// Sends buffered answers and closes the connection.
    pub(super) async fn close(mut self) {
        if self.flush().await.is_ok() {
            linger(&mut self.io).await;
        }
    }
}
