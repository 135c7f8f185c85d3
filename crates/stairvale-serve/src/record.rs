//! Writes records of roll-outs to the store: this router's own, and those of peers that fail to reach the store.

use std::{sync::Arc, time::Duration};

use stairvale_rollout::{Write, Written};
use stairvale_types::id;
use tokio::{
    sync::mpsc,
    task::{JoinError, JoinSet},
};

use crate::{Shared, Source};

/// After this time a call may have taken effect or not. A reservation made by the call lasts two seconds from before
/// it, so it outlasts the timeout.
const WRITE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Concurrent calls; a service has one in flight, and a site has two or three services.
const MAX_CONCURRENT_WRITES: usize = 16;

/// A write of a record that is due.
#[derive(Clone, Debug)]
pub struct PendingWrite {
    /// The write.
    pub write: Write,
    /// The peer for which it is written and the peer's number for it; `None` if it is this router's own.
    pub peer: Option<(id::Router, u64)>,
}

/// Performs the writes that are due, until the task is dropped.
pub async fn run<S: Source>(shared: Arc<Shared>, source: Arc<S>, mut due: mpsc::UnboundedReceiver<PendingWrite>) {
    let mut calls: JoinSet<(PendingWrite, Written)> = JoinSet::new();
    loop {
        tokio::select! {
            Some(ended) = calls.join_next(), if !calls.is_empty() => report(&shared, ended),
            next = due.recv() => match next {
                Some(due) if calls.len() < MAX_CONCURRENT_WRITES => {
                    calls.spawn(write(shared.clone(), source.clone(), due));
                }
                Some(due) => report(&shared, Ok((due, Written::Refused))),
                None => return,
            },
        }
    }
}

async fn write<S: Source>(shared: Arc<Shared>, source: Arc<S>, due: PendingWrite) -> (PendingWrite, Written) {
    let written = match tokio::time::timeout(WRITE_TIMEOUT, source.record(&due.write)).await {
        Ok(Ok(written)) => written,
        Ok(Err(fault)) => {
            tracing::info!(service = %due.write.service, %fault, "the store did not accept a record of a roll-out");
            fault.write_outcome()
        }
        Err(_) => Written::Unknown,
    };
    shared.metrics.count(match written {
        Written::Done(_) => "record-written",
        Written::Conflict(_) => "record-conflict",
        Written::Refused => "record-refused",
        Written::Unknown => "record-unknown",
    });
    (due, written)
}

fn report(shared: &Shared, ended: Result<(PendingWrite, Written), JoinError>) {
    // Calls neither panic nor are aborted.
    let Ok((due, written)) = ended else {
        return;
    };
    shared.with(|core, now| match &due.peer {
        Some((peer, number)) => core.written_for(peer, *number, written),
        None => core.written(now, &due.write.service, written),
    });
}
