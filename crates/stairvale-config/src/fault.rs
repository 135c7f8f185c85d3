//! What is wrong with a document, and where.

use std::fmt;

/// The first thing that is wrong with a document or a settings file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fault {
    /// The line, from 1, where it can be told.
    pub line: Option<usize>,
    /// The field's path, such as `services[2].slots`.
    pub field: String,
    /// What is wrong with it.
    pub reason: Reason,
}

/// What is wrong.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Reason {
    /// The text is no YAML, or not of the expected shape.
    #[error("{0}")]
    Syntax(String),
    /// The document is larger than the limit.
    #[error("the document has {0} bytes, which is more than is allowed")]
    Size(usize),
    /// Two items have one name.
    #[error("the name {0} stands twice")]
    Twice(String),
    /// A key's hash is not 64 hexadecimal digits.
    #[error("a key hash is the 64 hexadecimal digits of a BLAKE3 hash")]
    KeyHash,
    /// Two keys are the same, so a caller could not be told from another.
    #[error("the same key hash stands at {0}")]
    SharedKey(String),
    /// A number outside its range.
    #[error("must be from {0} to {1}")]
    Range(u64, u64),
    /// A setting of model services on a plain one.
    #[error("only a model service has this")]
    PlainService,
    /// A model service that names no model.
    #[error("a model service names its model")]
    NoModel,
    /// No HTTP method.
    #[error("{0} is no HTTP method")]
    Method(String),
}

impl Fault {
    pub(crate) fn syntax(error: &serde_norway::Error) -> Self {
        let line = error.location().map(|location| location.line());
        let text = error.to_string();
        let field = text.split(": ").next().filter(|head| !head.contains(' ')).unwrap_or("document").to_owned();
        Self { line, field, reason: Reason::Syntax(text) }
    }

    pub(crate) fn size(bytes: usize) -> Self {
        Self { line: None, field: "document".to_owned(), reason: Reason::Size(bytes) }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(line) = self.line {
            write!(f, "line {line}: ")?;
        }
        write!(f, "{}: {}", self.field, self.reason)
    }
}

impl std::error::Error for Fault {}
