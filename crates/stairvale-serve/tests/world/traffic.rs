//! Requests that go on while routers and the store fail, and what became of them.

use std::{collections::BTreeMap, time::Duration};

use stairvale_dispatch::{Ask, Held, Outcome};
use stairvale_types::id;

use super::{World, request};

/// A request asks for a place this often, in ms.
const EVERY: u64 = 10;
/// From its start to its first event, and to its end, in ms.
const FIRST: u64 = 20;
const END: u64 = 60;
/// An entry waits this long for a home, in ms.
const PATIENCE: u64 = 400;

/// A request on its way.
#[derive(Debug)]
struct Request {
    number: u128,
    entry: usize,
    born: u64,
    home: id::Router,
    asked: u64,
    sent: Option<(u64, id::Upstream)>,
    begun: bool,
}

/// What became of requests.
#[derive(Debug, Default)]
pub struct Traffic {
    next: u128,
    asked: u64,
    under_way: Vec<Request>,
    /// When requests were sent to each engine, in ms.
    pub sent: BTreeMap<id::Upstream, Vec<u64>>,
    /// When engines answered badly, in ms.
    pub bad: Vec<u64>,
}

impl Traffic {
    /// Requests so far, at routers that run.
    pub fn requests(&self) -> u64 {
        self.asked
    }

    /// Requests that were sent to an engine after a time.
    pub fn sent_after(&self, engine: usize, after: u64) -> usize {
        let id: id::Upstream = format!("e{engine}").parse().unwrap();
        self.sent.get(&id).map_or(0, |sent| sent.iter().filter(|at| **at > after).count())
    }
}

impl World {
    /// Lets time pass while a hundred requests a second come in, at all routers in turn. `is_bad` says which engines fail them.
    pub fn serve_all(&mut self, traffic: &mut Traffic, millis: u64, is_bad: impl Fn(usize) -> bool) {
        let end = self.now + millis;
        while self.now < end {
            let entry = usize::try_from(traffic.next % self.nodes.len() as u128).unwrap();
            traffic.next += 1;
            if self.nodes[entry].alive && !self.nodes[entry].frozen {
                traffic.asked += 1;
                let number = 1_000_000 + traffic.next;
                let (service, ask) = request(entry, number, &[(u64::try_from(number).unwrap(), 20)]);
                let ask = Ask { repeatable: true, route: id::Route(traffic.next as u64 % 2), ..ask };
                let now = self.local(entry);
                let (home, effects) = self.nodes[entry].core.ask(now, &service, ask);
                self.perform(entry, effects);
                let (born, asked) = (self.nodes[entry].born, self.now);
                traffic.under_way.push(Request { number, entry, born, home, asked, sent: None, begun: false });
            }
            self.run(EVERY);
            let under_way = std::mem::take(&mut traffic.under_way);
            traffic.under_way = under_way.into_iter().filter_map(|r| self.go_on(traffic, r, &is_bad)).collect();
        }
    }

    /// What a request does next; `None` once it has ended.
    fn go_on(
        &mut self,
        traffic: &mut Traffic,
        mut request: Request,
        is_bad: &impl Fn(usize) -> bool,
    ) -> Option<Request> {
        let (index, number, now) = (request.entry, request.number, self.local(request.entry));
        if !self.nodes[index].alive || self.nodes[index].born != request.born {
            return None;
        }
        if self.nodes[index].frozen {
            return Some(request);
        }
        let attempt = id::Attempt(number);
        let Some((sent, upstream)) = request.sent.clone() else {
            let Some(upstream) = self.granted(index, number) else {
                let waits = self.now - request.asked < PATIENCE && !self.nodes[index].replies.contains_key(&attempt);
                if !waits {
                    self.nodes[index].core.distrust(now, &request.home);
                }
                return waits.then_some(request);
            };
            // The entry looks again right before it sends.
            if self.nodes[index].core.place(&upstream).is_none() {
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
        if self.now >= sent + FIRST && !request.begun {
            request.begun = true;
            let effects = self.nodes[index].core.begun(now, attempt, Duration::from_millis(FIRST));
            self.perform(index, effects);
        }
        if self.now < sent + END {
            return Some(request);
        }
        let engine: usize = upstream.as_str()[1..].parse().unwrap();
        let bad = is_bad(engine);
        if bad {
            traffic.bad.push(self.now);
        }
        let outcome = if bad { Outcome::Failed } else { Outcome::Served };
        let effects = self.nodes[index].core.end(now, attempt, outcome, None);
        self.perform(index, effects);
        None
    }
}
