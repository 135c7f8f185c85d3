//! Who is whose home: the entry's directory, made from routers, upstreams and the configuration.

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

/// Homes of one upstream, the first choice and who takes over.
type Homes = [Option<id::Router>; 2];

/// What this router knows of the fleet.
#[derive(Debug)]
pub struct Fleet {
    /// The routers.
    pub swim: Swim,
    /// The upstreams.
    pub upstreams: Upstreams,
    /// The configuration in force.
    pub document: Arc<Document>,
    /// Zones to whose upstreams nothing new goes.
    pub evacuated: BTreeSet<id::Zone>,
    /// The time of the input that is being handled.
    pub now: Moment,
    zone: id::Zone,
    homes: BTreeMap<id::Upstream, Homes>,
    seen: HashMap<id::Upstream, u32>,
    engines: HashMap<id::Service, Vec<Engine>>,
}

impl Fleet {
    /// A fleet of one router and no upstreams.
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
            seen: HashMap::new(),
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

    /// The homes of all upstreams.
    pub fn homes(&self) -> impl Iterator<Item = (&id::Upstream, Option<&id::Router>)> {
        self.homes.iter().map(|(upstream, homes)| (upstream, homes[0].as_ref()))
    }

    /// The configured service.
    #[must_use]
    pub fn service(&self, name: &id::Service) -> Option<&Service> {
        self.document.service(name.as_str())
    }

    /// Live routers of an availability zone.
    pub fn routers<'a>(&'a self, zone: &'a id::Zone) -> impl Iterator<Item = &'a Member> {
        self.swim.live().filter(move |member| &member.zone == zone)
    }

    /// The router of an availability zone that does a job which one router a zone does.
    #[must_use]
    pub fn holder(&self, job: &str, zone: &id::Zone) -> Option<id::Router> {
        let job = rapidhash::v3::rapidhash_v3(job.as_bytes());
        let routers = self.routers(zone).map(|member| (member.router.hash64(), &member.router));
        pick(job, routers).cloned()
    }

    /// The router of the whole fleet that does a job.
    #[must_use]
    pub fn keeper(&self, job: &str) -> Option<id::Router> {
        let job = rapidhash::v3::rapidhash_v3(job.as_bytes());
        let routers = self.swim.live().map(|member| (member.router.hash64(), &member.router));
        pick(job, routers).cloned()
    }

    /// Availability zones of this router's region that have live routers.
    #[must_use]
    pub fn near_zones(&self) -> Vec<id::Zone> {
        let mut zones: Vec<_> = self.swim.live().map(|member| member.zone.clone()).collect();
        zones.sort();
        zones.dedup();
        zones.retain(|zone| self.is_near(zone));
        zones
    }

    /// Whether an availability zone lies in this router's region; unknown ones count as near.
    #[must_use]
    pub fn is_near(&self, zone: &id::Zone) -> bool {
        let here = self.document.region(&self.zone);
        let there = self.document.region(zone);
        here.is_none() || there.is_none() || here == there
    }

    /// The engines of a service in the order of preference for a key: this region's first.
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

    /// An upstream.
    #[must_use]
    pub fn upstream(&self, name: &id::Upstream) -> Option<&Upstream> {
        self.upstreams.get(name)
    }

    /// Whether an upstream takes new work, from this router or from others.
    #[must_use]
    pub fn takes_work(&self, upstream: &id::Upstream) -> bool {
        self.upstreams.get(upstream).is_some_and(|u| u.usable(self.now) && !self.evacuated.contains(&u.zone))
    }

    // ------------------------------------------------------------------------
    // Changes.

    /// An upstream's home told its load.
    pub fn saw(&mut self, upstream: &id::Upstream, outstanding: u32) {
        self.seen.insert(upstream.clone(), outstanding);
    }

    /// Works out all homes anew; says whether any changed.
    pub fn refresh(&mut self) -> bool {
        self.refresh_engines();
        let homes: BTreeMap<_, _> = self.upstreams.iter().map(|u| (u.name.clone(), self.homes_of(u))).collect();
        if homes == self.homes {
            return false;
        }
        self.seen.retain(|upstream, _| homes.contains_key(upstream));
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

    /// A home is in the upstream's availability zone while any router lives there; else anywhere.
    fn homes_of(&self, upstream: &Upstream) -> Homes {
        let key = upstream.name.hash64();
        let mut near: Vec<_> = self.routers(&upstream.zone).collect();
        if near.is_empty() {
            near = self.swim.live().filter(|member| self.is_near(&member.zone)).collect();
        }
        let first = pick(key, near.iter().map(|m| (m.router.hash64(), &m.router))).cloned();
        let others = near.iter().filter(|m| Some(&m.router) != first.as_ref());
        let second = pick(key, others.map(|m| (m.router.hash64(), &m.router))).cloned();
        [first, second]
    }
}

impl Directory for Fleet {
    fn home(&self, upstream: &id::Upstream, rank: usize) -> Option<id::Router> {
        self.homes.get(upstream)?.get(rank)?.clone()
    }

    fn usable(&self, upstream: &id::Upstream) -> bool {
        let rests = self.upstreams.get(upstream).is_some_and(|u| u.rests(self.now));
        self.takes_work(upstream) && !rests
    }

    /// Without a home nobody knows the engine's account: all routers together should stay within the bound that their
    /// latest grants suggest, so each takes its part of that.
    #[allow(clippy::cast_precision_loss)]
    fn share(&self, upstream: &id::Upstream) -> Option<Share> {
        let known = self.upstreams.get(upstream)?;
        let service = self.service(&known.service)?;
        let routers = self.swim.live().filter(|member| self.is_near(&member.zone)).count();
        let routers = u32::try_from(routers.max(1)).unwrap_or(u32::MAX);
        let engines = self.engines.get(&known.service)?;
        let seen: Vec<_> = engines.iter().filter_map(|engine| self.seen.get(&engine.upstream)).collect();
        let sum: u64 = seen.iter().map(|load| u64::from(**load)).sum();
        let mean = sum as f64 / seen.len().max(1) as f64;
        let bound = service.load_multiple.bound(mean).min(service.slots);
        let reported = self.seen.get(upstream).copied().unwrap_or(0);
        Some(Share { reported, slots: service.slots, own: (bound / routers).max(1) })
    }
}
