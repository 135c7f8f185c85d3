//! The members in the order of their ids' hashes, of which a decision looks at a stretch.
//!
//! A prompt that no engine holds is served as well by any of many that are idle. So a decision looks at those that hold some of
//! the prompt, and at the members that follow a point on the ring which the prompt gives: any router finds the same ones, and
//! one that comes or goes changes the choice for its neighbours alone. The least loaded of a hundred carries nearly as little
//! as the least of all (Mitzenmacher, "The power of two choices in randomized load balancing", 2001).

use std::collections::BTreeMap;

use stairvale_types::id;

use super::Pool;
use crate::Member;

/// Members that a decision looks at beside those that hold some of the prompt, and of those that hold one of its parts. Of five
/// zones each has some 25 among so many, and fleets of up to so many are looked at whole. A decision about a new prompt takes 85 us
/// with 9,600 engines and with 3,000 (`benches/pool.rs`); to look at all 9,600 took 2.4 ms.
pub(super) const STRETCH: usize = 128;

/// The ids of all members.
#[derive(Debug, Default)]
pub(super) struct Ring(BTreeMap<u64, id::Upstream>);

impl Ring {
    /// A member is there.
    pub(super) fn insert(&mut self, member: &Member) {
        self.0.insert(member.hash, member.id.clone());
    }

    /// A member is there no longer.
    pub(super) fn remove(&mut self, member: &Member) {
        self.0.remove(&member.hash);
    }

    /// All members, those first that follow a point.
    fn follow(&self, point: u64) -> impl Iterator<Item = &id::Upstream> {
        self.0.range(point..).chain(self.0.range(..point)).map(|(_, id)| id)
    }
}

impl Pool {
    /// Whether decisions look at all members.
    pub(super) fn looks_at_all(&self) -> bool {
        self.whole_look || self.members.len() <= STRETCH
    }

    /// The members that serve and follow a point on the ring; of a small fleet all that serve.
    pub(super) fn stretch(&self, point: u64) -> Vec<&Member> {
        if self.looks_at_all() {
            return self.members.values().filter(|member| member.serves()).collect();
        }
        let following = self.ring.follow(point).filter_map(|id| self.members.get(id));
        following.filter(|member| member.serves()).take(STRETCH).collect()
    }
}
