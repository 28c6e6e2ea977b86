//! Maps and sets in insertion order, with a hash that is quicker than the standard
//! one on short keys and is seeded at random as well.

/// A map in insertion order.
pub(crate) type IndexMap<K, V> = indexmap::IndexMap<K, V, ahash::RandomState>;

/// A set in insertion order.
pub(crate) type IndexSet<T> = indexmap::IndexSet<T, ahash::RandomState>;
