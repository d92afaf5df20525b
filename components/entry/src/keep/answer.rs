//! What a backend server answers, cut into pieces at message bounds.
//!
//! Only type byte and length of a message are looked at, but for the few that
//! decide: the tag of a completed command, the status of ReadyForQuery, and the
//! one row of a mark.

use base::prelude::*;
use bytes::{Buf, BytesMut};
use keeper::{Kind, Piece};

/// Bytes of type and length before a message's body.
pub(super) const HEAD_BYTES: usize = 5;

/// Longest message in bytes; a piece must fit into a link's frame.
const MESSAGE_BYTES: usize = 3 << 20;

/// Bytes after which a piece is passed on.
const PIECE_BYTES: usize = 64 << 10;

/// Tags of statements that commit, or may by themselves.
const COMMITS: [&[u8]; 3] = [b"COMMIT", b"CALL", b"DO"];

/// Why an answer can't be read on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
pub(super) enum Failure {
    /// A message is too long.
    Oversized,
    /// A message that was not due.
    Disorder,
}

impl std::error::Error for Failure {}

/// One message.
#[derive(Debug)]
pub(super) struct Message {
    pub(super) kind: u8,
    /// All of it, head and body.
    pub(super) bytes: BytesMut,
}

impl Message {
    pub(super) fn body(&self) -> &[u8] {
        &self.bytes[HEAD_BYTES..]
    }
}

/// Takes the next whole message out of a buffer.
pub(super) fn take(buffer: &mut BytesMut) -> Result<Option<Message>, Report<Failure>> {
    let Some(head) = buffer.first_chunk::<HEAD_BYTES>() else {
        return Ok(None);
    };
    let kind = head[0];
    let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize + 1;
    if !(HEAD_BYTES..=MESSAGE_BYTES).contains(&length) {
        return Err(Report::new(Failure::Oversized));
    }
    if buffer.len() < length {
        buffer.reserve(length - buffer.len());
        return Ok(None);
    }
    Ok(Some(Message { kind, bytes: buffer.split_to(length) }))
}

/// What comes of a message.
#[derive(Debug)]
pub(super) enum Step {
    /// A piece is whole.
    Piece(Piece),
    /// The cycle is over.
    Ready {
        /// Status byte.
        status: u8,
        /// Whether an error came.
        failed: bool,
    },
}

/// Gathers the messages of one cycle.
#[derive(Debug, Default)]
pub(super) struct Assembler {
    bytes: BytesMut,
    kind: Option<Kind>,
    failed: bool,
}

impl Assembler {
    /// Takes a message in; puts out what is whole.
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
            // a COPY from or to the server needs what a cycle does not carry
            b'G' | b'W' => return Err(Report::new(Failure::Disorder)),
            _ => {}
        }
        let kind = kind(&message);
        self.failed |= message.kind == b'E';
        if self.kind.is_some_and(|gathered| kind > gathered) {
            self.flush(out);
        }
        self.kind = Some(self.kind.map_or(kind, |gathered| gathered.max(kind)));
        self.bytes.unsplit(message.bytes);
        if self.bytes.len() >= PIECE_BYTES {
            self.flush(out);
        }
        Ok(())
    }

    /// Puts out what is gathered.
    pub(super) fn flush(&mut self, out: &mut Vec<Step>) {
        if let Some(kind) = self.kind.take() {
            let bytes = self.bytes.split().freeze();
            out.push(Step::Piece(Piece { bytes, kind }));
        }
    }
}

fn kind(message: &Message) -> Kind {
    match message.kind {
        b'C' if commits(message.body()) => Kind::Commit,
        b'C' | b'I' | b'E' => Kind::Complete,
        _ => Kind::Plain,
    }
}

fn commits(tag: &[u8]) -> bool {
    let word = tag.split(|byte| matches!(byte, 0 | b' ')).next().unwrap_or_default();
    COMMITS.contains(&word)
}

/// Reads the row of a mark: term and position as text.
pub(super) fn mark(message: &Message) -> Option<Mark> {
    let mut body = message.body();
    if body.remaining() < 2 || body.get_u16() < 2 {
        return None;
    }
    let term = number(&mut body)?;
    let position = number(&mut body)?;
    Some(Mark::new(term, position))
}

fn number(body: &mut &[u8]) -> Option<u64> {
    let length = body.try_get_u32().ok()? as usize;
    let text = body.get(..length)?;
    body.advance(length);
    std::str::from_utf8(text).ok()?.parse().ok()
}
