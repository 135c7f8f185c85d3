//! This router's view of the fleet: the homes of all upstreams, derived from the live routers, the upstreams and the
//! configuration in force.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
};

use stairvale_config::{Document, Service};
use stairvale_membership::{Swim, Upstreams, upstreams::Upstream};
use stairvale_permit::request::{Directory, Share};
use stairvale_placement::{Engine, pick, rank};
use stairvale_types::{Moment, id};
use stairvale_wire::Member;

/// The home of one upstream and its successor.
type Homes = [Option<id::Router>; 2];

/// One router's view of the fleet.
#[derive(Debug)]
pub struct Fleet {
    /// Membership of the routers.
    pub swim: Swim,
    /// Listed upstreams with their status.
    pub upstreams: Upstreams,
    /// Document of the configuration in force.
    pub document: Arc<Document>,
    /// Evacuated availability zones: their upstreams receive no new requests.
    pub evacuated: BTreeSet<id::Zone>,
    /// Time of the input that is being handled.
    pub now: Moment,
    zone: id::Zone,
    homes: BTreeMap<id::Upstream, Homes>,
    /// Outstanding requests of each upstream, as its home reported with the latest grant.
    reported_loads: HashMap<id::Upstream, u32>,
    engines: HashMap<id::Service, Vec<Engine>>,
}

impl Fleet {
    /// Creates the view of a fleet that has one router and no upstreams.
    #[must_use]
    pub fn new(swim: Swim) -> Self {
        let zone = swim.me().zone.clone();
        Self {
            swim,
            upstreams: Upstreams::new(),
            document: Arc::default(),
            evacuated: BTreeSet::new(),
            now: Moment::ZERO,
            zone,
            homes: BTreeMap::new(),
            reported_loads: HashMap::new(),
            engines: HashMap::new(),
        }
    }

    // ------------------------------------------------------------------------
    // Queries.

    /// The availability zone of this router.
    #[must_use]
    pub fn zone(&self) -> &id::Zone {
        &self.zone
    }

    /// All upstreams, each with its home if there is one.
    pub fn homes(&self) -> impl Iterator<Item = (&id::Upstream, Option<&id::Router>)> {
        self.homes.iter().map(|(upstream, homes)| (upstream, homes[0].as_ref()))
    }

    /// The configuration of a service, if it exists.
    #[must_use]
    pub fn service(&self, name: &id::Service) -> Option<&Service> {
        self.document.service(name.as_str())
    }

    /// The live routers of an availability zone.
    pub fn routers<'a>(&'a self, zone: &'a id::Zone) -> impl Iterator<Item = &'a Member> {
        self.swim.live().filter(move |member| &member.zone == zone)
    }

    /// The router to which a per-zone job is assigned in an availability zone, by rendezvous hashing over its live
    /// routers.
    #[must_use]
    pub fn zone_owner(&self, job: &str, zone: &id::Zone) -> Option<id::Router> {
        let job = rapidhash::v3::rapidhash_v3(job.as_bytes());
        let routers = self.routers(zone).map(|member| (member.router.hash64(), &member.router));
        pick(job, routers).cloned()
    }

    /// The router to which a fleet-wide job is assigned, by rendezvous hashing over all live routers.
    #[must_use]
    pub fn owner(&self, job: &str) -> Option<id::Router> {
        let job = rapidhash::v3::rapidhash_v3(job.as_bytes());
        let routers = self.swim.live().map(|member| (member.router.hash64(), &member.router));
        pick(job, routers).cloned()
    }

    /// Availability zones of this router's region that have live routers, sorted by name.
    #[must_use]
    pub fn near_zones(&self) -> Vec<id::Zone> {
        let mut zones: Vec<_> = self.swim.live().map(|member| member.zone.clone()).collect();
        zones.sort();
        zones.dedup();
        zones.retain(|zone| self.is_near(zone));
        zones
    }

    /// Whether an availability zone lies in this router's region. A zone whose region isn't configured counts as near.
    #[must_use]
    pub fn is_near(&self, zone: &id::Zone) -> bool {
        let here = self.document.region(&self.zone);
        let there = self.document.region(zone);
        here.is_none() || there.is_none() || here == there
    }

    /// The engines of a service in their order of preference for a key, those of this router's region first.
    #[must_use]
    pub fn rank(&self, service: &id::Service, key: u64) -> Vec<id::Upstream> {
        let Some(engines) = self.engines.get(service) else {
            return Vec::new();
        };
        let mut ranked = rank(key, engines);
        let is_near = |upstream: &id::Upstream| self.upstreams.get(upstream).is_some_and(|u| self.is_near(&u.zone));
        ranked.sort_by_key(|upstream| !is_near(upstream));
        ranked
    }

    /// The state of an upstream, if it is listed or was until recently.
    #[must_use]
    pub fn upstream(&self, name: &id::Upstream) -> Option<&Upstream> {
        self.upstreams.get(name)
    }

    /// Whether an upstream accepts new requests from any router: it is usable and its zone isn't evacuated. Back-off
    /// that it requested from this router alone isn't considered.
    #[must_use]
    pub fn takes_work(&self, upstream: &id::Upstream) -> bool {
        self.upstreams.get(upstream).is_some_and(|u| u.usable(self.now) && !self.evacuated.contains(&u.zone))
    }

    // ------------------------------------------------------------------------
    // Changes.

    /// Records the number of outstanding requests that an upstream's home reported.
    pub fn record_load(&mut self, upstream: &id::Upstream, outstanding: u32) {
        self.reported_loads.insert(upstream.clone(), outstanding);
    }

    /// Recomputes the homes of all upstreams and returns whether any of them changed.
    pub fn refresh(&mut self) -> bool {
        self.refresh_engines();
        let homes: BTreeMap<_, _> = self.upstreams.iter().map(|u| (u.name.clone(), self.homes_of(u))).collect();
        if homes == self.homes {
            return false;
        }
        self.reported_loads.retain(|upstream, _| homes.contains_key(upstream));
        self.homes = homes;
        true
    }

    fn refresh_engines(&mut self) {
        self.engines.clear();
        for upstream in self.upstreams.iter() {
            let engine = Engine::new(upstream.name.clone(), upstream.weight);
            self.engines.entry(upstream.service.clone()).or_default().push(engine);
        }
    }

    /// Chooses the home and its successor among the live routers of the upstream's availability zone, or, if there are
    /// none, among those of this router's region.
    fn homes_of(&self, upstream: &Upstream) -> Homes {
        let key = upstream.name.hash64();
        let mut near: Vec<_> = self.routers(&upstream.zone).collect();
        if near.is_empty() {
            near = self.swim.live().filter(|member| self.is_near(&member.zone)).collect();
        }
        let first = pick(key, near.iter().map(|m| (m.router.hash64(), &m.router))).cloned();
        let remaining = near.iter().filter(|m| Some(&m.router) != first.as_ref());
        let second = pick(key, remaining.map(|m| (m.router.hash64(), &m.router))).cloned();
        [first, second]
    }
}

impl Directory for Fleet {
    fn home(&self, upstream: &id::Upstream, rank: usize) -> Option<id::Router> {
        self.homes.get(upstream)?.get(rank)?.clone()
    }

    fn usable(&self, upstream: &id::Upstream) -> bool {
        let rests = self.upstreams.get(upstream).is_some_and(|u| u.is_in_backoff(self.now));
        self.takes_work(upstream) && !rests
    }

    /// The part of an engine's load bound that this router may use while no home answers. No router has the engine's
    /// account then, so the bound is estimated from the loads reported with the latest grants, and each router of the
    /// region takes an equal part of it so that all of them together stay within it.
    #[allow(clippy::cast_precision_loss)]
    fn share(&self, upstream: &id::Upstream) -> Option<Share> {
        let known = self.upstreams.get(upstream)?;
        let service = self.service(&known.service)?;
        let routers = self.swim.live().filter(|member| self.is_near(&member.zone)).count();
        let routers = u32::try_from(routers.max(1)).unwrap_or(u32::MAX);
        let engines = self.engines.get(&known.service)?;
        let loads: Vec<_> = engines.iter().filter_map(|engine| self.reported_loads.get(&engine.upstream)).collect();
        let sum: u64 = loads.iter().map(|load| u64::from(**load)).sum();
        let mean = sum as f64 / loads.len().max(1) as f64;
        let bound = service.load_multiple.bound(mean).min(service.slots);
        let reported = self.reported_loads.get(upstream).copied().unwrap_or(0);
        Some(Share { reported_load: reported, slots: service.slots, own_slots: (bound / routers).max(1) })
    }
}
