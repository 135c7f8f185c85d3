//! Validation of a document's values, beyond what its schema ensures.

use std::{collections::HashMap, time::Duration};

use error_stack::Report;

use crate::{Document, Fault, Kind, Service, fault::Reason};

const MAX_SLOTS: u64 = 100_000;
const MAX_QUEUE: u64 = 100_000;
const MAX_WEIGHT: u64 = 1_000_000;
const MAX_PREFIX_WAIT: Duration = Duration::from_secs(60);
const MAX_DEADLINE: Duration = Duration::from_secs(24 * 3600);
const KEY_HASH_DIGITS: usize = 64;
const METHODS: [&str; 6] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"];

/// Locates the fields of one item of a list in the document's text.
struct ItemLocator<'a> {
    text: &'a str,
    /// The top-level key of the list.
    list: &'static str,
    index: usize,
    /// The value of the item's `name` field, with which the item starts.
    name: &'a str,
}

impl ItemLocator<'_> {
    fn fault(&self, field: &str, reason: Reason) -> Report<Fault> {
        let path = format!("{}[{}].{field}", self.list, self.index);
        Report::new(Fault { line: self.line(field), field: path, reason })
    }

    /// The line of a field, counted from 1; the item's first line if the field isn't found.
    fn line(&self, field: &str) -> Option<usize> {
        let section = format!("{}:", self.list);
        let mut lines = self.text.lines().enumerate().skip_while(|(_, line)| !line.starts_with(&section));
        let starts_item = |line: &str| {
            let line = line.trim().trim_start_matches("- ");
            let value = line.strip_prefix("name:").map(|value| value.trim().trim_matches('"'));
            value == Some(self.name)
        };
        let start = lines.find(|(_, line)| starts_item(line))?.0;
        if field == "name" {
            return Some(start + 1);
        }
        let key = format!("{field}:");
        let inside = lines.take_while(|(_, line)| !line.trim_start().starts_with("- name:"));
        let found = inside.into_iter().find(|(_, line)| line.trim().trim_start_matches("- ").starts_with(&key));
        Some(found.map_or(start, |(at, _)| at) + 1)
    }
}

/// Validates a document; `text` serves to locate the first fault.
pub(crate) fn verify(document: &Document, text: &str) -> Result<(), Report<Fault>> {
    verify_names(document, text)?;
    verify_keys(document, text)?;
    for (index, service) in document.services.iter().enumerate() {
        let locator = ItemLocator { text, list: "services", index, name: service.name.as_str() };
        verify_service(service, &locator)?;
    }
    for (index, customer) in document.customers.iter().enumerate() {
        let locator = ItemLocator { text, list: "customers", index, name: customer.name.as_str() };
        verify_range(&locator, "weight", u64::from(customer.weight), 1, MAX_WEIGHT)?;
    }
    Ok(())
}

fn verify_names(document: &Document, text: &str) -> Result<(), Report<Fault>> {
    verify_unique("zones", document.zones.iter().map(|zone| zone.name.as_str()), text)?;
    verify_unique("services", document.services.iter().map(|service| service.name.as_str()), text)?;
    verify_unique("customers", document.customers.iter().map(|customer| customer.name.as_str()), text)?;
    verify_unique("operators", document.operators.iter().map(|operator| operator.name.as_str()), text)
}

fn verify_unique<'a>(
    list: &'static str,
    names: impl Iterator<Item = &'a str>,
    text: &str,
) -> Result<(), Report<Fault>> {
    let mut seen = HashMap::new();
    for (index, name) in names.enumerate() {
        if seen.insert(name, index).is_some() {
            let locator = ItemLocator { text, list, index, name };
            return Err(locator.fault("name", Reason::DuplicateName(name.to_owned())));
        }
    }
    Ok(())
}

fn verify_keys(document: &Document, text: &str) -> Result<(), Report<Fault>> {
    let customers = document.customers.iter().enumerate();
    let customers = customers.map(|(index, c)| ("customers", index, c.name.as_str(), &c.key_hash));
    let operators = document.operators.iter().enumerate();
    let operators = operators.map(|(index, o)| ("operators", index, o.name.as_str(), &o.key_hash));
    let mut seen: HashMap<&str, String> = HashMap::new();
    for (list, index, name, hash) in customers.chain(operators) {
        let locator = ItemLocator { text, list, index, name };
        let is_hash = hash.len() == KEY_HASH_DIGITS && hash.bytes().all(|b| b.is_ascii_hexdigit());
        if !is_hash || hash.bytes().any(|b| b.is_ascii_uppercase()) {
            return Err(locator.fault("key_hash", Reason::KeyHash));
        }
        if let Some(other) = seen.insert(hash, format!("{list}[{index}]")) {
            return Err(locator.fault("key_hash", Reason::SharedKey(other)));
        }
    }
    Ok(())
}

fn verify_service(service: &Service, locator: &ItemLocator<'_>) -> Result<(), Report<Fault>> {
    verify_range(locator, "slots", u64::from(service.slots), 1, MAX_SLOTS)?;
    verify_range(locator, "queue", u64::from(service.queue), 0, MAX_QUEUE)?;
    verify_duration(locator, "prefix_wait", service.prefix_wait, Duration::ZERO, MAX_PREFIX_WAIT)?;
    verify_duration(locator, "deadline", service.deadline, Duration::from_millis(1), MAX_DEADLINE)?;
    for method in &service.not_repeatable {
        if !METHODS.contains(&method.as_str()) {
            return Err(locator.fault("not_repeatable", Reason::UnknownMethod(method.clone())));
        }
    }
    match service.kind {
        Kind::Model if service.model.is_none() => Err(locator.fault("model", Reason::MissingModel)),
        Kind::Plain if service.model.is_some() => Err(locator.fault("model", Reason::PlainService)),
        Kind::Plain if service.version.is_some() => Err(locator.fault("version", Reason::PlainService)),
        Kind::Model | Kind::Plain => Ok(()),
    }
}

fn verify_range(locator: &ItemLocator<'_>, field: &str, value: u64, low: u64, high: u64) -> Result<(), Report<Fault>> {
    if (low..=high).contains(&value) {
        return Ok(());
    }
    Err(locator.fault(field, Reason::Range(low, high)))
}

fn verify_duration(
    locator: &ItemLocator<'_>,
    field: &str,
    value: Duration,
    low: Duration,
    high: Duration,
) -> Result<(), Report<Fault>> {
    if (low..=high).contains(&value) {
        return Ok(());
    }
    let millis = |duration: Duration| u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
    Err(locator.fault(field, Reason::Range(millis(low), millis(high))))
}
