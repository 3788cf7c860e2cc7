//! A replica: the acceptor's records of many keys, each in a file of its own that is synced before
//! the reply is sent.
//!
//! Requests to keys of one shard are handled one after the other: a record is read, changed and
//! written under the lock of its shard.

use super::acceptor::{self, Effect, Record, Transition};
use super::message::{Ballot, RegisterReply, RegisterRequest};
use super::{SHARDS, locate};
use crate::constants::SYNC_TIMEOUT;
use crate::runtime::Runtime;
use crate::storage::{DurableStorage, shard_folder};
use futures_util::lock::Mutex;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::SeqCst};

/// bytes. The length of the header, a little-endian u32, precedes it.
const HEADER_LENGTH_BYTES: usize = 4;

/// What precedes the value in a record's file.
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

/// The records of one shard, by the hash of their key.
pub(super) type Shard = BTreeMap<u128, StoredRecord>;

/// The replica of this process.
pub struct Replica {
    pub(super) runtime: Runtime,
    /// The disk that the records are on.
    pub storage: Arc<DurableStorage>,
    pub(super) shards: Vec<Mutex<Shard>>,
    /// Proposers that go by an older layout are rejected.
    pub layout_version: AtomicU64,
}

/// The name of the file of a key, by the hash of the key.
pub(super) fn file_name(hash: u128) -> String {
    format!("{hash:032x}")
}

/// The hash that a file is named by; `None` for a file of any other name.
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
        let header =
            serde_json::to_vec(&header).expect("a header of strings and numbers is always JSON");
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

    /// A file that cannot be read. Its key is not known until another replica fills it.
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
    /// Reads the records that the disk holds.
    pub async fn open(storage: &Arc<DurableStorage>) -> io::Result<Arc<Replica>> {
        let mut shards = vec![];
        for number in 0..SHARDS {
            let mut shard = Shard::new();
            for file in storage.scan(&shard_folder(number)).await? {
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

    /// The record of a key, unless it is unknown or damaged.
    pub async fn read_record(&self, key: &str) -> Option<Record> {
        let (hash, shard) = locate(key);
        let shard = self.shards[shard].lock().await;
        shard
            .get(&hash)
            .map(|stored| stored.record.clone())
            .filter(|record| !record.damaged)
    }

    /// Keys that this disk has a readable record of, and the number of damaged records.
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

    /// Drops the record of a key that this disk is no replica of any more.
    pub async fn remove_record(&self, key: &str) {
        let (hash, number) = locate(key);
        let mut shard = self.shards[number].lock().await;
        self.remove(&mut shard, hash, number).await;
    }

    /// Removes a record; whether its files are gone for good. A file that came back would bring an
    /// erased value back.
    async fn remove(&self, shard: &mut Shard, hash: u128, number: usize) -> bool {
        if !shard.contains_key(&hash) {
            return true;
        }
        let erased = self
            .storage
            .erase(&shard_folder(number), &file_name(hash))
            .await;
        let erased = erased
            .inspect_err(|error| self.storage.mark_failed(error))
            .is_ok();
        if erased {
            shard.remove(&hash);
        }
        erased
    }

    /// Handles one request. A write under way is never abandoned halfway: it runs as a task of its
    /// own, and a slow disk only loses its vote.
    pub async fn handle(
        self: &Arc<Self>,
        request: RegisterRequest,
        blob: Vec<u8>,
    ) -> (RegisterReply, Vec<u8>) {
        if self.storage.failed.load(SeqCst) {
            return (RegisterReply::Away, vec![]);
        }
        let (sender, receiver) = async_channel::bounded(1);
        let replica = self.clone();
        self.runtime.spawn(async move {
            // Nobody receives the answer if it came too late.
            let _ = sender.try_send(replica.handle_exclusively(request, blob).await);
        });
        match self.runtime.timeout(SYNC_TIMEOUT, receiver.recv()).await {
            Some(Ok(answer)) => answer,
            _ => (RegisterReply::Away, vec![]),
        }
    }

    async fn handle_exclusively(
        &self,
        request: RegisterRequest,
        blob: Vec<u8>,
    ) -> (RegisterReply, Vec<u8>) {
        let (hash, number) = locate(request.key());
        let mut shard = self.shards[number].lock().await;
        let stored = shard.get(&hash).cloned().unwrap_or_default();
        let Transition {
            effect,
            reply,
            value,
        } = acceptor::handle(
            &stored.record,
            self.layout_version.load(SeqCst),
            &request,
            blob,
        );
        match effect {
            Effect::None => {}
            Effect::Erase => {
                if !self.remove(&mut shard, hash, number).await {
                    return (RegisterReply::Away, vec![]);
                }
            }
            Effect::Write(record) => {
                let next = StoredRecord {
                    key: request.key().into(),
                    record,
                    file_version: stored.file_version + 1,
                };
                if self.persist(number, hash, &next).await.is_err() {
                    return (RegisterReply::Away, vec![]);
                }
                shard.insert(hash, next);
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
