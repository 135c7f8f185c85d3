//! Moving claims that no longer change out of the record, so that a write stays small however many claims are kept.
//!
//! Segments are merged as in a log-structured merge tree (O'Neil et al., 1996): a claim is written again once a level,
//! and a new keeper reads few segments.

use std::collections::HashMap;

use crate::record::{Claims, FANOUT, MAX_RECORD, Record, SEALED, Segment, to_text};

/// An unsettled claim this old no longer waits for its answer, in milliseconds.
const UNSETTLED_KEEP_MS: u64 = 900_000;
/// The highest level: 2,048 claims of about 100 bytes come within the store's largest value.
const MAX_LEVEL: u8 = 2;

/// What is to be sealed.
#[derive(Clone, Debug, PartialEq)]
pub struct Seal {
    /// The new segment.
    pub segment: Segment,
    /// Its claims.
    pub claims: Claims,
    /// Its text.
    pub text: String,
    merged: Vec<String>,
}

impl Seal {
    /// Looks whether the record has enough claims that no longer change.
    #[must_use]
    pub fn of(record: &Record, sealed: &HashMap<String, Claims>, now_ms: u64) -> Option<Self> {
        let settled = |claim: &crate::record::Claim| {
            claim.stored.is_some() || claim.at_ms.saturating_add(UNSETTLED_KEEP_MS) < now_ms
        };
        let done = record.claims.iter().filter(|(_, claim)| settled(claim));
        let mut claims: Claims = done.map(|(key, claim)| (*key, claim.clone())).collect();
        if claims.len() < SEALED {
            return None;
        }
        let mut merged = Vec::new();
        let mut level = 0;
        while level < MAX_LEVEL {
            let peers: Vec<_> = record.segments.iter().filter(|segment| segment.level == level).collect();
            if peers.len() + 1 < FANOUT {
                break;
            }
            for peer in peers {
                claims.extend(sealed.get(&peer.id)?.clone());
                merged.push(peer.id.clone());
            }
            level += 1;
        }
        Self::new(claims, level, merged)
    }

    fn new(claims: Claims, level: u8, merged: Vec<String>) -> Option<Self> {
        let text = to_text(&claims);
        if text.len() > MAX_RECORD {
            return None;
        }
        let newest_ms = claims.values().map(|claim| claim.at_ms).max()?;
        let id = format!("{:016x}", rapidhash::v3::rapidhash_v3(text.as_bytes()));
        let segment = Segment { id, level, newest_ms };
        Some(Self { segment, claims, text, merged })
    }

    /// Puts the segment into the record in place of what it holds.
    pub fn apply(&self, record: &mut Record) {
        record.claims.retain(|key, _| !self.claims.contains_key(key));
        record.segments.retain(|segment| !self.merged.contains(&segment.id));
        record.segments.push(self.segment.clone());
    }
}
