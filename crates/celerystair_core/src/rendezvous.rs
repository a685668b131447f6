//! Rendezvous (highest random weight) hashing: processes that know the same nodes rank them in the
//! same order for a key, without coordination.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the weight of `node` for `key`; the node with the highest weight comes first.
pub fn weight(key: &str, node: &str) -> u64 {
    xxh3_64_with_seed(node.as_bytes(), xxh3_64_with_seed(key.as_bytes(), 0))
}

/// Returns `nodes` in rendezvous order for `key`, highest weight first; equal weights are ordered
/// by name.
pub fn order<'a, T>(
    key: &str,
    nodes: impl IntoIterator<Item = &'a T>,
    name: impl Fn(&T) -> &str,
) -> Vec<&'a T> {
    let mut weighted: Vec<(u64, &T)> = nodes
        .into_iter()
        .map(|node| (weight(key, name(node)), node))
        .collect();
    weighted.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| name(a.1).cmp(name(b.1))));
    weighted.into_iter().map(|(_, node)| node).collect()
}

/// Returns a hash of `bytes` that is stable across processes, for shards and fingerprints.
pub fn fingerprint(bytes: &[u8]) -> u64 {
    xxh3_64_with_seed(bytes, 0)
}
