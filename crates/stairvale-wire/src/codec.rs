//! Length-prefixed `bincode` on streams, keyed `bincode` in datagrams.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use serde::{Serialize, de::DeserializeOwned};

/// The largest frame, in bytes: a manifest of the largest document fits, a hostile length doesn't.
pub const MAX_FRAME: usize = 4 << 20;
/// The largest datagram that is sent, in bytes; it fits one Ethernet packet.
pub const MAX_PACKET: usize = 1_400;
/// The length that goes before each frame, in bytes.
const PREFIX: usize = 4;

/// Why bytes are no frame or packet.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// A frame is larger than [`MAX_FRAME`].
    #[error("a frame of {0} bytes is larger than allowed")]
    Large(usize),
    /// The bytes don't decode to the expected type.
    #[error("the bytes are no frame of this version")]
    Malformed,
    /// Bytes are left over after the value.
    #[error("{0} bytes stand after the frame")]
    Trailing(usize),
}

fn config() -> impl bincode::config::Config {
    bincode::config::standard().with_limit::<MAX_FRAME>()
}

/// A value without a prefix, as it goes into a datagram.
///
/// # Errors
/// [`Error::Large`] if the value is over the limit.
pub fn pack<T: Serialize>(value: &T) -> Result<Vec<u8>, Error> {
    let bytes = bincode::serde::encode_to_vec(value, config()).map_err(|_| Error::Malformed)?;
    if bytes.len() > MAX_FRAME {
        return Err(Error::Large(bytes.len()));
    }
    Ok(bytes)
}

/// Reads what [`pack`] wrote.
///
/// # Errors
/// [`Error::Malformed`] or [`Error::Trailing`] for any other bytes.
pub fn unpack<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    let (value, read) = bincode::serde::decode_from_slice(bytes, config()).map_err(|_| Error::Malformed)?;
    if read != bytes.len() {
        return Err(Error::Trailing(bytes.len() - read));
    }
    Ok(value)
}

/// A value with its length before it, as it goes onto a stream.
///
/// # Errors
/// [`Error::Large`] if the value is over the limit.
pub fn encode<T: Serialize>(value: &T) -> Result<Bytes, Error> {
    let packed = pack(value)?;
    let length = u32::try_from(packed.len()).map_err(|_| Error::Large(packed.len()))?;
    let mut bytes = BytesMut::with_capacity(PREFIX + packed.len());
    bytes.put_u32(length);
    bytes.extend_from_slice(&packed);
    Ok(bytes.freeze())
}

/// Puts a stream's pieces together and takes frames out.
#[derive(Debug, Default)]
pub struct Buffer {
    bytes: BytesMut,
}

impl Buffer {
    /// Adds a piece of the stream.
    pub fn extend(&mut self, piece: &[u8]) {
        self.bytes.extend_from_slice(piece);
    }

    /// Takes the next whole frame, if there is one.
    ///
    /// # Errors
    /// The stream can't be read further after any [`Error`].
    pub fn take<T: DeserializeOwned>(&mut self) -> Result<Option<T>, Error> {
        let Some(prefix) = self.bytes.first_chunk::<PREFIX>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*prefix) as usize;
        if length > MAX_FRAME {
            return Err(Error::Large(length));
        }
        if self.bytes.len() < PREFIX + length {
            return Ok(None);
        }
        self.bytes.advance(PREFIX);
        let frame = self.bytes.split_to(length);
        unpack(&frame).map(Some)
    }
}
