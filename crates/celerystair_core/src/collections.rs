//! Hash maps and sets with `FxHash`, which is fast but does not resist crafted collisions. The keys
//! come from the system's own processes or are bounded in number.

/// A [`std::collections::HashMap`] with `FxHash`.
pub type HashMap<K, V> = rustc_hash::FxHashMap<K, V>;

/// A [`std::collections::HashSet`] with `FxHash`.
pub type HashSet<T> = rustc_hash::FxHashSet<T>;
