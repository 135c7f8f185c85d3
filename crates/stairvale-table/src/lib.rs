//! The routes, services and customers in force.
//!
//! A [`Document`] is an operator's configuration, independent of the format in which it was written. A [`Table`] adds
//! indices to it, to find a [`Route`] by host and path and a [`Customer`] by key.
//!
//! ```
//! use stairvale_table::{Document, Table};
//!
//! let table = Table::new(Document::default());
//! assert!(table.route("example.org", "/a/b").is_none());
//! ```

pub mod document;
pub mod table;

pub use document::{Cold, Customer, Document, Engine, Kind, Limits, Route, Service};
pub use table::Table;
