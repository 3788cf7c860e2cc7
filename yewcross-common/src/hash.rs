//! Hashes and digests.
//!
//! All builds must compute the same values: they decide which node a key is assigned to, and are
//! compared between nodes.

use sha2::{Digest, Sha256};
use xxhash_rust::xxh3::{xxh3_64_with_seed, xxh3_128};

/// Length in bytes that a SHA-256 digest is truncated to.
const DIGEST_LENGTH: usize = 16;

/// The weight of a node for a key in rendezvous hashing. The node with the highest weight is the
/// preferred node of the key.
pub fn rendezvous_weight(key: &str, node: &str) -> u64 {
    let seed = xxh3_64_with_seed(key.as_bytes(), 0);
    xxh3_64_with_seed(node.as_bytes(), seed)
}

/// Returns the names in descending order of their weight for the key; names of equal weight are in
/// descending order of the names.
pub fn rank_by_weight<'a>(key: &str, names: impl Iterator<Item = &'a str>) -> Vec<&'a str> {
    let mut weighted: Vec<(u64, &str)> = names
        .map(|name| (rendezvous_weight(key, name), name))
        .collect();
    weighted.sort_by(|left, right| right.cmp(left));
    weighted.into_iter().map(|(_, name)| name).collect()
}

/// A 128-bit hash, which is not cryptographic; keys and ids are indexed by it.
pub fn hash_128(key: &[u8]) -> u128 {
    xxh3_128(key)
}

/// A digest in 32 hexadecimal digits, for comparing contents within the tier. It is not
/// cryptographic, and costs a tenth of [`digest`].
pub fn content_digest(content: &[u8]) -> String {
    format!("{:032x}", xxh3_128(content))
}

/// The cryptographic digest that is returned to callers and sent to backends: SHA-256, truncated to
/// 32 hexadecimal digits.
pub fn digest(content: &[u8]) -> String {
    Sha256::digest(content)
        .iter()
        .take(DIGEST_LENGTH)
        .map(|byte| format!("{byte:02x}"))
        .collect()
}
