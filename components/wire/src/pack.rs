//! Long texts, deflated.
//!
//! Declarations of some thousand databases are a text of a megabyte and more,
//! and each entry gets it. Deflated it is a tenth of that or less, so that a
//! change reaches hosts on small links within their leases.

use std::fmt;
use std::io::{Read, Write};

use bytes::Bytes;
use error_stack::{Report, ResultExt};
use flate2::Compression;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;

/// Longest text in bytes.
pub const MAX_BYTES: u64 = 64 << 20;

/// Bytes that are no deflated text, or one that is too long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed;

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the bytes are no deflated text")
    }
}

impl std::error::Error for Malformed {}

/// Deflates a text.
pub fn pack(text: &[u8]) -> Bytes {
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
    let packed = encoder.write_all(text).and_then(|()| encoder.finish());
    packed.expect("a vector takes all that is written").into()
}

/// Inflates it again. Nothing gives nothing.
///
/// # Errors
/// [`Malformed`].
pub fn unpack(packed: &[u8]) -> Result<Vec<u8>, Report<Malformed>> {
    let mut text = Vec::new();
    if packed.is_empty() {
        return Ok(text);
    }
    let read = ZlibDecoder::new(packed).take(MAX_BYTES + 1).read_to_end(&mut text);
    read.change_context(Malformed)?;
    if text.len() as u64 > MAX_BYTES {
        return Err(Report::new(Malformed));
    }
    Ok(text)
}

/// Inflates what is UTF-8.
///
/// # Errors
/// [`Malformed`].
pub fn unpack_text(packed: &[u8]) -> Result<String, Report<Malformed>> {
    String::from_utf8(unpack(packed)?).change_context(Malformed)
}
