//! The text in which copies of tables travel between VMs: compressed, because rows and routes of one
//! table resemble each other, and in base64, because answers of JSON-RPC are text.

use std::io::{self, Read, Write};

use base64::Engine;
use base64::prelude::BASE64_STANDARD_NO_PAD;
use bytes::Bytes;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use snafu::{ResultExt, Snafu, ensure};

/// The most bytes of a copy. A configuration of 2,000 routes has 0.4 MB, and the rows of 1,000
/// upstreams have 0.3 MB.
const MAX_COPY_BYTES: u64 = 16 * 1024 * 1024;

/// Why the text of a copy cannot be read.
#[derive(Debug, Snafu)]
pub enum CopyError {
    /// It is not base64.
    #[snafu(display("the copy is not base64 ({source}); run the same release on all VMs"))]
    Text {
        /// The error of the decoder.
        source: base64::DecodeError,
    },
    /// It cannot be decompressed.
    #[snafu(display("the copy is damaged ({source}); run the same release on all VMs"))]
    Damaged {
        /// The error of the decoder.
        source: io::Error,
    },
    /// It is too long.
    #[snafu(display("the copy has more than {MAX_COPY_BYTES} bytes; shorten the table"))]
    TooLong,
}

/// Returns the text of a copy.
pub fn copy_text(copy: &[u8]) -> String {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    // Writing to memory does not fail.
    let compressed = encoder.write_all(copy).and_then(|()| encoder.finish()).unwrap_or_default();
    BASE64_STANDARD_NO_PAD.encode(compressed)
}

/// Returns the copy of a text.
///
/// # Errors
///
/// Fails if the text was not made by [`copy_text`], or if the copy is too long.
pub fn copy_of_text(text: &str) -> Result<Bytes, CopyError> {
    let compressed = BASE64_STANDARD_NO_PAD.decode(text).context(TextSnafu)?;
    let mut copy = Vec::new();
    let decoder = DeflateDecoder::new(compressed.as_slice());
    decoder.take(MAX_COPY_BYTES + 1).read_to_end(&mut copy).context(DamagedSnafu)?;
    ensure!(copy.len() as u64 <= MAX_COPY_BYTES, TooLongSnafu);
    Ok(Bytes::from(copy))
}
