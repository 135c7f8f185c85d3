//! The store that keeps configuration, upstreams and routers: the seam to whatever an installation has.

use std::{future::Future, time::Duration};

use stairvale_replica::{News, Router};

/// Why the store gave nothing.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Fault {
    /// The changes that were asked for are no longer known: everything is to be read.
    #[error("the store has forgotten these changes")]
    Forgotten,
    /// It said no and did nothing.
    #[error("the store refused")]
    Refused,
    /// A call that waited for changes was cut.
    #[error("the store ended a call that waited")]
    Cut,
    /// It can't be reached or didn't answer; a change may have been made.
    #[error("the store did not answer")]
    Silent,
    /// Its answer makes no sense.
    #[error("the store's answer makes no sense")]
    Nonsense,
    /// The lease is over.
    #[error("the lease is over")]
    Lapsed,
}

/// The store.
pub trait Source: Send + Sync + 'static {
    /// A lease's name.
    type Lease: Clone + Send + Sync;

    /// Reads everything.
    fn everything(&self) -> impl Future<Output = Result<News, Fault>> + Send;
    /// Waits up to `wait` for changes after a revision.
    fn changes(&self, after: u64, wait: Duration) -> impl Future<Output = Result<News, Fault>> + Send;
    /// Names this router in the store until the lease ends.
    fn announce(&self, router: &Router, keep: Duration) -> impl Future<Output = Result<Self::Lease, Fault>> + Send;
    /// Keeps a lease.
    fn renew(&self, lease: &Self::Lease) -> impl Future<Output = Result<(), Fault>> + Send;
    /// Ends a lease.
    fn withdraw(&self, lease: &Self::Lease) -> impl Future<Output = Result<(), Fault>> + Send;
}
