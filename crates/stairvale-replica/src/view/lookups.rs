//! Lookups of single subjects and of all subjects of a kind.

use std::{sync::Arc, time::Duration};

use stairvale_rollout::{Admission, Order, Policy, Record};
use stairvale_table::Document;
use stairvale_types::id;

use super::View;
use crate::{Item, Router, State, Subject, Upstream, Value};

impl View {
    /// The configuration, if the copy holds one.
    #[must_use]
    pub fn document(&self) -> Option<&Arc<Document>> {
        let Value::Configuration(document) = self.value(&Subject::Configuration)? else {
            return None;
        };
        Some(document)
    }

    /// Upstreams registered in the store, each with the revision at which its entry was written, and those whose entry
    /// was removed while the store was failing, with the revision of the removal. An upstream is included only once
    /// this copy is as new as its entry.
    pub fn upstreams(&self) -> impl Iterator<Item = (&Upstream, u64)> {
        let registered = self.items.values().filter_map(|item| {
            let Value::Upstream(upstream) = item.value.as_ref()? else {
                return None;
            };
            Some((upstream, item.revision))
        });
        let expired = self.expired.values().map(|upstream| {
            let item = self.items.get(&Subject::Upstream(upstream.id.name()));
            (upstream, item.map_or(0, |item| item.revision))
        });
        registered.filter(|(upstream, _)| !self.pending.contains(&upstream.id.name())).chain(expired)
    }

    /// One incarnation of an upstream, included as by [`View::upstreams`]; `None` if its name is gone, or stands for
    /// another incarnation by now.
    #[must_use]
    pub fn upstream(&self, id: &id::Upstream) -> Option<&Upstream> {
        self.current(&id.name()).filter(|current| current.id == *id)
    }

    /// The current incarnation of an upstream's name, with the revision of its entry, included as by
    /// [`View::upstreams`].
    #[must_use]
    pub fn current_incarnation(&self, name: &id::Upstream) -> Option<(&Upstream, u64)> {
        let item = self.items.get(&Subject::Upstream(name.clone()));
        Some((self.current(name)?, item.map_or(0, |item| item.revision)))
    }

    fn current(&self, name: &id::Upstream) -> Option<&Upstream> {
        let registered = match self.items.get(&Subject::Upstream(name.clone())).and_then(|item| item.value.as_ref()) {
            Some(Value::Upstream(upstream)) => Some(upstream).filter(|_| !self.pending.contains(name)),
            Some(_) | None => None,
        };
        registered.or_else(|| self.expired.get(name))
    }

    fn value(&self, subject: &Subject) -> Option<&Value> {
        self.items.get(subject)?.value.as_ref()
    }

    /// All items except upstreams, which sort last, so that this scan passes none of them.
    fn non_upstreams(&self) -> impl Iterator<Item = &Item> {
        self.items.values().take_while(|item| !matches!(item.subject, Subject::Upstream(_)))
    }

    /// A router registered in the store.
    #[must_use]
    pub fn router(&self, id: &id::Router) -> Option<&Router> {
        let Value::Router(router) = self.value(&Subject::Router(id.clone()))? else {
            return None;
        };
        Some(router)
    }

    /// All routers registered in the store.
    pub fn routers(&self) -> impl Iterator<Item = &Router> {
        self.non_upstreams().filter_map(|item| {
            let Value::Router(router) = item.value.as_ref()? else {
                return None;
            };
            Some(router)
        })
    }

    /// Whether an upstream may be sent new work. One of a version on trial may: the service's home limits how much it
    /// gets.
    #[must_use]
    pub fn is_usable(&self, upstream: &id::Upstream) -> bool {
        let Some(current) = self.upstream(upstream) else {
            return false;
        };
        let ready = current.state == State::Ready && !self.is_evacuated(&current.zone);
        let admits = |policy: Policy| policy.admits(current.version.as_ref()) != Admission::Nothing;
        ready && self.policy(&current.service).is_none_or(admits)
    }

    /// What the versions of a service may be given, according to its order and the record of its roll-out; `None` if it
    /// has neither.
    #[must_use]
    pub fn policy(&self, service: &id::Service) -> Option<Policy> {
        Policy::of(self.order(service), self.rollout(service).map(|(_, record)| record))
    }

    /// All services with an order or a record of a roll-out. A service with both is returned twice.
    pub fn rollouts(&self) -> impl Iterator<Item = &id::Service> {
        self.non_upstreams().filter(|item| item.value.is_some()).filter_map(|item| match &item.subject {
            Subject::Order(service) | Subject::Rollout(service) => Some(service),
            Subject::Configuration
            | Subject::Upstream(_)
            | Subject::Router(_)
            | Subject::Evacuation(_)
            | Subject::Quarantine(_) => None,
        })
    }

    /// Whether a zone is evacuated, so that its upstreams are sent no new work.
    #[must_use]
    pub fn is_evacuated(&self, zone: &id::Zone) -> bool {
        self.items.get(&Subject::Evacuation(zone.clone())).is_some_and(|item| item.value.is_some())
    }

    /// All evacuated zones, whose upstreams are sent no new work.
    pub fn evacuated(&self) -> impl Iterator<Item = &id::Zone> {
        self.non_upstreams().filter(|item| item.value.is_some()).filter_map(|item| match &item.subject {
            Subject::Evacuation(zone) => Some(zone),
            Subject::Configuration
            | Subject::Upstream(_)
            | Subject::Router(_)
            | Subject::Order(_)
            | Subject::Rollout(_)
            | Subject::Quarantine(_) => None,
        })
    }

    /// The order to move a service to another version, with its revision in the store.
    #[must_use]
    pub fn order(&self, service: &id::Service) -> Option<(u64, &Order)> {
        let item = self.items.get(&Subject::Order(service.clone()))?;
        let Value::Order(order) = item.value.as_ref()? else {
            return None;
        };
        Some((item.revision, order))
    }

    /// The record of the fleet's progress with the newest order for a service, with the record's revision in the store.
    #[must_use]
    pub fn rollout(&self, service: &id::Service) -> Option<(u64, &Record)> {
        let item = self.items.get(&Subject::Rollout(service.clone()))?;
        let Value::Rollout(record) = item.value.as_ref()? else {
            return None;
        };
        Some((item.revision, record))
    }

    /// How long a request is quarantined, counted from when the entry was written.
    #[must_use]
    pub fn quarantine(&self, fingerprint: id::Fingerprint) -> Option<Duration> {
        let Value::Quarantine(duration) = self.value(&Subject::Quarantine(fingerprint))? else {
            return None;
        };
        Some(*duration)
    }
}
