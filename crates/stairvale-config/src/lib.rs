//! The operators' configuration: one YAML document that is validated and applied as a whole.
//!
//! [`Document::parse`] reports the line, field and reason of the first fault. A [`Manifest`] identifies the document in
//! force by its generation and the hashes of its chunks, and records who applied it and a bounded history of changes.
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
