//! Encoding of frames and packets: `bincode` with a length prefix on streams, and without one in datagrams, which their
//! sender authenticates with a keyed hash.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use serde::{Serialize, de::DeserializeOwned};

/// The largest frame, in bytes. A manifest of the largest document fits, while a hostile length prefix can't make the
/// receiver buffer more than this.
pub const MAX_FRAME: usize = 4 << 20;
/// The largest datagram that is sent, in bytes. It fits one Ethernet frame, so it isn't fragmented.
pub const MAX_PACKET: usize = 1_400;
/// Size of the big-endian length prefix of each frame, in bytes.
const LENGTH_PREFIX_BYTES: usize = 4;

/// Why a value can't be encoded, or bytes can't be decoded.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The encoded value, whose size in bytes is given, is larger than [`MAX_FRAME`].
    #[error("frame of {0} bytes exceeds the limit of {limit} bytes", limit = MAX_FRAME)]
    Large(usize),
    /// The bytes don't decode to the expected type.
    #[error("malformed frame, or one of another protocol version")]
    Malformed,
    /// This many bytes follow the decoded value.
    #[error("{0} unexpected bytes after the end of the frame")]
    Trailing(usize),
}

fn config() -> impl bincode::config::Config {
    bincode::config::standard().with_limit::<MAX_FRAME>()
}

/// Encodes a value without a length prefix, as for a datagram.
///
/// # Errors
/// [`Error::Large`] if the encoded value exceeds [`MAX_FRAME`].
pub fn pack<T: Serialize>(value: &T) -> Result<Vec<u8>, Error> {
    let bytes = bincode::serde::encode_to_vec(value, config()).map_err(|_| Error::Malformed)?;
    if bytes.len() > MAX_FRAME {
        return Err(Error::Large(bytes.len()));
    }
    Ok(bytes)
}

/// Decodes a value encoded by [`pack`].
///
/// # Errors
/// [`Error::Malformed`] or [`Error::Trailing`] for bytes that aren't the encoding of one `T`.
pub fn unpack<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    let (value, read) = bincode::serde::decode_from_slice(bytes, config()).map_err(|_| Error::Malformed)?;
    if read != bytes.len() {
        return Err(Error::Trailing(bytes.len() - read));
    }
    Ok(value)
}

/// Encodes a value with its length prefix, as for a stream.
///
/// # Errors
/// [`Error::Large`] if the encoded value exceeds [`MAX_FRAME`].
pub fn encode<T: Serialize>(value: &T) -> Result<Bytes, Error> {
    let packed = pack(value)?;
    let length = u32::try_from(packed.len()).map_err(|_| Error::Large(packed.len()))?;
    let mut bytes = BytesMut::with_capacity(LENGTH_PREFIX_BYTES + packed.len());
    bytes.put_u32(length);
    bytes.extend_from_slice(&packed);
    Ok(bytes.freeze())
}

/// Reassembles frames from the chunks in which a stream's bytes arrive.
#[derive(Debug, Default)]
pub struct Buffer {
    bytes: BytesMut,
}

impl Buffer {
    /// Appends the next chunk of the stream.
    pub fn extend(&mut self, chunk: &[u8]) {
        self.bytes.extend_from_slice(chunk);
    }

    /// Removes and decodes the next frame; `None` if it hasn't arrived completely.
    ///
    /// # Errors
    /// Any [`Error`] of decoding. The rest of the stream can't be decoded after an error.
    pub fn take<T: DeserializeOwned>(&mut self) -> Result<Option<T>, Error> {
        let Some(prefix) = self.bytes.first_chunk::<LENGTH_PREFIX_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*prefix) as usize;
        if length > MAX_FRAME {
            return Err(Error::Large(length));
        }
        if self.bytes.len() < LENGTH_PREFIX_BYTES + length {
            return Ok(None);
        }
        self.bytes.advance(LENGTH_PREFIX_BYTES);
        let frame = self.bytes.split_to(length);
        unpack(&frame).map(Some)
    }
}
