//! Error responses to callers: `application/problem+json` (RFC 9457).

use std::time::Duration;

use http::{Response, StatusCode, header};
use serde::Serialize;
use stairvale_memory::{budget::MAX_STALL, receive};
use stairvale_types::{Reason, Refusal, id};

use crate::body::Body;

/// An error response. Requests that may have run and requests that did not run are different variants, so that they
/// can't be confused.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Problem {
    /// The request is invalid; it was not run.
    #[error(transparent)]
    Invalid(#[from] InvalidRequest),
    /// The fleet refused the request; it was not run.
    #[error("{0}")]
    Refused(Refusal),
    /// The request may have run, completely or in part.
    #[error(transparent)]
    Unknown(#[from] Unknown),
}

/// The reason why a request is invalid.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum InvalidRequest {
    /// The `authorization: Bearer` header is missing, or its key belongs to no customer.
    #[error("the customer's key is missing or wrong")]
    Key,
    /// The first segment of the path names no service.
    #[error("there is no such service")]
    Service,
    /// The body exceeds the limit of the settings.
    #[error("the body is larger than allowed")]
    BodyTooLarge,
    /// The caller's body ended before it was complete.
    #[error("the body broke off")]
    BodyIncomplete,
    /// `stairvale-deadline-ms` is not a number of milliseconds from 1 to one day.
    #[error("stairvale-deadline-ms must be a number of milliseconds, at most a day")]
    Deadline,
    /// `priority` doesn't have the form of RFC 9218.
    #[error("priority must be written u=0 to u=7")]
    Priority,
    /// `stairvale-chat` is empty, too long or has control characters.
    #[error("stairvale-chat must have 1 to 256 printable characters")]
    Chat,
    /// `idempotency-key` is empty, too long or has control characters.
    #[error("idempotency-key must have 1 to 256 printable characters")]
    IdempotencyKey,
    /// The idempotency key was already used for a request with another method, path or body, which ran.
    #[error("this idempotency key was used for another request; a key is for one request only")]
    KeyReused,
}

/// The reason why the outcome of a request is not known, or its answer not available.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Unknown {
    /// An upstream received the request, but no complete answer was received.
    #[error("the upstream took the request, and no whole answer came")]
    IncompleteAnswer,
    /// The deadline passed while an upstream had the request.
    #[error("the deadline passed while the upstream had the request")]
    Deadline,
    /// Another request with this key holds the claim, and whether it has run is not known yet.
    #[error("a request with this idempotency key has begun, and its answer is not known")]
    Claimed,
    /// A request with this key ran, but its answer was not stored, because it was too large or not UTF-8 text.
    #[error("a request with this idempotency key ran; its answer was not kept")]
    AnswerNotStored,
}

/// The JSON object of a problem.
#[derive(Debug, Serialize)]
struct Details {
    #[serde(rename = "type")]
    kind: &'static str,
    title: String,
    status: u16,
    outcome: &'static str,
    reason: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

/// The retry delay sent to the caller if the outcome of its request is not known.
const UNKNOWN_RETRY_AFTER: Duration = Duration::from_secs(1);

impl From<receive::Fault> for Problem {
    fn from(fault: receive::Fault) -> Self {
        match fault {
            receive::Fault::TooLarge => InvalidRequest::BodyTooLarge.into(),
            receive::Fault::Incomplete => InvalidRequest::BodyIncomplete.into(),
            // Bodies that don't arrive are evicted after this time.
            receive::Fault::Shortage(_) => Refusal::new(Reason::Busy, MAX_STALL).into(),
        }
    }
}

impl Problem {
    /// The reason as a short code, for metrics and for the JSON field `reason`.
    #[must_use]
    pub const fn reason(&self) -> &'static str {
        match self {
            Self::Invalid(invalid) => invalid.reason(),
            Self::Refused(refusal) => refusal.reason.as_str(),
            Self::Unknown(unknown) => unknown.reason(),
        }
    }

    /// `not-run`, `ran` or `unknown`.
    #[must_use]
    pub const fn outcome(&self) -> &'static str {
        match self {
            Self::Invalid(_) | Self::Refused(_) => "not-run",
            Self::Unknown(Unknown::AnswerNotStored) => "ran",
            Self::Unknown(_) => "unknown",
        }
    }

    /// The HTTP status of the response.
    #[must_use]
    pub const fn status(&self) -> StatusCode {
        match self {
            Self::Invalid(invalid) => invalid.status(),
            Self::Refused(refusal) => match refusal.reason {
                Reason::Limit => StatusCode::TOO_MANY_REQUESTS,
                Reason::Busy
                | Reason::Deadline
                | Reason::NoUpstream
                | Reason::Platform
                | Reason::NotReady
                | Reason::Budget
                | Reason::Quarantined => StatusCode::SERVICE_UNAVAILABLE,
            },
            Self::Unknown(Unknown::IncompleteAnswer) => StatusCode::BAD_GATEWAY,
            Self::Unknown(Unknown::Deadline) => StatusCode::GATEWAY_TIMEOUT,
            Self::Unknown(Unknown::Claimed | Unknown::AnswerNotStored) => StatusCode::CONFLICT,
        }
    }

    /// The problem as JSON text.
    #[must_use]
    pub fn to_json(&self) -> String {
        let details = Details {
            kind: "about:blank",
            title: self.to_string(),
            status: self.status().as_u16(),
            outcome: self.outcome(),
            reason: self.reason(),
            retry_after_ms: self.retry_after().map(|after| u64::try_from(after.as_millis()).unwrap_or(u64::MAX)),
        };
        serde_json::to_string(&details).unwrap_or_else(|_| unreachable!("the details have only string keys"))
    }

    /// The response to the caller.
    #[must_use]
    pub fn respond(&self, attempt: Option<id::Attempt>) -> Response<Body> {
        let mut response = Response::new(Body::complete(self.to_json()));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, header::HeaderValue::from_static("application/problem+json"));
        if let Some(after) = self.retry_after() {
            // `retry-after` has whole seconds. Rounded up, since an earlier retry would only be refused again.
            let seconds = after.as_millis().div_ceil(1_000).max(1);
            let seconds = u64::try_from(seconds).unwrap_or(u64::MAX);
            headers.insert(header::RETRY_AFTER, header::HeaderValue::from(seconds));
        }
        if let Some(value) = attempt.and_then(|attempt| header::HeaderValue::try_from(attempt.to_string()).ok()) {
            headers.insert("stairvale-request", value);
        }
        response
    }

    const fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::Invalid(_) | Self::Unknown(Unknown::AnswerNotStored) => None,
            Self::Refused(refusal) => Some(refusal.retry_after),
            Self::Unknown(_) => Some(UNKNOWN_RETRY_AFTER),
        }
    }
}

impl From<Refusal> for Problem {
    fn from(refusal: Refusal) -> Self {
        Self::Refused(refusal)
    }
}

impl InvalidRequest {
    const fn reason(self) -> &'static str {
        match self {
            Self::Key => "key",
            Self::Service => "service",
            Self::BodyTooLarge => "body-too-large",
            Self::BodyIncomplete => "body-broken",
            Self::Deadline => "bad-deadline",
            Self::Priority => "bad-priority",
            Self::Chat => "bad-chat",
            Self::IdempotencyKey => "bad-idempotency-key",
            Self::KeyReused => "key-reused",
        }
    }

    const fn status(self) -> StatusCode {
        match self {
            Self::Key => StatusCode::UNAUTHORIZED,
            Self::Service => StatusCode::NOT_FOUND,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
            Self::BodyIncomplete | Self::Deadline | Self::Priority | Self::Chat | Self::IdempotencyKey => {
                StatusCode::BAD_REQUEST
            }
        }
    }
}

impl Unknown {
    const fn reason(self) -> &'static str {
        match self {
            Self::IncompleteAnswer => "broken",
            Self::Deadline => "deadline-passed",
            Self::Claimed => "claimed",
            Self::AnswerNotStored => "answer-not-kept",
        }
    }
}
