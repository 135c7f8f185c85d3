//! An upstream that resumes a stream.

use bytes::Bytes;
use hyper::body::Incoming;

use crate::{
    Dialect,
    body::next,
    events::Events,
    exchange::{Exchange, NoRetry, UpstreamResponse},
    framing::Framing,
    meter::Meter,
    problem::Problem,
    traffic::Kind,
    upstream::Fault,
};

/// An upstream's answer that resumes a stream, of which the first events have arrived.
pub struct Resumption {
    /// The answer, of which the rest is still arriving.
    pub reply: UpstreamResponse,
    /// The events of the stream so far, which have taken `first` already.
    pub events: Events,
    /// The first events; empty if the upstream had none left to send.
    pub first: Bytes,
}

impl Resumption {
    /// Requests the events after `last` from upstreams that the request hasn't used, until one of them sends some or ends
    /// the stream. `events` are those so far. The first retry was charged to the budget already.
    ///
    /// # Errors
    /// Why no upstream resumes the stream, for the log.
    pub async fn seek<D: Dialect>(
        exchange: &mut Exchange<D>,
        last: Option<String>,
        events: Events,
    ) -> Result<Self, &'static str> {
        loop {
            let mut reply = exchange.dispatch(last.as_deref()).await.map_err(Problem::label)?;
            exchange.release_body();
            if !reply.head.status.is_success() {
                return Err("upstream-failed");
            }
            let mut events = events.clone();
            let reading = first_events(&mut reply.body, reply.connection.meter(), reply.framing, &mut events);
            let fault = match exchange.await_upstream(&reply.permit, reading).await {
                Ok(first) => {
                    reply.permit.begun();
                    exchange.shared.count_traffic(Kind::Answer, &reply.permit, first.len());
                    return Ok(Self { reply, events, first });
                }
                Err(fault) => fault,
            };
            exchange.avoid(&reply.permit.upstream.id);
            exchange.fail_attempt(&fault, reply.permit).await;
            exchange.try_start_retry().map_err(NoRetry::as_str)?;
        }
    }
}

/// Reads up to the first complete event; returns nothing if the stream ends before it.
async fn first_events(
    body: &mut Incoming,
    meter: &Meter,
    framing: Framing,
    events: &mut Events,
) -> Result<Bytes, Fault> {
    while let Some(chunk) = next(body, meter).await? {
        let complete = events.pass_on(chunk);
        if !complete.is_empty() {
            return Ok(complete);
        }
    }
    // A close-delimited body that hasn't begun looks like one that was cut off.
    let is_broken = events.is_partial() || framing == Framing::CloseDelimited;
    if is_broken { Err(Fault::Broken) } else { Ok(Bytes::new()) }
}
