//! Durable storage under the data folder: one file a version, written to a temporary name, synced,
//! renamed, and its folder synced.
//!
//! A file is named `NAME-VERSION`, the version in 16 hexadecimal digits. The newest version of a
//! name counts; older ones are removed once the newest is safe.
//!
//! The disk's identity is written last, once the folders whose contents it vouches for are named on
//! the disk, and is void where one of them is missing later.

use crate::constants::{DISK_FORMAT, DISK_PROBE_BYTES, KEY_SHARDS};
use crate::runtime::Runtime;
use event_listener::Event;
use snafu::Snafu;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};

/// Folder of what a node keeps for itself: its identity, adopted documents, known peers.
pub const LOCAL_FOLDER: &str = "local";
/// Folder of the shards of register records.
pub const KEYS_FOLDER: &str = "keys";
/// Folder of a store's log.
pub const TURN_LOG_FOLDER: &str = "chain";
/// The data folder itself.
const ROOT_FOLDER: &str = "";
/// Name of the file that the disk's identity is in.
const IDENTITY: &str = "disk";

/// bytes. Format of a frame, a little-endian u32, before the length.
const FORMAT_LENGTH: usize = 4;
/// bytes. Format and length of a frame, before the body.
const HEADER_LENGTH: usize = 12;
/// bytes. Checksum of a frame, after the body.
const CHECKSUM_LENGTH: usize = 4;

/// A write is rejected because an earlier one failed.
#[derive(Debug, Snafu)]
#[snafu(display("disk failed"))]
pub struct DiskFailed;

/// The newest version of a name in a folder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredFile {
    /// The name without the version.
    pub name: String,
    /// Rises with each write of the name.
    pub version: u64,
    /// `None` where the file is damaged.
    pub body: Option<Vec<u8>>,
}

/// A node's data disk.
pub struct DurableStorage {
    /// Access to the data folder, clock and log.
    pub runtime: Runtime,
    /// Identity of the disk; votes are counted under it.
    pub disk_id: String,
    /// A write has failed: its outcome is unknown, and the node takes no part until the disk is
    /// restored.
    pub failed: AtomicBool,
    /// Failed writes so far.
    pub write_failures: AtomicU64,
    /// Notified when a write has failed.
    pub failure_event: Event,
    /// Syncs so far, of files and of folders.
    pub syncs: AtomicU64,
    /// Bytes of bodies written so far.
    pub bytes_written: AtomicU64,
    next_temporary: AtomicU64,
    /// Paths of temporary files that are being written; a scan leaves them alone.
    writing: Mutex<BTreeSet<String>>,
}

/// The folder of one shard of register records.
pub fn shard_folder(shard: usize) -> String {
    format!("{KEYS_FOLDER}/{shard:02x}")
}

/// Adds format, length and checksum to a body.
pub fn encode_frame(body: &[u8]) -> Vec<u8> {
    let mut frame = DISK_FORMAT.to_le_bytes().to_vec();
    frame.extend((body.len() as u64).to_le_bytes());
    frame.extend(body);
    frame.extend(crc32fast::hash(&frame).to_le_bytes());
    frame
}

/// The body of a file that is one frame; `None` where it is damaged.
pub fn decode_frame(file: &[u8]) -> Option<Vec<u8>> {
    let (body, end) = decode_first_frame(file)?;
    (end == file.len()).then(|| body.to_vec())
}

/// The body of the first of several frames, and the offset where the next begins; `None` where the
/// first is damaged.
pub fn decode_first_frame(bytes: &[u8]) -> Option<(&[u8], usize)> {
    let length = bytes.get(FORMAT_LENGTH..HEADER_LENGTH)?;
    let length = usize::try_from(u64::from_le_bytes(length.try_into().ok()?)).ok()?;
    let checksum_start = length.checked_add(HEADER_LENGTH)?;
    let checked = bytes.get(..checksum_start)?;
    let end = checksum_start.checked_add(CHECKSUM_LENGTH)?;
    let checksum = bytes.get(checksum_start..end)?;
    let is_sound = checked[..FORMAT_LENGTH] == DISK_FORMAT.to_le_bytes()
        && checksum == crc32fast::hash(checked).to_le_bytes();
    is_sound.then_some((&checked[HEADER_LENGTH..], end))
}

/// The path of one version of a name.
pub(crate) fn version_path(folder: &str, name: &str, version: u64) -> String {
    format!("{folder}/{name}-{version:016x}")
}

/// Name and version of a file.
fn split_version(file: &str) -> Option<(&str, u64)> {
    let (name, version) = file.rsplit_once('-')?;
    Some((name, u64::from_str_radix(version, 16).ok()?))
}

/// The versions of a name among the files of a folder.
fn versions_of<'a>(files: &'a [String], name: &'a str) -> impl Iterator<Item = u64> + 'a {
    files
        .iter()
        .filter_map(|file| split_version(file))
        .filter(move |(found, _)| *found == name)
        .map(|(_, version)| version)
}

/// All folders of a data disk, parents first.
fn data_folders() -> Vec<String> {
    let mut folders = vec![
        LOCAL_FOLDER.to_string(),
        TURN_LOG_FOLDER.into(),
        KEYS_FOLDER.into(),
    ];
    folders.extend((0..KEY_SHARDS).map(shard_folder));
    folders
}

/// What a scan has found so far.
#[derive(Default)]
struct Scan {
    newest: BTreeMap<String, StoredFile>,
    /// Paths of versions below a newer sound one.
    superseded: Vec<String>,
}

impl Scan {
    fn add(&mut self, folder: &str, path: String, file: StoredFile) {
        let Some(known) = self.newest.get_mut(&file.name) else {
            self.newest.insert(file.name.clone(), file);
            return;
        };
        if file.version > known.version {
            let is_sound = file.body.is_some();
            let older = std::mem::replace(known, file);
            // Below a damaged version the older one stays: it may be all that is left of the name.
            if is_sound {
                self.superseded
                    .push(version_path(folder, &older.name, older.version));
            }
        } else if known.body.is_some() {
            self.superseded.push(path);
        }
    }
}

impl DurableStorage {
    /// Opens the data folder; an empty one gets an identity of its own, which is made here and
    /// nowhere else.
    pub async fn open(runtime: &Runtime) -> io::Result<Arc<DurableStorage>> {
        let mut storage = DurableStorage::without_identity(runtime);
        let has_all_folders = storage.prepare_folders().await?;
        storage.disk_id = storage.load_or_create_identity(has_all_folders).await?;
        Ok(Arc::new(storage))
    }

    fn without_identity(runtime: &Runtime) -> DurableStorage {
        DurableStorage {
            runtime: runtime.clone(),
            disk_id: String::new(),
            failed: AtomicBool::new(false),
            write_failures: AtomicU64::new(0),
            failure_event: Event::new(),
            syncs: AtomicU64::new(0),
            bytes_written: AtomicU64::new(0),
            next_temporary: AtomicU64::new(0),
            writing: Mutex::default(),
        }
    }

    /// Creates the folders and makes their names safe; returns whether all were there before.
    async fn prepare_folders(&self) -> io::Result<bool> {
        let mut has_all = true;
        for folder in data_folders() {
            has_all &= self.runtime.list(&folder).await.is_ok();
            self.runtime.mkdir(&folder).await?;
        }
        // An earlier process may have been killed after it created a folder or renamed a file, and
        // before it synced the name.
        for parent in [KEYS_FOLDER, ROOT_FOLDER, LOCAL_FOLDER] {
            self.runtime.sync(parent).await?;
        }
        Ok(has_all)
    }

    /// The identity that the disk has; a new one where it has none, or has lost folders. Votes
    /// under the old identity rested on what was in these folders.
    async fn load_or_create_identity(&self, has_all_folders: bool) -> io::Result<String> {
        let (version, known) = match self.load(LOCAL_FOLDER, IDENTITY).await? {
            Some((version, body)) => (version, Some(String::from_utf8_lossy(&body).into_owned())),
            None => (0, None),
        };
        if known.is_some() && !has_all_folders {
            self.runtime
                .log("folders of this disk are missing: it gets a new identity");
        }
        if let Some(known) = known.filter(|_| has_all_folders) {
            return Ok(known);
        }
        let created = format!("d{:016x}", self.runtime.random());
        self.write(LOCAL_FOLDER, IDENTITY, version + 1, created.as_bytes())
            .await?;
        Ok(created)
    }

    /// Marks the disk failed: after a write of unknown outcome, neither the old nor the new version
    /// is relied on.
    pub fn mark_failed(&self, error: &io::Error) {
        self.write_failures.fetch_add(1, SeqCst);
        if !self.failed.swap(true, SeqCst) {
            self.runtime.log(&format!(
                "disk failed ({error}); it takes no part until it works again"
            ));
        }
        self.failure_event.notify(usize::MAX);
    }

    /// Returns once the version is safe; any error marks the disk failed. While the disk is failed,
    /// returns [`DiskFailed`] and writes nothing.
    pub async fn persist(
        &self,
        folder: &str,
        name: &str,
        version: u64,
        body: &[u8],
    ) -> io::Result<()> {
        if self.failed.load(SeqCst) {
            return Err(io::Error::other(DiskFailed));
        }
        self.write(folder, name, version, body)
            .await
            .inspect_err(|error| self.mark_failed(error))
    }

    /// Writes a version even if the disk is marked failed, and removes the version before it.
    pub async fn write(
        &self,
        folder: &str,
        name: &str,
        version: u64,
        body: &[u8],
    ) -> io::Result<()> {
        let number = self.next_temporary.fetch_add(1, SeqCst);
        let temporary = format!("{folder}/.{name}-{number}");
        let path = version_path(folder, name, version);
        self.writing.lock().unwrap().insert(temporary.clone());
        let written = self
            .runtime
            .write_durably(&temporary, &path, folder, encode_frame(body))
            .await;
        self.writing.lock().unwrap().remove(&temporary);
        written?;
        // The file and its folder.
        self.syncs.fetch_add(2, SeqCst);
        self.bytes_written.fetch_add(body.len() as u64, SeqCst);
        if version > 1 {
            // An older version that remains is harmless: the newest counts, and the next scan
            // removes it.
            let _ = self
                .runtime
                .remove(&version_path(folder, name, version - 1))
                .await;
        }
        Ok(())
    }

    /// Removes a name for good: no loss of power brings any version of it back. The newest goes
    /// last, so that no older one is ever the newest.
    pub async fn erase(&self, folder: &str, name: &str) -> io::Result<()> {
        let files = self.runtime.list(folder).await?;
        let mut versions: Vec<u64> = versions_of(&files, name).collect();
        versions.sort();
        let Some(newest) = versions.pop() else {
            return Ok(());
        };
        for version in versions {
            self.runtime
                .remove(&version_path(folder, name, version))
                .await?;
        }
        // Makes safe the removal of older versions by earlier writes, too.
        self.runtime.sync(folder).await?;
        self.runtime
            .remove(&version_path(folder, name, newest))
            .await?;
        self.runtime.sync(folder).await?;
        self.syncs.fetch_add(2, SeqCst);
        Ok(())
    }

    /// The newest version of each name in the folder, in order of the names. Where any file is
    /// found, all names of the folder are safe when this returns.
    pub async fn scan(&self, folder: &str) -> io::Result<Vec<StoredFile>> {
        let mut scan = Scan::default();
        let files = self.runtime.list(folder).await?;
        for file in &files {
            let path = format!("{folder}/{file}");
            if file.starts_with('.') {
                self.remove_abandoned(&path).await;
            } else if let Some((name, version)) = split_version(file) {
                let body = self.read_body(&path, name).await;
                let stored = StoredFile {
                    name: name.into(),
                    version,
                    body,
                };
                scan.add(folder, path, stored);
            }
        }
        if !files.is_empty() {
            // Only after this may older versions go: a newer one that a killed process renamed is
            // not yet safe under its name.
            self.runtime.sync(folder).await?;
        }
        for path in scan.superseded {
            // One that remains is found by the next scan.
            let _ = self.runtime.remove(&path).await;
        }
        Ok(scan.newest.into_values().collect())
    }

    /// Removes a temporary file unless it is being written.
    async fn remove_abandoned(&self, path: &str) {
        let is_abandoned = !self.writing.lock().unwrap().contains(path);
        if is_abandoned {
            // One that remains is found by the next scan.
            let _ = self.runtime.remove(path).await;
        }
    }

    /// The body of a file; `None` where it is damaged or cannot be read.
    async fn read_body(&self, path: &str, name: &str) -> Option<Vec<u8>> {
        let file = self.runtime.read_file(path).await.ok();
        let body = file.and_then(|file| decode_frame(&file));
        if body.is_none() && !name.starts_with("bad") {
            self.runtime.log(&format!("damaged file {path} ignored"));
        }
        body
    }

    /// Version and body of the newest version of a name; `None` where there is none, or it is
    /// damaged.
    pub async fn load(&self, folder: &str, name: &str) -> io::Result<Option<(u64, Vec<u8>)>> {
        let files = self.scan(folder).await?;
        Ok(files
            .into_iter()
            .find(|file| file.name == name)
            .and_then(|file| Some((file.version, file.body?))))
    }

    /// Whether the disk takes and syncs a file of usual size again.
    pub async fn probe(&self) -> io::Result<()> {
        let path = format!("{LOCAL_FOLDER}/.probe");
        self.runtime
            .write_file(&path, vec![0; DISK_PROBE_BYTES])
            .await?;
        self.runtime.sync(&path).await?;
        self.runtime.remove(&path).await?;
        self.runtime.sync(LOCAL_FOLDER).await
    }

    /// Whether the disk still bears the identity that it was opened with.
    pub async fn identity_matches(&self) -> io::Result<bool> {
        let files = self.runtime.list(LOCAL_FOLDER).await?;
        let Some(newest) = versions_of(&files, IDENTITY).max() else {
            return Ok(false);
        };
        let path = version_path(LOCAL_FOLDER, IDENTITY, newest);
        let file = self.runtime.read_file(&path).await?;
        Ok(decode_frame(&file).is_some_and(|identity| identity == self.disk_id.as_bytes()))
    }
}
