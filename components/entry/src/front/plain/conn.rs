//! A caller's connection: bytes in, messages out.

use std::sync::Arc;

use ::plain::{Answer, Ask, Dialect, Malformed};
use base::prelude::*;
use bytes::BytesMut;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::front::conn::{Disconnect, linger};

/// Longest time that a caller may take to accept an answer.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// Room for input in bytes.
const INPUT_BYTES: usize = 1 << 10;

/// A caller's connection.
pub(super) struct Conn {
    dialect: Arc<dyn Dialect>,
    io: TcpStream,
    input: BytesMut,
    output: BytesMut,
}

impl Conn {
    /// Takes a connection over.
    pub(super) fn new(io: TcpStream, dialect: Arc<dyn Dialect>) -> Self {
        let (input, output) = (BytesMut::with_capacity(INPUT_BYTES), BytesMut::new());
        Self { dialect, io, input, output }
    }

    /// The next message that has come as a whole, if one has.
    pub(super) fn take(&mut self) -> Result<Option<Ask>, Report<Malformed>> {
        self.dialect.ask(&mut self.input)
    }

    /// Whether nothing of a message has come yet.
    pub(super) fn is_quiet(&self) -> bool {
        self.input.is_empty()
    }

    /// The next message; `None` where the bytes are none.
    pub(super) async fn next(&mut self) -> Result<Option<Ask>, Report<Disconnect>> {
        loop {
            match self.take() {
                Ok(Some(ask)) => return Ok(Some(ask)),
                Ok(None) => self.fill().await?,
                Err(_malformed) => return Ok(None),
            }
        }
    }

    /// Reads what has come. Safe to drop while it waits.
    pub(super) async fn fill(&mut self) -> Result<(), Report<Disconnect>> {
        self.input.reserve(INPUT_BYTES);
        match self.io.read_buf(&mut self.input).await.change_context(Disconnect::Io)? {
            0 => Err(Report::new(Disconnect::Closed)),
            _ => Ok(()),
        }
    }

    pub(super) fn put(&mut self, answer: &Answer) {
        self.dialect.answer(answer, &mut self.output);
    }

    pub(super) async fn flush(&mut self) -> Result<(), Report<Disconnect>> {
        if self.output.is_empty() {
            return Ok(());
        }
        let write = self.io.write_all_buf(&mut self.output);
        let written = tokio::time::timeout(WRITE_TIMEOUT, write).await;
        written.change_context(Disconnect::Timeout)?.change_context(Disconnect::Io)
    }

    /// Sends what waits and closes.
    pub(super) async fn close(mut self) {
        if self.flush().await.is_ok() {
            linger(&mut self.io).await;
        }
    }
}
