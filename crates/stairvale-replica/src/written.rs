//! The encoding of updates on a stream. A full update consists mostly of upstreams, thousands of which share a few
//! services, zones and versions. Each of these names is encoded once, in a list of names, and each upstream is a short
//! row that refers to them. This takes less than half of the bytes, and the decoded upstreams share their names in
//! memory.

use std::{borrow::Cow, collections::HashMap, net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize, Serializer};
use stairvale_types::id;

use crate::{Item, StoreUpdate, Subject, Upstream, Value, item::State};

/// Why a decoded update is invalid.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// A row refers to an index outside of the list of names.
    #[error("a row refers to an index outside of the list of names")]
    IndexOutOfRange,
    /// An entry of the list of names isn't a valid name of the kind that a row refers to it as.
    #[error("an entry of the list of names isn't a valid name of the kind that a row refers to it as")]
    InvalidName,
}

/// An update in its encoded form.
#[derive(Serialize, Deserialize)]
pub(crate) enum Written<'a> {
    Changes { after: u64, to: u64, items: Cow<'a, [Item]> },
    Everything { to: u64, names: Vec<String>, upstreams: Vec<Row>, others: Vec<Item> },
}

/// An upstream registered in the store. Its service, zone and version are indices into the list of names.
#[derive(Serialize, Deserialize)]
pub(crate) struct Row {
    id: id::Upstream,
    revision: u64,
    sure: bool,
    service: u32,
    zone: u32,
    address: SocketAddr,
    slots: u32,
    state: State,
    cold: Duration,
    version: Option<u32>,
}

/// The list of names, each of which occurs once, with their indices.
#[derive(Default)]
struct NameTable {
    names: Vec<String>,
    indices: HashMap<String, u32>,
}

impl NameTable {
    fn index(&mut self, name: &str) -> u32 {
        if let Some(index) = self.indices.get(name) {
            return *index;
        }
        let index = u32::try_from(self.names.len()).unwrap_or(u32::MAX);
        self.names.push(name.to_owned());
        self.indices.insert(name.to_owned(), index);
        index
    }
}

impl<'a> Written<'a> {
    fn new(update: &'a StoreUpdate) -> Self {
        let (to, items) = match update {
            StoreUpdate::Changes { after, to, items } => {
                return Self::Changes { after: *after, to: *to, items: Cow::Borrowed(items) };
            }
            StoreUpdate::Everything { to, items } => (*to, items),
        };
        let mut names = NameTable::default();
        let (mut upstreams, mut others) = (Vec::with_capacity(items.len()), Vec::new());
        for item in items {
            match (&item.subject, &item.value) {
                (Subject::Upstream(name), Some(Value::Upstream(upstream))) if *name == upstream.id.name() => {
                    upstreams.push(Row {
                        id: upstream.id.clone(),
                        revision: item.revision,
                        sure: item.sure,
                        service: names.index(upstream.service.as_str()),
                        zone: names.index(upstream.zone.as_str()),
                        address: upstream.address,
                        slots: upstream.slots,
                        state: upstream.state,
                        cold: upstream.cold,
                        version: upstream.version.as_ref().map(|version| names.index(version.as_str())),
                    });
                }
                _ => others.push(item.clone()),
            }
        }
        Self::Everything { to, names: names.names, upstreams, others }
    }
}

impl Serialize for StoreUpdate {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        Written::new(self).serialize(serializer)
    }
}

/// Parses a list of names as one kind of name. A name that isn't valid as that kind becomes `None`.
fn parse_names<T: std::str::FromStr>(names: &[String]) -> Vec<Option<T>> {
    names.iter().map(|name| name.parse().ok()).collect()
}

fn resolve<T: Clone>(names: &[Option<T>], index: u32) -> Result<T, Error> {
    let name = usize::try_from(index).ok().and_then(|index| names.get(index)).ok_or(Error::IndexOutOfRange)?;
    name.clone().ok_or(Error::InvalidName)
}

impl TryFrom<Written<'_>> for StoreUpdate {
    type Error = Error;

    fn try_from(encoded: Written<'_>) -> Result<Self, Error> {
        let (to, names, upstreams, others) = match encoded {
            Written::Changes { after, to, items } => return Ok(Self::Changes { after, to, items: items.into_owned() }),
            Written::Everything { to, names, upstreams, others } => (to, names, upstreams, others),
        };
        let (services, zones, versions) =
            (parse_names::<id::Service>(&names), parse_names::<id::Zone>(&names), parse_names(&names));
        let mut items = others;
        items.reserve(upstreams.len());
        for row in upstreams {
            let upstream = Upstream {
                id: row.id.clone(),
                service: resolve(&services, row.service)?,
                address: row.address,
                zone: resolve(&zones, row.zone)?,
                slots: row.slots,
                state: row.state,
                cold: row.cold,
                version: row.version.map(|index| resolve(&versions, index)).transpose()?,
            };
            let value = Some(Value::Upstream(upstream));
            items.push(Item {
                subject: Subject::Upstream(row.id.name()),
                revision: row.revision,
                value,
                sure: row.sure,
            });
        }
        Ok(Self::Everything { to, items })
    }
}
