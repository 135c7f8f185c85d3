//! Which routers are alive, and which upstreams may be sent work.
//!
//! [`Swim`] probes a few random peers and disseminates what it observes by datagrams, by the rules of the SWIM paper.
//! [`Upstreams`] records the state of each upstream and ranks the evidence: the upstream's own reports, then connection
//! results, then the platform's lagging list. Both are pure.
//!
//! ```
//! use stairvale_membership::{Swim, swim::Settings};
//! use stairvale_types::{Moment, id};
//! use stairvale_wire::{Member, Status};
//!
//! let me = Member {
//!     router: "r1".parse().unwrap(),
//!     zone: "ness-a".parse().unwrap(),
//!     address: "127.0.0.1:7000".parse().unwrap(),
//!     incarnation: id::Incarnation(1),
//!     status: Status::Alive,
//!     strength: Member::DEFAULT_STRENGTH,
//! };
//! let mut swim = Swim::new(me, Settings::default(), 7);
//! assert!(swim.tick(Moment::ZERO).is_empty());
//! ```

pub mod swim;
pub mod upstreams;

pub use swim::Swim;
pub use upstreams::Upstreams;
