//! Relays an engine's event stream to the caller. Only complete events are passed on, an interrupted stream is resumed,
//! and the answer counts as complete only with the end marker.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::mpsc;

use crate::{
    Problem, Shared,
    body::Interrupted,
    end::End,
    guard::{InFlight, Permit},
    metrics::Outcome,
    problem::Unknown,
    shared::Endpoint,
    sse::{Event, Splitter},
    upstream::{Client, Failure},
};

/// Limits how many pieces of an answer are buffered for a slow caller.
const BUFFERED_PIECES: usize = 32;
/// Limits how often an interrupted stream is resumed before the answer is given up.
const MAX_RESUMES: u32 = 4;
/// The delay before the first attempt to resume a stream; it doubles with each further attempt.
const RESUME_DELAY: Duration = Duration::from_millis(50);
/// Limits the time between two pieces of a stream; after it the stream counts as interrupted.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// A relayed stream of an engine, with the permit of its attempt.
#[derive(Debug)]
pub struct Relay {
    client: Client,
    endpoint: Endpoint,
    permit: Permit,
    body: Incoming,
    splitter: Splitter,
    delivered: u64,
    done: bool,
}

impl Relay {
    /// Relays the body of a response whose head has been received.
    #[must_use]
    pub fn new(client: Client, endpoint: Endpoint, permit: Permit, body: Incoming) -> Self {
        Self { client, endpoint, permit, body, splitter: Splitter::default(), delivered: 0, done: false }
    }

    /// Waits for the first event. Nothing has been sent to the caller before it, so after an error the request can
    /// still be retried at another upstream.
    ///
    /// # Errors
    /// [`Failure::Incomplete`] if the stream ends or times out before the first event.
    pub async fn first_event(&mut self) -> Result<Event, Failure> {
        let event = self.next_event().await;
        if event.is_err() {
            self.permit.fail(false);
        }
        event
    }

    /// Spawns a task that sends the first event and all that follow into the body of the answer. The task holds
    /// `in_flight` until the stream ends.
    #[must_use]
    pub fn spawn(
        self,
        shared: Arc<Shared>,
        first: Event,
        in_flight: InFlight,
    ) -> mpsc::Receiver<Result<Bytes, Interrupted>> {
        let (sender, receiver) = mpsc::channel(BUFFERED_PIECES);
        tokio::spawn(async move {
            let _in_flight = in_flight;
            self.run(&shared, first, sender).await;
        });
        receiver
    }

    async fn run(mut self, shared: &Shared, first: Event, sender: mpsc::Sender<Result<Bytes, Interrupted>>) {
        let mut event = first;
        let mut last_event_at = shared.now();
        loop {
            self.delivered = event.id.unwrap_or(self.delivered);
            self.done = event.done;
            if sender.send(Ok(event.bytes)).await.is_err() {
                shared.metrics.count(Outcome::CallerLeft);
                return;
            }
            if self.done {
                self.permit.succeed();
                shared.metrics.count(Outcome::Ok);
                return;
            }
            let next = tokio::select! {
                next = self.next_or_resume(shared) => next,
                () = sender.closed() => {
                    shared.metrics.count(Outcome::CallerLeft);
                    return;
                }
            };
            let Ok(next) = next else {
                self.permit.fail(false);
                shared.metrics.count(Outcome::Unknown);
                Self::send_error_event(&sender).await;
                return;
            };
            let now = shared.now();
            shared.metrics.record_between_tokens(now.since(last_event_at));
            last_event_at = now;
            event = next;
        }
    }

    /// Reports an incomplete answer to the caller by an error event and by the missing end marker.
    async fn send_error_event(sender: &mpsc::Sender<Result<Bytes, Interrupted>>) {
        let problem = Problem::Unknown(Unknown::IncompleteAnswer).to_json();
        let event = format!("event: error\ndata: {problem}\n\n");
        let _ = sender.send(Ok(event.into())).await;
        let _ = sender.send(Err(Interrupted)).await;
    }

    async fn next_or_resume(&mut self, shared: &Shared) -> Result<Event, Failure> {
        let mut delay = RESUME_DELAY;
        let mut result = self.next_event().await;
        for _ in 0..MAX_RESUMES {
            if result.is_ok() {
                break;
            }
            tokio::time::sleep(delay).await;
            delay *= 2;
            shared.metrics.count(Outcome::Resumed);
            let resumed = self.client.resume(&self.endpoint, self.permit.attempt(), self.delivered).await;
            let Ok(response) = resumed else {
                continue;
            };
            self.body = response.into_body();
            self.splitter = Splitter::default();
            result = self.next_event().await;
        }
        result
    }

    /// Waits for the next event that has not been delivered yet. A resumed stream may repeat delivered events, which
    /// are skipped by their ids.
    async fn next_event(&mut self) -> Result<Event, Failure> {
        loop {
            let event = self.splitter.next_event().map_err(|_| Failure::Incomplete)?;
            if let Some(event) = event {
                if event.id.is_some_and(|id| id <= self.delivered) {
                    continue;
                }
                return Ok(event);
            }
            let frame = tokio::time::timeout(IDLE_TIMEOUT, self.body.frame()).await;
            let frame = frame.map_err(|_| Failure::Incomplete)?.ok_or(Failure::Incomplete)?;
            let frame = frame.map_err(|_| Failure::Incomplete)?;
            if let Some(piece) = frame.data_ref() {
                self.splitter.push(piece);
            }
        }
    }
}

impl Drop for Relay {
    /// Cancels the stream at the engine if it is dropped before its end marker.
    fn drop(&mut self) {
        if self.done {
            return;
        }
        let client = self.client.clone();
        let endpoint = self.endpoint.clone();
        let attempt = self.permit.attempt();
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(async move { client.cancel(&endpoint, attempt).await });
        }
    }
}

/// An answer that is no event stream, with the permit of its attempt.
#[derive(Debug)]
pub struct PlainAnswer {
    /// The client that received it.
    pub client: Client,
    /// The upstream that sent it.
    pub endpoint: Endpoint,
    /// The permit of the attempt.
    pub permit: Permit,
    /// The body, of which nothing has been read.
    pub body: Incoming,
    /// How the end of the body is known.
    pub end: End,
}

impl PlainAnswer {
    /// Spawns a task that relays the body piece by piece. If the upstream's body is interrupted, or nothing shows that
    /// it is complete, the body sent to the caller is interrupted, too.
    #[must_use]
    pub fn spawn(self, shared: Arc<Shared>, in_flight: InFlight) -> mpsc::Receiver<Result<Bytes, Interrupted>> {
        let (sender, receiver) = mpsc::channel(BUFFERED_PIECES);
        tokio::spawn(async move {
            let _in_flight = in_flight;
            self.run(&shared, sender).await;
        });
        receiver
    }

    async fn run(mut self, shared: &Shared, sender: mpsc::Sender<Result<Bytes, Interrupted>>) {
        let mut received = 0;
        let mut is_complete = true;
        while let Some(frame) = self.body.frame().await {
            let Ok(frame) = frame else {
                is_complete = false;
                break;
            };
            let Ok(piece) = frame.into_data() else {
                continue;
            };
            received += piece.len();
            if sender.send(Ok(piece)).await.is_err() {
                shared.metrics.count(Outcome::CallerLeft);
                return;
            }
        }
        if is_complete && self.end.is_shown(&self.client, &self.endpoint, received).await {
            self.permit.succeed();
            shared.metrics.count(Outcome::Ok);
            return;
        }
        self.permit.fail(false);
        shared.metrics.count(Outcome::Unknown);
        let _ = sender.send(Err(Interrupted)).await;
    }
}
