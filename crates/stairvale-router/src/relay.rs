//! An engine's stream on its way to the caller: whole events only, cut streams resumed, ended only by the end marker.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::mpsc;

use crate::{
    Problem, Shared,
    body::Broken,
    guard::{Permit, Place as InFlight},
    metrics::Outcome,
    problem::Unknown,
    shared::Place,
    sse::{Event, Splitter},
    upstream::{Client, Failure},
};

/// Pieces that wait for a slow caller.
const BUFFERED: usize = 32;
/// A cut stream is taken up again this often.
const RESUMES: u32 = 4;
/// The wait before taking up a stream again, doubled each time.
const RESUME_WAIT: Duration = Duration::from_millis(50);
/// A stream that is silent for this long is cut.
const SILENCE: Duration = Duration::from_secs(20);

/// A stream from an engine.
#[derive(Debug)]
pub struct Relay {
    client: Client,
    place: Place,
    permit: Permit,
    body: Incoming,
    splitter: Splitter,
    delivered: u64,
    done: bool,
}

impl Relay {
    /// A stream whose head came.
    #[must_use]
    pub fn new(client: Client, place: Place, permit: Permit, body: Incoming) -> Self {
        Self { client, place, permit, body, splitter: Splitter::default(), delivered: 0, done: false }
    }

    /// The first event; before it the caller has got nothing, so the request can still go elsewhere.
    ///
    /// # Errors
    /// [`Failure::Broken`] if the stream ends before it.
    pub async fn first(&mut self) -> Result<Event, Failure> {
        let event = self.next().await;
        if event.is_err() {
            self.permit.fail(false);
        }
        event
    }

    /// Sends this event and all that follow into the body of an answer. `in_flight` is held to the end.
    #[must_use]
    pub fn spawn(
        self,
        shared: Arc<Shared>,
        first: Event,
        in_flight: InFlight,
    ) -> mpsc::Receiver<Result<Bytes, Broken>> {
        let (sender, receiver) = mpsc::channel(BUFFERED);
        tokio::spawn(async move {
            let _in_flight = in_flight;
            self.run(&shared, first, sender).await;
        });
        receiver
    }

    async fn run(mut self, shared: &Shared, first: Event, sender: mpsc::Sender<Result<Bytes, Broken>>) {
        let mut event = first;
        let mut last = shared.now();
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
                Self::tell_broken(&sender).await;
                return;
            };
            let now = shared.now();
            shared.metrics.between_tokens(now.since(last));
            last = now;
            event = next;
        }
    }

    /// The caller is told by an event of its own, and by the missing end marker.
    async fn tell_broken(sender: &mpsc::Sender<Result<Bytes, Broken>>) {
        let problem = Problem::Unknown(Unknown::Broken).to_json();
        let event = format!("event: error\ndata: {problem}\n\n");
        let _ = sender.send(Ok(event.into())).await;
        let _ = sender.send(Err(Broken)).await;
    }

    async fn next_or_resume(&mut self, shared: &Shared) -> Result<Event, Failure> {
        let mut wait = RESUME_WAIT;
        let mut result = self.next().await;
        for _ in 0..RESUMES {
            if result.is_ok() {
                break;
            }
            tokio::time::sleep(wait).await;
            wait *= 2;
            shared.metrics.count(Outcome::Resumed);
            let resumed = self.client.resume(&self.place, self.permit.attempt(), self.delivered).await;
            let Ok(response) = resumed else {
                continue;
            };
            self.body = response.into_body();
            self.splitter = Splitter::default();
            result = self.next().await;
        }
        result
    }

    /// The next event that was not delivered yet.
    async fn next(&mut self) -> Result<Event, Failure> {
        loop {
            let event = self.splitter.take().map_err(|_| Failure::Broken)?;
            if let Some(event) = event {
                if event.id.is_some_and(|id| id <= self.delivered) {
                    continue;
                }
                return Ok(event);
            }
            let frame = tokio::time::timeout(SILENCE, self.body.frame()).await;
            let frame = frame.map_err(|_| Failure::Broken)?.ok_or(Failure::Broken)?;
            let frame = frame.map_err(|_| Failure::Broken)?;
            if let Some(piece) = frame.data_ref() {
                self.splitter.extend(piece);
            }
        }
    }
}

impl Drop for Relay {
    /// A stream that is given up before its end is cancelled at the engine.
    fn drop(&mut self) {
        if self.done {
            return;
        }
        let client = self.client.clone();
        let place = self.place.clone();
        let attempt = self.permit.attempt();
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(async move { client.cancel(&place, attempt).await });
        }
    }
}

/// Passes a plain answer's body on as it comes; a break shows as a break.
#[must_use]
pub fn plain(
    shared: Arc<Shared>,
    mut permit: Permit,
    mut body: Incoming,
    in_flight: InFlight,
) -> mpsc::Receiver<Result<Bytes, Broken>> {
    let (sender, receiver) = mpsc::channel(BUFFERED);
    tokio::spawn(async move {
        let _in_flight = in_flight;
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                permit.fail(false);
                shared.metrics.count(Outcome::Unknown);
                let _ = sender.send(Err(Broken)).await;
                return;
            };
            let Ok(piece) = frame.into_data() else {
                continue;
            };
            if sender.send(Ok(piece)).await.is_err() {
                shared.metrics.count(Outcome::CallerLeft);
                return;
            }
        }
        permit.succeed();
        shared.metrics.count(Outcome::Ok);
    });
    receiver
}
