//! How an installation speaks HTTP: the mapping between its headers and their meaning.

use std::{net::SocketAddr, time::Duration};

use http::{HeaderMap, HeaderValue, request, response};
use stairvale_dispatch::Part;
use stairvale_types::{Rest, id};

/// The parsed head of a request.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Head {
    /// The id of this attempt of the client, as the client sent it.
    pub id: String,
    /// The client's API key.
    pub key: Option<String>,
    /// How long the client waits for the response.
    pub deadline: Option<Duration>,
    /// The blocks of the prompt, in order.
    pub parts: Vec<Part>,
    /// Maximum number of tokens of the response.
    pub output: u32,
    /// The id of the last event that the client has received already.
    pub last_event: Option<String>,
    /// The id of the client's attempt that brought the first event of the stream that this request takes up again.
    pub resumes: Option<String>,
}

/// Why a request head is invalid.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Fault {
    /// The request id is missing or given more than once.
    #[error("exactly one request id is expected")]
    Id,
    /// The deadline is not a whole number of milliseconds.
    #[error("the deadline is no whole number of milliseconds")]
    Deadline,
    /// The description of the prompt's blocks or sizes is invalid.
    #[error("the prompt's description makes no sense")]
    Prompt,
    /// More than one key was sent.
    #[error("more than one key was sent")]
    Key,
}

/// What is sent to an upstream in addition to the client's request.
#[derive(Clone, Copy, Debug)]
pub struct Order<'a> {
    /// The only upstream that may run the request.
    pub upstream: &'a id::Upstream,
    /// The customer that sent the request.
    pub customer: Option<&'a id::Customer>,
    /// How long the response is waited for.
    pub deadline: Duration,
    /// The priority, from 0 to 9.
    pub priority: u8,
    /// Another upstream from which this one may copy the blocks of the prompt that it lacks.
    pub source: Option<SocketAddr>,
    /// The id of the last event that has been received already; the stream is to continue after it.
    pub last_event: Option<&'a str>,
}

/// An upstream that is asked which one it is.
#[derive(Clone, Copy, Debug)]
pub struct Asked<'a> {
    /// The upstream that is expected to answer.
    pub upstream: &'a id::Upstream,
    /// Whether it is a model engine.
    pub is_engine: bool,
}

/// An engine's report of the prompt blocks in its cache.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Inventory {
    /// When the reporting incarnation started, in milliseconds of Unix time, if the engine reports that.
    pub start: Option<u64>,
    /// The prompt blocks that the engine holds.
    pub parts: Vec<Part>,
}

/// The meaning of an upstream's response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ResponseKind {
    /// The response to this request.
    Answer,
    /// The request was not run: the upstream is full or leaving.
    Full,
    /// The request was not run: another upstream has taken over the address.
    Gone,
    /// The request was not run and would not be run elsewhere either.
    Unfit,
    /// Not a response to this request.
    Foreign,
}

/// What an upstream announces about itself in the head of a response, whatever the response is.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Notice {
    /// Whether the upstream is leaving and accepts no new requests from any router.
    pub leaves: bool,
    /// How long this router is to send nothing to the upstream.
    pub rest: Rest,
}

/// How an installation speaks HTTP.
pub trait Dialect: Clone + Send + Sync + 'static {
    /// Parses a request's head.
    ///
    /// # Errors
    /// A [`Fault`] if the head is invalid.
    fn read(&self, head: &request::Parts) -> Result<Head, Fault>;
    /// Adds what an upstream is to be sent to the client's headers.
    fn write(&self, headers: &mut HeaderMap, order: Order<'_>);
    /// Classifies an upstream's response.
    fn classify(&self, id: &str, response: &response::Parts) -> ResponseKind;
    /// Reads what an upstream announces about itself in any response.
    fn notice(&self, response: &response::Parts) -> Notice;
    /// Sets the request id in a response that this router generates.
    fn name(&self, headers: &mut HeaderMap, id: &str);
    /// The value of a `Retry-After` header.
    fn retry_after(&self, after: Duration) -> HeaderValue;
    /// The path at which an engine reports the prompt blocks in its cache, if engines do so.
    fn inventory_path(&self) -> Option<&'static str>;
    /// Parses an engine's report of the prompt blocks in its cache.
    fn inventory(&self, body: &[u8]) -> Option<Inventory>;
    /// The path of a question that makes an upstream say which one it is, without running anything; adds the question's headers.
    /// The answer is worth nothing after `limit`.
    fn ask_identity(&self, asked: Asked<'_>, limit: Duration, headers: &mut HeaderMap) -> &'static str;
    /// The upstream from which the response to such a question comes, with its start if the response states that.
    fn identity(&self, asked: Asked<'_>, response: &response::Parts, body: &[u8]) -> Option<id::Upstream>;
    /// The path at which the load balancer probes whether a router is ready.
    fn ready_path(&self) -> &'static str;
}
