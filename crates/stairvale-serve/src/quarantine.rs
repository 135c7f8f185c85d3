//! Writes quarantines to the store.

use std::{sync::Arc, time::Duration};

use stairvale_types::{Moment, id};
use tokio::sync::mpsc;

use crate::{Shared, Source, source::Fault};

/// The pause after the first failed call; it doubles with each further one, up to [`MAX_BACKOFF`].
const INITIAL_BACKOFF: Duration = Duration::from_millis(500);
/// Upper limit of the pause after a failed call.
const MAX_BACKOFF: Duration = Duration::from_secs(8);

/// The shortest lease that the store grants.
const MIN_LEASE: Duration = Duration::from_secs(1);

/// A request or a part of prompts that is to be recorded as quarantined.
#[derive(Clone, Copy, Debug)]
pub struct Term {
    /// The fingerprint of the request or of the part.
    pub fingerprint: id::Fingerprint,
    /// The length of the quarantine, counted from `since`; zero if it was lifted.
    pub length: Duration,
    /// When the request was found to make upstreams crash, or the quarantine was lifted.
    pub since: Moment,
}

/// Writes quarantines that are due, one after the other, until the task is dropped. A failed write is retried as long
/// as the quarantine lasts, since the store is the only source of it for a fleet that loses all its routers at once.
pub async fn run<S: Source>(shared: Arc<Shared>, source: Arc<S>, mut due: mpsc::UnboundedReceiver<Term>) {
    while let Some(term) = due.recv().await {
        let mut pause = INITIAL_BACKOFF;
        let remaining = || term.length.saturating_sub(shared.now().since(term.since));
        while let Err(fault) = write(&*source, term, remaining()).await {
            tracing::info!(fingerprint = %term.fingerprint, %fault, "writing a quarantine to the store failed");
            shared.metrics.count("quarantine-fault");
            if remaining().is_zero() {
                break;
            }
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(MAX_BACKOFF);
        }
    }
}

async fn write<S: Source>(source: &S, term: Term, remaining: Duration) -> Result<(), Fault> {
    let lease = source.grant(remaining.max(MIN_LEASE)).await?;
    source.quarantine(&lease, term.fingerprint, term.length).await
}
