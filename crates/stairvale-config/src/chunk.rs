//! Content-defined chunking of a document: each chunk is named by the hash of its content.
//!
//! Chunk boundaries depend on the lines themselves, so that a small change to a large document changes one or two
//! chunks, and only those are sent to the routers.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

/// A chunk ends after a line whose hash is zero in these bits, which holds for one line in 64.
const BOUNDARY_MASK: u8 = 0x3f;
/// The largest chunk, in bytes, unless a single line is longer. The store's values hold at most a megabyte.
const MAX_CHUNK_BYTES: usize = 256 << 10;

/// The BLAKE3 hash of a chunk or a document, by which it is named.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Digest([u8; 32]);

/// The text isn't a digest in hexadecimal.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("a digest is 64 hexadecimal digits")]
pub struct Error;

impl Digest {
    /// Computes the digest of a chunk or a whole document.
    #[must_use]
    pub fn of(bytes: &[u8]) -> Self {
        Self(*blake3::hash(bytes).as_bytes())
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&blake3::Hash::from_bytes(self.0).to_hex())
    }
}

impl FromStr for Digest {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let hash = blake3::Hash::from_hex(text).map_err(|_| Error)?;
        Ok(Self(*hash.as_bytes()))
    }
}

impl TryFrom<String> for Digest {
    type Error = Error;

    fn try_from(text: String) -> Result<Self, Error> {
        text.parse()
    }
}

impl From<Digest> for String {
    fn from(digest: Digest) -> Self {
        digest.to_string()
    }
}

/// Splits a text into chunks, whose concatenation is the text.
#[must_use]
pub fn split(text: &str) -> Vec<&str> {
    let mut chunks = Vec::new();
    let mut start = 0;
    let mut end = 0;
    for line in text.split_inclusive('\n') {
        if end - start + line.len() > MAX_CHUNK_BYTES && end > start {
            chunks.push(&text[start..end]);
            start = end;
        }
        end += line.len();
        let low_byte = blake3::hash(line.as_bytes()).as_bytes()[0];
        if low_byte & BOUNDARY_MASK == 0 {
            chunks.push(&text[start..end]);
            start = end;
        }
    }
    if end > start {
        chunks.push(&text[start..end]);
    }
    chunks
}
