//! The routes, services and customers in force.
//!
//! A [`Document`] is what an operator writes, whatever it was written in; a [`Table`] is the same with its indices, for
//! finding a [`Route`] by host and path and a [`Customer`] by key.
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
