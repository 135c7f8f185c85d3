//! The router process: sockets, timers and threads around `stairvale-control`, which makes the decisions.
//!
//! One thread runs the control loop ([`control`]) with the links to peers, probes, calls to the platform's store and
//! the operators' interface. Other threads serve callers ([`caller`]) and relay streams from upstreams ([`relay`]);
//! they read a published [`shared::Snapshot`] and send commands to the control thread through a channel.
//!
//! ```
//! let text = "router: r1\nzone: ness-a\ncallers: 127.0.0.1:8080\noperators: 127.0.0.1:8081\n\
//!             peers: 127.0.0.1:8082\nplatform: http://127.0.0.1:9000\nfleet_key: secret\n";
//! let settings = stairvale_router::Settings::parse(text).unwrap();
//! assert_eq!(settings.router.to_string(), "r1");
//! ```

pub mod audit;
pub mod body;
pub mod caller;
pub mod control;
pub mod end;
pub mod faults;
pub mod guard;
pub mod head;
pub mod limit;
pub mod metrics;
pub mod once;
pub mod operators;
pub mod peers;
pub mod probes;
pub mod problem;
pub mod relay;
pub mod run;
pub mod settings;
pub mod shared;
pub mod sse;
pub mod store;
pub mod upstream;

pub use problem::Problem;
pub use settings::Settings;
pub use shared::Shared;
