//! Hashes and digests.
//!
//! Nodes of different builds must compute the same values: they decide which node a key belongs to,
//! and are compared over the network.

use sha2::{Digest, Sha256};
use xxhash_rust::xxh3::{xxh3_64_with_seed, xxh3_128};

/// bytes. A SHA-256 digest is cut to this length.
const DIGEST_LENGTH: usize = 16;

/// The weight of a node for a key in rendezvous hashing: the node with the highest weight is the
/// key's first choice.
pub fn rendezvous_weight(key: &str, node: &str) -> u64 {
    let seed = xxh3_64_with_seed(key.as_bytes(), 0);
    xxh3_64_with_seed(node.as_bytes(), seed)
}

/// Names in falling order of their weight for the key; names of equal weight in falling order of
/// the names.
pub fn rank_by_weight<'a>(key: &str, names: impl Iterator<Item = &'a str>) -> Vec<&'a str> {
    let mut weighted: Vec<(u64, &str)> = names
        .map(|name| (rendezvous_weight(key, name), name))
        .collect();
    weighted.sort_by(|left, right| right.cmp(left));
    weighted.into_iter().map(|(_, name)| name).collect()
}

/// The hash that a key is stored under.
pub fn hash_128(key: &[u8]) -> u128 {
    xxh3_128(key)
}

/// A digest for comparing contents within the tier, in 32 hexadecimal digits. It is not
/// cryptographic, and costs a tenth of [`digest`].
pub fn content_digest(content: &[u8]) -> String {
    format!("{:032x}", xxh3_128(content))
}

/// The cryptographic digest that callers and backends see, in 32 hexadecimal digits.
pub fn digest(content: &[u8]) -> String {
    Sha256::digest(content)
        .iter()
        .take(DIGEST_LENGTH)
        .map(|byte| format!("{byte:02x}"))
        .collect()
}
