//! Writing to the store which requests go nowhere.

use std::{sync::Arc, time::Duration};

use stairvale_types::{Moment, id};
use tokio::sync::mpsc;

use crate::{Shared, Source, source::Fault};

/// The first pause after a failed call; it doubles up to [`LONGEST`].
const FIRST: Duration = Duration::from_millis(500);
/// The longest pause.
const LONGEST: Duration = Duration::from_secs(8);

/// The shortest lease that the users' store grants.
const LEAST_LEASE: Duration = Duration::from_secs(1);

/// A request that goes nowhere.
#[derive(Clone, Copy, Debug)]
pub struct Term {
    /// The request.
    pub fingerprint: id::Fingerprint,
    /// For how long, from when it was found.
    pub length: Duration,
    /// When it was found.
    pub since: Moment,
}

/// Writes what is due, one after the other, until the task is dropped. What the store doesn't take is tried again as long as it
/// matters: a fleet that loses all its routers at once has it from there alone.
pub async fn run<S: Source>(shared: Arc<Shared>, source: Arc<S>, mut due: mpsc::UnboundedReceiver<Term>) {
    while let Some(term) = due.recv().await {
        let mut pause = FIRST;
        let left = || term.length.saturating_sub(shared.now().since(term.since));
        while let Err(fault) = write(&*source, term, left()).await {
            tracing::info!(fingerprint = %term.fingerprint, %fault, "the store doesn't take what goes nowhere");
            shared.metrics.count("quarantine-fault");
            if left().is_zero() {
                break;
            }
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(LONGEST);
        }
    }
}

async fn write<S: Source>(source: &S, term: Term, left: Duration) -> Result<(), Fault> {
    let lease = source.grant(left.max(LEAST_LEASE)).await?;
    source.quarantine(&lease, term.fingerprint, term.length).await
}
