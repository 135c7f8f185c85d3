//! The store that holds the configuration, upstreams and routers; each installation provides its own implementation.

use std::{future::Future, time::Duration};

use stairvale_replica::{Item, Router, StoreUpdate};
use stairvale_rollout::{Write, Written};
use stairvale_types::id;

use crate::origins::{Segment, Stored, Versions};

/// Why a call of the store failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Fault {
    /// The requested changes have been compacted: the complete state has to be read.
    #[error("the store has compacted these changes")]
    Compacted,
    /// The store refused the call and did nothing.
    #[error("the store refused")]
    Refused,
    /// A call that waited for changes was interrupted.
    #[error("the store interrupted a call that waited for changes")]
    Interrupted,
    /// The store can't be reached or didn't respond; a write may have taken effect.
    #[error("the store did not respond")]
    Unresponsive,
    /// The store's response is invalid.
    #[error("the store's response is invalid")]
    Malformed,
    /// The lease has expired.
    #[error("the lease has expired")]
    LeaseExpired,
    /// The response shows an older state of the store than one that was observed already.
    #[error("the store's response is older than an earlier one")]
    StaleResponse,
}

impl Fault {
    /// The outcome of writing a record when the store's call failed with this fault.
    #[must_use]
    pub fn write_outcome(self) -> Written {
        match self {
            Self::Refused => Written::Refused,
            Self::Compacted
            | Self::Interrupted
            | Self::Unresponsive
            | Self::Malformed
            | Self::LeaseExpired
            | Self::StaleResponse => Written::Unknown,
        }
    }
}

/// How recent the state that is read must be.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Consistency {
    /// The newest state at the time of the call.
    Linearizable,
    /// The state may be seconds old. Such reads cost the store little, so any number of routers may start at once.
    Stale,
}

/// Changes to the routers that are registered in the store.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Registrations {
    /// Routers to be registered, or registered again with changed data.
    pub put: Vec<Router>,
    /// Routers whose registration is to be removed.
    pub remove: Vec<id::Router>,
}

impl Registrations {
    /// Whether there are no changes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.put.is_empty() && self.remove.is_empty()
    }
}

/// The store.
pub trait Source: Send + Sync + 'static {
    /// Identifies a lease.
    type Lease: Clone + Send + Sync;

    /// Reads the complete state.
    fn read_all(&self, consistency: Consistency) -> impl Future<Output = Result<StoreUpdate, Fault>> + Send;
    /// Reads which routers are registered, as of up to some seconds ago: a few entries, however many upstreams there
    /// are.
    fn read_routers(&self) -> impl Future<Output = Result<Vec<Item>, Fault>> + Send;
    /// Waits up to `wait` for changes after a revision.
    fn changes(&self, after: u64, wait: Duration) -> impl Future<Output = Result<StoreUpdate, Fault>> + Send;
    /// Grants a lease for the given time, counted from the call.
    fn grant(&self, keep: Duration) -> impl Future<Output = Result<Self::Lease, Fault>> + Send;
    /// Applies changes to the registrations of routers, all or none of them. Registrations last until the lease ends.
    fn register(&self, lease: &Self::Lease, naming: &Registrations) -> impl Future<Output = Result<(), Fault>> + Send;
    /// Writes for how long a request is quarantined, that is, sent to no upstream. The entry lasts until the lease
    /// ends.
    fn quarantine(
        &self,
        lease: &Self::Lease,
        fingerprint: id::Fingerprint,
        length: Duration,
    ) -> impl Future<Output = Result<(), Fault>> + Send;
    /// Writes the record of a roll-out if the stored record is still the expected one, together with the stage shown to
    /// the operator: both or neither. After [`Fault::Refused`] nothing was written; after any other fault it may have
    /// been written, or may be later.
    fn record(&self, write: &Write) -> impl Future<Output = Result<Written, Fault>> + Send;
    /// Reads what the store has of a service's streams, in its newest state.
    fn read_streams(&self, service: &id::Service) -> impl Future<Output = Result<Stored, Fault>> + Send;
    /// Writes the record of a service's versions if the stored one still has the expected revision, 0 if there is none.
    /// Returns the new revision, and `None` if the stored record is another one.
    fn write_versions(
        &self,
        service: &id::Service,
        expected: u64,
        versions: &Versions,
    ) -> impl Future<Output = Result<Option<u64>, Fault>> + Send;
    /// Adds origins of streams, all or none of them. They last until the lease ends. No other segment of these services has
    /// the same name.
    fn append_streams(
        &self,
        lease: &Self::Lease,
        name: &str,
        segments: &[Segment],
    ) -> impl Future<Output = Result<(), Fault>> + Send;
    /// Number of changes of entries that could not be parsed since the last call; each change is counted once.
    fn take_unreadable(&self) -> usize;
    /// Renews a lease.
    fn renew(&self, lease: &Self::Lease) -> impl Future<Output = Result<(), Fault>> + Send;
}
