//! What the store has of services' streams, and the calls that read and write it.
//!
//! The store outlasts a loss of all routers: it tells which versions a service had when streams may have begun that
//! clients still take up. Its calls are made in tasks of their own, so that a call which hangs delays no other.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use stairvale_types::{Moment, id};
use tokio::{
    sync::{Mutex, mpsc},
    task::JoinSet,
};

use crate::{Shared, Source, frame::Origin, source::Fault};

/// The time for which a lease is granted, at least, so that many segments share one.
const MIN_LEASE: Duration = Duration::from_secs(60);
/// The longest lease that the store grants.
const MAX_LEASE: Duration = Duration::from_secs(600);

/// The versions that a service's upstreams had within the time that a stream can last.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Versions {
    /// The versions; `None` stands for upstreams that state none.
    pub versions: BTreeSet<Option<id::Version>>,
    /// Whether the writer knows that there were no others.
    pub is_complete: bool,
    /// The epoch of the store that the writer knew. A record of an earlier epoch came from a copy of the store, and may
    /// lack versions that were recorded later.
    pub epoch: u64,
}

/// Origins of streams that were recorded together.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Segment {
    /// The streams' service.
    pub service: id::Service,
    /// For how long any of the streams can be taken up again, counted from when the segment is written.
    pub lasts: Duration,
    /// The streams, and where each began.
    pub origins: Vec<(id::Stream, Origin)>,
}

/// What the store has of a service's streams.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Stored {
    /// The epoch of the store that was read.
    pub epoch: u64,
    /// The record of the service's versions, with its revision.
    pub versions: Option<(u64, Versions)>,
    /// The segments whose lease hasn't ended, each with its revision.
    pub segments: Vec<(u64, Segment)>,
}

/// A call that the core requests.
#[derive(Clone, Debug)]
pub enum Call {
    /// Read what the store has of a service's streams.
    Read {
        /// The service.
        service: id::Service,
    },
    /// Write the record of a service's versions.
    Write {
        /// The service.
        service: id::Service,
        /// The revision of the record that is replaced; 0 if there is none.
        expected: u64,
        /// The new record.
        versions: Versions,
    },
    /// Add segments, which last as long as the streams in them.
    Append {
        /// The name of the segments: no other one of their services has it.
        name: String,
        /// The segments, at most one of each service.
        segments: Vec<Segment>,
    },
}

/// The result of a [`Call`].
#[derive(Clone, Debug)]
pub enum Answer {
    /// The result of a [`Call::Read`].
    Read {
        /// The service.
        service: id::Service,
        /// When the call was made.
        asked: Moment,
        /// What the store has.
        result: Result<Stored, Fault>,
    },
    /// The result of a [`Call::Write`].
    Written {
        /// The service.
        service: id::Service,
        /// The record.
        versions: Versions,
        /// Its revision; `None` if the stored record isn't the expected one.
        result: Result<Option<u64>, Fault>,
    },
    /// The result of a [`Call::Append`].
    Appended {
        /// The segments.
        segments: Vec<Segment>,
        /// Whether they were written.
        result: Result<(), Fault>,
    },
}

impl Answer {
    /// Why the call failed, if it did.
    #[must_use]
    pub fn fault(&self) -> Option<Fault> {
        match self {
            Self::Read { result, .. } => result.as_ref().err().copied(),
            Self::Written { result, .. } => result.as_ref().err().copied(),
            Self::Appended { result, .. } => result.err(),
        }
    }
}

/// Makes the calls that are due, until the task is dropped. The core requests at most one call of a kind at a time for each
/// service.
pub async fn run<S: Source>(shared: Arc<Shared>, source: Arc<S>, mut due: mpsc::UnboundedReceiver<Call>) {
    let lease = Arc::new(Mutex::new(None));
    let mut calls: JoinSet<()> = JoinSet::new();
    loop {
        tokio::select! {
            Some(_) = calls.join_next(), if !calls.is_empty() => {}
            next = due.recv() => match next {
                Some(call) => drop(calls.spawn(perform(shared.clone(), source.clone(), lease.clone(), call))),
                None => return,
            },
        }
    }
}

/// A lease, and when it ends.
type Lease<S> = Arc<Mutex<Option<(<S as Source>::Lease, Moment)>>>;

async fn perform<S: Source>(shared: Arc<Shared>, source: Arc<S>, lease: Lease<S>, call: Call) {
    let asked = shared.now();
    let (event, answer) = match call {
        Call::Read { service } => {
            let result = source.read_streams(&service).await;
            ("stream-store-read", Answer::Read { service, asked, result })
        }
        Call::Write { service, expected, versions } => {
            let result = source.write_versions(&service, expected, &versions).await;
            ("stream-store-versions", Answer::Written { service, versions, result })
        }
        Call::Append { name, segments } => {
            let result = append(&shared, &*source, &lease, &name, &segments).await;
            ("stream-store-origins", Answer::Appended { segments, result })
        }
    };
    shared.metrics.count(event);
    if let Some(fault) = answer.fault() {
        tracing::info!(event, %fault, "a call of the store about streams failed");
        shared.metrics.count("stream-store-fault");
    }
    shared.with(|core, now| core.stream_call_ended(now, answer));
}

/// Adds segments under a lease that outlasts their streams.
async fn append<S: Source>(
    shared: &Shared,
    source: &S,
    lease: &Mutex<Option<(S::Lease, Moment)>>,
    name: &str,
    segments: &[Segment],
) -> Result<(), Fault> {
    let mut slot = lease.lock().await;
    let lasts = segments.iter().map(|segment| segment.lasts).max().unwrap_or_default().min(MAX_LEASE);
    let (lease, ends) = match slot.take().filter(|(_, ends)| shared.now() + lasts <= *ends) {
        Some(current) => current,
        None => {
            let (asked, time) = (shared.now(), (lasts * 2).clamp(MIN_LEASE, MAX_LEASE));
            (source.grant(time).await?, asked + time)
        }
    };
    // After a failure the lease may have ended.
    source.append_streams(&lease, name, segments).await?;
    *slot = Some((lease, ends));
    Ok(())
}
