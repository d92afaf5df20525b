//! Splits the answers of a backend server into pieces at message boundaries.
//!
//! Only the type byte and the length of a message are read, with three
//! exceptions: the tag of a completed command, the status of ReadyForQuery, and the
//! row that contains the mark of the server, a term and a position.

use base::prelude::*;
use bytes::{Buf, BytesMut};
use keeper::{Kind, Piece};

/// Length of a message header, its type byte and length field.
pub(super) const HEADER_BYTES: usize = 5;

/// Limit on the length of a message; a piece must fit into a frame of a link.
const MAX_MESSAGE_BYTES: usize = 3 << 20;

/// Length at which a piece is emitted before the cycle has ended.
const PIECE_BYTES: usize = 64 << 10;

/// Command tags of statements that commit or may commit by themselves.
const COMMIT_TAGS: [&[u8]; 3] = [b"COMMIT", b"CALL", b"DO"];

/// Error that makes the rest of an answer unreadable.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
pub(super) enum Failure {
    /// A message is longer than [`MAX_MESSAGE_BYTES`], or its length is invalid.
    Oversized,
    /// The server sent a message that is not allowed here.
    Disorder,
}

impl std::error::Error for Failure {}

/// A message of a backend server.
#[derive(Debug)]
pub(super) struct Message {
    /// Type byte of the message.
    pub(super) kind: u8,
    /// The complete message, header and body.
    pub(super) bytes: BytesMut,
}

impl Message {
    pub(super) fn body(&self) -> &[u8] {
        &self.bytes[HEADER_BYTES..]
    }
}

/// Removes the next complete message from a buffer.
pub(super) fn next_message(buffer: &mut BytesMut) -> Result<Option<Message>, Report<Failure>> {
    let Some(header) = buffer.first_chunk::<HEADER_BYTES>() else {
        return Ok(None);
    };
    let kind = header[0];
    let length = u32::from_be_bytes([header[1], header[2], header[3], header[4]]) as usize + 1;
    if !(HEADER_BYTES..=MAX_MESSAGE_BYTES).contains(&length) {
        return Err(Report::new(Failure::Oversized));
    }
    if buffer.len() < length {
        buffer.reserve(length - buffer.len());
        return Ok(None);
    }
    Ok(Some(Message { kind, bytes: buffer.split_to(length) }))
}

/// Step in the answer to a query cycle that an [`Assembler`] found complete.
#[derive(Debug)]
pub(super) enum Step {
    /// A piece is complete.
    Piece(Piece),
    /// ReadyForQuery ended the cycle.
    Ready {
        /// Transaction status byte: I, T or E.
        status: u8,
        /// Whether the cycle contained an error.
        failed: bool,
    },
}

/// Assembles the messages of a query cycle into pieces.
#[derive(Debug, Default)]
pub(super) struct Assembler {
    bytes: BytesMut,
    kind: Option<Kind>,
    failed: bool,
}

impl Assembler {
    /// Adds a message and appends the steps that it completes to `out`.
    pub(super) fn add(
        &mut self,
        message: Message,
        out: &mut Vec<Step>,
    ) -> Result<(), Report<Failure>> {
        match message.kind {
            b'Z' => {
                let status = *message.body().first().ok_or(Failure::Disorder)?;
                self.flush(out);
                out.push(Step::Ready { status, failed: std::mem::take(&mut self.failed) });
                return Ok(());
            }
            b'A' => return Ok(()),
            // COPY with the client as source or destination is not supported: the link
            // carries no copy data within a cycle
            b'G' | b'W' => return Err(Report::new(Failure::Disorder)),
            _ => {}
        }
        let kind = piece_kind(&message);
        self.failed |= message.kind == b'E';
        if self.kind.is_some_and(|current| kind > current) {
            self.flush(out);
        }
        self.kind = Some(self.kind.map_or(kind, |current| current.max(kind)));
        self.bytes.unsplit(message.bytes);
        if self.bytes.len() >= PIECE_BYTES {
            self.flush(out);
        }
        Ok(())
    }

    /// Appends the messages collected so far to `out` as a piece.
    pub(super) fn flush(&mut self, out: &mut Vec<Step>) {
        if let Some(kind) = self.kind.take() {
            let bytes = self.bytes.split().freeze();
            out.push(Step::Piece(Piece { bytes, kind }));
        }
    }
}

fn piece_kind(message: &Message) -> Kind {
    match message.kind {
        b'C' if is_commit_tag(message.body()) => Kind::Commit,
        b'C' | b'I' | b'E' => Kind::Complete,
        _ => Kind::Plain,
    }
}

fn is_commit_tag(tag: &[u8]) -> bool {
    let word = tag.split(|byte| matches!(byte, 0 | b' ')).next().unwrap_or_default();
    COMMIT_TAGS.contains(&word)
}

/// Parses the row of a mark: term and position as text.
pub(super) fn parse_mark(message: &Message) -> Option<Mark> {
    let mut body = message.body();
    if body.remaining() < 2 || body.get_u16() < 2 {
        return None;
    }
    let term = parse_number(&mut body)?;
    let position = parse_number(&mut body)?;
    Some(Mark::new(term, position))
}

fn parse_number(body: &mut &[u8]) -> Option<u64> {
    let length = body.try_get_u32().ok()? as usize;
    let text = body.get(..length)?;
    body.advance(length);
    std::str::from_utf8(text).ok()?.parse().ok()
}
