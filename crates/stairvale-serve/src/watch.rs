//! Reads the store, and maintains the registrations of routers in it.

use std::{sync::Arc, time::Duration};

use stairvale_replica::Revision;
use stairvale_types::Moment;

use crate::{
    Shared, Source,
    core::{Core, Reading},
    source::{Consistency, Fault, Registrations},
};

/// How often a router that need not read the store checks whether it has to.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// How often it checks until its copy is confirmed to be the newest; shorter, since requests wait for that.
const UNCONFIRMED_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The delay after a first failure; it doubles with each further one, within the limits below.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// The longest delay after failures for a watcher, from which other routers receive the store's changes, and for a router
/// without any copy: its watcher may have none either.
const MAX_WATCHER_BACKOFF: Duration = Duration::from_millis(1_000);
/// The delay of any other router after its second failure. Its zone's watcher retries more often and sends it the
/// changes. If the store fails only for the watchers, the first two attempts show that.
const MIN_OTHER_BACKOFF: Duration = Duration::from_millis(1_000);
/// The longest delay of any other router after further failures.
const MAX_OTHER_BACKOFF: Duration = Duration::from_millis(4_000);
/// How long the store keeps registrations that are not renewed: several times as long as a fleet may be without its
/// store or without power. It is also the longest lease of the users' store.
const REGISTRATION_TTL: Duration = Duration::from_secs(600);
/// Number of lease renewals within [`REGISTRATION_TTL`].
const RENEWALS_PER_TTL: u32 = 3;
/// How often the fleet's reader checks whether the right routers are registered.
const REGISTRATION_POLL_INTERVAL: Duration = Duration::from_millis(500);
/// The longest delay until this router itself observes what it wrote to the store.
const MAX_OBSERVATION_DELAY: Duration = Duration::from_secs(5);
/// A router that has been the fleet's reader for this long rewrites the registrations under its own lease, well before
/// the lease of a crashed predecessor expires.
const TAKEOVER_DELAY: Duration = Duration::from_secs(60);

/// Reads the store whenever this router is due to, until the task is dropped.
pub async fn read_store<S: Source>(shared: Arc<Shared>, source: Arc<S>) {
    let mut delay = INITIAL_BACKOFF;
    let mut compacted = false;
    let mut interrupted = false;
    let mut was_reader = false;
    loop {
        let (reading, revision, epoch, requested_at) =
            shared.query(|core, now| (core.reading(now), core.view().revision(), core.view().epoch(), now));
        log_role(&shared, &mut was_reader);
        let news = match reading {
            None => {
                let confirmed = shared.query(|core, _| core.view().is_confirmed());
                tokio::time::sleep(if confirmed { IDLE_POLL_INTERVAL } else { UNCONFIRMED_POLL_INTERVAL }).await;
                continue;
            }
            Some(_) if compacted => source.read_all(Consistency::Linearizable).await,
            Some(Reading::Names) => match source.read_routers().await {
                Ok(names) => {
                    shared.with(|core, now| core.read_registrations(now, names));
                    continue;
                }
                Err(fault) => Err(fault),
            },
            Some(Reading::Stale) => source.read_all(Consistency::Stale).await,
            Some(Reading::Changes(wait)) => source.changes(revision, wait).await,
        };
        for _ in 0..source.take_unreadable() {
            shared.metrics.count("entry-unreadable");
        }
        let stale = reading == Some(Reading::Stale) && !compacted;
        let fault = match news {
            Ok(news) => {
                if delay > INITIAL_BACKOFF {
                    tracing::info!("the store responds again");
                }
                (delay, compacted, interrupted) = (INITIAL_BACKOFF, false, false);
                shared.with(
                    |core, now| if stale { core.read_stale(now, news) } else { core.read(now, requested_at, news) },
                );
                let (read_revision, read_epoch) = shared.query(|core, _| (core.view().revision(), core.view().epoch()));
                if epoch > 0 && read_epoch > epoch {
                    shared.metrics.count("store-restored");
                }
                if revision > 0 && read_revision > revision {
                    tokio::time::sleep(shared.settings.bounds.batch_delay()).await;
                }
                if read_revision == 0 || !stale && Revision::from(read_revision).number() == 0 {
                    // Nothing was ever written to the store, or the copy that was read predates the first write.
                    tokio::time::sleep(MAX_WATCHER_BACKOFF).await;
                }
                continue;
            }
            Err(fault) => fault,
        };
        shared.metrics.count("store-fault");
        match fault {
            Fault::Compacted => compacted = true,
            // A long poll may be interrupted without a fault; two interruptions in a row count as one.
            Fault::Interrupted if !interrupted => interrupted = true,
            Fault::Interrupted
            | Fault::Refused
            | Fault::Unresponsive
            | Fault::Malformed
            | Fault::LeaseExpired
            | Fault::StaleResponse => {
                if delay == INITIAL_BACKOFF {
                    tracing::info!(%fault, "the store fails");
                }
                shared.modify(Core::record_store_failure);
                tokio::time::sleep(delay).await;
                let retries_soon = shared.query(|core, _| core.is_watcher() || !core.has_copy());
                delay = if retries_soon {
                    (delay * 2).min(MAX_WATCHER_BACKOFF)
                } else {
                    (delay * 2).clamp(MIN_OTHER_BACKOFF, MAX_OTHER_BACKOFF)
                };
            }
        }
    }
}

/// Logs when this router starts or stops reading the store for the fleet.
fn log_role(shared: &Shared, was_reader: &mut bool) {
    let (is_reader, confirmed) = shared.query(|core, now| (core.is_reader(now), core.view().is_confirmed()));
    if std::mem::replace(was_reader, is_reader) != is_reader {
        let who = if is_reader { "this router" } else { "another router" };
        tracing::info!(confirmed, "{who} reads the store for the fleet");
    }
}

/// Keeps the registrations of routers in the store correct while this router is the fleet's reader, until the task is
/// dropped.
pub async fn register_routers<S: Source>(shared: Arc<Shared>, source: Arc<S>) {
    let mut registrar = Registrar { source, lease: None, reader_since: None, due_since: None };
    let mut delay = REGISTRATION_POLL_INTERVAL;
    loop {
        tokio::time::sleep(delay).await;
        let (is_reader, due, all, settle_time) = shared.query(|core, now| {
            (
                core.is_reader(now),
                core.registration_changes(now),
                core.current_registrations(),
                core.registration_delay(),
            )
        });
        if !is_reader {
            (registrar.reader_since, registrar.due_since, delay) = (None, None, REGISTRATION_POLL_INTERVAL);
            continue;
        }
        delay = match registrar.maintain(shared.now(), due, all, settle_time).await {
            Ok(true) => MAX_OBSERVATION_DELAY,
            Ok(false) => REGISTRATION_POLL_INTERVAL,
            Err(fault) => {
                tracing::info!(%fault, "the store did not accept registrations of routers");
                shared.metrics.count("naming-fault");
                (delay * 2).clamp(MAX_WATCHER_BACKOFF, MAX_OBSERVATION_DELAY)
            }
        };
    }
}

/// Maintains the registrations of routers while this router is the fleet's reader.
struct Registrar<S: Source> {
    source: Arc<S>,
    /// The lease under which the registrations were written, and when it is to be renewed.
    lease: Option<(S::Lease, Moment)>,
    /// Since when this router has been the fleet's reader.
    reader_since: Option<Moment>,
    /// Since when a change of the registrations has been due.
    due_since: Option<Moment>,
}

impl<S: Source> Registrar<S> {
    /// Writes due changes, renews the lease, or takes over all registrations. Returns whether registrations were
    /// written.
    async fn maintain(
        &mut self,
        now: Moment,
        due: Registrations,
        all: Registrations,
        settle_time: Duration,
    ) -> Result<bool, Fault> {
        let reader_since = *self.reader_since.get_or_insert(now);
        if due.is_empty() {
            self.due_since = None;
        } else if now.since(*self.due_since.get_or_insert(now)) >= settle_time {
            return self.write(now, due).await;
        }
        match &self.lease {
            Some((lease, renew)) if *renew <= now => match self.source.renew(lease).await {
                Ok(()) => {
                    self.lease = Some((lease.clone(), now + REGISTRATION_TTL / RENEWALS_PER_TTL));
                    Ok(false)
                }
                Err(Fault::LeaseExpired) => self.write(now, all).await,
                Err(fault) => Err(fault),
            },
            None if now.since(reader_since) >= TAKEOVER_DELAY && !all.is_empty() => self.write(now, all).await,
            Some(_) | None => Ok(false),
        }
    }

    /// Writes registrations, under the current lease or a new one.
    async fn write(&mut self, now: Moment, naming: Registrations) -> Result<bool, Fault> {
        let lease = match self.lease.take() {
            Some((lease, _)) => lease,
            None => self.source.grant(REGISTRATION_TTL).await?,
        };
        let renew = now + REGISTRATION_TTL / RENEWALS_PER_TTL;
        // An expired lease is replaced by a new one in the next attempt.
        self.source.register(&lease, &naming).await?;
        tracing::info!(named = naming.put.len(), removed = naming.remove.len(), "routers are named in the store");
        (self.lease, self.due_since) = (Some((lease, renew)), None);
        Ok(true)
    }
}
