//! Rendezvous (highest random weight) hashing (Thaler and Ravishankar, 1998), weighted by capacity.

use stairvale_types::id;

/// An engine that chats can be placed on.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Name of the engine.
    pub upstream: id::Upstream,
    /// Capacity of the engine relative to the other engines.
    pub weight: u32,
    hash: u64,
}

impl Engine {
    /// Creates an engine and computes the hash of its name, which every ranking uses.
    #[must_use]
    pub fn new(upstream: id::Upstream, weight: u32) -> Self {
        let hash = upstream.hash64();
        Self { upstream, weight, hash }
    }
}

/// Mixes two hashes into 64 uniformly distributed bits, by the finaliser of SplitMix64 (Steele et al., 2014).
///
/// The result serves as the score of a node for a key if all nodes have the same weight.
#[inline]
#[must_use]
pub fn mix(a: u64, b: u64) -> u64 {
    let mut z = a ^ b.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// Returns the score of a node for a key; the highest score ranks first.
///
/// A node's probability to rank first is proportional to its weight (Schindelhauer and Schomaker, 2005).
#[inline]
#[allow(clippy::cast_precision_loss)]
fn score(key: u64, node: u64, weight: u32) -> f64 {
    const MANTISSA: f64 = (1_u64 << 53) as f64;
    let unit = ((mix(key, node) >> 11) as f64 + 0.5) / MANTISSA;
    f64::from(weight) / -unit.ln()
}

/// Ranks all engines for a key, the best first.
///
/// Ties are broken by name, so that every router computes the same order.
#[must_use]
pub fn rank(key: u64, engines: &[Engine]) -> Vec<id::Upstream> {
    let scored = engines.iter().map(|engine| (score(key, engine.hash, engine.weight), engine));
    let mut scored: Vec<_> = scored.collect();
    scored.sort_by(|(a, x), (b, y)| b.total_cmp(a).then_with(|| x.upstream.cmp(&y.upstream)));
    scored.into_iter().map(|(_, engine)| engine.upstream.clone()).collect()
}

/// Returns the best of some nodes, given with their hashes, for a key; `None` if there are no nodes.
pub fn pick<'a, T: Ord>(key: u64, nodes: impl Iterator<Item = (u64, &'a T)>) -> Option<&'a T> {
    let scored = nodes.map(|(hash, node)| (mix(key, hash), node));
    let best = scored.max_by(|(a, x), (b, y)| a.cmp(b).then_with(|| y.cmp(x)))?;
    Some(best.1)
}
