//! What a request consists of, as far as any of it can make upstreams crash.

use serde::{Deserialize, Serialize};
use stairvale_types::id;

use crate::{Ask, Part};

/// What a request consists of: any of it can be the reason why upstreams crash that run the request.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Contents {
    /// The fingerprint of the whole request.
    pub fingerprint: id::Fingerprint,
    /// The customer that sent the request, if known.
    pub customer: Option<id::Customer>,
    /// The ids of the parts of the prompt that other prompts may share, in order.
    pub parts: Vec<u64>,
}

impl Contents {
    /// The contents of a request with this prompt, whose last part belongs to the request alone.
    #[must_use]
    pub fn new(fingerprint: id::Fingerprint, customer: Option<id::Customer>, prompt: &[Part]) -> Self {
        let shared = &prompt[..prompt.len().saturating_sub(1)];
        Self { fingerprint, customer, parts: shared.iter().map(|part| part.id).collect() }
    }

    /// The contents of a request of which only the fingerprint is known.
    #[must_use]
    pub fn unknown(fingerprint: id::Fingerprint) -> Self {
        Self { fingerprint, ..Self::default() }
    }

    /// The contents of the request for which an upstream is requested.
    #[must_use]
    pub fn of(ask: &Ask) -> Self {
        Self::new(ask.fingerprint, ask.customer.clone(), &ask.parts)
    }

    /// The fingerprints of the prompt's shared parts, each with the id of the part.
    pub fn part_fingerprints(&self) -> impl Iterator<Item = (u64, id::Fingerprint)> {
        self.parts.iter().map(|part| (*part, id::Fingerprint::of_part(*part)))
    }

    /// All fingerprints under which the request can be quarantined: its own, and those of its parts, for all customers
    /// and for its own.
    pub fn fingerprints(&self) -> impl Iterator<Item = id::Fingerprint> {
        let of_part = |(_, part): (u64, id::Fingerprint)| {
            let own = self.customer.as_ref().map(|customer| part.for_customer(customer));
            std::iter::once(part).chain(own)
        };
        std::iter::once(self.fingerprint).chain(self.part_fingerprints().flat_map(of_part))
    }
}
