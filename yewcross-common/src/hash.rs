//! Rendezvous hashing and digests.

use sha2::{Digest, Sha256};
use xxhash_rust::xxh3::{xxh3_64_with_seed, xxh3_128};

pub fn rendezvous_weight(key: &str, node: &str) -> u64 {
    xxh3_64_with_seed(node.as_bytes(), xxh3_64_with_seed(key.as_bytes(), 0))
}

/// Names in falling order of weight for the key.
pub fn ranked<'a>(key: &str, names: impl Iterator<Item = &'a str>) -> Vec<&'a str> {
    let mut v: Vec<(u64, &str)> = names.map(|n| (rendezvous_weight(key, n), n)).collect();
    v.sort_by(|a, b| b.cmp(a));
    v.into_iter().map(|x| x.1).collect()
}

pub fn key_128(b: &[u8]) -> u128 {
    xxh3_128(b)
}

/// A mark for comparing within the tier, where nobody means harm: a tenth of a digest's cost.
pub fn content_digest(b: &[u8]) -> String {
    format!("{:032x}", xxh3_128(b))
}

/// The digest that callers and back ends see.
pub fn digest(b: &[u8]) -> String {
    Sha256::digest(b)
        .iter()
        .take(16)
        .map(|x| format!("{x:02x}"))
        .collect()
}
