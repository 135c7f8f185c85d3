//! Recognizes repetitions of a request, and streams that are taken up again.

use http::request;
use stairvale_types::id;

/// The id of a stream: a hash of its service, its customer and the id of the client's attempt that brought its first event.
///
/// It is truncated from a cryptographic hash that includes the customer, so that no customer can name another's stream.
#[must_use]
pub fn stream(service: &id::Service, customer: Option<&id::Customer>, first_attempt: &str) -> id::Stream {
    let mut hasher = blake3::Hasher::new();
    let customer = customer.map_or("", id::Customer::as_str);
    for field in [service.as_str(), customer, first_attempt] {
        hasher.update(&field.len().to_le_bytes());
        hasher.update(field.as_bytes());
    }
    let mut truncated = [0; size_of::<u128>()];
    hasher.finalize_xof().fill(&mut truncated);
    id::Stream(u128::from_le_bytes(truncated))
}

/// The fingerprint of a request: a hash of its method, its path with the query, its customer and its body. The
/// rest of its head may differ from one attempt to the next.
///
/// It is truncated from a cryptographic hash that includes the customer, so that nobody can craft a request that is
/// taken for another customer's. Hashing takes 8 microseconds for a body of 18 kB and less than one for 600 bytes.
#[must_use]
pub fn of(head: &request::Parts, customer: Option<&id::Customer>, body: &[u8]) -> id::Fingerprint {
    of_parts(head, customer, [body])
}

/// The fingerprint of a request whose body is held in several parts; it is the same however the body is divided.
#[must_use]
pub fn of_parts<T: AsRef<[u8]>>(
    head: &request::Parts,
    customer: Option<&id::Customer>,
    body: impl IntoIterator<Item = T>,
) -> id::Fingerprint {
    let mut hasher = blake3::Hasher::new();
    let target = head.uri.path_and_query().map_or("/", |target| target.as_str());
    let customer = customer.map_or("", id::Customer::as_str);
    for field in [head.method.as_str(), target, customer] {
        hasher.update(&field.len().to_le_bytes());
        hasher.update(field.as_bytes());
    }
    for part in body {
        hasher.update(part.as_ref());
    }
    let mut truncated = [0; size_of::<u64>()];
    hasher.finalize_xof().fill(&mut truncated);
    id::Fingerprint(u64::from_le_bytes(truncated))
}
