//! Brings a disk back to what this process has answered for, after a write of unknown outcome.

use super::SHARDS;
use super::replica::{Replica, Shard, file_name};
use crate::storage::shard_folder as folder;
use std::collections::BTreeMap;
use std::io;

/// What the disk holds of a shard: newest version of each key's hash, and its body where it is
/// sound.
type Found = BTreeMap<u128, (u64, Option<Vec<u8>>)>;

impl Replica {
    /// Reads all copies from the disk again. Memory holds what was answered for: a file that
    /// differs is written anew above every version on the disk, and a file of which nothing was
    /// answered is erased. Returns how many were wrong.
    pub async fn restore(&self) -> io::Result<usize> {
        let mut wrong = 0;
        for shard in 0..SHARDS {
            wrong += self.restore_shard(shard).await?;
        }
        Ok(wrong)
    }

    /// Waits for a write under way, which holds the shard.
    async fn restore_shard(&self, shard: usize) -> io::Result<usize> {
        let mut entries = self.shards[shard].lock().await;
        let found = self.read_shard(shard).await?;
        let rewritten = self.rewrite_changed(shard, &mut entries, &found).await?;
        let unanswered: Vec<u128> = found
            .into_keys()
            .filter(|hash| !entries.contains_key(hash))
            .collect();
        for hash in &unanswered {
            self.storage
                .erase(&folder(shard), &file_name(*hash))
                .await?;
        }
        Ok(rewritten + unanswered.len())
    }

    async fn read_shard(&self, shard: usize) -> io::Result<Found> {
        let files = self.storage.scan(&folder(shard)).await?;
        let hashed = files.into_iter().filter_map(|(name, version, body)| {
            Some((u128::from_str_radix(&name, 16).ok()?, (version, body)))
        });
        Ok(hashed.collect())
    }

    async fn rewrite_changed(
        &self,
        shard: usize,
        entries: &mut Shard,
        found: &Found,
    ) -> io::Result<usize> {
        let mut rewritten = 0;
        for (hash, entry) in entries
            .iter_mut()
            .filter(|(_, entry)| !entry.record.damaged)
        {
            let body = entry.encode();
            let on_disk = found.get(hash);
            if on_disk.is_some_and(|(version, bytes)| {
                *version == entry.file && bytes.as_ref() == Some(&body)
            }) {
                continue;
            }
            let name = file_name(*hash);
            let answered = entry.file;
            let version = on_disk.map_or(answered, |x| x.0.max(answered)) + 1;
            self.storage
                .write(&folder(shard), &name, version, &body)
                .await?;
            entry.file = version;
            // One that was damaged on the way may be gone already.
            let _ = self
                .world
                .remove(&format!("{}/{name}-{answered:016x}", folder(shard)))
                .await;
            rewritten += 1;
        }
        Ok(rewritten)
    }
}
