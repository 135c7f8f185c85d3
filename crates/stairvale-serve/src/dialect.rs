//! How an installation speaks HTTP: the seam between its headers and what they mean.

use std::{net::SocketAddr, time::Duration};

use http::{HeaderMap, HeaderValue, request, response};
use stairvale_dispatch::Part;
use stairvale_types::{Rest, id};

/// What a request's head says.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Head {
    /// The attempt's id, as the caller wrote it.
    pub id: String,
    /// The caller's key.
    pub key: Option<String>,
    /// How long the caller waits.
    pub deadline: Option<Duration>,
    /// The parts of the prompt, in order.
    pub parts: Vec<Part>,
    /// Tokens that the answer may have.
    pub output: u32,
    /// The last event that the caller has already.
    pub last_event: Option<String>,
}

/// A head that can't be understood.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Fault {
    /// There is no id, or more than one.
    #[error("exactly one request id is expected")]
    Id,
    /// The deadline is no number.
    #[error("the deadline is no whole number of milliseconds")]
    Deadline,
    /// The prompt's parts or sizes make no sense.
    #[error("the prompt's description makes no sense")]
    Prompt,
    /// There is more than one key.
    #[error("more than one key was sent")]
    Key,
}

/// What an upstream is told beside the caller's request.
#[derive(Clone, Copy, Debug)]
pub struct Order<'a> {
    /// The only upstream that may run it.
    pub upstream: &'a id::Upstream,
    /// Whose request it is.
    pub customer: Option<&'a id::Customer>,
    /// How long the answer is waited for.
    pub deadline: Duration,
    /// Its rank, 0 to 9.
    pub priority: u8,
    /// Another upstream from which it may copy what it lacks of the prompt.
    pub source: Option<SocketAddr>,
    /// Events up to this one are there already.
    pub last_event: Option<&'a str>,
}

/// What an engine says that it holds of prompts.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Inventory {
    /// When the life started that says so, in milliseconds of Unix time, if it tells.
    pub start: Option<u64>,
    /// What it holds.
    pub parts: Vec<Part>,
}

/// What an upstream's answer is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mark {
    /// The answer to this request.
    Answer,
    /// The request was not run: the upstream is full or leaving.
    Full,
    /// The request was not run: another upstream has the address.
    Gone,
    /// The request was not run, and wouldn't be elsewhere either.
    Unfit,
    /// Not an answer to this request at all.
    Foreign,
}

/// What an upstream says of itself in the head of an answer, whatever it answers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Notice {
    /// Whether it leaves, and wants no new work from anybody.
    pub leaves: bool,
    /// How long it wants nothing from this router.
    pub rest: Rest,
}

/// How an installation speaks HTTP.
pub trait Dialect: Clone + Send + Sync + 'static {
    /// Reads a request's head.
    ///
    /// # Errors
    /// A [`Fault`] if it can't be understood.
    fn read(&self, head: &request::Parts) -> Result<Head, Fault>;
    /// Writes what an upstream is told into the caller's headers.
    fn write(&self, headers: &mut HeaderMap, order: Order<'_>);
    /// Tells what an upstream's answer is.
    fn judge(&self, id: &str, answer: &response::Parts) -> Mark;
    /// Reads what an upstream says of itself in any answer.
    fn notice(&self, answer: &response::Parts) -> Notice;
    /// Names the request in an answer of our own.
    fn name(&self, headers: &mut HeaderMap, id: &str);
    /// When to come back, as a header's value.
    fn come_back(&self, after: Duration) -> HeaderValue;
    /// The path at which an engine says what it holds of prompts, if it does.
    fn inventory_path(&self) -> Option<&'static str>;
    /// Reads what it says.
    fn inventory(&self, body: &[u8]) -> Option<Inventory>;
    /// The path at which the balancer asks whether a router is ready.
    fn ready_path(&self) -> &'static str;
}
