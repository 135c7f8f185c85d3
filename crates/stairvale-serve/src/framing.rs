//! How the end of an upstream's response is recognized.

use std::fmt;

use http::{Method, StatusCode, header, response};

/// How a response's body ends (RFC 9112, section 6.3).
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Framing {
    /// The response states its end: by a length, by the last chunk, or since it can't have a body.
    Stated,
    /// The body ends with the connection, so that a body that was cut off looks like a complete one.
    CloseDelimited,
}

impl Framing {
    /// The framing of the response to a request with this method.
    #[must_use]
    pub fn of(method: &Method, head: &response::Parts) -> Self {
        let has_no_body = method == Method::HEAD
            || head.status.is_informational()
            || matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        let coding = head.headers.get_all(header::TRANSFER_ENCODING).into_iter().next_back();
        let is_stated = match coding.map(|coding| coding.to_str().unwrap_or_default()) {
            Some(coding) => {
                coding.split(',').next_back().is_some_and(|last| last.trim().eq_ignore_ascii_case("chunked"))
            }
            None => head.headers.contains_key(header::CONTENT_LENGTH),
        };
        if has_no_body || is_stated { Self::Stated } else { Self::CloseDelimited }
    }
}

impl fmt::Display for Framing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Stated => "stated",
            Self::CloseDelimited => "close-delimited",
        })
    }
}
