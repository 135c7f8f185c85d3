//! The control thread's calls to the platform.

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

/// A key that is deleted goes after this long.
const DELETE_AFTER: Duration = Duration::from_secs(1);

/// The answer of the platform's list of VMs.
#[derive(Debug, Deserialize)]
struct List {
    revision: u64,
    vms: Vec<Vm>,
}

/// Makes calls and tells the control thread what came of them.
#[derive(Clone, Debug)]
pub struct Caller {
    shared: Arc<Shared>,
    /// The lease that this router holds, or zero.
    lease: Arc<AtomicU64>,
}

impl Caller {
    /// A caller without a lease.
    #[must_use]
    pub fn new(shared: Arc<Shared>) -> Self {
        Self { shared, lease: Arc::default() }
    }

    /// Makes a call.
    pub async fn call(self, call: Call) {
        let Call { purpose, key, action } = call;
        let answer = if self.shared.faults.platform() {
            Answer::Lost
        } else if purpose == Purpose::Orders {
            self.lease(&key, action).await
        } else {
            run(&self.shared.store, &key, action).await
        };
        self.shared.tell(Input::Store { purpose, answer });
    }

    /// Fetches the list of VMs.
    pub async fn vms(self) {
        if self.shared.faults.platform() {
            return;
        }
        let list = self.shared.store.vms::<List>().await.ok();
        self.shared.tell(Input::Vms(list.map(|list| (list.revision, list.vms))));
    }

    /// Takes the lease of the orders, or renews it.
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

/// Makes one call; also what an operator's submission uses.
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

/// The platform has no call to delete a key at a revision, but a key goes with its lease: the value is swapped for nothing under a
/// lease that nobody renews.
async fn delete(store: &Client, key: &str, revision: u64) -> Answer {
    let Ok(lease) = store.lease(DELETE_AFTER).await else {
        return Answer::Lost;
    };
    match store.swap_leased(key, String::new(), revision, lease).await {
        Ok(Swap::Written(revision)) => Answer::Written(revision),
        Ok(Swap::Conflict) => Answer::Conflict,
        Err(_) => Answer::Lost,
    }
}

/// Creates a key under a lease of its own, which nobody renews.
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
