//! The messages between routers: [`Frame`]s on `h2` streams and [`Packet`]s in UDP datagrams, encoded with `bincode`.
//!
//! ```
//! use stairvale_wire::{Frame, codec};
//!
//! let frame = Frame::Trouble { upstream: "engine-1".parse().unwrap() };
//! let bytes = codec::encode(&frame).unwrap();
//! let mut buffer = codec::Buffer::default();
//! buffer.extend(&bytes);
//! assert_eq!(buffer.take::<Frame>().unwrap(), Some(frame));
//! ```

pub mod codec;
pub mod frame;
pub mod packet;

pub use frame::{ClaimVerdict, Frame, HeldPermits, Load, PermitRequest, Profile, StoredAnswer, Usage, Verdict};
pub use packet::{Member, Packet, Status, Update, UpstreamReport, Vm};

/// The protocol version of frames and packets; a router rejects peers of any other version.
pub const VERSION: u16 = 6;

/// Counts the kinds of frames that were added to [`VERSION`] without changing any other. A router states it when a stream
/// to it is opened. A peer that doesn't, or that states a lower one, isn't sent the later kinds.
pub const MINOR_VERSION: u16 = 4;
