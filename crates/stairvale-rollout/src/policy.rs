//! What upstreams of a version may be given, by what the store said.

use stairvale_types::id;

use crate::{Order, Record, Stage, record::Cause};

/// What an upstream may be given.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// Whatever is best there.
    Any,
    /// Only what was reserved for it.
    Trial,
    /// What finds no room elsewhere: the fleet leaves it.
    Last,
    /// Nothing.
    Nothing,
}

/// What the versions of a service may be given. Each router follows it by its own copy of the store: a service without any
/// order gives all versions the same.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Policy {
    /// The version that was ordered.
    pub target: id::Version,
    /// Where that stands.
    pub stage: Stage,
    /// Versions that get nothing.
    pub rejected: Vec<id::Version>,
}

impl Policy {
    /// What follows from an order, with its revision, and from the record of a roll-out, as the store has them.
    #[must_use]
    pub fn of(order: Option<(u64, &Order)>, record: Option<&Record>) -> Option<Self> {
        let Some(record) = record else {
            // Nobody has taken it up yet: the version gets nothing, since nothing is reserved.
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
        // An order that nobody has taken up yet: what was on trial before it is over...
        if record.stage != Stage::Completed && record.serving.as_ref() == Some(&order.target) {
            // ... and so is the roll-out as such, since it is the version that served all the time.
            let stage = Stage::RolledBack(Cause::Withdrawn);
            return Some(Self { target: record.target.clone(), stage, rejected });
        }
        rejected.retain(|version| version != &order.target);
        if record.stage != Stage::Completed {
            rejected.push(record.target.clone());
        }
        Some(Self { target: order.target.clone(), stage: Stage::Trial, rejected })
    }

    /// What an upstream of a version may be given; one that tells none is taken for an old one.
    #[must_use]
    pub fn admits(&self, version: Option<&id::Version>) -> Admission {
        if version.is_some_and(|version| self.rejected.contains(version)) {
            return Admission::Nothing;
        }
        let is_target = version == Some(&self.target);
        match (self.stage, is_target) {
            (Stage::Trial, true) => Admission::Trial,
            (Stage::Trial | Stage::RolledBack(_), false) | (Stage::Moving | Stage::Completed, true) => Admission::Any,
            (Stage::Moving, false) => Admission::Last,
            (Stage::Completed, false) | (Stage::RolledBack(_), true) => Admission::Nothing,
        }
    }
}
