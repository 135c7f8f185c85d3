//! What routers say to each other: [`Frame`]s on `h2` streams and [`Packet`]s in datagrams, coded by `bincode`.
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

pub use frame::{Ask, ClaimVerdict, Frame, Held, Load, Profile, Stored, Usage, Verdict};
pub use packet::{Member, Packet, Status, Update, Vm, Word};

/// The version of frames and packets; a router refuses a peer of another.
pub const VERSION: u16 = 6;
