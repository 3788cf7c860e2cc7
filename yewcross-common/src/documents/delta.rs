//! What changed between two values, so that only that travels between sites.
//!
//! Values are cut behind each line feed and each closing brace: documents are JSON, which may stand
//! in one line, and what changes in them is an object or two.

use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// bytes. What a copy costs: a chunk no longer than this is cheaper as it is, unless it goes on
/// from the copy before.
const COPY: usize = 12;

fn ends_chunk(byte: &u8) -> bool {
    matches!(byte, b'\n' | b'}')
}

/// ReplicaSet of runs of old chunks and new bytes between them, closed by a checksum of the whole.
pub fn encode(old: &[u8], new: &[u8]) -> Vec<u8> {
    let mut at = BTreeMap::new();
    // Most values grow at their end: what leads both alike is skipped in blocks, then cut at the
    // end of a chunk.
    let alike = old
        .chunks(256)
        .zip(new.chunks(256))
        .take_while(|(a, b)| a == b)
        .count()
        * 256;
    let alike = alike.min(old.len()).min(new.len());
    let head = old[..alike]
        .iter()
        .rposition(ends_chunk)
        .map_or(0, |i| i + 1);
    let mut o = head;
    old[head..].split_inclusive(ends_chunk).for_each(|l| {
        at.entry(xxh3_64(l)).or_insert(o);
        o += l.len();
    });
    let mut out = vec![];
    let (mut from, mut len, mut lit) = (0usize, head, vec![]);
    let mut put = |from: usize, len: usize, lit: &mut Vec<u8>| {
        [from, len, lit.len()]
            .iter()
            .for_each(|n| out.extend((*n as u32).to_le_bytes()));
        out.append(lit);
    };
    new[head..].split_inclusive(ends_chunk).for_each(|l| {
        let next = from + len;
        let hit = Some(next)
            .filter(|n| lit.is_empty() && old[*n..].starts_with(l))
            .or_else(|| at.get(&xxh3_64(l)).cloned().filter(|_| l.len() > COPY))
            .filter(|n| old[*n..].starts_with(l));
        match hit {
            Some(n) if n == next && lit.is_empty() => len += l.len(),
            Some(n) => {
                put(from, len, &mut lit);
                (from, len) = (n, l.len());
            }
            None => lit.extend(l),
        }
    });
    put(from, len, &mut lit);
    out.extend(crc32fast::hash(new).to_le_bytes());
    out
}

pub fn apply(old: &[u8], d: &[u8]) -> Option<Vec<u8>> {
    let (mut d, crc) = d.split_at_checked(d.len().checked_sub(4)?)?;
    let mut out = vec![];
    while !d.is_empty() {
        let n =
            |i: usize| Some(u32::from_le_bytes(d.get(4 * i..4 * i + 4)?.try_into().ok()?) as usize);
        let (from, len, lit) = (n(0)?, n(1)?, n(2)?);
        out.extend(old.get(from..from.checked_add(len)?)?);
        out.extend(d.get(12..12usize.checked_add(lit)?)?);
        d = &d[12 + lit..];
    }
    (crc == crc32fast::hash(&out).to_le_bytes()).then_some(out)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn any_pair_of_values_round_trips() {
        arbtest::arbtest(|u| {
            let mut text = |n: usize| -> arbtest::arbitrary::Result<Vec<u8>> {
                let mut v = vec![];
                for _ in 0..u.int_in_range(0..=n)? {
                    v.extend(format!("line {}\n", u.int_in_range(0..=9u8)?).into_bytes());
                    if u.ratio(1, 6)? {
                        v.push(u.arbitrary()?);
                    }
                }
                Ok(v)
            };
            let (a, b) = (text(20)?, text(20)?);
            let d = encode(&a, &b);
            assert_eq!(apply(&a, &d).as_deref(), Some(&b[..]));
            let mut bad = d.clone();
            let i = bad.len() - 1;
            bad[i] ^= 1;
            assert_eq!(apply(&a, &bad), None);
            Ok(())
        });
        let old: Vec<u8> = (0..500)
            .flat_map(|i| format!("history line number {i}\n").into_bytes())
            .collect();
        let mut new = old[24..].to_vec();
        new.extend(b"one more\n");
        assert!(encode(&old, &new).len() < 60);
    }

    #[test]
    fn one_route_of_a_document_in_one_line_travels_alone() {
        let document = |weight: u32| -> Vec<u8> {
            let routes = (0..60).map(|n| {
                format!(
                    "{{\\\"label\\\":\\\"r{n}\\\",\\\"weight\\\":{}}}",
                    if n == 40 { weight } else { n }
                )
            });
            format!("{{\"text\":\"{}\"}}", routes.collect::<Vec<_>>().join(",")).into_bytes()
        };
        let (old, new) = (document(7), document(8));
        let changes = encode(&old, &new);
        assert!(changes.len() < 120, "{} of {}", changes.len(), new.len());
        assert_eq!(apply(&old, &changes), Some(new));
    }
}
