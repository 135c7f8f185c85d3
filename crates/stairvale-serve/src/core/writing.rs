//! How a home's changes of records reach the store: by its own calls, or by a peer's while those fail.

use std::{collections::BTreeMap, time::Duration};

use stairvale_rollout::Written;
use stairvale_types::{Moment, id};

/// A peer that doesn't answer for this long may have written or not: several round trips and a slow call to the store.
const ANSWER: Duration = Duration::from_millis(1_000);
/// After this long by peers the own calls are tried again, though the peers' go well.
const RESEND_INTERVAL: Duration = Duration::from_secs(10);

/// The way that is taken now. The one that worked is kept, and the other one tried after each failure.
#[derive(Debug, Default)]
pub(super) struct Writing {
    /// Since when peers write, if they do.
    others: Option<Moment>,
    number: u64,
    /// What peers were asked to write, and until when they may answer.
    asked: BTreeMap<u64, (id::Service, Moment)>,
}

impl Writing {
    /// Whether a peer is asked next.
    pub(super) fn by_others(&mut self, now: Moment) -> bool {
        self.others = self.others.filter(|since| now.since(*since) < RESEND_INTERVAL);
        self.others.is_some()
    }

    /// One of some peers, another one each time.
    pub(super) fn pick<'a>(&self, peers: &'a [id::Router]) -> Option<&'a id::Router> {
        let index = usize::try_from(self.number).unwrap_or(0).checked_rem(peers.len())?;
        peers.get(index)
    }

    /// A peer is asked; gives the number of the question.
    pub(super) fn forward(&mut self, now: Moment, service: id::Service) -> u64 {
        self.number = self.number.wrapping_add(1);
        self.asked.insert(self.number, (service, now + ANSWER));
        self.number
    }

    /// A peer answered; gives the service, if its answer is still waited for.
    pub(super) fn forwarded(&mut self, number: u64, written: &Written) -> Option<id::Service> {
        let (service, _) = self.asked.remove(&number)?;
        if !reached(written) {
            self.others = None;
        }
        Some(service)
    }

    /// This router's own call ended.
    pub(super) fn own_ended(&mut self, now: Moment, written: &Written) {
        self.others = (!reached(written)).then_some(now);
    }

    /// The services whose changes peers didn't answer for in time.
    pub(super) fn late(&mut self, now: Moment) -> Vec<id::Service> {
        let mut late = Vec::new();
        self.asked.retain(|_, (service, until)| {
            let waits = *until > now;
            if !waits {
                late.push(service.clone());
            }
            waits
        });
        if !late.is_empty() {
            self.others = None;
        }
        late
    }
}

/// Whether the store said what became of a change.
fn reached(written: &Written) -> bool {
    match written {
        Written::Done(_) | Written::Conflict(_) => true,
        Written::Refused | Written::Unknown => false,
    }
}
