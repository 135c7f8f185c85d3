//! The control thread's calls to the platform's store.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use serde::Deserialize;
use stairvale_control::{
    Input,
    io::{Action, Answer, Call, Purpose},
    orders::LEASE,
};
use stairvale_store::{Client, Swap};
use stairvale_wire::Vm;

use crate::Shared;

/// The duration of the lease under which a deleted key is written; the key disappears when it expires.
const DELETE_LEASE: Duration = Duration::from_secs(1);

/// The platform's answer to a request for its list of VMs.
#[derive(Debug, Deserialize)]
struct List {
    revision: u64,
    vms: Vec<Vm>,
}

/// Makes calls to the platform's store and reports their results to the control thread.
#[derive(Clone, Debug)]
pub struct StoreClient {
    shared: Arc<Shared>,
    /// The id of the lease for sending orders that this router holds, or zero.
    lease: Arc<AtomicU64>,
}

impl StoreClient {
    /// A client that holds no lease.
    #[must_use]
    pub fn new(shared: Arc<Shared>) -> Self {
        Self { shared, lease: Arc::default() }
    }

    /// Makes a call and reports its answer to the control thread.
    pub async fn call(self, call: Call) {
        let Call { purpose, key, action } = call;
        let answer = if self.shared.faults.is_platform_cut() {
            Answer::Lost
        } else if purpose == Purpose::Orders {
            self.lease(&key, action).await
        } else {
            run(&self.shared.store, &key, action).await
        };
        self.shared.notify_control(Input::Store { purpose, answer });
    }

    /// Fetches the list of VMs and reports it to the control thread.
    pub async fn vms(self) {
        if self.shared.faults.is_platform_cut() {
            return;
        }
        let list = self.shared.store.vms::<List>().await.ok();
        self.shared.notify_control(Input::Vms(list.map(|list| (list.revision, list.vms))));
    }

    /// Acquires the lease that allows this router to send orders, or renews it.
    async fn lease(&self, key: &str, action: Action) -> Answer {
        let store = &self.shared.store;
        let Action::Write { value, revision } = action else {
            return Answer::Lost;
        };
        if revision > 0 {
            let lease = self.lease.load(Ordering::Relaxed);
            return match store.renew(lease).await {
                Ok(true) => Answer::Written(lease),
                Ok(false) => Answer::Conflict,
                Err(_) => Answer::Lost,
            };
        }
        let Ok(lease) = store.lease(LEASE).await else {
            return Answer::Lost;
        };
        match store.swap_leased(key, value, 0, lease).await {
            Ok(Swap::Written(token)) => {
                self.lease.store(lease, Ordering::Relaxed);
                Answer::Written(token)
            }
            Ok(Swap::Conflict) => Answer::Conflict,
            Err(_) => Answer::Lost,
        }
    }
}

/// Makes one call to the store; used by operators' submissions, too.
pub async fn run(store: &Client, key: &str, action: Action) -> Answer {
    let read = |result| match result {
        Ok(value) => Answer::Value(value),
        Err(_) => Answer::Lost,
    };
    match action {
        Action::Read => read(store.read(key).await),
        Action::Watch { revision } => read(store.watch(key, revision).await),
        Action::Delete { revision } => delete(store, key, revision).await,
        Action::Create { value, keep } => create(store, key, value, keep).await,
        Action::Write { value, revision } => match store.swap(key, value, revision).await {
            Ok(Swap::Written(revision)) => Answer::Written(revision),
            Ok(Swap::Conflict) => Answer::Conflict,
            Err(_) => Answer::Lost,
        },
    }
}

/// Deletes a key at a revision. The platform has no call for this, but a key is removed when its lease expires: so the
/// value is swapped for an empty one under a short lease that is never renewed.
async fn delete(store: &Client, key: &str, revision: u64) -> Answer {
    let Ok(lease) = store.lease(DELETE_LEASE).await else {
        return Answer::Lost;
    };
    match store.swap_leased(key, String::new(), revision, lease).await {
        Ok(Swap::Written(revision)) => Answer::Written(revision),
        Ok(Swap::Conflict) => Answer::Conflict,
        Err(_) => Answer::Lost,
    }
}

/// Creates a key under a new lease that is never renewed, so that the key is removed after `keep`.
async fn create(store: &Client, key: &str, value: String, keep: Duration) -> Answer {
    let Ok(lease) = store.lease(keep).await else {
        return Answer::Lost;
    };
    match store.swap_leased(key, value, 0, lease).await {
        Ok(Swap::Written(revision)) => Answer::Written(revision),
        Ok(Swap::Conflict) => Answer::Conflict,
        Err(_) => Answer::Lost,
    }
}
