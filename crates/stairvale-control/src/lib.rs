//! The control logic of one router: a composition of state machines that performs no I/O.
//!
//! A [`Node`] takes an [`Input`] and the current time, and returns [`Output`]s. The router process turns socket events,
//! timers and the store's answers into inputs, and outputs into frames, datagrams and store calls. Tests run several
//! nodes against each other in simulation.
//!
//! ```
//! use stairvale_control::{Input, Node, node::Settings};
//! use stairvale_types::Moment;
//!
//! let settings = Settings::new("r1".parse().unwrap(), "ness-a".parse().unwrap(), "127.0.0.1:7000".parse().unwrap());
//! let mut node = Node::new(settings);
//! let outputs = node.handle(Moment::ZERO, 0, Input::Tick);
//! assert!(!node.is_ready());
//! # let _ = outputs;
//! ```

pub mod apply;
pub mod event;
pub mod explain;
pub mod fleet;
pub mod generation;
mod handlers;
pub mod io;
pub mod node;
pub mod orders;
pub mod stats;
pub mod sums;
pub mod sweep;

pub use event::Event;
pub use fleet::Fleet;
pub use io::{Input, Output};
pub use node::Node;
