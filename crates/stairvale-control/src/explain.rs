//! What a router remembers of recent requests, so that it can explain its choices.

use std::collections::VecDeque;

use serde::Serialize;
use stairvale_permit::request::{Event, Step};
use stairvale_types::{Moment, Refusal, id};
use stairvale_wire::{Profile, Verdict};

/// Requests remembered at the most.
const CAPACITY: usize = 2_048;

/// Why a request went where it went.
#[derive(Clone, Debug, Serialize)]
pub struct Record {
    /// The attempt, as in the `stairvale-request` header.
    pub attempt: String,
    /// The service.
    pub service: id::Service,
    /// Whose request it was.
    pub customer: id::Customer,
    /// The chat's number, if there was a chat.
    pub chat: Option<String>,
    /// Milliseconds since the router started.
    pub at_ms: u64,
    /// The upstream that was picked.
    pub upstream: Option<id::Upstream>,
    /// Why it was refused, if it was.
    pub refusal: Option<String>,
    /// How it came to that, one line a step.
    pub steps: Vec<String>,
}

/// The recent requests of a router.
#[derive(Debug, Default)]
pub struct Memory {
    records: VecDeque<Record>,
}

impl Memory {
    /// Remembers a request that just began.
    pub fn begin(&mut self, now: Moment, attempt: id::Attempt, profile: &Profile) {
        if self.records.len() >= CAPACITY {
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

    /// Remembers where it went.
    pub fn granted(&mut self, attempt: id::Attempt, upstream: &id::Upstream, steps: &[Step]) {
        if let Some(record) = self.find_mut(attempt) {
            record.upstream = Some(upstream.clone());
            record.steps = steps.iter().map(line).collect();
        }
    }

    /// Remembers why it was refused.
    pub fn refused(&mut self, attempt: id::Attempt, refusal: Refusal, steps: &[Step]) {
        if let Some(record) = self.find_mut(attempt) {
            record.refusal = Some(refusal.to_string());
            record.steps = steps.iter().map(line).collect();
        }
    }

    /// Requests whose attempt or chat has this number, the latest first.
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

fn line(step: &Step) -> String {
    let event = match &step.event {
        Event::Asked { home, patience } if patience.is_zero() => format!("asked its home {home}"),
        Event::Asked { home, patience } => {
            format!("asked its home {home}, willing to wait {} ms", patience.as_millis())
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
        Event::PassedOver => "passed over: not usable in this router's view".to_owned(),
        Event::Degraded => "no home reached; taken from this router's own share".to_owned(),
    };
    format!("{} {}: {event}", step.at, step.upstream)
}
