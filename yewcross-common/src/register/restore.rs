//! Restores a replica's files to the acknowledged state after a write with an unknown outcome.

use super::SHARDS;
use super::replica::{Replica, Shard, StoredRecord, file_name, hash_of_file};
use crate::storage::{StoredFile, shard_folder, version_path};
use std::collections::BTreeMap;
use std::io;

/// The newest file of each key of a shard, by the hash of the key.
type FilesOnDisk = BTreeMap<u128, StoredFile>;

impl Replica {
    /// Re-reads all records from disk. The records in memory are the acknowledged state: a file that
    /// differs is rewritten with a version above every one on disk, and a file whose record was never
    /// acknowledged is erased. Returns the number of corrected files.
    pub async fn restore(&self) -> io::Result<usize> {
        let mut corrected = 0;
        for shard in 0..SHARDS {
            corrected += self.restore_shard(shard).await?;
        }
        Ok(corrected)
    }

    /// Waits for a write in progress, which holds the lock of the shard.
    async fn restore_shard(&self, shard: usize) -> io::Result<usize> {
        let mut records = self.shards[shard].lock().await;
        let files = self.files_of_shard(shard).await?;
        let rewritten = self.rewrite_different(shard, &mut records, &files).await?;
        let unacknowledged: Vec<u128> = files
            .into_keys()
            .filter(|hash| !records.contains_key(hash))
            .collect();
        for hash in &unacknowledged {
            self.storage
                .erase(&shard_folder(shard), &file_name(*hash))
                .await?;
        }
        Ok(rewritten + unacknowledged.len())
    }

    async fn files_of_shard(&self, shard: usize) -> io::Result<FilesOnDisk> {
        let files = self.storage.scan(&shard_folder(shard)).await?;
        let by_hash = files
            .into_iter()
            .filter_map(|file| Some((hash_of_file(&file.name)?, file)));
        Ok(by_hash.collect())
    }

    async fn rewrite_different(
        &self,
        shard: usize,
        records: &mut Shard,
        files: &FilesOnDisk,
    ) -> io::Result<usize> {
        let mut rewritten = 0;
        for (hash, record) in records.iter_mut() {
            if record.record.damaged {
                continue;
            }
            if self
                .rewrite_if_different(shard, *hash, record, files.get(hash))
                .await?
            {
                rewritten += 1;
            }
        }
        Ok(rewritten)
    }

    /// Rewrites the file if it differs from the record; returns whether it did.
    async fn rewrite_if_different(
        &self,
        shard: usize,
        hash: u128,
        record: &mut StoredRecord,
        file: Option<&StoredFile>,
    ) -> io::Result<bool> {
        let folder = shard_folder(shard);
        let name = file_name(hash);
        let body = record.encode();
        let acknowledged_version = record.file_version;
        if file.is_some_and(|file| {
            file.version == acknowledged_version && file.body.as_ref() == Some(&body)
        }) {
            return Ok(false);
        }
        let newest_version = file.map_or(acknowledged_version, |file| {
            file.version.max(acknowledged_version)
        });
        let version = newest_version + 1;
        self.storage.write(&folder, &name, version, &body).await?;
        record.file_version = version;
        // The file may already have been removed: a file found damaged during the scan is treated as
        // lost.
        let _ = self
            .runtime
            .remove(&version_path(&folder, &name, acknowledged_version))
            .await;
        Ok(true)
    }
}
