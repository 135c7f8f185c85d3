//! Updates of a router's copy of the store.

use serde::Deserialize;

use crate::{Item, Revision, Subject, Value, written::Written};

/// An update of a router's copy of the store, as it is read from the store or sent to a peer.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(try_from = "Written<'_>")]
pub enum StoreUpdate {
    /// All changes after one revision, up to another.
    Changes {
        /// The revision that the changes follow on.
        after: u64,
        /// The revision that the changes lead to.
        to: u64,
        /// The changed items, in the order in which they are applied.
        items: Vec<Item>,
    },
    /// The complete contents of the store as of a revision; a subject that isn't listed doesn't exist.
    Everything {
        /// The revision of the contents.
        to: u64,
        /// All items that exist.
        items: Vec<Item>,
    },
}

impl StoreUpdate {
    /// The revision that a copy reaches with this update.
    #[must_use]
    pub fn to(&self) -> Revision {
        match self {
            Self::Changes { to, .. } | Self::Everything { to, .. } => Revision::from(*to),
        }
    }

    /// Whether the update contains a configuration, which may have hundreds of kilobytes.
    #[must_use]
    pub fn has_configuration(&self) -> bool {
        let (Self::Changes { items, .. } | Self::Everything { items, .. }) = self;
        items.iter().any(|item| item.subject == Subject::Configuration)
    }

    /// The same update for a build that doesn't support epochs, with the store's own numbers as revisions.
    #[must_use]
    pub fn without_epochs(mut self) -> Self {
        let strip_epoch = |revision: &mut u64| *revision = Revision::from(*revision).number();
        let items = match &mut self {
            Self::Changes { after, to, items } => {
                strip_epoch(after);
                strip_epoch(to);
                items
            }
            Self::Everything { to, items } => {
                strip_epoch(to);
                items
            }
        };
        for item in items {
            strip_epoch(&mut item.revision);
            if let Some(Value::Rollout(record)) = &mut item.value {
                strip_epoch(&mut record.order);
            }
        }
        self
    }
}
