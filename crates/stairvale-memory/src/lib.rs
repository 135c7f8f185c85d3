//! The budget of bytes that a process holds for its clients.
//!
//! A process has one [`Budget`]. Whatever it holds for clients is reserved there first: a [`Reservation`] for connections,
//! requests and answers, an [`Upload`] for a body that is being received. [`receive()`] reads one. A body that is complete becomes a [`Content`],
//! whose room is released when the last part of it has been dropped. [`Connections`] are those of one port; when all are
//! taken, the one that has been unused for longest is closed.
//!
//! A reservation never blocks: it succeeds or fails at once, so reservations can't deadlock.
//!
//! ```
//! use stairvale_memory::{Budget, Kind};
//! use stairvale_types::Moment;
//!
//! let budget = Budget::new(1 << 20);
//! let mut upload = budget.upload(Moment::ZERO, None, Some(5), 4 << 20).unwrap();
//! upload.push(Moment::ZERO, b"hello").unwrap();
//! let content = upload.finish().unwrap();
//! assert_eq!(content.len(), 5);
//! assert_eq!(budget.held(Kind::Body), 5);
//! drop(content);
//! assert_eq!(budget.held(Kind::Body), 0);
//! ```

pub mod budget;
pub mod connections;
pub mod content;
pub mod machine;
mod partial;
pub mod receive;
pub mod reservation;
mod state;
mod storage;
pub mod upload;

pub use budget::{Budget, Kind, Shortage};
pub use connections::Connections;
pub use content::Content;
pub use receive::receive;
pub use reservation::Reservation;
pub use upload::Upload;
