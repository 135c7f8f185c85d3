//! What a copy says of each subject.

use std::{sync::Arc, time::Duration};

use stairvale_rollout::{Admission, Order, Policy, Record};
use stairvale_table::Document;
use stairvale_types::id;

use super::View;
use crate::{Item, Router, State, Subject, Upstream, Value};

impl View {
    /// The configuration, if one is known.
    #[must_use]
    pub fn document(&self) -> Option<&Arc<Document>> {
        let Value::Configuration(document) = self.value(&Subject::Configuration)? else {
            return None;
        };
        Some(document)
    }

    /// Upstreams that the store names, each with the revision at which it was written, and those whose entry lapsed with the
    /// store, with the revision at which it did. One counts only once this copy is as new as the entry that it came with.
    pub fn upstreams(&self) -> impl Iterator<Item = (&Upstream, u64)> {
        let named = self.items.values().filter_map(|item| {
            let Value::Upstream(upstream) = item.value.as_ref()? else {
                return None;
            };
            Some((upstream, item.revision))
        });
        let lapsed = self.lapsed.values().map(|upstream| {
            let item = self.items.get(&Subject::Upstream(upstream.id.name()));
            (upstream, item.map_or(0, |item| item.revision))
        });
        named.filter(|(upstream, _)| !self.pending.contains(&upstream.id.name())).chain(lapsed)
    }

    /// A life of an upstream, as [`View::upstreams`] has it; `None` if its name is gone, or stands for another life by now.
    #[must_use]
    pub fn upstream(&self, id: &id::Upstream) -> Option<&Upstream> {
        self.present(&id.name()).filter(|known| known.id == *id)
    }

    /// The present life of an upstream's name, with the revision at which it was written, as [`View::upstreams`] has it.
    #[must_use]
    pub fn written(&self, name: &id::Upstream) -> Option<(&Upstream, u64)> {
        let item = self.items.get(&Subject::Upstream(name.clone()));
        Some((self.present(name)?, item.map_or(0, |item| item.revision)))
    }

    fn present(&self, name: &id::Upstream) -> Option<&Upstream> {
        let named = match self.items.get(&Subject::Upstream(name.clone())).and_then(|item| item.value.as_ref()) {
            Some(Value::Upstream(upstream)) => Some(upstream).filter(|_| !self.pending.contains(name)),
            Some(_) | None => None,
        };
        named.or_else(|| self.lapsed.get(name))
    }

    fn value(&self, subject: &Subject) -> Option<&Value> {
        self.items.get(subject)?.value.as_ref()
    }

    /// All that isn't said of upstreams.
    fn others(&self) -> impl Iterator<Item = &Item> {
        self.items.values().take_while(|item| !matches!(item.subject, Subject::Upstream(_)))
    }

    /// A router that the store names.
    #[must_use]
    pub fn router(&self, id: &id::Router) -> Option<&Router> {
        let Value::Router(router) = self.value(&Subject::Router(id.clone()))? else {
            return None;
        };
        Some(router)
    }

    /// Routers that the store names.
    pub fn routers(&self) -> impl Iterator<Item = &Router> {
        self.others().filter_map(|item| {
            let Value::Router(router) = item.value.as_ref()? else {
                return None;
            };
            Some(router)
        })
    }

    /// Whether an upstream may be sent new work. One of a version on trial may: the service's home decides how much.
    #[must_use]
    pub fn is_usable(&self, upstream: &id::Upstream) -> bool {
        let Some(known) = self.upstream(upstream) else {
            return false;
        };
        let ready = known.state == State::Ready && !self.is_evacuated(&known.zone);
        let admits = |policy: Policy| policy.admits(known.version.as_ref()) != Admission::Nothing;
        ready && self.policy(&known.service).is_none_or(admits)
    }

    /// What the versions of a service may be given, by its order and the record of its roll-out; `None` if there never was one.
    #[must_use]
    pub fn policy(&self, service: &id::Service) -> Option<Policy> {
        Policy::of(self.order(service), self.rollout(service).map(|(_, record)| record))
    }

    /// The services with an order or a record of a roll-out; one with both is named twice.
    pub fn rollouts(&self) -> impl Iterator<Item = &id::Service> {
        self.others().filter(|item| item.value.is_some()).filter_map(|item| match &item.subject {
            Subject::Order(service) | Subject::Rollout(service) => Some(service),
            Subject::Configuration
            | Subject::Upstream(_)
            | Subject::Router(_)
            | Subject::Evacuation(_)
            | Subject::Quarantine(_) => None,
        })
    }

    /// Whether nothing new is to go to the upstreams of a zone.
    #[must_use]
    pub fn is_evacuated(&self, zone: &id::Zone) -> bool {
        self.items.get(&Subject::Evacuation(zone.clone())).is_some_and(|item| item.value.is_some())
    }

    /// The zones to whose upstreams nothing new is to go.
    pub fn evacuated(&self) -> impl Iterator<Item = &id::Zone> {
        self.others().filter(|item| item.value.is_some()).filter_map(|item| match &item.subject {
            Subject::Evacuation(zone) => Some(zone),
            Subject::Configuration
            | Subject::Upstream(_)
            | Subject::Router(_)
            | Subject::Order(_)
            | Subject::Rollout(_)
            | Subject::Quarantine(_) => None,
        })
    }

    /// The order to move a service to another version, with the store's revision of it.
    #[must_use]
    pub fn order(&self, service: &id::Service) -> Option<(u64, &Order)> {
        let item = self.items.get(&Subject::Order(service.clone()))?;
        let Value::Order(order) = item.value.as_ref()? else {
            return None;
        };
        Some((item.revision, order))
    }

    /// How far the fleet has come with the newest order for a service, with the store's revision of that.
    #[must_use]
    pub fn rollout(&self, service: &id::Service) -> Option<(u64, &Record)> {
        let item = self.items.get(&Subject::Rollout(service.clone()))?;
        let Value::Rollout(record) = item.value.as_ref()? else {
            return None;
        };
        Some((item.revision, record))
    }

    /// How long a request is to go nowhere, from when that was written.
    #[must_use]
    pub fn quarantine(&self, fingerprint: id::Fingerprint) -> Option<Duration> {
        let Value::Quarantine(length) = self.value(&Subject::Quarantine(fingerprint))? else {
            return None;
        };
        Some(*length)
    }
}
