//! A replica: the acceptor's records, each in its own file, which is synced before the reply is sent.
//!
//! Requests for keys of the same shard are handled sequentially: a record is read, changed and written
//! under the lock of its shard.

use super::acceptor::{self, Effect, Record, Transition};
use super::message::{Ballot, RegisterReply, RegisterRequest};
use super::{SHARDS, hash_and_shard};
use crate::constants::SYNC_TIMEOUT;
use crate::runtime::Runtime;
use crate::storage::{DurableStorage, shard_folder};
use futures_util::lock::Mutex;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::SeqCst};

/// Size, in bytes, of the little-endian u32 that precedes the header and specifies its length.
const HEADER_LENGTH_BYTES: usize = 4;

/// The header that precedes the value in a record's file.
#[derive(Serialize, Deserialize)]
struct RecordHeader {
    key: String,
    promised: Ballot,
    accepted: Ballot,
    seq: u64,
}

/// A record and the version of its file.
#[derive(Clone, Default)]
pub(super) struct StoredRecord {
    key: String,
    pub(super) record: Record,
    pub(super) file_version: u64,
}

/// The records of one shard by the hash of their keys.
pub(super) type Shard = BTreeMap<u128, StoredRecord>;

/// The replica of this process.
pub struct Replica {
    pub(super) runtime: Runtime,
    /// The disk that holds the records.
    pub storage: Arc<DurableStorage>,
    pub(super) shards: Vec<Mutex<Shard>>,
    /// The newest layout version received; requests of proposers that use an older one are rejected.
    pub layout_version: AtomicU64,
}

/// The file name for the hash of a key.
pub(super) fn file_name(hash: u128) -> String {
    format!("{hash:032x}")
}

/// The key hash that a file name encodes; `None` for any other file name.
pub(super) fn hash_of_file(name: &str) -> Option<u128> {
    u128::from_str_radix(name, 16).ok()
}

impl StoredRecord {
    /// The body of the record's file.
    pub(super) fn encode(&self) -> Vec<u8> {
        let record = &self.record;
        let header = RecordHeader {
            key: self.key.clone(),
            promised: record.promised,
            accepted: record.accepted,
            seq: record.seq,
        };
        let header = serde_json::to_vec(&header).expect("record header cannot be encoded as JSON");
        let mut bytes = (header.len() as u32).to_le_bytes().to_vec();
        bytes.extend(header);
        bytes.extend(record.value.iter());
        bytes
    }

    fn decode(bytes: &[u8], file_version: u64) -> Option<StoredRecord> {
        let (length, rest) = bytes.split_at_checked(HEADER_LENGTH_BYTES)?;
        let length = u32::from_le_bytes(length.try_into().ok()?) as usize;
        let (header, value) = rest.split_at_checked(length)?;
        let header: RecordHeader = serde_json::from_slice(header).ok()?;
        let value = Arc::new(value.to_vec());
        let record = Record {
            promised: header.promised,
            accepted: header.accepted,
            seq: header.seq,
            value,
            damaged: false,
        };
        Some(StoredRecord {
            key: header.key,
            record,
            file_version,
        })
    }

    /// The record for a file that cannot be read. Its key is unknown until the value of another
    /// replica is filled in.
    fn damaged(file_version: u64) -> StoredRecord {
        StoredRecord {
            key: String::new(),
            record: Record {
                damaged: true,
                ..Record::default()
            },
            file_version,
        }
    }
}

impl Replica {
    /// Reads all records from the disk.
    pub async fn open(storage: &Arc<DurableStorage>) -> io::Result<Arc<Replica>> {
        let mut shards = vec![];
        for shard_number in 0..SHARDS {
            let mut shard = Shard::new();
            for file in storage.scan(&shard_folder(shard_number)).await? {
                let Some(hash) = hash_of_file(&file.name) else {
                    continue;
                };
                let record = file
                    .body
                    .and_then(|bytes| StoredRecord::decode(&bytes, file.version))
                    .unwrap_or_else(|| StoredRecord::damaged(file.version));
                shard.insert(hash, record);
            }
            shards.push(Mutex::new(shard));
        }
        Ok(Arc::new(Replica {
            runtime: storage.runtime.clone(),
            storage: storage.clone(),
            shards,
            layout_version: AtomicU64::new(0),
        }))
    }

    /// The record of a key; `None` if there is none or it is damaged.
    pub async fn read_record(&self, key: &str) -> Option<Record> {
        let (hash, shard) = hash_and_shard(key);
        let shard = self.shards[shard].lock().await;
        shard
            .get(&hash)
            .map(|stored| stored.record.clone())
            .filter(|record| !record.damaged)
    }

    /// The keys with a readable record on this disk, and the number of damaged records.
    pub async fn keys(&self) -> (Vec<String>, u64) {
        let (mut keys, mut damaged) = (vec![], 0);
        for shard in &self.shards {
            for stored in shard.lock().await.values() {
                if stored.record.damaged {
                    damaged += 1;
                } else {
                    keys.push(stored.key.clone());
                }
            }
        }
        keys.sort();
        (keys, damaged)
    }

    /// Removes the record of a key that this disk no longer replicates.
    pub async fn remove_record(&self, key: &str) {
        let (hash, shard_number) = hash_and_shard(key);
        let mut shard = self.shards[shard_number].lock().await;
        self.erase_record(&mut shard, hash, shard_number).await;
    }

    /// Removes a record; returns whether its files are permanently removed. A file that reappeared
    /// after a restart would restore an erased value.
    async fn erase_record(&self, shard: &mut Shard, hash: u128, shard_number: usize) -> bool {
        if !shard.contains_key(&hash) {
            return true;
        }
        let erased = self
            .storage
            .erase(&shard_folder(shard_number), &file_name(hash))
            .await;
        let erased = erased
            .inspect_err(|error| self.storage.mark_failed(error))
            .is_ok();
        if erased {
            shard.remove(&hash);
        }
        erased
    }

    /// Handles one request. The write runs in a separate task, so that it is never cancelled halfway:
    /// if the disk is slow the reply times out and only the vote is lost.
    pub async fn handle(
        self: &Arc<Self>,
        request: RegisterRequest,
        payload: Vec<u8>,
    ) -> (RegisterReply, Vec<u8>) {
        if self.storage.failed.load(SeqCst) {
            return (RegisterReply::Unavailable, vec![]);
        }
        let (sender, receiver) = async_channel::bounded(1);
        let replica = self.clone();
        self.runtime.spawn(async move {
            // The receiver is closed if the handler has timed out.
            let _ = sender.try_send(replica.handle_exclusively(request, payload).await);
        });
        match self.runtime.timeout(SYNC_TIMEOUT, receiver.recv()).await {
            Some(Ok(reply)) => reply,
            _ => (RegisterReply::Unavailable, vec![]),
        }
    }

    async fn handle_exclusively(
        &self,
        request: RegisterRequest,
        payload: Vec<u8>,
    ) -> (RegisterReply, Vec<u8>) {
        let (hash, shard_number) = hash_and_shard(request.key());
        let mut shard = self.shards[shard_number].lock().await;
        let stored = shard.get(&hash).cloned().unwrap_or_default();
        let Transition {
            effect,
            reply,
            value,
        } = acceptor::handle(
            &stored.record,
            self.layout_version.load(SeqCst),
            &request,
            payload,
        );
        match effect {
            Effect::None => {}
            Effect::Erase => {
                if !self.erase_record(&mut shard, hash, shard_number).await {
                    return (RegisterReply::Unavailable, vec![]);
                }
            }
            Effect::Write(record) => {
                let updated = StoredRecord {
                    key: request.key().into(),
                    record,
                    file_version: stored.file_version + 1,
                };
                if self.persist(shard_number, hash, &updated).await.is_err() {
                    return (RegisterReply::Unavailable, vec![]);
                }
                shard.insert(hash, updated);
            }
        }
        (reply, value.map(|value| value.to_vec()).unwrap_or_default())
    }

    async fn persist(&self, shard: usize, hash: u128, record: &StoredRecord) -> io::Result<()> {
        let body = record.encode();
        self.storage
            .persist(
                &shard_folder(shard),
                &file_name(hash),
                record.file_version,
                &body,
            )
            .await
    }
}
