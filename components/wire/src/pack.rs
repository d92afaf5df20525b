//! Compression of long texts with zlib.
//!
//! The operators' declarations of some thousand databases are a text of a megabyte
//! or more, which every entry receives. The compressed text is a tenth of that or
//! less, so a change reaches hosts on slow links before their leases expire.

use std::fmt;
use std::io::{Read, Write};

use bytes::Bytes;
use error_stack::{Report, ResultExt};
use flate2::Compression;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;

/// Maximum length of an uncompressed text, in bytes.
pub const MAX_BYTES: u64 = 64 << 20;

/// Error: bytes are not a compressed text, or the text exceeds [`MAX_BYTES`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed;

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the bytes are not a zlib-compressed text, or the text is too long")
    }
}

impl std::error::Error for Malformed {}

/// Compresses a text with zlib.
pub fn pack(text: &[u8]) -> Bytes {
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
    let packed = encoder.write_all(text).and_then(|()| encoder.finish());
    packed.expect("writing to a vector can't fail").into()
}

/// Decompresses a text. An empty input gives an empty text.
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

/// Decompresses a UTF-8 text.
///
/// # Errors
/// [`Malformed`], also when the text is not UTF-8.
pub fn unpack_text(packed: &[u8]) -> Result<String, Report<Malformed>> {
    String::from_utf8(unpack(packed)?).change_context(Malformed)
}
