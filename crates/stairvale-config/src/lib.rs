//! The operators' configuration: one YAML document that is checked and applied as a whole.
//!
//! [`Document::parse`] names line, field and reason of the first fault. A [`Manifest`] says which document is
//! in force: its generation, its chunks by content hash, who applied it, and a bounded history.
//!
//! ```
//! let text = "zones: []\nservices: []\ncustomers: []\noperators: []\n";
//! let document = stairvale_config::Document::parse(text).unwrap();
//! assert!(document.services.is_empty());
//! ```

pub mod chunk;
pub mod document;
pub mod fault;
pub mod manifest;
mod verify;

pub use document::{Customer, Document, Kind, Operator, Service, Zone};
pub use fault::Fault;
pub use manifest::{Change, Evacuation, Generation, Manifest};
