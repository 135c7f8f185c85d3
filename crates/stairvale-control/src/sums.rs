//! How homes learn the mean: each tells its load to one router of its availability zone, those exchange zone sums,
//! and each home hears what all *other* homes carry.
//!
//! One router a service and availability zone adds up, so a home's traffic doesn't grow with the fleet, and a zone that
//! is cut off goes on with its own sum.

use std::{collections::BTreeMap, time::Duration};

use stairvale_permit::{home::EMPTIEST, mean::Sum};
use stairvale_types::{Moment, id};
use stairvale_wire::Load;

/// The least time between two reports of one load, sum or mean; docs/MEASUREMENTS.md weighs it against skew.
pub const REPORT_EVERY: Duration = Duration::from_millis(100);
/// The time that one mean to one home takes up of the sender's traffic: 70 bytes in 15 ms are below 5 KB/s.
const MEAN_COST: Duration = Duration::from_millis(15);
/// An unchanged load is repeated after this long.
const REPEAT_EVERY: Duration = Duration::from_millis(700);
/// A load or sum that wasn't repeated for this long no longer counts.
const REPORT_TTL: Duration = Duration::from_secs(2);

/// A sum that changed by less than one part in so many is only repeated: the mean is off by no more than that.
const NEWS: u64 = 50;

/// More waits for every engine than was told last: this is told so many times sooner, since nobody may grant until it is
/// heard.
const PRESSING: u32 = 5;

/// Something that is told when it has changed enough.
trait News {
    /// Whether it differs enough from what was told last.
    fn is_news(&self, last: &Self) -> bool;
    /// Whether it lets homes grant what waits everywhere.
    fn is_pressing(&self, last: &Self) -> bool;
}

impl News for Sum {
    fn is_news(&self, last: &Self) -> bool {
        let change = self.outstanding.abs_diff(last.outstanding);
        change * NEWS > last.outstanding || self.engines != last.engines || self.waiting != last.waiting
    }

    fn is_pressing(&self, last: &Self) -> bool {
        self.waiting > last.waiting
    }
}

impl News for Load {
    fn is_news(&self, last: &Self) -> bool {
        sum_of(self).is_news(&sum_of(last))
    }

    fn is_pressing(&self, last: &Self) -> bool {
        sum_of(self).is_pressing(&sum_of(last))
    }
}

/// Decides when something is worth sending again.
#[derive(Clone, Debug)]
struct Pacer<T> {
    last: Option<(T, Moment)>,
}

impl<T> Default for Pacer<T> {
    fn default() -> Self {
        Self { last: None }
    }
}

impl<T: News + Clone> Pacer<T> {
    fn due(&mut self, now: Moment, value: &T, every: Duration) -> bool {
        let due = match &self.last {
            None => true,
            Some((last, at)) if !value.is_news(last) => now.since(*at) >= REPEAT_EVERY,
            Some((last, at)) if value.is_pressing(last) => now.since(*at) >= every / PRESSING,
            Some((_, at)) => now.since(*at) >= every,
        };
        if due {
            self.last = Some((value.clone(), now));
        }
        due
    }
}

/// What the adding router of a service knows.
#[derive(Debug, Default)]
struct Adder {
    homes: BTreeMap<id::Router, (Load, Moment)>,
    zones: BTreeMap<id::Zone, (Load, Moment)>,
    zone_pacer: Pacer<Load>,
    mean_pacers: BTreeMap<id::Router, Pacer<Sum>>,
}

/// A sum to send.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// This home's load, to the adding router of its zone.
    Report(Load),
    /// This zone's sum, to the adding routers of the other zones.
    ZoneSum(Load),
    /// To a home: what all others carry.
    Mean {
        /// The home.
        to: id::Router,
        /// The service.
        service: id::Service,
        /// What others' engines carry.
        others: Sum,
        /// The emptiest engines of all.
        emptiest: Vec<(id::Upstream, u32)>,
    },
}

/// The sums that pass through one router.
#[derive(Debug, Default)]
pub struct Sums {
    own: BTreeMap<id::Service, Pacer<Load>>,
    sums: BTreeMap<id::Service, Adder>,
}

impl Sums {
    /// No sums yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// A home or an adding router told its load.
    pub fn hear(&mut self, now: Moment, from: &id::Router, load: Load) {
        let sum = self.sums.entry(load.service.clone()).or_default();
        match load.zone.clone() {
            None => sum.homes.insert(from.clone(), (load, now)),
            Some(zone) => sum.zones.insert(zone, (load, now)),
        };
    }

    /// This router's own homes carry these loads; what is due goes out.
    pub fn tick(&mut self, now: Moment, zone: &id::Zone, own: Vec<Load>) -> Vec<Effect> {
        let mut effects = Vec::new();
        for load in own {
            let pacer = self.own.entry(load.service.clone()).or_default();
            if pacer.due(now, &load, REPORT_EVERY) {
                effects.push(Effect::Report(load));
            }
        }
        for (service, sum) in &mut self.sums {
            effects.extend(sum.tick(now, service, zone));
        }
        self.sums.retain(|_, sum| !sum.homes.is_empty() || !sum.zones.is_empty());
        effects
    }
}

impl Adder {
    fn tick(&mut self, now: Moment, service: &id::Service, zone: &id::Zone) -> Vec<Effect> {
        self.homes.retain(|_, (_, at)| now.since(*at) < REPORT_TTL);
        self.zones.retain(|_, (_, at)| now.since(*at) < REPORT_TTL);
        if self.homes.is_empty() {
            return Vec::new();
        }
        let mut effects = Vec::new();
        let own = add(service, Some(zone), self.homes.values().map(|(load, _)| load));
        let every = self.means_every();
        if self.zone_pacer.due(now, &own, every) {
            effects.push(Effect::ZoneSum(own.clone()));
        }
        let others: Vec<_> = self.zones.iter().filter(|(other, _)| *other != zone).map(|(_, (load, _))| load).collect();
        let emptiest = add(service, None, others.iter().copied().chain(std::iter::once(&own))).emptiest;
        let elsewhere = others.into_iter().map(sum_of).fold(Sum::default(), Sum::plus);
        effects.extend(self.means(now, service, elsewhere, &emptiest));
        effects
    }

    /// With many homes each hears less often, so that what this router sends stays bounded. The mean of many engines
    /// moves slowly.
    fn means_every(&self) -> Duration {
        let homes = u32::try_from(self.homes.len()).unwrap_or(u32::MAX);
        REPORT_EVERY.max(MEAN_COST.saturating_mul(homes))
    }

    /// Tells each home what all others carry: `elsewhere`, and the other homes of this zone.
    fn means(
        &mut self,
        now: Moment,
        service: &id::Service,
        elsewhere: Sum,
        emptiest: &[(id::Upstream, u32)],
    ) -> Vec<Effect> {
        let every = self.means_every();
        let homes = &self.homes;
        self.mean_pacers.retain(|home, _| homes.contains_key(home));
        let mut effects = Vec::new();
        for to in homes.keys() {
            let near = homes.iter().filter(|(home, _)| *home != to).map(|(_, (load, _))| sum_of(load));
            let others = near.fold(elsewhere, Sum::plus);
            let pacer = self.mean_pacers.entry(to.clone()).or_default();
            if pacer.due(now, &others, every) {
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

fn add<'a>(service: &id::Service, zone: Option<&id::Zone>, loads: impl Iterator<Item = &'a Load>) -> Load {
    let loads: Vec<_> = loads.collect();
    let sum = loads.iter().map(|load| sum_of(load)).fold(Sum::default(), Sum::plus);
    let emptiest = loads.into_iter().flat_map(|load| load.emptiest.iter().cloned()).collect();
    let Sum { outstanding, engines, waiting } = sum;
    let mut sum = Load { service: service.clone(), zone: zone.cloned(), outstanding, engines, waiting, emptiest };
    sum.emptiest.sort_by(|(x, a), (y, b)| a.cmp(b).then_with(|| x.cmp(y)));
    sum.emptiest.truncate(EMPTIEST);
    sum
}
