//! Durable storage under the data folder: one file a version, written aside, synced, renamed, and
//! its folder synced.
//!
//! The disk's identity is written last, once the folders that hold what it vouches for are named on
//! the disk, and is void where one of them is missing later.

use crate::constants::*;
use crate::runtime::*;
use event_listener::Event;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};

/// Folder of what a node keeps for itself: its identity, adopted documents, known peers.
pub const LOCAL_FOLDER: &str = "local";
/// Folder of the shards of register copies.
pub const KEYS_FOLDER: &str = "keys";
/// Folder of a store's log.
pub const CHAIN_FOLDER: &str = "chain";
const IDENTITY: &str = "disk";

/// The folder of one shard of register copies.
pub fn shard_folder(shard: usize) -> String {
    format!("{KEYS_FOLDER}/{shard:02x}")
}

/// All folders of a data disk, parents first.
fn folders() -> Vec<String> {
    let mut all = vec![
        LOCAL_FOLDER.to_string(),
        CHAIN_FOLDER.into(),
        KEYS_FOLDER.into(),
    ];
    all.extend((0..KEY_SHARDS).map(shard_folder));
    all
}

/// The first sealed body of several, and where the next begins.
pub fn decode_first_frame(v: &[u8]) -> Option<(&[u8], usize)> {
    let n = usize::try_from(u64::from_le_bytes(v.get(4..12)?.try_into().ok()?)).ok()?;
    let d = v.get(..n.checked_add(12)?)?;
    let c = v.get(n + 12..n + 16)?;
    (d[..4] == DISK_FORMAT.to_le_bytes() && c == crc32fast::hash(d).to_le_bytes())
        .then_some((&d[12..], n + 16))
}

/// A node's data disk.
pub struct DurableStorage {
    pub runtime: Runtime,
    /// Identity of the disk; votes are counted under it.
    pub disk_id: String,
    /// A write has failed: its outcome is unknown, and the node takes no part until the disk is
    /// restored.
    pub failed: AtomicBool,
    /// Failed writes so far.
    pub failures: AtomicU64,
    /// A write has just failed.
    pub failure: Event,
    pub syncs: AtomicU64,
    pub bytes: AtomicU64,
    next_temporary: AtomicU64,
    /// Files being written aside; a scan leaves them alone.
    writing: Mutex<BTreeSet<String>>,
}

/// Adds format, length and checksum to a body.
pub fn encode_frame(body: &[u8]) -> Vec<u8> {
    let mut v = DISK_FORMAT.to_le_bytes().to_vec();
    v.extend((body.len() as u64).to_le_bytes());
    v.extend(body);
    v.extend(crc32fast::hash(&v).to_le_bytes());
    v
}

/// The body of a sealed file; `None` where it is damaged.
pub fn decode_frame(v: &[u8]) -> Option<Vec<u8>> {
    let (d, c) = v.split_at_checked(v.len().checked_sub(4)?)?;
    let n = u64::from_le_bytes(d.get(4..12)?.try_into().ok()?) as usize;
    let ok = c == crc32fast::hash(d).to_le_bytes()
        && d[..4] == DISK_FORMAT.to_le_bytes()
        && d.len() == n + 12;
    ok.then(|| d[12..].to_vec())
}

fn version_path(dir: &str, name: &str, version: u64) -> String {
    format!("{dir}/{name}-{version:016x}")
}

/// Name and version of a file.
fn split_version(file: &str) -> Option<(&str, u64)> {
    let (name, version) = file.rsplit_once('-')?;
    Some((name, u64::from_str_radix(version, 16).ok()?))
}

impl DurableStorage {
    /// Opens the folder; an empty one gets an identity of its own, made here and nowhere else.
    pub async fn open(runtime: &Runtime) -> io::Result<Arc<DurableStorage>> {
        let mut vault = DurableStorage {
            runtime: runtime.clone(),
            disk_id: String::new(),
            failed: AtomicBool::new(false),
            failures: AtomicU64::new(0),
            failure: Event::new(),
            syncs: AtomicU64::new(0),
            bytes: AtomicU64::new(0),
            next_temporary: AtomicU64::new(0),
            writing: Mutex::default(),
        };
        let complete = vault.prepare_folders().await?;
        let (version, known) = match vault.load(LOCAL_FOLDER, IDENTITY).await? {
            Some((version, body)) => (version, Some(String::from_utf8_lossy(&body).into_owned())),
            None => (0, None),
        };
        if known.is_some() && !complete {
            runtime.log("folders of this disk are gone: it gets a new identity");
        }
        vault.disk_id = match known.filter(|_| complete) {
            Some(id) => id,
            None => {
                let id = format!("d{:016x}", runtime.random());
                vault
                    .write(LOCAL_FOLDER, IDENTITY, version + 1, id.as_bytes())
                    .await?;
                id
            }
        };
        Ok(Arc::new(vault))
    }

    /// Makes the folders and their names safe; tells whether all were there before.
    async fn prepare_folders(&self) -> io::Result<bool> {
        let mut complete = true;
        for folder in folders() {
            complete &= self.runtime.list(&folder).await.is_ok();
            self.runtime.mkdir(&folder).await?;
        }
        // An earlier process may have been killed after it made a folder or renamed a file, and
        // before it synced the name.
        for parent in [KEYS_FOLDER, "", LOCAL_FOLDER] {
            self.runtime.sync(parent).await?;
        }
        Ok(complete)
    }

    /// Marks the disk failed: a write of unknown outcome is believed neither way.
    pub fn mark_failed(&self, why: &io::Error) {
        self.failures.fetch_add(1, SeqCst);
        if !self.failed.swap(true, SeqCst) {
            self.runtime.log(&format!(
                "disk failed ({why}); it takes no part until it works again"
            ));
        }
        self.failure.notify(usize::MAX);
    }

    /// Returns once the version is safe; any error marks the disk failed.
    pub async fn persist(&self, dir: &str, name: &str, ver: u64, body: &[u8]) -> io::Result<()> {
        if self.failed.load(SeqCst) {
            return Err(io::Error::other("disk failed"));
        }
        self.write(dir, name, ver, body)
            .await
            .inspect_err(|e| self.mark_failed(e))
    }

    /// Writes a version whatever is known of the disk; the version before it is removed.
    pub async fn write(&self, dir: &str, name: &str, ver: u64, body: &[u8]) -> io::Result<()> {
        let aside = format!("{dir}/.{name}-{}", self.next_temporary.fetch_add(1, SeqCst));
        self.writing.lock().unwrap().insert(aside.clone());
        let written = self
            .runtime
            .write_durably(
                &aside,
                &version_path(dir, name, ver),
                dir,
                encode_frame(body),
            )
            .await;
        self.writing.lock().unwrap().remove(&aside);
        written?;
        self.syncs.fetch_add(2, SeqCst);
        self.bytes.fetch_add(body.len() as u64, SeqCst);
        if ver > 1 {
            let _ = self.runtime.remove(&version_path(dir, name, ver - 1)).await;
        }
        Ok(())
    }

    /// Removes a name for good: no loss of power brings any version of it back. The newest goes
    /// last, so that no older one is ever the newest.
    pub async fn erase(&self, dir: &str, name: &str) -> io::Result<()> {
        let mut versions: Vec<u64> = self
            .runtime
            .list(dir)
            .await?
            .iter()
            .filter_map(|f| split_version(f))
            .filter(|x| x.0 == name)
            .map(|x| x.1)
            .collect();
        versions.sort();
        let Some(newest) = versions.pop() else {
            return Ok(());
        };
        for version in versions {
            self.runtime
                .remove(&version_path(dir, name, version))
                .await?;
        }
        // Older versions removed earlier go for good here, too.
        self.runtime.sync(dir).await?;
        self.runtime
            .remove(&version_path(dir, name, newest))
            .await?;
        self.runtime.sync(dir).await?;
        self.syncs.fetch_add(2, SeqCst);
        Ok(())
    }

    /// Newest version of each name in the folder; `None` for a body that is damaged. Where any file
    /// is found, all names of the folder are safe when this returns.
    pub async fn scan(&self, dir: &str) -> io::Result<Vec<(String, u64, Option<Vec<u8>>)>> {
        let mut newest: BTreeMap<String, (u64, Option<Vec<u8>>)> = BTreeMap::new();
        let mut older = vec![];
        let files = self.runtime.list(dir).await?;
        for file in &files {
            if file.starts_with('.') {
                let aside = format!("{dir}/{file}");
                let abandoned = !self.writing.lock().unwrap().contains(&aside);
                if abandoned {
                    let _ = self.runtime.remove(&aside).await;
                }
                continue;
            }
            let Some((name, version)) = split_version(file) else {
                continue;
            };
            let body = self
                .runtime
                .read_file(&format!("{dir}/{file}"))
                .await
                .ok()
                .and_then(|b| decode_frame(&b));
            if body.is_none() && !name.starts_with("bad") {
                self.runtime
                    .log(&format!("damaged file {dir}/{file} put aside"));
            }
            let sound = body.is_some();
            match newest.get_mut(name) {
                Some(known) if version > known.0 => {
                    let was = std::mem::replace(known, (version, body));
                    if sound {
                        older.push(version_path(dir, name, was.0));
                    }
                }
                Some(known) if known.1.is_some() => older.push(format!("{dir}/{file}")),
                Some(_) => {}
                None => {
                    newest.insert(name.into(), (version, body));
                }
            }
        }
        if !files.is_empty() {
            // Only then may older versions go: a newer one that a killed process renamed is not yet
            // safe under its name.
            self.runtime.sync(dir).await?;
        }
        for path in older {
            let _ = self.runtime.remove(&path).await;
        }
        Ok(newest
            .into_iter()
            .map(|(name, (version, body))| (name, version, body))
            .collect())
    }

    /// The newest version of a name.
    pub async fn load(&self, dir: &str, name: &str) -> io::Result<Option<(u64, Vec<u8>)>> {
        let v = self.scan(dir).await?;
        Ok(v.into_iter()
            .find(|x| x.0 == name)
            .and_then(|(_, v, b)| b.map(|b| (v, b))))
    }

    /// Whether the disk takes and syncs a file of usual size again.
    pub async fn probe(&self) -> io::Result<()> {
        let path = format!("{LOCAL_FOLDER}/.probe");
        self.runtime.write_file(&path, vec![0; DISK_PROBE]).await?;
        self.runtime.sync(&path).await?;
        self.runtime.remove(&path).await?;
        self.runtime.sync(LOCAL_FOLDER).await
    }

    /// Whether the disk still bears the identity that it was opened with.
    pub async fn bears_identity(&self) -> io::Result<bool> {
        let path = LOCAL_FOLDER;
        let files = self.runtime.list(path).await?;
        let newest = files
            .iter()
            .filter_map(|f| split_version(f))
            .filter(|x| x.0 == IDENTITY)
            .map(|x| x.1)
            .max();
        let Some(version) = newest else {
            return Ok(false);
        };
        let message = self
            .runtime
            .read_file(&version_path(path, IDENTITY, version))
            .await?;
        Ok(decode_frame(&message).is_some_and(|b| b == self.disk_id.as_bytes()))
    }
}
