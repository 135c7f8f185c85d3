//! Orders to engines: one router an availability zone gives them, under a platform lease, with a fencing token.
//!
//! The token is the revision at which the lease's key was created, so a later holder's is higher. An engine that checks
//! tokens refuses an older one; where engines don't check, a new holder waits until the old one's lease has surely lapsed.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};
use stairvale_types::{Moment, id};

use crate::io::Answer;

/// How long the platform keeps the lease after it was renewed last.
pub const LEASE: Duration = Duration::from_secs(6);
/// How often it is renewed.
const RENEW_EVERY: Duration = Duration::from_secs(2);
/// A holder stops giving orders this long before its lease can lapse, by its own clock.
const MARGIN: Duration = Duration::from_secs(2);
/// The weight store bears one load per availability zone in this time.
const ORDER_EVERY: Duration = Duration::from_secs(2);
/// An order that an engine hasn't carried out by then is given again.
const REPEAT_AFTER: Duration = Duration::from_secs(30);

/// A model in its version.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Loaded {
    /// The model's name.
    pub model: String,
    /// Its version.
    pub version: String,
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Order {
    /// The engine.
    pub upstream: id::Upstream,
    /// Where it is.
    pub address: SocketAddr,
    /// What to load.
    pub load: Loaded,
    /// The fencing token.
    pub token: u64,
}

/// An engine that has another model than the configuration says.
#[derive(Clone, Debug, PartialEq)]
pub struct Need {
    /// The engine.
    pub upstream: id::Upstream,
    /// Where it is.
    pub address: SocketAddr,
    /// What it should have.
    pub load: Loaded,
    /// Whether it checks tokens.
    pub checks: bool,
}

/// A call to the platform's lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wish {
    /// Create the lease and its key, if there is none.
    Acquire,
    /// Renew the lease.
    Renew,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Held {
    token: u64,
    /// When the latest renewal that succeeded was *sent*: the lease runs at least from then.
    sent: Moment,
    since: Moment,
}

/// The order holder of an availability zone, or one who would be.
#[derive(Debug, Default)]
pub struct Machine {
    held: Option<Held>,
    call: Option<Moment>,
    tried: Option<Moment>,
    given: BTreeMap<id::Upstream, (Loaded, Moment)>,
    last_order: Option<Moment>,
    /// Orders given.
    pub orders: u64,
}

impl Machine {
    /// Whether this router may give orders now, by its own clock.
    #[must_use]
    pub fn holds(&self, now: Moment) -> Option<u64> {
        let held = self.held.filter(|held| now.since(held.sent) + MARGIN < LEASE)?;
        Some(held.token)
    }

    /// Lets time pass; `chosen` says whether this router should hold the lease.
    pub fn tick(&mut self, now: Moment, chosen: bool) -> Option<Wish> {
        if self.held.is_some_and(|held| now.since(held.sent) >= LEASE) {
            self.held = None;
        }
        let recent = self.tried.is_some_and(|at| now.since(at) < RENEW_EVERY);
        let calling = self.call.is_some_and(|at| now.since(at) < LEASE);
        if !chosen || recent || calling {
            return None;
        }
        self.tried = Some(now);
        self.call = Some(now);
        Some(if self.held.is_some() { Wish::Renew } else { Wish::Acquire })
    }

    /// The platform answered; says whether holding began or ended.
    pub fn answer(&mut self, now: Moment, answer: &Answer) -> Option<bool> {
        let sent = self.call.take()?;
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

    /// The next order to give, if it is time for one.
    pub fn next(&mut self, now: Moment, needs: &[Need]) -> Option<Order> {
        let token = self.holds(now)?;
        let since = self.held?.since;
        if self.last_order.is_some_and(|at| now.since(at) < ORDER_EVERY) {
            return None;
        }
        let given = &self.given;
        let is_new = |need: &&Need| {
            let last = given.get(&need.upstream);
            last.is_none_or(|(load, at)| load != &need.load || now.since(*at) >= REPEAT_AFTER)
        };
        let waited_out = now.since(since) >= LEASE;
        let need = needs.iter().filter(is_new).find(|need| need.checks || waited_out)?;
        self.last_order = Some(now);
        self.given.insert(need.upstream.clone(), (need.load.clone(), now));
        self.orders += 1;
        Some(Order { upstream: need.upstream.clone(), address: need.address, load: need.load.clone(), token })
    }
}
