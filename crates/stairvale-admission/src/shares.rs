//! Fair shares of an upstream's slots among the customers that compete for them.

use std::{collections::HashMap, time::Duration};

use stairvale_types::{Moment, id};

/// Time after its last request for which a customer counts as competing.
const ACTIVE_WINDOW: Duration = Duration::from_secs(5);
/// One slot in this many is reserved for customers that are within their shares.
const RESERVE_DIVISOR: u32 = 4;

#[derive(Clone, Copy, Debug)]
struct Competitor {
    weight: u32,
    last_request: Moment,
}

/// The customers that compete for the slots: those with a recent request.
#[derive(Debug, Default)]
pub struct Shares {
    competitors: HashMap<id::Customer, Competitor>,
}

impl Shares {
    /// Records a request of a customer with its weight; zero counts as one.
    pub fn record_request(&mut self, now: Moment, customer: &id::Customer, weight: u32) {
        let weight = weight.max(1);
        self.competitors.insert(customer.clone(), Competitor { weight, last_request: now });
    }

    /// Removes customers without a recent request.
    pub fn remove_inactive(&mut self, now: Moment) {
        self.competitors.retain(|_, competitor| now.since(competitor.last_request) < ACTIVE_WINDOW);
    }

    /// A customer's share of `slots`, rounded up; `None` if no other customer competes.
    #[must_use]
    pub fn share_of(&self, now: Moment, customer: &id::Customer, slots: u32) -> Option<u32> {
        let active =
            self.competitors.iter().filter(|(_, competitor)| now.since(competitor.last_request) < ACTIVE_WINDOW);
        let mut total_weight = 0_u64;
        let mut own_weight = 1;
        let mut has_others = false;
        for (name, competitor) in active {
            total_weight += u64::from(competitor.weight);
            if name == customer {
                own_weight = u64::from(competitor.weight);
            } else {
                has_others = true;
            }
        }
        if !has_others {
            return None;
        }
        let share = (u64::from(slots) * own_weight).div_ceil(total_weight.max(1));
        u32::try_from(share).ok()
    }
}

/// The number of `slots` that customers beyond their shares may fill, at least one. The rest is reserved for customers
/// within their shares.
#[must_use]
pub const fn unreserved_slots(slots: u32) -> u32 {
    let left = slots - slots.div_ceil(RESERVE_DIVISOR);
    if left == 0 { 1 } else { left }
}
