//! Frames of a segment and the records in them, as bytes.
//!
//! A frame is `magic u32, length u32, checksum u32, sequence u64, payload`,
//! little-endian; the checksum covers the sequence and the payload. Sequences
//! rise by one from frame to frame, over all segments.

use crate::store::{Entry, Hard};

const MAGIC: [u8; 4] = *b"TFJ1";

/// Bytes before the payload.
const HEAD_BYTES: usize = 20;

/// Bytes of a snapshot file before its content.
const SNAPSHOT_HEAD_BYTES: usize = 12;

const HARD: u8 = 1;
const ENTRY: u8 = 2;
const RESET: u8 = 3;

/// One record of a frame.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Record {
    Hard(Hard),
    Entry(Entry),
    /// All entries before are void.
    Reset,
}

/// A frame as read.
#[derive(Debug)]
pub(crate) struct Frame {
    pub(crate) sequence: u64,
    pub(crate) records: Vec<Record>,
    pub(crate) end: usize,
}

/// Writes a frame.
pub(crate) fn encode(sequence: u64, records: &[Record]) -> Vec<u8> {
    let mut payload = Vec::new();
    for record in records {
        put(&mut payload, record);
    }
    let mut bytes = Vec::with_capacity(HEAD_BYTES + payload.len());
    bytes.extend_from_slice(&MAGIC);
    bytes.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&checksum(sequence, &payload).to_le_bytes());
    bytes.extend_from_slice(&sequence.to_le_bytes());
    bytes.extend_from_slice(&payload);
    bytes
}

/// Reads the frame at an offset; `None` when there is no whole, right one.
pub(crate) fn decode(bytes: &[u8], offset: usize) -> Option<Frame> {
    let head = bytes.get(offset..offset.checked_add(HEAD_BYTES)?)?;
    if head[..4] != MAGIC {
        return None;
    }
    let length = u32::from_le_bytes(head[4..8].try_into().ok()?) as usize;
    let sum = u32::from_le_bytes(head[8..12].try_into().ok()?);
    let sequence = u64::from_le_bytes(head[12..20].try_into().ok()?);
    let start = offset + HEAD_BYTES;
    let end = start.checked_add(length)?;
    let payload = bytes.get(start..end)?;
    if checksum(sequence, payload) != sum {
        return None;
    }
    Some(Frame { sequence, records: take(payload)?, end })
}

/// Whether a whole, right frame of a later sequence stands past an offset.
pub(crate) fn any_after(bytes: &[u8], offset: usize, sequence: u64) -> bool {
    let starts = (offset + 1..bytes.len()).filter(|at| bytes[*at..].starts_with(&MAGIC));
    starts.filter_map(|at| decode(bytes, at)).any(|frame| frame.sequence > sequence)
}

/// Writes a snapshot file; entries of frames before the sequence `void` do not
/// follow it.
pub(crate) fn encode_snapshot(void: u64, content: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(SNAPSHOT_HEAD_BYTES + content.len());
    bytes.extend_from_slice(&checksum(void, content).to_le_bytes());
    bytes.extend_from_slice(&void.to_le_bytes());
    bytes.extend_from_slice(content);
    bytes
}

/// Reads a snapshot file; `None` when it is not what was written.
pub(crate) fn decode_snapshot(bytes: &[u8]) -> Option<(u64, &[u8])> {
    let (sum, rest) = bytes.split_first_chunk::<4>()?;
    let (void, content) = rest.split_first_chunk::<8>()?;
    let void = u64::from_le_bytes(*void);
    (checksum(void, content) == u32::from_le_bytes(*sum)).then_some((void, content))
}

fn checksum(sequence: u64, payload: &[u8]) -> u32 {
    crc32c::crc32c_append(crc32c::crc32c(&sequence.to_le_bytes()), payload)
}

fn put(payload: &mut Vec<u8>, record: &Record) {
    match record {
        Record::Hard(hard) => {
            payload.push(HARD);
            payload.extend_from_slice(&hard.term.to_le_bytes());
            payload.extend_from_slice(&hard.vote.to_le_bytes());
        }
        Record::Entry(entry) => {
            payload.push(ENTRY);
            payload.extend_from_slice(&entry.index.to_le_bytes());
            payload.extend_from_slice(&(entry.bytes.len() as u32).to_le_bytes());
            payload.extend_from_slice(&entry.bytes);
        }
        Record::Reset => payload.push(RESET),
    }
}

fn take(mut payload: &[u8]) -> Option<Vec<Record>> {
    let mut records = Vec::new();
    while let Some((kind, rest)) = payload.split_first() {
        payload = rest;
        records.push(match *kind {
            HARD => Record::Hard(Hard { term: number(&mut payload)?, vote: number(&mut payload)? }),
            ENTRY => {
                let index = number(&mut payload)?;
                let (length, rest) = payload.split_first_chunk::<4>()?;
                let (bytes, rest) = rest.split_at_checked(u32::from_le_bytes(*length) as usize)?;
                payload = rest;
                Record::Entry(Entry { index, bytes: bytes.to_vec() })
            }
            RESET => Record::Reset,
            _ => return None,
        });
    }
    Some(records)
}

fn number(payload: &mut &[u8]) -> Option<u64> {
    let (bytes, rest) = payload.split_first_chunk::<8>()?;
    *payload = rest;
    Some(u64::from_le_bytes(*bytes))
}
