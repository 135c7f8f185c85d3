//! Which requests upstreams of a version may get, according to the store.

use stairvale_types::id;

use crate::{Order, Record, Stage, record::Cause};

/// Which requests an upstream may get.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// Any request.
    Any,
    /// Only requests that were reserved for it.
    Trial,
    /// Only requests that no other upstream has room for, since the fleet is leaving this version.
    LastResort,
    /// No requests.
    Nothing,
}

/// Which requests the versions of a service may get. Each router follows it by its own copy of the store. A service
/// without any order treats all versions alike.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Policy {
    /// The version that was ordered.
    pub target: id::Version,
    /// The stage of the roll-out to that version.
    pub stage: Stage,
    /// Versions that get no requests.
    pub rejected: Vec<id::Version>,
}

impl Policy {
    /// The policy that follows from an order, with its revision, and from the record of a roll-out, as the store has
    /// them.
    #[must_use]
    pub fn of(order: Option<(u64, &Order)>, record: Option<&Record>) -> Option<Self> {
        let Some(record) = record else {
            // No home has started the roll-out yet. The version gets nothing, since nothing is reserved.
            let (_, order) = order?;
            return Some(Self { target: order.target.clone(), stage: Stage::Trial, rejected: Vec::new() });
        };
        let mut rejected = record.rejected.clone();
        let Some((revision, order)) = order else {
            let stage = if record.stage.is_over() { record.stage } else { Stage::RolledBack(Cause::Withdrawn) };
            return Some(Self { target: record.target.clone(), stage, rejected });
        };
        if revision <= record.order || order.target == record.target {
            return Some(Self { target: record.target.clone(), stage: record.stage, rejected });
        }
        // No home has started this order yet, but the trial of the version before it has ended.
        if record.stage != Stage::Completed && record.serving.as_ref() == Some(&order.target) {
            // The ordered version has been serving throughout, so the whole roll-out is withdrawn.
            let stage = Stage::RolledBack(Cause::Withdrawn);
            return Some(Self { target: record.target.clone(), stage, rejected });
        }
        rejected.retain(|version| version != &order.target);
        if record.stage != Stage::Completed {
            rejected.push(record.target.clone());
        }
        Some(Self { target: order.target.clone(), stage: Stage::Trial, rejected })
    }

    /// Which requests an upstream of a version may get. An upstream that reports no version is treated as an old one.
    #[must_use]
    pub fn admits(&self, version: Option<&id::Version>) -> Admission {
        if version.is_some_and(|version| self.rejected.contains(version)) {
            return Admission::Nothing;
        }
        let is_target = version == Some(&self.target);
        match (self.stage, is_target) {
            (Stage::Trial, true) => Admission::Trial,
            (Stage::Trial | Stage::RolledBack(_), false) | (Stage::Moving | Stage::Completed, true) => Admission::Any,
            (Stage::Moving, false) => Admission::LastResort,
            (Stage::Completed, false) | (Stage::RolledBack(_), true) => Admission::Nothing,
        }
    }
}
