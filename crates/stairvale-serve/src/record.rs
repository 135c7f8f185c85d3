//! Writing records of roll-outs to the store: this router's own, and those of peers whose way to the store fails.

use std::{sync::Arc, time::Duration};

use stairvale_rollout::{Write, Written};
use stairvale_types::id;
use tokio::{
    sync::mpsc,
    task::{JoinError, JoinSet},
};

use crate::{Shared, Source};

/// A call that takes longer may have been done or not. What is reserved by it lasts two seconds from before it.
const LIMIT: Duration = Duration::from_millis(1_000);
/// Calls at once; a service has one in flight, and a site two or three services.
const AT_ONCE: usize = 16;

/// A change of a record that is due.
#[derive(Clone, Debug)]
pub struct Due {
    /// The change.
    pub write: Write,
    /// The peer whose it is, with its number for it; `None` if it is this router's own.
    pub peer: Option<(id::Router, u64)>,
}

/// Writes what is due, until the task is dropped.
pub async fn run<S: Source>(shared: Arc<Shared>, source: Arc<S>, mut due: mpsc::UnboundedReceiver<Due>) {
    let mut calls: JoinSet<(Due, Written)> = JoinSet::new();
    loop {
        tokio::select! {
            Some(ended) = calls.join_next(), if !calls.is_empty() => tell(&shared, ended),
            next = due.recv() => match next {
                Some(due) if calls.len() < AT_ONCE => {
                    calls.spawn(write(shared.clone(), source.clone(), due));
                }
                Some(due) => tell(&shared, Ok((due, Written::Refused))),
                None => return,
            },
        }
    }
}

async fn write<S: Source>(shared: Arc<Shared>, source: Arc<S>, due: Due) -> (Due, Written) {
    let written = match tokio::time::timeout(LIMIT, source.record(&due.write)).await {
        Ok(Ok(written)) => written,
        Ok(Err(fault)) => {
            tracing::info!(service = %due.write.service, %fault, "the store does not take a record of a roll-out");
            fault.written()
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

fn tell(shared: &Shared, ended: Result<(Due, Written), JoinError>) {
    // Calls neither panic nor are they aborted.
    let Ok((due, written)) = ended else {
        return;
    };
    shared.with(|core, now| match &due.peer {
        Some((peer, number)) => core.written_for(peer, *number, written),
        None => core.written(now, &due.write.service, written),
    });
}
