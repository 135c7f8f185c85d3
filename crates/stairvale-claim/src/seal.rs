//! Moves claims that no longer change out of the record, so that writes of the record stay small however many claims
//! are stored.
//!
//! Segments are merged as in a log-structured merge tree (O'Neil et al., 1996): each claim is rewritten once per level,
//! and a new owner of the shard has few segments to read.

use std::collections::HashMap;

use crate::record::{Claims, FANOUT, MAX_RECORD_BYTES, MIN_SEAL_CLAIMS, Record, Segment, to_text};

/// Age in milliseconds from which on a claim without an answer is sealed, as its answer is no longer expected.
const MAX_UNSETTLED_AGE_MS: u64 = 900_000;
/// The highest level of a segment: its 2,048 claims of about 100 bytes each fit the store's largest value.
const MAX_LEVEL: u8 = 2;

/// Claims that are to move from the record into a new segment.
#[derive(Clone, Debug, PartialEq)]
pub struct Seal {
    /// The new segment.
    pub segment: Segment,
    /// The segment's claims.
    pub claims: Claims,
    /// The segment's claims, encoded for the store.
    pub text: String,
    /// The names of the segments that are merged into the new one.
    merged: Vec<String>,
}

impl Seal {
    /// Seals the record's claims that no longer change, together with segments that are due to be merged with them.
    /// `None` if there are fewer than [`MIN_SEAL_CLAIMS`] such claims, if a segment to be merged is missing from
    /// `sealed`, or if the new segment would exceed [`MAX_RECORD_BYTES`].
    #[must_use]
    pub fn from_record(record: &Record, sealed: &HashMap<String, Claims>, now_ms: u64) -> Option<Self> {
        let is_final = |claim: &crate::record::Claim| {
            claim.stored.is_some() || claim.at_ms.saturating_add(MAX_UNSETTLED_AGE_MS) < now_ms
        };
        let settled = record.claims.iter().filter(|(_, claim)| is_final(claim));
        let mut claims: Claims = settled.map(|(key, claim)| (*key, claim.clone())).collect();
        if claims.len() < MIN_SEAL_CLAIMS {
            return None;
        }
        let mut merged = Vec::new();
        let mut level = 0;
        while level < MAX_LEVEL {
            let same_level: Vec<_> = record.segments.iter().filter(|segment| segment.level == level).collect();
            if same_level.len() + 1 < FANOUT {
                break;
            }
            for segment in same_level {
                claims.extend(sealed.get(&segment.id)?.clone());
                merged.push(segment.id.clone());
            }
            level += 1;
        }
        Self::new(claims, level, merged)
    }

    fn new(claims: Claims, level: u8, merged: Vec<String>) -> Option<Self> {
        let text = to_text(&claims);
        if text.len() > MAX_RECORD_BYTES {
            return None;
        }
        let newest_ms = claims.values().map(|claim| claim.at_ms).max()?;
        let id = format!("{:016x}", rapidhash::v3::rapidhash_v3(text.as_bytes()));
        let segment = Segment { id, level, newest_ms };
        Some(Self { segment, claims, text, merged })
    }

    /// Adds the segment to the record and removes the claims and segments that it replaces.
    pub fn apply(&self, record: &mut Record) {
        record.claims.retain(|key, _| !self.claims.contains_key(key));
        record.segments.retain(|segment| !self.merged.contains(&segment.id));
        record.segments.push(self.segment.clone());
    }
}
