//! The serving process: accepts requests, has them placed by the home of their service, and returns the upstream's
//! response.
//!
//! Two small traits describe an installation: a [`Dialect`] (the headers of HTTP messages and their meaning) and a
//! [`Source`] (the store that holds the configuration, upstreams and routers). Everything else is in this crate and the
//! same for each installation. [`run::run`] runs a process until it has stopped.
//!
//! ```
//! let text = "router: r1\nzone: a\ncallers: 127.0.0.1:8080\nready: 127.0.0.1:8081\npeers: 127.0.0.1:8082\n\
//!             store: 127.0.0.1:9000\n";
//! let settings = stairvale_serve::Settings::parse(text).unwrap();
//! assert_eq!(settings.router.to_string(), "r1");
//! ```

pub mod body;
pub mod caller;
pub mod control;
pub mod core;
pub mod dialect;
pub mod events;
pub mod exchange;
pub mod fingerprint;
pub mod frame;
pub mod framing;
mod hop;
pub mod inspect;
pub mod intake;
pub mod isolation;
pub mod meter;
pub mod metrics;
pub mod origins;
pub mod pending;
pub mod permit;
pub mod problem;
pub mod quarantine;
pub mod ready;
pub mod record;
pub mod relay;
pub mod rollouts;
pub mod run;
pub mod settings;
pub mod shared;
pub mod source;
pub mod traffic;
pub mod tunnel;
pub mod upstream;
pub mod watch;

pub use dialect::Dialect;
pub use settings::Settings;
pub use shared::Shared;
pub use source::Source;
