//! Orders to engines to load a model. One router per availability zone gives them, under a lease of the platform's
//! store and with a fencing token.
//!
//! The token is the revision at which the lease's key was created, so a later holder's token is higher. An engine that
//! checks tokens refuses an older one. For engines that don't check them, a new holder waits until the previous
//! holder's lease must have expired.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};
use stairvale_types::{Moment, id};

use crate::io::Answer;

/// Time for which the platform keeps the lease after its latest renewal.
pub const LEASE: Duration = Duration::from_secs(6);
/// Minimum interval between two attempts to acquire or renew the lease.
const RENEW_INTERVAL: Duration = Duration::from_secs(2);
/// Safety margin before the earliest expiry of the lease, by the holder's own clock, during which the holder gives no
/// orders.
const LEASE_MARGIN: Duration = Duration::from_secs(2);
/// Minimum interval between two orders in an availability zone: the store of model weights sustains one load per zone
/// in this time.
const ORDER_INTERVAL: Duration = Duration::from_secs(2);
/// Time after which an order that an engine hasn't carried out is given again.
const REPEAT_INTERVAL: Duration = Duration::from_secs(30);

/// A model and its version.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Loaded {
    /// Name of the model.
    pub model: String,
    /// Version of the model.
    pub version: String,
}

/// An order to an engine to load a model.
#[derive(Clone, Debug, PartialEq)]
pub struct Order {
    /// The engine that receives the order.
    pub upstream: id::Upstream,
    /// Address of the engine.
    pub address: SocketAddr,
    /// The model to load.
    pub load: Loaded,
    /// Fencing token of the order holder.
    pub token: u64,
}

/// An engine whose loaded model differs from the configured one.
#[derive(Clone, Debug, PartialEq)]
pub struct Need {
    /// The engine that needs an order.
    pub upstream: id::Upstream,
    /// Address of the engine.
    pub address: SocketAddr,
    /// The configured model.
    pub load: Loaded,
    /// Whether the engine checks fencing tokens.
    pub checks_tokens: bool,
}

/// A call to the platform's store about the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreCall {
    /// Creates the lease and its key if there is none.
    Acquire,
    /// Renews the lease.
    Renew,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Held {
    token: u64,
    /// Time at which the latest successful renewal was *sent*: the lease runs at least from then.
    sent: Moment,
    /// Time at which this router learned that it holds the lease.
    since: Moment,
}

/// State machine of the order holder of an availability zone, or of a candidate for it.
#[derive(Debug, Default)]
pub struct Machine {
    held: Option<Held>,
    call_sent: Option<Moment>,
    last_try: Option<Moment>,
    issued: BTreeMap<id::Upstream, (Loaded, Moment)>,
    last_order: Option<Moment>,
    /// Number of orders given.
    pub orders: u64,
}

impl Machine {
    /// The fencing token if this router may give orders now, by its own clock; `None` if it may not.
    #[must_use]
    pub fn fencing_token(&self, now: Moment) -> Option<u64> {
        let held = self.held.filter(|held| now.since(held.sent) + LEASE_MARGIN < LEASE)?;
        Some(held.token)
    }

    /// Advances the time and returns a call about the lease if one is due. `chosen` states whether this router should
    /// hold the lease.
    pub fn tick(&mut self, now: Moment, chosen: bool) -> Option<StoreCall> {
        if self.held.is_some_and(|held| now.since(held.sent) >= LEASE) {
            self.held = None;
        }
        let recent = self.last_try.is_some_and(|at| now.since(at) < RENEW_INTERVAL);
        let call_pending = self.call_sent.is_some_and(|at| now.since(at) < LEASE);
        if !chosen || recent || call_pending {
            return None;
        }
        self.last_try = Some(now);
        self.call_sent = Some(now);
        Some(if self.held.is_some() { StoreCall::Renew } else { StoreCall::Acquire })
    }

    /// Handles the answer to the latest call. Returns `Some(true)` if this router acquired the lease, `Some(false)` if
    /// it lost the lease, and `None` if nothing changed.
    pub fn answer(&mut self, now: Moment, answer: &Answer) -> Option<bool> {
        let sent = self.call_sent.take()?;
        match (answer, &mut self.held) {
            (Answer::Written(_), Some(held)) => {
                held.sent = sent;
                None
            }
            (Answer::Written(token), None) => {
                self.held = Some(Held { token: *token, sent, since: now });
                Some(true)
            }
            (Answer::Conflict, Some(_)) => {
                self.held = None;
                Some(false)
            }
            (Answer::Conflict | Answer::Lost | Answer::Value(_), _) => None,
        }
    }

    /// The next order to give, if one is due and allowed.
    pub fn next(&mut self, now: Moment, needs: &[Need]) -> Option<Order> {
        let token = self.fencing_token(now)?;
        let since = self.held?.since;
        if self.last_order.is_some_and(|at| now.since(at) < ORDER_INTERVAL) {
            return None;
        }
        let issued = &self.issued;
        let is_due = |need: &&Need| {
            let last = issued.get(&need.upstream);
            last.is_none_or(|(load, at)| load != &need.load || now.since(*at) >= REPEAT_INTERVAL)
        };
        let waited_out = now.since(since) >= LEASE;
        let need = needs.iter().filter(is_due).find(|need| need.checks_tokens || waited_out)?;
        self.last_order = Some(now);
        self.issued.insert(need.upstream.clone(), (need.load.clone(), now));
        self.orders += 1;
        Some(Order { upstream: need.upstream.clone(), address: need.address, load: need.load.clone(), token })
    }
}
