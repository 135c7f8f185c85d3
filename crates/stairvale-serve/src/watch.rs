//! Reading the store, and naming routers in it.

use std::{sync::Arc, time::Duration};

use stairvale_replica::Revision;
use stairvale_types::Moment;

use crate::{
    Shared, Source,
    core::{Core, Reading},
    source::{Consistency, Fault, Naming},
};

/// How often a router that needn't read the store looks whether it has to.
const LOOK: Duration = Duration::from_millis(100);
/// And how often until its copy is known to be the newest: requests wait for that.
const FIRST_LOOK: Duration = Duration::from_millis(20);
/// The first pause after a failure; it doubles up to [`LONGEST`].
const FIRST: Duration = Duration::from_millis(100);
/// The longest pause after failures, of a router that others hear of the store from.
const LONGEST: Duration = Duration::from_millis(1_000);
/// Any other router pauses this long after its second failure: its zone's watcher tries more often, and tells it. Where the
/// store fails the watchers alone, the first two tries show it.
const SECOND: Duration = Duration::from_millis(1_000);
/// And this long after more of them.
const LONGEST_OTHER: Duration = Duration::from_millis(4_000);
/// How long the store keeps names that nobody writes anew: several times as long as a fleet may be without its store or
/// without power, and the longest lease of the users' store.
const KEEP: Duration = Duration::from_secs(600);
/// Renewals in that time.
const RENEWALS: u32 = 3;
/// How often the fleet's reader looks whether the right routers are named.
const NAMES_LOOK: Duration = Duration::from_millis(500);
/// What was written is seen by this router itself after this long, at the latest.
const SEEN: Duration = Duration::from_secs(5);
/// A router that reads for the fleet for this long writes the names under a lease of its own: well before the lease ends of
/// one that died.
const ADOPT: Duration = Duration::from_secs(60);

/// Reads the store whenever this router is to, until the task is dropped.
pub async fn read<S: Source>(shared: Arc<Shared>, source: Arc<S>) {
    let mut pause = FIRST;
    let mut forgotten = false;
    let mut cut = false;
    loop {
        let (reading, revision, epoch, asked) =
            shared.look(|core, now| (core.reading(now), core.view().revision(), core.view().epoch(), now));
        let news = match reading {
            None => {
                let known = shared.look(|core, _| core.view().is_confirmed());
                tokio::time::sleep(if known { LOOK } else { FIRST_LOOK }).await;
                continue;
            }
            Some(_) if forgotten => source.everything(Consistency::Linearizable).await,
            Some(Reading::Names) => match source.names().await {
                Ok(names) => {
                    shared.with(|core, now| core.read_names(now, names));
                    continue;
                }
                Err(fault) => Err(fault),
            },
            Some(Reading::Stale) => source.everything(Consistency::Stale).await,
            Some(Reading::Changes(wait)) => source.changes(revision, wait).await,
        };
        for _ in 0..source.take_unreadable() {
            shared.metrics.count("entry-unreadable");
        }
        let stale = reading == Some(Reading::Stale) && !forgotten;
        let fault = match news {
            Ok(news) => {
                if pause > FIRST {
                    tracing::info!("the store answers again");
                }
                (pause, forgotten, cut) = (FIRST, false, false);
                shared.with(|core, now| if stale { core.read_stale(now, news) } else { core.read(now, asked, news) });
                let (known, seen) = shared.look(|core, _| (core.view().revision(), core.view().epoch()));
                if epoch > 0 && seen > epoch {
                    shared.metrics.count("store-restored");
                }
                if revision > 0 && known > revision {
                    tokio::time::sleep(shared.settings.bounds.gather()).await;
                }
                if known == 0 || !stale && Revision::from(known).number() == 0 {
                    // Nothing was ever written there, or the copy that was read is older than that.
                    tokio::time::sleep(LONGEST).await;
                }
                continue;
            }
            Err(fault) => fault,
        };
        shared.metrics.count("store-fault");
        match fault {
            Fault::Forgotten => forgotten = true,
            // A call that waits may be cut for no reason; twice in a row is trouble.
            Fault::Cut if !cut => cut = true,
            Fault::Cut | Fault::Refused | Fault::Silent | Fault::Nonsense | Fault::Lapsed | Fault::Outdated => {
                if pause == FIRST {
                    tracing::info!(%fault, "the store fails");
                }
                shared.change(Core::disturbed);
                tokio::time::sleep(pause).await;
                let watches = shared.look(|core, _| core.is_watcher());
                pause = if watches { (pause * 2).min(LONGEST) } else { (pause * 2).clamp(SECOND, LONGEST_OTHER) };
            }
        }
    }
}

/// Keeps the right routers named in the store, as long as this one reads it for the fleet and until the task is dropped.
pub async fn name<S: Source>(shared: Arc<Shared>, source: Arc<S>) {
    let mut names = Names { source, lease: None, reader_since: None, due_since: None };
    let mut pause = NAMES_LOOK;
    loop {
        tokio::time::sleep(pause).await;
        let (reads, due, all, settles) =
            shared.look(|core, now| (core.is_reader(now), core.naming(now), core.names(), core.naming_settles()));
        if !reads {
            (names.reader_since, names.due_since, pause) = (None, None, NAMES_LOOK);
            continue;
        }
        pause = match names.keep(shared.now(), due, all, settles).await {
            Ok(true) => SEEN,
            Ok(false) => NAMES_LOOK,
            Err(fault) => {
                tracing::info!(%fault, "the store doesn't take names of routers");
                shared.metrics.count("naming-fault");
                (pause * 2).clamp(LONGEST, SEEN)
            }
        };
    }
}

/// What the fleet's reader has written of names.
struct Names<S: Source> {
    source: Arc<S>,
    /// The lease that they were written under, and when it is to be renewed.
    lease: Option<(S::Lease, Moment)>,
    /// Since when this router reads for the fleet.
    reader_since: Option<Moment>,
    /// Since when something is to be changed.
    due_since: Option<Moment>,
}

impl<S: Source> Names<S> {
    /// Writes what is due, renews the lease, or takes over all names; tells whether names were written.
    async fn keep(&mut self, now: Moment, due: Naming, all: Naming, settles: Duration) -> Result<bool, Fault> {
        let reader_since = *self.reader_since.get_or_insert(now);
        if due.is_empty() {
            self.due_since = None;
        } else if now.since(*self.due_since.get_or_insert(now)) >= settles {
            return self.write(now, due).await;
        }
        match &self.lease {
            Some((lease, renew)) if *renew <= now => match self.source.renew(lease).await {
                Ok(()) => {
                    self.lease = Some((lease.clone(), now + KEEP / RENEWALS));
                    Ok(false)
                }
                Err(Fault::Lapsed) => self.write(now, all).await,
                Err(fault) => Err(fault),
            },
            None if now.since(reader_since) >= ADOPT && !all.is_empty() => self.write(now, all).await,
            Some(_) | None => Ok(false),
        }
    }

    async fn write(&mut self, now: Moment, naming: Naming) -> Result<bool, Fault> {
        let lease = match self.lease.take() {
            Some((lease, _)) => lease,
            None => self.source.grant(KEEP).await?,
        };
        let renew = now + KEEP / RENEWALS;
        // A lease that is over is taken anew next time.
        self.source.name(&lease, &naming).await?;
        tracing::info!(named = naming.put.len(), removed = naming.remove.len(), "routers are named in the store");
        (self.lease, self.due_since) = (Some((lease, renew)), None);
        Ok(true)
    }
}
