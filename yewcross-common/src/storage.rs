//! Durable storage in the data folder. Each version of a name is a separate file, which is written
//! under a temporary name, synced and renamed; then its folder is synced.
//!
//! A file is named `NAME-VERSION`, with the version in 16 hexadecimal digits. Only the newest version
//! of a name is used; older versions are removed once the newest is durable.
//!
//! The identity of a disk is written last, after the folders that it covers are durable on the disk.
//! It is replaced if one of these folders is missing later.

use crate::constants::{DISK_FORMAT, DISK_PROBE_BYTES, KEY_SHARDS};
use crate::runtime::Runtime;
use event_listener::Event;
use snafu::Snafu;
use std::collections::{BTreeMap, BTreeSet};
use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};

/// Folder of node-local state: the identity of the disk, adopted documents, known peers.
pub const LOCAL_FOLDER: &str = "local";
/// Folder of the shards of register records.
pub const REGISTERS_FOLDER: &str = "keys";
/// Folder of a store's turn log.
pub const TURN_LOG_FOLDER: &str = "chain";
/// The data folder itself.
const ROOT_FOLDER: &str = "";
/// Name of the file that contains the identity of the disk.
const IDENTITY_FILE: &str = "disk";

/// The version that a name is first written as.
const FIRST_VERSION: u64 = 1;

/// Length in bytes of a frame's format number, a little-endian u32 before the body length.
const FORMAT_LENGTH: usize = 4;
/// Length in bytes of a frame's header: the format number and the body length.
const HEADER_LENGTH: usize = 12;
/// Length in bytes of a frame's checksum, which follows the body.
const CHECKSUM_LENGTH: usize = 4;

/// A write was rejected because the disk is marked failed after an earlier write error.
#[derive(Debug, Snafu)]
#[snafu(display("disk failed"))]
pub struct DiskFailed;

/// The newest version of a name in a folder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredFile {
    /// The name without the version.
    pub name: String,
    /// Increases with each write of the name.
    pub version: u64,
    /// `None` if the file is damaged.
    pub body: Option<Vec<u8>>,
}

/// A node's data disk.
pub struct DurableStorage {
    /// Provides the data folder and the process log.
    pub runtime: Runtime,
    /// Identity of the disk; votes are attributed to it.
    pub disk_id: String,
    /// Set after a write error: the outcome of the write is unknown, and the node does not participate
    /// in the tier until the disk has recovered.
    pub failed: AtomicBool,
    /// Number of failed writes.
    pub write_failures: AtomicU64,
    /// Notified after each failed write.
    pub failure_event: Event,
    /// Number of syncs of files and folders.
    pub syncs: AtomicU64,
    /// Number of body bytes written.
    pub bytes_written: AtomicU64,
    /// Number of the next temporary file.
    next_temporary: AtomicU64,
    /// Paths of temporary files that are being written; a scan does not remove them.
    writing: Mutex<BTreeSet<String>>,
}

/// Path of the folder of one shard of register records.
pub fn shard_folder(shard: usize) -> String {
    format!("{REGISTERS_FOLDER}/{shard:02x}")
}

/// Encodes a body as a frame: format number, body length, body and checksum.
pub fn encode_frame(body: &[u8]) -> Vec<u8> {
    let mut frame = DISK_FORMAT.to_le_bytes().to_vec();
    frame.extend((body.len() as u64).to_le_bytes());
    frame.extend(body);
    frame.extend(crc32fast::hash(&frame).to_le_bytes());
    frame
}

/// Decodes a file that consists of a single frame. Returns the body, or `None` if the file is
/// damaged.
pub fn decode_frame(file: &[u8]) -> Option<Vec<u8>> {
    let (body, end) = decode_first_frame(file)?;
    (end == file.len()).then(|| body.to_vec())
}

/// Decodes the first of several consecutive frames. Returns its body and the offset of the next
/// frame, or `None` if the first frame is damaged.
pub fn decode_first_frame(bytes: &[u8]) -> Option<(&[u8], usize)> {
    let length = bytes.get(FORMAT_LENGTH..HEADER_LENGTH)?;
    let length = usize::try_from(u64::from_le_bytes(length.try_into().ok()?)).ok()?;
    let checksum_start = length.checked_add(HEADER_LENGTH)?;
    let checked = bytes.get(..checksum_start)?;
    let end = checksum_start.checked_add(CHECKSUM_LENGTH)?;
    let checksum = bytes.get(checksum_start..end)?;
    let is_intact = checked[..FORMAT_LENGTH] == DISK_FORMAT.to_le_bytes()
        && checksum == crc32fast::hash(checked).to_le_bytes();
    is_intact.then_some((&checked[HEADER_LENGTH..], end))
}

/// Path of the file that contains one version of a name.
pub(crate) fn version_path(folder: &str, name: &str, version: u64) -> String {
    format!("{folder}/{name}-{version:016x}")
}

/// Writes the first version of a name in a data folder that is not open, unless a version is there.
/// Blocks until it is durable.
pub fn create_first_version(
    data_folder: &Path,
    folder: &str,
    name: &str,
    body: &[u8],
) -> io::Result<()> {
    let directory = data_folder.join(folder);
    std::fs::create_dir_all(&directory)?;
    let files: Vec<String> = std::fs::read_dir(&directory)?
        .filter_map(|entry| entry.ok()?.file_name().into_string().ok())
        .collect();
    if versions_of(&files, name).next().is_some() {
        return Ok(());
    }
    let temporary = directory.join(format!(".{name}-first"));
    let mut file = File::create(&temporary)?;
    file.write_all(&encode_frame(body))?;
    file.sync_all()?;
    let path = version_path(folder, name, FIRST_VERSION);
    std::fs::rename(&temporary, data_folder.join(path))?;
    File::open(&directory)?.sync_all()
}

/// Splits a file name into name and version; `None` for any other file.
fn split_version(file: &str) -> Option<(&str, u64)> {
    let (name, version) = file.rsplit_once('-')?;
    Some((name, u64::from_str_radix(version, 16).ok()?))
}

/// The versions of a name among the file names of a folder.
fn versions_of<'a>(files: &'a [String], name: &'a str) -> impl Iterator<Item = u64> + 'a {
    files
        .iter()
        .filter_map(|file| split_version(file))
        .filter(move |(found, _)| *found == name)
        .map(|(_, version)| version)
}

/// All folders of a data disk, parents before children.
fn data_folders() -> Vec<String> {
    let mut folders = vec![
        LOCAL_FOLDER.to_string(),
        TURN_LOG_FOLDER.into(),
        REGISTERS_FOLDER.into(),
    ];
    folders.extend((0..KEY_SHARDS).map(shard_folder));
    folders
}

/// Intermediate result of a folder scan.
#[derive(Default)]
struct Scan {
    /// The newest version of each name.
    newest: BTreeMap<String, StoredFile>,
    /// Paths of versions that are superseded by a newer, undamaged version.
    superseded: Vec<String>,
}

impl Scan {
    /// Adds one file, and records whether it supersedes another version or is superseded.
    fn add(&mut self, folder: &str, path: String, file: StoredFile) {
        let Some(known) = self.newest.get_mut(&file.name) else {
            self.newest.insert(file.name.clone(), file);
            return;
        };
        if file.version > known.version {
            let is_intact = file.body.is_some();
            let older = std::mem::replace(known, file);
            // An older version is kept below a damaged one: it may be the only intact data of the name.
            if is_intact {
                self.superseded
                    .push(version_path(folder, &older.name, older.version));
            }
        } else if known.body.is_some() {
            self.superseded.push(path);
        }
    }
}

impl DurableStorage {
    /// Opens the data folder. An empty one gets a new identity; identities are created nowhere else.
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

    /// Creates missing folders and makes all folder entries durable. Returns whether all folders
    /// existed before.
    async fn prepare_folders(&self) -> io::Result<bool> {
        let mut has_all = true;
        for folder in data_folders() {
            has_all &= self.runtime.list(&folder).await.is_ok();
            self.runtime.mkdir(&folder).await?;
        }
        // An earlier process may have been killed after it created a folder or renamed a file, but
        // before it synced the parent folder.
        for parent in [REGISTERS_FOLDER, ROOT_FOLDER, LOCAL_FOLDER] {
            self.runtime.sync(parent).await?;
        }
        Ok(has_all)
    }

    /// Loads the identity of the disk. Creates a new one if the disk has none or has lost folders:
    /// votes under the old identity relied on the contents of these folders.
    async fn load_or_create_identity(&self, has_all_folders: bool) -> io::Result<String> {
        let (version, known) = match self.load(LOCAL_FOLDER, IDENTITY_FILE).await? {
            Some((version, body)) => (version, Some(String::from_utf8_lossy(&body).into_owned())),
            None => (0, None),
        };
        if known.is_some() && !has_all_folders {
            self.runtime
                .log("data folders are missing; creating a new identity for the disk");
        }
        if let Some(known) = known.filter(|_| has_all_folders) {
            return Ok(known);
        }
        let created = format!("d{:016x}", self.runtime.random());
        self.write(LOCAL_FOLDER, IDENTITY_FILE, version + 1, created.as_bytes())
            .await?;
        Ok(created)
    }

    /// Marks the disk failed after a write error. The outcome of the write is unknown, so neither the
    /// old nor the new version can be relied on.
    pub fn mark_failed(&self, error: &io::Error) {
        self.write_failures.fetch_add(1, SeqCst);
        if !self.failed.swap(true, SeqCst) {
            self.runtime.log(&format!(
                "disk marked failed ({error}); this node does not participate until the disk recovers"
            ));
        }
        self.failure_event.notify(usize::MAX);
    }

    /// Writes a version and returns once it is durable; any error marks the disk failed. While the
    /// disk is marked failed, returns [`DiskFailed`] and writes nothing.
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

    /// Writes a version, even if the disk is marked failed, and removes the preceding version.
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
        // One sync of the file and one of its folder.
        self.syncs.fetch_add(2, SeqCst);
        self.bytes_written.fetch_add(body.len() as u64, SeqCst);
        if version > 1 {
            // A failed removal is harmless: only the newest version is used, and the next scan removes
            // the older one.
            let _ = self
                .runtime
                .remove(&version_path(folder, name, version - 1))
                .await;
        }
        Ok(())
    }

    /// Removes all versions of a name durably: none reappears after a loss of power. The newest
    /// version is removed last, so that an older one never becomes the newest.
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
        // Also makes the removal of older versions by earlier writes durable.
        self.runtime.sync(folder).await?;
        self.runtime
            .remove(&version_path(folder, name, newest))
            .await?;
        self.runtime.sync(folder).await?;
        self.syncs.fetch_add(2, SeqCst);
        Ok(())
    }

    /// Returns the newest version of each name in the folder, sorted by name. If the folder contains
    /// any file, all its entries are durable when this returns.
    pub async fn scan(&self, folder: &str) -> io::Result<Vec<StoredFile>> {
        let mut scan = Scan::default();
        let files = self.runtime.list(folder).await?;
        for file in &files {
            let path = format!("{folder}/{file}");
            if file.starts_with('.') {
                self.remove_if_abandoned(&path).await;
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
            // Older versions may be removed only after this sync: a newer version renamed by a process
            // that was then killed may not be durable yet.
            self.runtime.sync(folder).await?;
        }
        for path in scan.superseded {
            // A failed removal is retried by the next scan.
            let _ = self.runtime.remove(&path).await;
        }
        Ok(scan.newest.into_values().collect())
    }

    /// Removes a temporary file left by an earlier process, unless it is being written now.
    async fn remove_if_abandoned(&self, path: &str) {
        let is_abandoned = !self.writing.lock().unwrap().contains(path);
        if is_abandoned {
            // A failed removal is retried by the next scan.
            let _ = self.runtime.remove(path).await;
        }
    }

    /// Reads the body of a file; `None` if the file is damaged or cannot be read. Damaged files whose
    /// name starts with `bad` are not logged.
    async fn read_body(&self, path: &str, name: &str) -> Option<Vec<u8>> {
        let file = self.runtime.read_file(path).await.ok();
        let body = file.and_then(|file| decode_frame(&file));
        if body.is_none() && !name.starts_with("bad") {
            self.runtime
                .log(&format!("ignoring damaged or unreadable file {path}"));
        }
        body
    }

    /// Loads the newest version of a name, as version and body; `None` if there is no version or the
    /// newest is damaged.
    pub async fn load(&self, folder: &str, name: &str) -> io::Result<Option<(u64, Vec<u8>)>> {
        let files = self.scan(folder).await?;
        Ok(files
            .into_iter()
            .find(|file| file.name == name)
            .and_then(|file| Some((file.version, file.body?))))
    }

    /// Checks that the disk can write, sync and remove a file of typical size.
    pub async fn probe(&self) -> io::Result<()> {
        let path = format!("{LOCAL_FOLDER}/.probe");
        self.runtime
            .write_file(&path, vec![0; DISK_PROBE_BYTES])
            .await?;
        self.runtime.sync(&path).await?;
        self.runtime.remove(&path).await?;
        self.runtime.sync(LOCAL_FOLDER).await
    }

    /// Whether the identity on the disk still equals the one read when it was opened.
    pub async fn identity_matches(&self) -> io::Result<bool> {
        let files = self.runtime.list(LOCAL_FOLDER).await?;
        let Some(newest) = versions_of(&files, IDENTITY_FILE).max() else {
            return Ok(false);
        };
        let path = version_path(LOCAL_FOLDER, IDENTITY_FILE, newest);
        let file = self.runtime.read_file(&path).await?;
        Ok(decode_frame(&file).is_some_and(|identity| identity == self.disk_id.as_bytes()))
    }
}
