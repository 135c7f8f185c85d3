//! Distribution of the mean load to homes. Each home reports its load to the aggregating router of its availability
//! zone, the aggregating routers exchange zone sums, and each home receives the load of all *other* homes.
//!
//! One router per service and availability zone aggregates, so a home's traffic doesn't grow with the fleet, and a zone
//! that is cut off continues with its own sum.

use std::{collections::BTreeMap, time::Duration};

use stairvale_permit::{home::MAX_EMPTIEST, mean::Sum};
use stairvale_types::{Moment, id};
use stairvale_wire::Load;

/// Minimum interval between two reports of one load, sum or mean. Longer intervals cost less traffic but increase the
/// skew of load between engines.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum interval between two means of a service for each home of the zone, which bounds the aggregating router's
/// traffic: 70 bytes in 15 ms are below 5 KB/s.
const MEAN_INTERVAL_PER_HOME: Duration = Duration::from_millis(15);
/// Interval at which a load, sum or mean without significant changes is repeated.
const REPEAT_INTERVAL: Duration = Duration::from_millis(700);
/// Time after which a load or zone sum that wasn't repeated is dropped.
const REPORT_TTL: Duration = Duration::from_secs(2);

/// A sum is significantly changed if it changed by more than one part in this number. Smaller changes are sent with the
/// next repetition only, so the mean's error stays below that part.
const SIGNIFICANT_CHANGE_DIVISOR: u64 = 50;

/// Divisor of the interval when the number of requests waiting at every engine has increased since the last report: no
/// home may grant these requests until it receives the new number.
const URGENT_SPEEDUP: u32 = 5;

/// A value that is sent when it has changed enough.
trait Throttled {
    /// Whether the value differs significantly from the one sent last.
    fn is_significant(&self, last: &Self) -> bool;
    /// Whether the value lets homes grant requests that wait at every engine.
    fn is_urgent(&self, last: &Self) -> bool;
}

impl Throttled for Sum {
    fn is_significant(&self, last: &Self) -> bool {
        let change = self.outstanding.abs_diff(last.outstanding);
        change * SIGNIFICANT_CHANGE_DIVISOR > last.outstanding
            || self.engines != last.engines
            || self.waiting != last.waiting
    }

    fn is_urgent(&self, last: &Self) -> bool {
        self.waiting > last.waiting
    }
}

impl Throttled for Load {
    fn is_significant(&self, last: &Self) -> bool {
        sum_of(self).is_significant(&sum_of(last))
    }

    fn is_urgent(&self, last: &Self) -> bool {
        sum_of(self).is_urgent(&sum_of(last))
    }
}

/// Decides when a value is due to be sent again.
#[derive(Clone, Debug)]
struct Throttle<T> {
    last: Option<(T, Moment)>,
}

impl<T> Default for Throttle<T> {
    fn default() -> Self {
        Self { last: None }
    }
}

impl<T: Throttled + Clone> Throttle<T> {
    fn due(&mut self, now: Moment, value: &T, interval: Duration) -> bool {
        let due = match &self.last {
            None => true,
            Some((last, at)) if !value.is_significant(last) => now.since(*at) >= REPEAT_INTERVAL,
            Some((last, at)) if value.is_urgent(last) => now.since(*at) >= interval / URGENT_SPEEDUP,
            Some((_, at)) => now.since(*at) >= interval,
        };
        if due {
            self.last = Some((value.clone(), now));
        }
        due
    }
}

/// The loads of a service as its aggregating router in one availability zone received them.
#[derive(Debug, Default)]
struct Aggregator {
    homes: BTreeMap<id::Router, (Load, Moment)>,
    zones: BTreeMap<id::Zone, (Load, Moment)>,
    zone_throttle: Throttle<Load>,
    mean_throttles: BTreeMap<id::Router, Throttle<Sum>>,
}

/// A load, sum or mean to send.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// This home's load, for the aggregating router of its zone.
    Report(Load),
    /// This zone's sum, for the aggregating routers of the other zones.
    ZoneSum(Load),
    /// The load of all other homes' engines, for one home.
    Mean {
        /// The home that receives the load.
        to: id::Router,
        /// The service that the load is of.
        service: id::Service,
        /// Load of all engines whose home is another router.
        others: Sum,
        /// The least loaded engines of the service with their load.
        emptiest: Vec<(id::Upstream, u32)>,
    },
}

/// The loads that one router reports as a home and aggregates for its zone.
#[derive(Debug, Default)]
pub struct Sums {
    own_throttles: BTreeMap<id::Service, Throttle<Load>>,
    aggregators: BTreeMap<id::Service, Aggregator>,
}

impl Sums {
    /// Creates the state of a router that hasn't sent or received a load.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Handles a load received from a home of this zone, or the sum of another zone from its aggregating router.
    pub fn receive(&mut self, now: Moment, from: &id::Router, load: Load) {
        let aggregator = self.aggregators.entry(load.service.clone()).or_default();
        match load.zone.clone() {
            None => aggregator.homes.insert(from.clone(), (load, now)),
            Some(zone) => aggregator.zones.insert(zone, (load, now)),
        };
    }

    /// Returns the reports that are due now. `own` has the load of each service at this home.
    pub fn tick(&mut self, now: Moment, zone: &id::Zone, own: Vec<Load>) -> Vec<Effect> {
        let mut effects = Vec::new();
        for load in own {
            let throttle = self.own_throttles.entry(load.service.clone()).or_default();
            if throttle.due(now, &load, REPORT_INTERVAL) {
                effects.push(Effect::Report(load));
            }
        }
        for (service, aggregator) in &mut self.aggregators {
            effects.extend(aggregator.tick(now, service, zone));
        }
        self.aggregators.retain(|_, aggregator| !aggregator.homes.is_empty() || !aggregator.zones.is_empty());
        effects
    }
}

impl Aggregator {
    fn tick(&mut self, now: Moment, service: &id::Service, zone: &id::Zone) -> Vec<Effect> {
        self.homes.retain(|_, (_, at)| now.since(*at) < REPORT_TTL);
        self.zones.retain(|_, (_, at)| now.since(*at) < REPORT_TTL);
        if self.homes.is_empty() {
            return Vec::new();
        }
        let mut effects = Vec::new();
        let own = sum_loads(service, Some(zone), self.homes.values().map(|(load, _)| load));
        let interval = self.mean_interval();
        if self.zone_throttle.due(now, &own, interval) {
            effects.push(Effect::ZoneSum(own.clone()));
        }
        let others: Vec<_> = self.zones.iter().filter(|(other, _)| *other != zone).map(|(_, (load, _))| load).collect();
        let emptiest = sum_loads(service, None, others.iter().copied().chain(std::iter::once(&own))).emptiest;
        let elsewhere = others.into_iter().map(sum_of).fold(Sum::default(), Sum::plus);
        effects.extend(self.means(now, service, elsewhere, &emptiest));
        effects
    }

    /// Interval between two means to one home. It grows with the number of homes so that this router's traffic stays
    /// bounded; the mean of many engines changes slowly.
    fn mean_interval(&self) -> Duration {
        let homes = u32::try_from(self.homes.len()).unwrap_or(u32::MAX);
        REPORT_INTERVAL.max(MEAN_INTERVAL_PER_HOME.saturating_mul(homes))
    }

    /// The means that are due: for each home the load `elsewhere` plus that of the other homes of this zone.
    fn means(
        &mut self,
        now: Moment,
        service: &id::Service,
        elsewhere: Sum,
        emptiest: &[(id::Upstream, u32)],
    ) -> Vec<Effect> {
        let interval = self.mean_interval();
        let homes = &self.homes;
        self.mean_throttles.retain(|home, _| homes.contains_key(home));
        let mut effects = Vec::new();
        for to in homes.keys() {
            let same_zone = homes.iter().filter(|(home, _)| *home != to).map(|(_, (load, _))| sum_of(load));
            let others = same_zone.fold(elsewhere, Sum::plus);
            let throttle = self.mean_throttles.entry(to.clone()).or_default();
            if throttle.due(now, &others, interval) {
                let (to, service, emptiest) = (to.clone(), service.clone(), emptiest.to_vec());
                effects.push(Effect::Mean { to, service, others, emptiest });
            }
        }
        effects
    }
}

fn sum_of(load: &Load) -> Sum {
    Sum { outstanding: load.outstanding, engines: load.engines, waiting: load.waiting }
}

fn sum_loads<'a>(service: &id::Service, zone: Option<&id::Zone>, loads: impl Iterator<Item = &'a Load>) -> Load {
    let loads: Vec<_> = loads.collect();
    let sum = loads.iter().map(|load| sum_of(load)).fold(Sum::default(), Sum::plus);
    let emptiest = loads.into_iter().flat_map(|load| load.emptiest.iter().cloned()).collect();
    let Sum { outstanding, engines, waiting } = sum;
    let mut sum = Load { service: service.clone(), zone: zone.cloned(), outstanding, engines, waiting, emptiest };
    sum.emptiest.sort_by(|(x, a), (y, b)| a.cmp(b).then_with(|| x.cmp(y)));
    sum.emptiest.truncate(MAX_EMPTIEST);
    sum
}
