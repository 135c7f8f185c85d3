//! How news is written on a stream. A whole copy is mostly upstreams, thousands of which share a few services, zones and versions:
//! these stand in a list of names once, and each upstream is a short row. So a copy takes less than half of the bytes, and what
//! is read from it shares its names.

use std::{borrow::Cow, collections::HashMap, net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize, Serializer};
use stairvale_types::id;

use crate::{Item, News, Subject, Upstream, Value, item::State};

/// Why what was read is no news.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// A row names something that the list of names hasn't.
    #[error("a row names what the list of names hasn't")]
    Missing,
    /// A name is none.
    #[error("a name is none")]
    Name,
}

/// News as it is written.
#[derive(Serialize, Deserialize)]
pub(crate) enum Written<'a> {
    Changes { after: u64, to: u64, items: Cow<'a, [Item]> },
    Everything { to: u64, names: Vec<String>, upstreams: Vec<Row>, others: Vec<Item> },
}

/// An upstream that the store names.
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

/// Names, each once.
#[derive(Default)]
struct Names {
    names: Vec<String>,
    places: HashMap<String, u32>,
}

impl Names {
    fn place(&mut self, name: &str) -> u32 {
        if let Some(place) = self.places.get(name) {
            return *place;
        }
        let place = u32::try_from(self.names.len()).unwrap_or(u32::MAX);
        self.names.push(name.to_owned());
        self.places.insert(name.to_owned(), place);
        place
    }
}

impl<'a> Written<'a> {
    fn of(news: &'a News) -> Self {
        let (to, items) = match news {
            News::Changes { after, to, items } => {
                return Self::Changes { after: *after, to: *to, items: Cow::Borrowed(items) };
            }
            News::Everything { to, items } => (*to, items),
        };
        let mut names = Names::default();
        let (mut upstreams, mut others) = (Vec::with_capacity(items.len()), Vec::new());
        for item in items {
            match (&item.subject, &item.value) {
                (Subject::Upstream(name), Some(Value::Upstream(upstream))) if *name == upstream.id.name() => {
                    upstreams.push(Row {
                        id: upstream.id.clone(),
                        revision: item.revision,
                        sure: item.sure,
                        service: names.place(upstream.service.as_str()),
                        zone: names.place(upstream.zone.as_str()),
                        address: upstream.address,
                        slots: upstream.slots,
                        state: upstream.state,
                        cold: upstream.cold,
                        version: upstream.version.as_ref().map(|version| names.place(version.as_str())),
                    });
                }
                _ => others.push(item.clone()),
            }
        }
        Self::Everything { to, names: names.names, upstreams, others }
    }
}

impl Serialize for News {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        Written::of(self).serialize(serializer)
    }
}

/// A list of names as one kind of name. Those of another kind are left out.
fn read<T: std::str::FromStr>(names: &[String]) -> Vec<Option<T>> {
    names.iter().map(|name| name.parse().ok()).collect()
}

fn find<T: Clone>(names: &[Option<T>], place: u32) -> Result<T, Error> {
    let name = usize::try_from(place).ok().and_then(|place| names.get(place)).ok_or(Error::Missing)?;
    name.clone().ok_or(Error::Name)
}

impl TryFrom<Written<'_>> for News {
    type Error = Error;

    fn try_from(written: Written<'_>) -> Result<Self, Error> {
        let (to, names, upstreams, others) = match written {
            Written::Changes { after, to, items } => return Ok(Self::Changes { after, to, items: items.into_owned() }),
            Written::Everything { to, names, upstreams, others } => (to, names, upstreams, others),
        };
        let (services, zones, versions) = (read::<id::Service>(&names), read::<id::Zone>(&names), read(&names));
        let mut items = others;
        items.reserve(upstreams.len());
        for row in upstreams {
            let upstream = Upstream {
                id: row.id.clone(),
                service: find(&services, row.service)?,
                address: row.address,
                zone: find(&zones, row.zone)?,
                slots: row.slots,
                state: row.state,
                cold: row.cold,
                version: row.version.map(|place| find(&versions, place)).transpose()?,
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
