//! Who competes for an upstream's slots, and what each customer's share is.

use std::{collections::HashMap, time::Duration};

use stairvale_types::{Moment, id};

/// A customer competes for this long after it asked last.
const ACTIVE: Duration = Duration::from_secs(5);
/// One slot in so many is kept free of customers that hold their share already.
const RESERVE: u32 = 4;

#[derive(Clone, Copy, Debug)]
struct Asker {
    weight: u32,
    asked: Moment,
}

/// The customers that asked lately.
#[derive(Debug, Default)]
pub struct Shares {
    askers: HashMap<id::Customer, Asker>,
}

impl Shares {
    /// A customer asks.
    pub fn notice(&mut self, now: Moment, customer: &id::Customer, weight: u32) {
        let weight = weight.max(1);
        self.askers.insert(customer.clone(), Asker { weight, asked: now });
    }

    /// Forgets customers that haven't asked for a while.
    pub fn age(&mut self, now: Moment) {
        self.askers.retain(|_, asker| now.since(asker.asked) < ACTIVE);
    }

    /// A customer's share of some slots, rounded up; `None` if nobody else competes.
    #[must_use]
    pub fn of(&self, now: Moment, customer: &id::Customer, slots: u32) -> Option<u32> {
        let active = self.askers.iter().filter(|(_, asker)| now.since(asker.asked) < ACTIVE);
        let mut all = 0_u64;
        let mut own = 1;
        let mut others = false;
        for (name, asker) in active {
            all += u64::from(asker.weight);
            if name == customer {
                own = u64::from(asker.weight);
            } else {
                others = true;
            }
        }
        if !others {
            return None;
        }
        let share = (u64::from(slots) * own).div_ceil(all.max(1));
        u32::try_from(share).ok()
    }
}

/// The slots that a customer over its share may fill: what is left is for those who are within theirs.
#[must_use]
pub const fn unreserved(slots: u32) -> u32 {
    let left = slots - slots.div_ceil(RESERVE);
    if left == 0 { 1 } else { left }
}
