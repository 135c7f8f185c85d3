//! A steady load of requests that continues while routers and the store fail, with a log of their outcomes.

use std::{collections::BTreeMap, time::Duration};

use stairvale_dispatch::{Ask, Held, Outcome};
use stairvale_types::id;

use super::{World, permit_request};

/// Interval between new requests, in ms.
const ARRIVAL_INTERVAL_MS: u64 = 10;
/// Time from a request's start to its first event, in ms.
const FIRST_EVENT_MS: u64 = 20;
/// Time from a request's start to its end, in ms.
const DURATION_MS: u64 = 60;
/// How long an entry router waits for a home's answer, in ms.
const HOME_TIMEOUT_MS: u64 = 400;

/// A request that waits for its permit or runs.
#[derive(Debug)]
struct Request {
    number: u128,
    entry: usize,
    /// When the entry router's process started; the request ends with that process.
    entry_started_at: u64,
    home: id::Router,
    requested_at: u64,
    /// When the request was sent to its engine, in ms.
    sent: Option<(u64, id::Upstream)>,
    begun: bool,
}

/// The load, and the log of its requests.
#[derive(Debug, Default)]
pub struct Traffic {
    next: u128,
    requests: u64,
    under_way: Vec<Request>,
    /// The times at which requests were sent to each engine, in ms.
    pub sent: BTreeMap<id::Upstream, Vec<u64>>,
    /// The times at which requests failed at their engine, in ms.
    pub failed: Vec<u64>,
}

impl Traffic {
    /// The number of requests that have arrived at running routers so far.
    pub fn requests(&self) -> u64 {
        self.requests
    }

    /// The number of requests that were sent to an engine after a time, in ms.
    pub fn sent_after(&self, engine: usize, after: u64) -> usize {
        let id: id::Upstream = format!("e{engine}").parse().unwrap();
        self.sent.get(&id).map_or(0, |sent| sent.iter().filter(|at| **at > after).count())
    }
}

impl World {
    /// Advances the time while 100 requests a second arrive, at all routers in turn. Engines for which `is_failing` is true fail
    /// their requests.
    pub fn run_with_load(&mut self, traffic: &mut Traffic, millis: u64, is_failing: impl Fn(usize) -> bool) {
        let end = self.now + millis;
        while self.now < end {
            let entry = usize::try_from(traffic.next % self.nodes.len() as u128).unwrap();
            traffic.next += 1;
            if self.nodes[entry].alive && !self.nodes[entry].frozen {
                traffic.requests += 1;
                let number = 1_000_000 + traffic.next;
                let (service, ask) = permit_request(entry, number, &[(u64::try_from(number).unwrap(), 20)]);
                let ask = Ask { repeatable: true, route: id::Route(traffic.next as u64 % 2), ..ask };
                let now = self.local_time(entry);
                let (home, effects) = self.nodes[entry].core.ask(now, &service, ask);
                self.perform(entry, effects);
                let (entry_started_at, requested_at) = (self.nodes[entry].started_at, self.now);
                traffic.under_way.push(Request {
                    number,
                    entry,
                    entry_started_at,
                    home,
                    requested_at,
                    sent: None,
                    begun: false,
                });
            }
            self.run(ARRIVAL_INTERVAL_MS);
            let under_way = std::mem::take(&mut traffic.under_way);
            traffic.under_way = under_way.into_iter().filter_map(|r| self.advance(traffic, r, &is_failing)).collect();
        }
    }

    /// Advances a request by one step; returns `None` once it has ended.
    fn advance(
        &mut self,
        traffic: &mut Traffic,
        mut request: Request,
        is_failing: &impl Fn(usize) -> bool,
    ) -> Option<Request> {
        let (index, number, now) = (request.entry, request.number, self.local_time(request.entry));
        if !self.nodes[index].alive || self.nodes[index].started_at != request.entry_started_at {
            return None;
        }
        if self.nodes[index].frozen {
            return Some(request);
        }
        let attempt = id::Attempt(number);
        let Some((sent, upstream)) = request.sent.clone() else {
            let Some(upstream) = self.granted(index, number) else {
                let waits = self.now - request.requested_at < HOME_TIMEOUT_MS
                    && !self.nodes[index].replies.contains_key(&attempt);
                if !waits {
                    self.nodes[index].core.distrust(now, &request.home);
                }
                return waits.then_some(request);
            };
            // The entry checks again right before it sends that the engine may still get requests.
            if self.nodes[index].core.usable_upstream(&upstream).is_none() {
                let effects = self.nodes[index].core.forget(now, &"chat".parse().unwrap(), attempt, &request.home);
                self.perform(index, effects);
                return None;
            }
            traffic.sent.entry(upstream.clone()).or_default().push(self.now);
            let route = id::Route(u64::try_from((number - 1_000_000) % 2).unwrap());
            let held = Held {
                attempt,
                upstream: upstream.clone(),
                read: 20,
                customer: None,
                route,
                fingerprint: id::Fingerprint::default(),
            };
            self.nodes[index].core.start(&"chat".parse().unwrap(), held, &request.home, &[]);
            request.sent = Some((self.now, upstream));
            return Some(request);
        };
        if self.now >= sent + FIRST_EVENT_MS && !request.begun {
            request.begun = true;
            let effects = self.nodes[index].core.begun(now, attempt, Duration::from_millis(FIRST_EVENT_MS));
            self.perform(index, effects);
        }
        if self.now < sent + DURATION_MS {
            return Some(request);
        }
        let engine: usize = upstream.as_str()[1..].parse().unwrap();
        let failed = is_failing(engine);
        if failed {
            traffic.failed.push(self.now);
        }
        let outcome = if failed { Outcome::Failed } else { Outcome::Served };
        let effects = self.nodes[index].core.end(now, attempt, outcome, None);
        self.perform(index, effects);
        None
    }
}
