//! Responses that the router generates when no upstream's response is forwarded.

use std::time::Duration;

use http::{HeaderValue, Response, StatusCode, header};
use stairvale_memory::{Shortage, budget::MAX_STALL, receive};
use stairvale_types::Refusal;

use crate::{Dialect, body::Body, dialect};

/// Why no upstream's response is forwarded.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Problem {
    /// The request head is invalid. The request was not run.
    #[error("{0}")]
    Malformed(dialect::Fault),
    /// The key is unknown. The request was not run.
    #[error("the key is unknown")]
    UnknownKey,
    /// No route or service matches. The request was not run.
    #[error("there is no such route")]
    NoRoute,
    /// The body exceeds the limit. The request was not run.
    #[error("the body is too large")]
    BodyTooLarge,
    /// The body did not arrive completely or in time. The request was not run.
    #[error("the body broke off")]
    IncompleteBody,
    /// The request was not run, and the client may retry it.
    #[error("{0}")]
    Refused(Refusal),
    /// This router has no memory for the request. The request was not run, and the client may retry it.
    #[error("{0}")]
    Shortage(Shortage),
    /// No router in reach knows at which version the stream began that the client takes up again. The request was not run.
    #[error("the stream is not known here")]
    UnknownStream {
        /// When that can change.
        retry_after: Duration,
    },
    /// No upstream of the version at which the stream began takes requests. The request was not run.
    #[error("no upstream of the stream's version takes requests")]
    VersionUnavailable {
        /// When that can change.
        retry_after: Duration,
    },
    /// An attempt failed at an upstream; the request may have run.
    #[error("the upstream broke off, and the request may have run")]
    UpstreamFailed,
    /// No response arrived in time; the request may have run.
    #[error("no answer came in time, and the request may have run")]
    Timeout,
}

impl From<receive::Fault> for Problem {
    fn from(fault: receive::Fault) -> Self {
        match fault {
            receive::Fault::TooLarge => Self::BodyTooLarge,
            receive::Fault::Incomplete => Self::IncompleteBody,
            receive::Fault::Shortage(shortage) => Self::Shortage(shortage),
        }
    }
}

impl Problem {
    /// The response's status. Only 400, 401, 404, 413 and 503 mean that nothing was run.
    #[must_use]
    pub fn status(self) -> StatusCode {
        match self {
            Self::Malformed(_) | Self::IncompleteBody => StatusCode::BAD_REQUEST,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Refused(_) | Self::Shortage(_) | Self::UnknownStream { .. } | Self::VersionUnavailable { .. } => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Self::UpstreamFailed => StatusCode::BAD_GATEWAY,
            Self::Timeout => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// The label of this problem in counters and logs.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::Malformed(_) => "malformed",
            Self::UnknownKey => "unknown-key",
            Self::NoRoute => "no-route",
            Self::BodyTooLarge => "large",
            Self::IncompleteBody => "body",
            Self::Refused(refusal) => refusal.reason.as_str(),
            Self::Shortage(shortage) => shortage.as_str(),
            Self::UnknownStream { .. } => "unknown-stream",
            Self::VersionUnavailable { .. } => "version-unavailable",
            Self::UpstreamFailed => "broken",
            Self::Timeout => "late",
        }
    }

    /// How long the client should wait before it retries, if the request was refused.
    #[must_use]
    pub fn retry_after(self) -> Option<Duration> {
        match self {
            Self::Refused(refusal) => Some(refusal.retry_after),
            // Bodies that don't arrive are evicted after this time.
            Self::Shortage(_) => Some(MAX_STALL),
            Self::UnknownStream { retry_after } | Self::VersionUnavailable { retry_after } => Some(retry_after),
            Self::Malformed(_)
            | Self::UnknownKey
            | Self::NoRoute
            | Self::BodyTooLarge
            | Self::IncompleteBody
            | Self::UpstreamFailed
            | Self::Timeout => None,
        }
    }

    /// Builds the response, with a problem document (RFC 9457) as its body.
    pub fn into_response<D: Dialect>(self, dialect: &D, id: &str) -> Response<Body> {
        let text = format!("{{\"title\":\"{self}\",\"status\":{}}}\n", self.status().as_u16());
        let mut response = Response::new(Body::complete(text));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/problem+json"));
        if let Some(after) = self.retry_after() {
            headers.insert(header::RETRY_AFTER, dialect.retry_after(after));
        }
        dialect.name(headers, id);
        response
    }
}
