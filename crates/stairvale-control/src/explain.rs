//! Records of recent requests, by which a router explains its choice of upstream.

use std::collections::VecDeque;

use serde::Serialize;
use stairvale_permit::request::{Event, Step};
use stairvale_types::{Moment, Refusal, id};
use stairvale_wire::{Profile, Verdict};

/// Maximum number of requests that are recorded; the oldest record is dropped first.
const MAX_RECORDS: usize = 2_048;

/// The routing decision for one attempt of a request.
#[derive(Clone, Debug, Serialize)]
pub struct Record {
    /// Identifier of the attempt, as in the `stairvale-request` header.
    pub attempt: String,
    /// Service that the request is for.
    pub service: id::Service,
    /// Customer that sent the request.
    pub customer: id::Customer,
    /// Number of the chat, if the request belongs to one.
    pub chat: Option<String>,
    /// Time of the request in milliseconds since the router started.
    pub at_ms: u64,
    /// The upstream that was chosen, if any.
    pub upstream: Option<id::Upstream>,
    /// Reason of the refusal, if the request was refused.
    pub refusal: Option<String>,
    /// The steps of the decision, one line each.
    pub steps: Vec<String>,
}

/// The records of a router's recent requests.
#[derive(Debug, Default)]
pub struct RecentRequests {
    records: VecDeque<Record>,
}

impl RecentRequests {
    /// Adds the record of a request that just began.
    pub fn begin(&mut self, now: Moment, attempt: id::Attempt, profile: &Profile) {
        if self.records.len() >= MAX_RECORDS {
            self.records.pop_front();
        }
        self.records.push_back(Record {
            attempt: attempt.to_string(),
            service: profile.service.clone(),
            customer: profile.customer.clone(),
            chat: profile.chat.map(|chat| chat.to_string()),
            at_ms: now.millis(),
            upstream: None,
            refusal: None,
            steps: Vec::new(),
        });
    }

    /// Records the upstream that was chosen for an attempt and the steps of the decision.
    pub fn granted(&mut self, attempt: id::Attempt, upstream: &id::Upstream, steps: &[Step]) {
        if let Some(record) = self.find_mut(attempt) {
            record.upstream = Some(upstream.clone());
            record.steps = steps.iter().map(describe).collect();
        }
    }

    /// Records why an attempt was refused and the steps of the decision.
    pub fn refused(&mut self, attempt: id::Attempt, refusal: Refusal, steps: &[Step]) {
        if let Some(record) = self.find_mut(attempt) {
            record.refusal = Some(refusal.to_string());
            record.steps = steps.iter().map(describe).collect();
        }
    }

    /// The records whose attempt or chat has this number, the latest first.
    #[must_use]
    pub fn find(&self, number: &str) -> Vec<Record> {
        let matches = |record: &&Record| record.attempt == number || record.chat.as_deref() == Some(number);
        self.records.iter().rev().filter(matches).cloned().collect()
    }

    fn find_mut(&mut self, attempt: id::Attempt) -> Option<&mut Record> {
        let attempt = attempt.to_string();
        self.records.iter_mut().rev().find(|record| record.attempt == attempt)
    }
}

fn describe(step: &Step) -> String {
    let event = match &step.event {
        Event::PermitRequested { home, max_wait } if max_wait.is_zero() => format!("asked its home {home}"),
        Event::PermitRequested { home, max_wait } => {
            format!("asked its home {home}, willing to wait {} ms", max_wait.as_millis())
        }
        Event::Answered(Verdict::Granted { outstanding, over_share }) => {
            let note =
                if *over_share { "; the customer is over its share, so the engine serves others first" } else { "" };
            format!("granted; {outstanding} outstanding there{note}")
        }
        Event::Answered(Verdict::Elsewhere { upstream }) => format!("the chat's prefix sits at {upstream}"),
        Event::Answered(Verdict::Overflow { .. }) => "passed over: at its bound".to_owned(),
        Event::Answered(Verdict::Refused(refusal)) => format!("refused, {refusal}"),
        Event::Answered(Verdict::NotHome { .. }) => "the router asked is not its home".to_owned(),
        Event::Answered(Verdict::Closed) => "passed over: takes no new work".to_owned(),
        Event::Unanswered => "its home did not answer".to_owned(),
        Event::Skipped => "passed over: not usable in this router's view".to_owned(),
        Event::Degraded => "no home reached; taken from this router's own share".to_owned(),
    };
    format!("{} {}: {event}", step.at, step.upstream)
}
