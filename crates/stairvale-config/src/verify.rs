//! What a document's fields must hold together, beyond their shapes.

use std::{collections::HashMap, time::Duration};

use error_stack::Report;

use crate::{Document, Fault, Kind, Service, fault::Reason};

const MAX_SLOTS: u64 = 100_000;
const MAX_QUEUE: u64 = 100_000;
const MAX_WEIGHT: u64 = 1_000_000;
const MAX_WAIT: Duration = Duration::from_secs(60);
const MAX_DEADLINE: Duration = Duration::from_secs(24 * 3600);
const KEY_HASH_DIGITS: usize = 64;
const METHODS: [&str; 6] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"];

/// Finds the line of a field inside the item that starts with `name: value`.
struct Place<'a> {
    text: &'a str,
    list: &'static str,
    index: usize,
    name: &'a str,
}

impl Place<'_> {
    fn fault(&self, field: &str, reason: Reason) -> Report<Fault> {
        let path = format!("{}[{}].{field}", self.list, self.index);
        Report::new(Fault { line: self.line(field), field: path, reason })
    }

    fn line(&self, field: &str) -> Option<usize> {
        let section = format!("{}:", self.list);
        let mut lines = self.text.lines().enumerate().skip_while(|(_, line)| !line.starts_with(&section));
        let named = |line: &str| {
            let line = line.trim().trim_start_matches("- ");
            let value = line.strip_prefix("name:").map(|value| value.trim().trim_matches('"'));
            value == Some(self.name)
        };
        let start = lines.find(|(_, line)| named(line))?.0;
        if field == "name" {
            return Some(start + 1);
        }
        let wanted = format!("{field}:");
        let inside = lines.take_while(|(_, line)| !line.trim_start().starts_with("- name:"));
        let found = inside.into_iter().find(|(_, line)| line.trim().trim_start_matches("- ").starts_with(&wanted));
        Some(found.map_or(start, |(at, _)| at) + 1)
    }
}

pub(crate) fn verify(document: &Document, text: &str) -> Result<(), Report<Fault>> {
    verify_names(document, text)?;
    verify_keys(document, text)?;
    for (index, service) in document.services.iter().enumerate() {
        let place = Place { text, list: "services", index, name: service.name.as_str() };
        verify_service(service, &place)?;
    }
    for (index, customer) in document.customers.iter().enumerate() {
        let place = Place { text, list: "customers", index, name: customer.name.as_str() };
        verify_range(&place, "weight", u64::from(customer.weight), 1, MAX_WEIGHT)?;
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
            let place = Place { text, list, index, name };
            return Err(place.fault("name", Reason::Twice(name.to_owned())));
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
        let place = Place { text, list, index, name };
        let digits = hash.len() == KEY_HASH_DIGITS && hash.bytes().all(|b| b.is_ascii_hexdigit());
        if !digits || hash.bytes().any(|b| b.is_ascii_uppercase()) {
            return Err(place.fault("key_hash", Reason::KeyHash));
        }
        if let Some(other) = seen.insert(hash, format!("{list}[{index}]")) {
            return Err(place.fault("key_hash", Reason::SharedKey(other)));
        }
    }
    Ok(())
}

fn verify_service(service: &Service, place: &Place<'_>) -> Result<(), Report<Fault>> {
    verify_range(place, "slots", u64::from(service.slots), 1, MAX_SLOTS)?;
    verify_range(place, "queue", u64::from(service.queue), 0, MAX_QUEUE)?;
    verify_span(place, "prefix_wait", service.prefix_wait, Duration::ZERO, MAX_WAIT)?;
    verify_span(place, "deadline", service.deadline, Duration::from_millis(1), MAX_DEADLINE)?;
    for method in &service.not_repeatable {
        if !METHODS.contains(&method.as_str()) {
            return Err(place.fault("not_repeatable", Reason::Method(method.clone())));
        }
    }
    match service.kind {
        Kind::Model if service.model.is_none() => Err(place.fault("model", Reason::NoModel)),
        Kind::Plain if service.model.is_some() => Err(place.fault("model", Reason::PlainService)),
        Kind::Plain if service.version.is_some() => Err(place.fault("version", Reason::PlainService)),
        Kind::Model | Kind::Plain => Ok(()),
    }
}

fn verify_range(place: &Place<'_>, field: &str, value: u64, low: u64, high: u64) -> Result<(), Report<Fault>> {
    if (low..=high).contains(&value) {
        return Ok(());
    }
    Err(place.fault(field, Reason::Range(low, high)))
}

fn verify_span(
    place: &Place<'_>,
    field: &str,
    value: Duration,
    low: Duration,
    high: Duration,
) -> Result<(), Report<Fault>> {
    if (low..=high).contains(&value) {
        return Ok(());
    }
    let millis = |span: Duration| u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
    Err(place.fault(field, Reason::Range(millis(low), millis(high))))
}
