//! Encoding of the frames of a segment and of the records in a frame.
//!
//! A frame is `magic u32, length u32, checksum u32, sequence u64, payload`,
//! little-endian; the length is that of the payload, and the checksum (CRC-32C)
//! covers the sequence and the payload. The sequence increases by one from frame to
//! frame, across all segments.

use crate::store::{Entry, Hard};

const MAGIC: [u8; 4] = *b"TFJ1";

/// Length of a frame's header, in bytes.
const HEADER_BYTES: usize = 20;

/// Length of a snapshot file's header, in bytes.
const SNAPSHOT_HEADER_BYTES: usize = 12;

// Kinds of records, encoded as the first byte of each record.
const KIND_HARD: u8 = 1;
const KIND_ENTRY: u8 = 2;
const KIND_RESET: u8 = 3;

/// A record of a frame.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Record {
    Hard(Hard),
    Entry(Entry),
    /// All earlier entries are void.
    Reset,
}

/// A decoded frame.
#[derive(Debug)]
pub(crate) struct Frame {
    pub(crate) sequence: u64,
    pub(crate) records: Vec<Record>,
    /// Offset of the end of the frame in the segment, in bytes.
    pub(crate) end: usize,
}

/// Encodes a frame.
pub(crate) fn encode(sequence: u64, records: &[Record]) -> Vec<u8> {
    let mut payload = Vec::new();
    for record in records {
        encode_record(&mut payload, record);
    }
    let mut bytes = Vec::with_capacity(HEADER_BYTES + payload.len());
    bytes.extend_from_slice(&MAGIC);
    bytes.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&checksum(sequence, &payload).to_le_bytes());
    bytes.extend_from_slice(&sequence.to_le_bytes());
    bytes.extend_from_slice(&payload);
    bytes
}

/// Decodes the frame at an offset; `None` when the frame is incomplete
/// or corrupt.
pub(crate) fn decode(bytes: &[u8], offset: usize) -> Option<Frame> {
    let header = bytes.get(offset..offset.checked_add(HEADER_BYTES)?)?;
    if header[..4] != MAGIC {
        return None;
    }
    let length = u32::from_le_bytes(header[4..8].try_into().ok()?) as usize;
    let sum = u32::from_le_bytes(header[8..12].try_into().ok()?);
    let sequence = u64::from_le_bytes(header[12..20].try_into().ok()?);
    let start = offset + HEADER_BYTES;
    let end = start.checked_add(length)?;
    let payload = bytes.get(start..end)?;
    if checksum(sequence, payload) != sum {
        return None;
    }
    Some(Frame { sequence, records: decode_records(payload)?, end })
}

/// Whether a valid frame with a sequence higher than `sequence` begins after an
/// offset.
pub(crate) fn has_valid_frame_after(bytes: &[u8], offset: usize, sequence: u64) -> bool {
    let starts = (offset + 1..bytes.len()).filter(|at| bytes[*at..].starts_with(&MAGIC));
    starts.filter_map(|at| decode(bytes, at)).any(|frame| frame.sequence > sequence)
}

/// Encodes a snapshot file. Entries in frames before the sequence `void` are void
/// once the snapshot exists.
pub(crate) fn encode_snapshot(void: u64, content: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(SNAPSHOT_HEADER_BYTES + content.len());
    bytes.extend_from_slice(&checksum(void, content).to_le_bytes());
    bytes.extend_from_slice(&void.to_le_bytes());
    bytes.extend_from_slice(content);
    bytes
}

/// Decodes the `void` sequence and the content of a snapshot file; `None` when the
/// file is corrupt.
pub(crate) fn decode_snapshot(bytes: &[u8]) -> Option<(u64, &[u8])> {
    let (sum, rest) = bytes.split_first_chunk::<4>()?;
    let (void, content) = rest.split_first_chunk::<8>()?;
    let void = u64::from_le_bytes(*void);
    (checksum(void, content) == u32::from_le_bytes(*sum)).then_some((void, content))
}

fn checksum(sequence: u64, payload: &[u8]) -> u32 {
    crc32c::crc32c_append(crc32c::crc32c(&sequence.to_le_bytes()), payload)
}

fn encode_record(payload: &mut Vec<u8>, record: &Record) {
    match record {
        Record::Hard(hard) => {
            payload.push(KIND_HARD);
            payload.extend_from_slice(&hard.term.to_le_bytes());
            payload.extend_from_slice(&hard.vote.to_le_bytes());
        }
        Record::Entry(entry) => {
            payload.push(KIND_ENTRY);
            payload.extend_from_slice(&entry.index.to_le_bytes());
            payload.extend_from_slice(&(entry.bytes.len() as u32).to_le_bytes());
            payload.extend_from_slice(&entry.bytes);
        }
        Record::Reset => payload.push(KIND_RESET),
    }
}

fn decode_records(mut payload: &[u8]) -> Option<Vec<Record>> {
    let mut records = Vec::new();
    while let Some((kind, rest)) = payload.split_first() {
        payload = rest;
        records.push(match *kind {
            KIND_HARD => {
                Record::Hard(Hard { term: take_u64(&mut payload)?, vote: take_u64(&mut payload)? })
            }
            KIND_ENTRY => {
                let index = take_u64(&mut payload)?;
                let (length, rest) = payload.split_first_chunk::<4>()?;
                let (bytes, rest) = rest.split_at_checked(u32::from_le_bytes(*length) as usize)?;
                payload = rest;
                Record::Entry(Entry { index, bytes: bytes.to_vec() })
            }
            KIND_RESET => Record::Reset,
            _ => return None,
        });
    }
    Some(records)
}

fn take_u64(payload: &mut &[u8]) -> Option<u64> {
    let (bytes, rest) = payload.split_first_chunk::<8>()?;
    *payload = rest;
    Some(u64::from_le_bytes(*bytes))
}
