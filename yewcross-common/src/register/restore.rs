//! Brings the files of a replica back to what it has answered, after a write of unknown outcome.

use super::SHARDS;
use super::replica::{Replica, Shard, StoredRecord, file_name, hash_of_file};
use crate::storage::{StoredFile, shard_folder, version_path};
use std::collections::BTreeMap;
use std::io;

/// The newest file of each key of a shard, by the hash of the key.
type FilesOnDisk = BTreeMap<u128, StoredFile>;

impl Replica {
    /// Reads all records from the disk again. Memory has what was answered: a file that differs is
    /// written anew above every version on the disk, and a file of which nothing was answered is
    /// erased. Returns how many files were wrong.
    pub async fn restore(&self) -> io::Result<usize> {
        let mut wrong = 0;
        for shard in 0..SHARDS {
            wrong += self.restore_shard(shard).await?;
        }
        Ok(wrong)
    }

    /// Waits for a write under way, which has the shard locked.
    async fn restore_shard(&self, shard: usize) -> io::Result<usize> {
        let mut records = self.shards[shard].lock().await;
        let files = self.files_of_shard(shard).await?;
        let rewritten = self.rewrite_changed(shard, &mut records, &files).await?;
        let unanswered: Vec<u128> = files
            .into_keys()
            .filter(|hash| !records.contains_key(hash))
            .collect();
        for hash in &unanswered {
            self.storage
                .erase(&shard_folder(shard), &file_name(*hash))
                .await?;
        }
        Ok(rewritten + unanswered.len())
    }

    async fn files_of_shard(&self, shard: usize) -> io::Result<FilesOnDisk> {
        let files = self.storage.scan(&shard_folder(shard)).await?;
        let by_hash = files
            .into_iter()
            .filter_map(|file| Some((hash_of_file(&file.name)?, file)));
        Ok(by_hash.collect())
    }

    async fn rewrite_changed(
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
                .rewrite_if_changed(shard, *hash, record, files.get(hash))
                .await?
            {
                rewritten += 1;
            }
        }
        Ok(rewritten)
    }

    /// Whether the file differed from the record, and was written anew.
    async fn rewrite_if_changed(
        &self,
        shard: usize,
        hash: u128,
        record: &mut StoredRecord,
        file: Option<&StoredFile>,
    ) -> io::Result<bool> {
        let folder = shard_folder(shard);
        let name = file_name(hash);
        let body = record.encode();
        let answered_version = record.file_version;
        if file.is_some_and(|file| {
            file.version == answered_version && file.body.as_ref() == Some(&body)
        }) {
            return Ok(false);
        }
        let newest_version =
            file.map_or(answered_version, |file| file.version.max(answered_version));
        let version = newest_version + 1;
        self.storage.write(&folder, &name, version, &body).await?;
        record.file_version = version;
        // It may be gone already: a file found damaged on the way was taken for lost.
        let _ = self
            .runtime
            .remove(&version_path(&folder, &name, answered_version))
            .await;
        Ok(true)
    }
}
