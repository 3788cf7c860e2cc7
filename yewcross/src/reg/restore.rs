//! Brings a disk back to what this process has answered for, after a write of unknown outcome.

use super::{Replica, SHARDS, Shelf, dir, encode_slot};
use std::collections::BTreeMap;
use std::io;

/// What the disk holds of a shard: newest version of each key's hash, and its body where it is sound.
type Found = BTreeMap<u128, (u64, Option<Vec<u8>>)>;

impl Replica {
    /// Reads all copies from the disk again. Memory holds what was answered for: a file that differs is written anew above
    /// every version on the disk, and a file of which nothing was answered is erased. Returns how many were wrong.
    pub async fn restore(&self) -> io::Result<usize> {
        let mut wrong = 0;
        for shard in 0..SHARDS {
            wrong += self.restore_shard(shard).await?;
        }
        Ok(wrong)
    }

    /// Waits for a write under way, which holds the shard.
    async fn restore_shard(&self, shard: usize) -> io::Result<usize> {
        let mut slots = self.shards[shard].lock().await;
        let found = self.read_shard(shard).await?;
        let rewritten = self.rewrite_changed(shard, &mut slots, &found).await?;
        let unanswered: Vec<u128> = found.into_keys().filter(|hash| !slots.contains_key(hash)).collect();
        for hash in &unanswered {
            self.vault.erase(&dir(shard), &format!("{hash:032x}")).await?;
        }
        Ok(rewritten + unanswered.len())
    }

    async fn read_shard(&self, shard: usize) -> io::Result<Found> {
        let files = self.vault.scan(&dir(shard)).await?;
        let hashed = files.into_iter().filter_map(|(name, version, body)| Some((u128::from_str_radix(&name, 16).ok()?, (version, body))));
        Ok(hashed.collect())
    }

    async fn rewrite_changed(&self, shard: usize, slots: &mut Shelf, found: &Found) -> io::Result<usize> {
        let mut rewritten = 0;
        for (hash, (key, slot)) in slots.iter_mut().filter(|x| !x.1.1.damaged) {
            let body = encode_slot(key, slot);
            let on_disk = found.get(hash);
            if on_disk.is_some_and(|(version, b)| *version == slot.ver && b.as_ref() == Some(&body)) {
                continue;
            }
            let name = format!("{hash:032x}");
            let answered = slot.ver;
            let version = on_disk.map_or(answered, |x| x.0.max(answered)) + 1;
            self.vault.write(&dir(shard), &name, version, &body).await?;
            slot.ver = version;
            // One that was damaged on the way may be gone already.
            let _ = self.w.remove(&format!("{}/{name}-{answered:016x}", dir(shard))).await;
            rewritten += 1;
        }
        Ok(rewritten)
    }
}
