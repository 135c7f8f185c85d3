//! Faults of a document, with their location.

use std::fmt;

/// The first fault found in a document or a settings file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fault {
    /// The line of the fault, counted from 1, if it can be determined.
    pub line: Option<usize>,
    /// The path of the faulty field, such as `services[2].slots`.
    pub field: String,
    /// What is wrong with the field.
    pub reason: Reason,
}

/// The reason why a field or a document is invalid.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Reason {
    /// The text isn't YAML, or doesn't match the schema; the parser's message.
    #[error("{0}")]
    Syntax(String),
    /// The document, whose size in bytes is given, exceeds [`MAX_DOCUMENT_BYTES`](crate::document::MAX_DOCUMENT_BYTES).
    #[error("the document has {0} bytes, which is more than is allowed")]
    Size(usize),
    /// Two items of one list have this name.
    #[error("the name {0} stands twice")]
    DuplicateName(String),
    /// A key's hash isn't 64 lowercase hexadecimal digits.
    #[error("a key hash is the 64 hexadecimal digits of a BLAKE3 hash")]
    KeyHash,
    /// Another customer or operator, at this path, has the same key, so their requests couldn't be distinguished.
    #[error("the same key hash stands at {0}")]
    SharedKey(String),
    /// The number is outside its valid range, whose inclusive bounds are given; durations are in milliseconds.
    #[error("must be from {0} to {1}")]
    Range(u64, u64),
    /// The field is only valid for model services, but the service is a plain one.
    #[error("only a model service has this")]
    PlainService,
    /// A model service doesn't specify its model.
    #[error("a model service names its model")]
    MissingModel,
    /// The text isn't a supported HTTP method.
    #[error("{0} is no HTTP method")]
    UnknownMethod(String),
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
