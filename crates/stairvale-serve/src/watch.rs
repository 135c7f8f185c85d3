//! Reading the store, and being named in it.

use std::{sync::Arc, time::Duration};

use stairvale_replica::Router;

use crate::{Shared, Source, core::Core, source::Fault};

/// How often a router that needn't read the store looks whether it has to.
const LOOK: Duration = Duration::from_millis(100);
/// The first pause after a failure; it doubles up to [`LONGEST`].
const FIRST: Duration = Duration::from_millis(100);
/// The longest pause after failures.
const LONGEST: Duration = Duration::from_millis(1_000);
/// How long the store names a router that it hears no more of.
const KEEP: Duration = Duration::from_secs(60);
/// Renewals in that time.
const RENEWALS: u32 = 3;

/// Reads the store whenever this router is to, until the task is dropped.
pub async fn read<S: Source>(shared: Arc<Shared>, source: Arc<S>) {
    let mut pause = FIRST;
    let mut forgotten = false;
    let mut cut = false;
    loop {
        let (wait, revision, asked) = shared.look(|core, now| (core.watch(now), core.view().revision(), now));
        let Some(wait) = wait else {
            tokio::time::sleep(LOOK).await;
            continue;
        };
        let whole = revision == 0 || forgotten;
        let news = if whole { source.everything().await } else { source.changes(revision, wait).await };
        let fault = match news {
            Ok(news) => {
                if pause > FIRST {
                    tracing::info!("the store answers again");
                }
                (pause, forgotten, cut) = (FIRST, false, false);
                shared.with(|core, now| core.read(now, asked, news));
                continue;
            }
            Err(fault) => fault,
        };
        shared.metrics.count("store-fault");
        match fault {
            Fault::Forgotten => forgotten = true,
            // A call that waits may be cut for no reason; twice in a row is trouble.
            Fault::Cut if !cut => cut = true,
            Fault::Cut | Fault::Refused | Fault::Silent | Fault::Nonsense | Fault::Lapsed => {
                if pause == FIRST {
                    tracing::info!(%fault, "the store fails");
                }
                shared.change(Core::disturbed);
                tokio::time::sleep(pause).await;
                pause = (pause * 2).min(LONGEST);
            }
        }
    }
}

/// Keeps this router named in the store, until the task is dropped.
pub async fn announce<S: Source>(shared: Arc<Shared>, source: Arc<S>, kept: Arc<std::sync::Mutex<Option<S::Lease>>>) {
    let settings = &shared.settings;
    let router = Router {
        id: settings.router.clone(),
        zone: settings.zone.clone(),
        address: settings.peers,
        strength: settings.strength(),
    };
    let mut pause = FIRST;
    loop {
        match source.announce(&router, KEEP).await {
            Ok(lease) => {
                *kept.lock().unwrap_or_else(std::sync::PoisonError::into_inner) = Some(lease.clone());
                pause = FIRST;
                keep(&*source, &lease).await;
            }
            Err(_) => {
                tokio::time::sleep(pause).await;
                pause = (pause * 2).min(LONGEST * 4);
            }
        }
    }
}

/// Renews a lease until it is over.
async fn keep<S: Source>(source: &S, lease: &S::Lease) {
    let mut pause = KEEP / RENEWALS;
    loop {
        tokio::time::sleep(pause).await;
        match source.renew(lease).await {
            Ok(()) => pause = KEEP / RENEWALS,
            Err(Fault::Lapsed) => return,
            Err(Fault::Forgotten | Fault::Refused | Fault::Cut | Fault::Silent | Fault::Nonsense) => {
                pause = LONGEST * 2;
            }
        }
    }
}
