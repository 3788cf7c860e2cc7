//! A replica: the acceptor's records of many keys, each in a file of its own that is synced before
//! the reply leaves.

use super::acceptor::{self, Effect, Record, Transition};
use super::message::{Ballot, RegisterReply, RegisterRequest};
use super::{SHARDS, locate};
use crate::constants::SYNC_WAIT;
use crate::runtime::*;
use crate::storage::{DurableStorage, shard_folder as folder};
use futures_util::lock::Mutex;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::SeqCst};

/// What stands before the value in a record's file.
#[derive(Serialize, Deserialize)]
struct Head {
    key: String,
    promised: Ballot,
    accepted: Ballot,
    seq: u64,
}

/// A record and the version of its file.
#[derive(Clone, Default)]
pub(super) struct Entry {
    key: String,
    pub(super) record: Record,
    pub(super) file: u64,
}

/// Records by the hash of their key.
pub(super) type Shard = BTreeMap<u128, Entry>;

pub struct Replica {
    pub(super) world: Runtime,
    pub storage: Arc<DurableStorage>,
    pub(super) shards: Vec<Mutex<Shard>>,
    /// Layouts older than this are refused.
    pub layout_version: AtomicU64,
}

pub(super) fn file_name(hash: u128) -> String {
    format!("{hash:032x}")
}

impl Entry {
    pub(super) fn encode(&self) -> Vec<u8> {
        let record = &self.record;
        let head = Head {
            key: self.key.clone(),
            promised: record.promised,
            accepted: record.accepted,
            seq: record.seq,
        };
        let head = serde_json::to_vec(&head).unwrap_or_default();
        let mut bytes = (head.len() as u32).to_le_bytes().to_vec();
        bytes.extend(head);
        bytes.extend(record.value.iter());
        bytes
    }

    fn decode(bytes: &[u8], file: u64) -> Option<Entry> {
        let length = u32::from_le_bytes(bytes.get(..4)?.try_into().ok()?) as usize;
        let head: Head = serde_json::from_slice(bytes.get(4..4 + length)?).ok()?;
        let value = Arc::new(bytes[4 + length..].to_vec());
        let record = Record {
            promised: head.promised,
            accepted: head.accepted,
            seq: head.seq,
            value,
            damaged: false,
        };
        Some(Entry {
            key: head.key,
            record,
            file,
        })
    }

    /// A file that cannot be read. Its key is not known until another replica fills it.
    fn damaged(file: u64) -> Entry {
        Entry {
            key: String::new(),
            record: Record {
                damaged: true,
                ..Record::default()
            },
            file,
        }
    }
}

impl Replica {
    /// Reads the records that the disk holds.
    pub async fn open(storage: &Arc<DurableStorage>) -> io::Result<Arc<Replica>> {
        let world = storage.runtime.clone();
        let mut shards = vec![];
        for number in 0..SHARDS {
            let mut shard = Shard::new();
            for (name, file, body) in storage.scan(&folder(number)).await? {
                let Ok(hash) = u128::from_str_radix(&name, 16) else {
                    continue;
                };
                let entry = body.and_then(|bytes| Entry::decode(&bytes, file));
                shard.insert(hash, entry.unwrap_or_else(|| Entry::damaged(file)));
            }
            shards.push(Mutex::new(shard));
        }
        Ok(Arc::new(Replica {
            world,
            storage: storage.clone(),
            shards,
            layout_version: AtomicU64::new(0),
        }))
    }

    /// The record of a key, unless it is unknown or damaged.
    pub async fn peek(&self, key: &str) -> Option<Record> {
        let (hash, shard) = locate(key);
        let shard = self.shards[shard].lock().await;
        shard
            .get(&hash)
            .map(|entry| entry.record.clone())
            .filter(|record| !record.damaged)
    }

    /// Keys that this disk holds, and how many records are damaged.
    pub async fn keys(&self) -> (Vec<String>, u64) {
        let (mut keys, mut damaged) = (vec![], 0);
        for shard in &self.shards {
            for entry in shard.lock().await.values() {
                if entry.record.damaged {
                    damaged += 1
                } else {
                    keys.push(entry.key.clone())
                }
            }
        }
        keys.sort();
        (keys, damaged)
    }

    /// Drops a key that this disk has no seat for any more.
    pub async fn forget(&self, key: &str) {
        let (hash, number) = locate(key);
        let mut shard = self.shards[number].lock().await;
        self.remove(&mut shard, hash, number).await;
    }

    /// Whether the key's files are gone for good: an older version that came back would outrank the
    /// key's next life.
    async fn remove(&self, shard: &mut Shard, hash: u128, number: usize) -> bool {
        if !shard.contains_key(&hash) {
            return true;
        }
        let erased = self.storage.erase(&folder(number), &file_name(hash)).await;
        let erased = erased.inspect_err(|e| self.storage.mark_failed(e)).is_ok();
        if erased {
            shard.remove(&hash);
        }
        erased
    }

    /// A write under way is never abandoned halfway: it runs on its own, and a slow disk only loses
    /// its vote.
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
        self.world.spawn(async move {
            let _ = sender.try_send(replica.handle_exclusively(request, blob).await);
        });
        match self.world.timeout(SYNC_WAIT, receiver.recv()).await {
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
        let entry = shard.get(&hash).cloned().unwrap_or_default();
        let Transition {
            effect,
            reply,
            value,
        } = acceptor::handle(
            &entry.record,
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
                let next = Entry {
                    key: request.key().into(),
                    record,
                    file: entry.file + 1,
                };
                if self
                    .storage
                    .persist(&folder(number), &file_name(hash), next.file, &next.encode())
                    .await
                    .is_err()
                {
                    return (RegisterReply::Away, vec![]);
                }
                shard.insert(hash, next);
            }
        }
        (reply, value.map(|value| value.to_vec()).unwrap_or_default())
    }
}
