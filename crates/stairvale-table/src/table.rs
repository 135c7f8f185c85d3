//! A configuration with indices for lookups.

use std::collections::{BTreeSet, HashMap};

use stairvale_types::id;

use crate::{Customer, Document, Route, Service};

/// Finds routes, services and customers in a configuration.
#[derive(Clone, Debug, Default)]
pub struct Table {
    document: Document,
    /// The routes of each host, the longest prefix first.
    hosts: HashMap<String, Vec<usize>>,
    keys: HashMap<String, usize>,
    services: HashMap<id::Service, usize>,
}

impl Table {
    /// Builds the indices of a document.
    #[must_use]
    pub fn new(document: Document) -> Self {
        let mut hosts: HashMap<String, Vec<usize>> = HashMap::new();
        for (index, route) in document.routes.iter().enumerate() {
            hosts.entry(route.host.clone()).or_default().push(index);
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|index| std::cmp::Reverse(document.routes[*index].prefix.len()));
        }
        let customers = document.customers.iter().enumerate();
        let keys = customers.flat_map(|(index, customer)| customer.keys.iter().map(move |key| (key.clone(), index)));
        let keys = keys.collect();
        let services =
            document.services.iter().enumerate().map(|(index, service)| (service.name.clone(), index)).collect();
        Self { hosts, keys, services, document }
    }

    /// The version of the configuration in force.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.document.version
    }

    /// The document from which the table was built.
    #[must_use]
    pub fn document(&self) -> &Document {
        &self.document
    }

    /// Whether there are any customers, so that requests need a key.
    #[must_use]
    pub fn has_customers(&self) -> bool {
        !self.document.customers.is_empty()
    }

    /// Finds the route of a host with the longest prefix of the path. A port after the host is ignored.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
        let routes = self.hosts.get(&host)?.iter().map(|index| &self.document.routes[*index]);
        routes.into_iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Finds the customer with a key.
    #[must_use]
    pub fn customer(&self, key: &str) -> Option<&Customer> {
        self.keys.get(key).map(|index| &self.document.customers[*index])
    }

    /// The regions to which routes and customers are restricted, each once.
    pub fn regions(&self) -> impl Iterator<Item = &id::Region> {
        let routes = self.document.routes.iter().flat_map(|route| &route.regions);
        let customers = self.document.customers.iter().flat_map(|customer| &customer.regions);
        routes.chain(customers).collect::<BTreeSet<_>>().into_iter()
    }

    /// Finds a service by its name.
    #[must_use]
    pub fn service(&self, name: &id::Service) -> Option<&Service> {
        self.services.get(name).map(|index| &self.document.services[*index])
    }
}
