//! What callers and operators are told when they get no answer: `application/problem+json` (RFC 9457).

use std::time::Duration;

use http::{Response, StatusCode, header};
use serde::Serialize;
use stairvale_types::{Reason, Refusal, id};

use crate::body::Body;

/// A "no" with its type. What may have run and what didn't are different variants, so they can't be mixed up.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Problem {
    /// The request itself is wrong; nothing ran.
    #[error(transparent)]
    Bad(#[from] Bad),
    /// The fleet refused it; nothing ran.
    #[error("{0}")]
    Refused(Refusal),
    /// It may have run, or part of it.
    #[error(transparent)]
    Unknown(#[from] Unknown),
}

/// What is wrong with a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Bad {
    /// No `authorization: Bearer` header, or none that is known.
    #[error("the customer's key is missing or wrong")]
    Key,
    /// The first part of the path names no service.
    #[error("there is no such service")]
    Service,
    /// The body is larger than allowed.
    #[error("the body is larger than allowed")]
    Body,
    /// The body broke off.
    #[error("the body broke off")]
    BodyBroken,
    /// `stairvale-deadline-ms` is no number from 1 to a day.
    #[error("stairvale-deadline-ms must be a number of milliseconds, at most a day")]
    Deadline,
    /// `priority` is not as in RFC 9218.
    #[error("priority must be written u=0 to u=7")]
    Priority,
    /// `stairvale-chat` is empty, too long or has control characters.
    #[error("stairvale-chat must have 1 to 256 printable characters")]
    Chat,
    /// `idempotency-key` is empty, too long or has control characters.
    #[error("idempotency-key must have 1 to 256 printable characters")]
    IdempotencyKey,
    /// The idempotency key was used for a request with another method, path or body, which ran.
    #[error("this idempotency key was used for another request; a key is for one request only")]
    KeyReused,
}

/// What may have run.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Unknown {
    /// The upstream took the request, and no whole answer came.
    #[error("the upstream took the request, and no whole answer came")]
    Broken,
    /// The deadline passed while the upstream had the request.
    #[error("the deadline passed while the upstream had the request")]
    Deadline,
    /// Another request with this key holds the claim; whether it ran isn't known yet.
    #[error("a request with this idempotency key has begun, and its answer is not known")]
    Claimed,
    /// A request with this key ran; its answer was too large to keep.
    #[error("a request with this idempotency key ran; its answer was not kept")]
    NotKept,
}

/// The JSON of a problem.
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

/// When to ask again about a request whose fate isn't known.
const RETRY_UNKNOWN: Duration = Duration::from_secs(1);

impl Problem {
    /// A word for metrics.
    #[must_use]
    pub const fn reason(&self) -> &'static str {
        match self {
            Self::Bad(bad) => bad.reason(),
            Self::Refused(refusal) => refusal.reason.as_str(),
            Self::Unknown(unknown) => unknown.reason(),
        }
    }

    /// `not-run` or `unknown`.
    #[must_use]
    pub const fn outcome(&self) -> &'static str {
        match self {
            Self::Bad(_) | Self::Refused(_) => "not-run",
            Self::Unknown(Unknown::NotKept) => "ran",
            Self::Unknown(_) => "unknown",
        }
    }

    /// The HTTP status.
    #[must_use]
    pub const fn status(&self) -> StatusCode {
        match self {
            Self::Bad(bad) => bad.status(),
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
            Self::Unknown(Unknown::Broken) => StatusCode::BAD_GATEWAY,
            Self::Unknown(Unknown::Deadline) => StatusCode::GATEWAY_TIMEOUT,
            Self::Unknown(Unknown::Claimed | Unknown::NotKept) => StatusCode::CONFLICT,
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

    /// The answer to the caller.
    #[must_use]
    pub fn respond(&self, attempt: Option<id::Attempt>) -> Response<Body> {
        let mut response = Response::new(Body::whole(self.to_json()));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, header::HeaderValue::from_static("application/problem+json"));
        if let Some(after) = self.retry_after() {
            // Whole seconds, rounded up: coming back early would only be refused again.
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
            Self::Bad(_) | Self::Unknown(Unknown::NotKept) => None,
            Self::Refused(refusal) => Some(refusal.retry_after),
            Self::Unknown(_) => Some(RETRY_UNKNOWN),
        }
    }
}

impl From<Refusal> for Problem {
    fn from(refusal: Refusal) -> Self {
        Self::Refused(refusal)
    }
}

impl Bad {
    const fn reason(self) -> &'static str {
        match self {
            Self::Key => "key",
            Self::Service => "service",
            Self::Body => "body-too-large",
            Self::BodyBroken => "body-broken",
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
            Self::Body => StatusCode::PAYLOAD_TOO_LARGE,
            Self::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
            Self::BodyBroken | Self::Deadline | Self::Priority | Self::Chat | Self::IdempotencyKey => {
                StatusCode::BAD_REQUEST
            }
        }
    }
}

impl Unknown {
    const fn reason(self) -> &'static str {
        match self {
            Self::Broken => "broken",
            Self::Deadline => "deadline-passed",
            Self::Claimed => "claimed",
            Self::NotKept => "answer-not-kept",
        }
    }
}
