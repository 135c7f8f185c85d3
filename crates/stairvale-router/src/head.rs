//! Parses and validates the head of a caller's request.

use std::{
    io::{BufReader, Read},
    time::Duration,
};

use http::{HeaderMap, Method, Uri, header};
use serde::Deserialize;
use stairvale_config::{Service, document::key_hash};
use stairvale_types::{Class, id};

use crate::{
    problem::InvalidRequest,
    shared::{Account, Snapshot},
};

/// Limits the deadline that a caller may request.
const MAX_DEADLINE: Duration = Duration::from_secs(24 * 3600);
/// Limits the length of a chat name or an idempotency key.
const MAX_TEXT_BYTES: usize = 256;

/// The validated head of a request. It borrows the service and the account from the snapshot.
#[derive(Debug)]
pub struct Head<'a> {
    /// The service that the path names.
    pub service: &'a Service,
    /// The customer that sent the request, with its rate limit.
    pub account: &'a Account,
    /// The part of the path after the service's name, with the query.
    pub upstream_path: String,
    /// The chat that the request belongs to, if any.
    pub chat: Option<id::Chat>,
    /// The idempotency key, if the caller sent one.
    pub key: Option<id::Key>,
    /// The priority class.
    pub class: Class,
    /// The time until the deadline.
    pub deadline: Duration,
    /// Whether the request may run more than once.
    pub repeatable: bool,
}

impl<'a> Head<'a> {
    /// Parses and validates a head.
    ///
    /// # Errors
    /// The first error found; the customer's key is checked before anything else.
    pub fn parse(
        snapshot: &'a Snapshot,
        method: &Method,
        uri: &Uri,
        headers: &HeaderMap,
    ) -> Result<Self, InvalidRequest> {
        let account = authorise(snapshot, headers)?;
        let path = uri.path().trim_start_matches('/');
        let (name, rest) = path.split_once('/').unwrap_or((path, ""));
        let service = snapshot.service(name).ok_or(InvalidRequest::Service)?;
        let query = uri.query().map(|query| format!("?{query}")).unwrap_or_default();
        let customer = &account.customer.name;
        let chat = text_header(headers, "stairvale-chat", InvalidRequest::Chat)?;
        let chat = chat.map(|chat| id::Chat::of(customer, &format!("{name}/{chat}")));
        let key = text_header(headers, "idempotency-key", InvalidRequest::IdempotencyKey)?;
        let key = key.map(|key| claim_key(customer, &service.name, key));
        let is_marked = headers.get("stairvale-repeatable").is_some_and(|value| value == "?0");
        let is_listed = service.not_repeatable.iter().any(|listed| listed == method.as_str());
        Ok(Self {
            service,
            account,
            upstream_path: format!("/{rest}{query}"),
            chat,
            key,
            class: priority_class(headers)?,
            deadline: deadline(headers)?.unwrap_or(service.deadline),
            repeatable: !is_marked && !is_listed,
        })
    }
}

/// The customer whose key a request carries. The key is looked up by its hash, so the time of the comparison reveals
/// nothing about the key.
fn authorise<'a>(snapshot: &'a Snapshot, headers: &HeaderMap) -> Result<&'a Account, InvalidRequest> {
    let key = bearer(headers).ok_or(InvalidRequest::Key)?;
    snapshot.customers.get(&key_hash(key)).map(AsRef::as_ref).ok_or(InvalidRequest::Key)
}

/// The key in an `authorization: Bearer` header.
#[must_use]
pub fn bearer(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    let (scheme, key) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| key.trim())
}

fn text_header<'a>(
    headers: &'a HeaderMap,
    name: &str,
    invalid: InvalidRequest,
) -> Result<Option<&'a str>, InvalidRequest> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| invalid)?;
    if text.is_empty() || text.len() > MAX_TEXT_BYTES {
        return Err(invalid);
    }
    Ok(Some(text))
}

fn priority_class(headers: &HeaderMap) -> Result<Class, InvalidRequest> {
    let Some(value) = headers.get("priority") else {
        return Ok(Class::Normal);
    };
    let value = value.to_str().map_err(|_| InvalidRequest::Priority)?;
    value.parse().map_err(|_| InvalidRequest::Priority)
}

fn deadline(headers: &HeaderMap) -> Result<Option<Duration>, InvalidRequest> {
    let Some(value) = headers.get("stairvale-deadline-ms") else {
        return Ok(None);
    };
    let value = value.to_str().map_err(|_| InvalidRequest::Deadline)?;
    let millis: u64 = value.parse().map_err(|_| InvalidRequest::Deadline)?;
    let deadline = Duration::from_millis(millis);
    if deadline.is_zero() || deadline > MAX_DEADLINE {
        return Err(InvalidRequest::Deadline);
    }
    Ok(Some(deadline))
}

/// The claim's key for an idempotency key. It is scoped to the customer and the service, so the same text of another
/// customer or service gives another key.
fn claim_key(customer: &id::Customer, service: &id::Service, text: &str) -> id::Key {
    let hash = blake3::hash(format!("{customer}/{service}/{text}").as_bytes());
    let mut bytes = [0; 16];
    bytes.copy_from_slice(&hash.as_bytes()[..16]);
    id::Key(u128::from_be_bytes(bytes))
}

/// The fields of a chat's body that routing needs.
#[derive(Debug, Default, Deserialize)]
struct ChatBody {
    #[serde(default)]
    messages: Vec<Message>,
}

#[derive(Debug, Deserialize)]
struct Message {
    #[serde(default)]
    role: String,
}

/// Whether a chat's body contains earlier answers of the model. A body that is no chat doesn't.
#[must_use]
pub fn is_returning(body: &[u8]) -> bool {
    is_returning_chat(body)
}

/// Whether the chat's body that a reader returns contains earlier answers of the model, like [`is_returning`].
#[must_use]
pub fn is_returning_chat(body: impl Read) -> bool {
    let body: ChatBody = serde_json::from_reader(BufReader::new(body)).unwrap_or_default();
    body.messages.iter().any(|message| message.role == "assistant")
}
