//! Hash collections with a fast hasher; keys come from our own processes or are bounded in number.

/// A hash map with a fast hasher.
pub type HashMap<K, V> = rustc_hash::FxHashMap<K, V>;

/// A hash set with a fast hasher.
pub type HashSet<T> = rustc_hash::FxHashSet<T>;
