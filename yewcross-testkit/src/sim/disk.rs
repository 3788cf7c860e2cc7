//! A machine's disk, with its durable state and the state that a power loss may discard.
//!
//! The contents of a file are durable once the file was synced, its name once its directory was.
//! At a power loss each name that was created, renamed or removed since the last sync of its
//! directory is independently kept or lost. Of the writes since the last sync of a file, any part
//! may be present, missing or torn.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::sync::Arc;

/// The current contents of a file, and whether they are synced.
#[derive(Clone, Default)]
struct File {
    data: Arc<Vec<u8>>,
    is_synced: bool,
}

/// A simulated disk and the faults that it shows.
#[derive(Default)]
pub struct Disk {
    /// The files as processes see them, by path.
    current: BTreeMap<String, File>,
    /// The synced contents of the files whose names are durable, by path.
    durable: BTreeMap<String, Arc<Vec<u8>>>,
    directories: BTreeSet<String>,
    /// The directories whose parent directory was synced since they were created.
    durable_directories: BTreeSet<String>,
    /// Operations wait until this is reset.
    pub stalled: bool,
    /// Writes fail for lack of space.
    pub full: bool,
    /// Every operation fails with an input/output error.
    pub failing: bool,
    /// Factor by which every operation takes longer; 0 counts as 1.
    pub slowness: u64,
    /// Syncs are acknowledged without being performed.
    pub ignores_syncs: bool,
    /// A planned power loss: the number of syncs that precede it, and the us between the last of
    /// them and the power loss.
    pub planned_power_loss: Option<(u64, u64)>,
    /// Bytes that can still be written; None for no limit.
    pub free_bytes: Option<usize>,
    /// Syncs acknowledged so far, including ignored ones.
    pub sync_count: u64,
}

/// Whether the path is a direct child of the directory; the root directory is the empty path.
fn is_direct_child(directory: &str, path: &str) -> bool {
    let relative = if directory.is_empty() {
        Some(path)
    } else {
        path.strip_prefix(directory)
            .and_then(|rest| rest.strip_prefix('/'))
    };
    relative.is_some_and(|name| !name.is_empty() && !name.contains('/'))
}

fn parent(path: &str) -> &str {
    path.rsplit_once('/').map_or("", |parts| parts.0)
}

/// Chooses at random between the current and the durable version if they differ.
fn pick_version<T: PartialEq>(
    current: Option<T>,
    durable: Option<T>,
    random: &mut fastrand::Rng,
) -> Option<T> {
    if current == durable || random.bool() {
        current
    } else {
        durable
    }
}

impl Disk {
    /// Replaces the contents by those that remain after a power loss.
    pub(super) fn lose_power(&mut self, random: &mut fastrand::Rng) {
        let directories = self.surviving_directories(random);
        let names: BTreeSet<String> = self
            .current
            .keys()
            .chain(self.durable.keys())
            .cloned()
            .collect();
        let mut remaining = BTreeMap::new();
        for name in names {
            let current = self
                .current
                .get(&name)
                .map(|file| self.surviving_contents(&name, file, random));
            let durable = self.durable.get(&name).cloned();
            let kept = pick_version(current, durable, random);
            if let Some(data) = kept.filter(|_| directories.contains(parent(&name))) {
                remaining.insert(name, data);
            }
        }
        self.current = remaining
            .iter()
            .map(|(path, data)| {
                (
                    path.clone(),
                    File {
                        data: data.clone(),
                        is_synced: true,
                    },
                )
            })
            .collect();
        self.durable = remaining;
        self.durable_directories = directories.clone();
        self.directories = directories;
        self.stalled = false;
    }

    /// The directories that remain after a power loss. A lost directory also loses everything in
    /// it.
    fn surviving_directories(&self, random: &mut fastrand::Rng) -> BTreeSet<String> {
        let mut remaining: BTreeSet<String> = [String::new()].into();
        for directory in self.directories.union(&self.durable_directories) {
            let is_kept = self.durable_directories.contains(directory) || random.bool();
            if is_kept && remaining.contains(parent(directory)) {
                remaining.insert(directory.clone());
            }
        }
        remaining
    }

    /// The contents of a file that remain after a power loss: all bytes made durable by a sync, and
    /// a random, possibly torn, part of the bytes appended since.
    fn surviving_contents(
        &self,
        name: &str,
        file: &File,
        random: &mut fastrand::Rng,
    ) -> Arc<Vec<u8>> {
        if file.is_synced {
            return file.data.clone();
        }
        let durable = self
            .durable
            .get(name)
            .filter(|durable| file.data.starts_with(durable))
            .map_or(0, |durable| durable.len());
        let end = durable + random.usize(0..=file.data.len() - durable);
        let mut data = file.data[..end].to_vec();
        if random.u8(0..4) == 0 && end > durable {
            // A later block was written, and an earlier one was not.
            let hole_end = random.usize(durable..end);
            data[durable..hole_end].fill(0);
        }
        Arc::new(data)
    }

    /// Flips one bit of a key file, both drawn from `random`; returns the file's path.
    pub fn flip_key_file_bit(&mut self, random: u64) -> Option<String> {
        self.flip_bit("keys/", random)
    }

    /// Total size in bytes of the files whose paths start with the prefix.
    pub fn bytes_under(&self, prefix: &str) -> u64 {
        self.current
            .iter()
            .filter(|entry| entry.0.starts_with(prefix))
            .map(|entry| entry.1.data.len() as u64)
            .sum()
    }

    /// Flips one bit of a file whose path starts with the prefix, both drawn from `random`, in its
    /// current and durable contents; returns the file's path.
    pub fn flip_bit(&mut self, prefix: &str, random: u64) -> Option<String> {
        let paths: Vec<String> = self
            .current
            .keys()
            .filter(|path| path.starts_with(prefix))
            .cloned()
            .collect();
        let path = paths.get(random as usize % paths.len().max(1))?.clone();
        let mut data = self.current.get(&path)?.data.to_vec();
        let index = (random >> 16) as usize % data.len().max(1);
        *data.get_mut(index)? ^= 1 << (random % 8);
        let data = Arc::new(data);
        self.current.insert(
            path.clone(),
            File {
                data: data.clone(),
                is_synced: true,
            },
        );
        self.durable.insert(path.clone(), data);
        Some(path)
    }

    /// Number of files on the disk.
    pub fn file_count(&self) -> usize {
        self.current.len()
    }

    /// Paths of the files whose paths start with the prefix.
    pub fn files_under(&self, prefix: &str) -> Vec<String> {
        self.current
            .keys()
            .filter(|path| path.starts_with(prefix))
            .cloned()
            .collect()
    }

    /// Makes the contents of a file, or the names in a directory, durable.
    pub(super) fn sync(&mut self, path: &str) {
        self.sync_count += 1;
        if self.ignores_syncs {
            return;
        }
        if let Some(file) = self.current.get_mut(path) {
            file.is_synced = true;
            let data = file.data.clone();
            self.durable
                .get_mut(path)
                .into_iter()
                .for_each(|durable| *durable = data.clone());
            return;
        }
        let durable_names: Vec<(String, Arc<Vec<u8>>)> = self
            .current
            .iter()
            .filter(|entry| is_direct_child(path, entry.0))
            .map(|(name, file)| {
                (
                    name.clone(),
                    if file.is_synced {
                        file.data.clone()
                    } else {
                        self.durable.get(name).cloned().unwrap_or_default()
                    },
                )
            })
            .collect();
        self.durable.retain(|name, _| !is_direct_child(path, name));
        self.durable.extend(durable_names);
        self.durable_directories
            .retain(|directory| !is_direct_child(path, directory));
        self.durable_directories.extend(
            self.directories
                .iter()
                .filter(|directory| is_direct_child(path, directory))
                .cloned(),
        );
    }

    /// Creates a directory and its missing ancestors.
    pub(super) fn create_directory(&mut self, path: &str) {
        let mut directory = path;
        while !directory.is_empty() {
            self.directories.insert(directory.into());
            directory = parent(directory);
        }
    }

    fn has_directory(&self, path: &str) -> bool {
        path.is_empty() || self.directories.contains(path)
    }

    /// Reserves space for `bytes`. Fails if the disk is full or its free space is too small.
    fn reserve_space(&mut self, bytes: usize) -> io::Result<()> {
        let is_insufficient = self.free_bytes.is_some_and(|free| free < bytes);
        self.free_bytes = self.free_bytes.map(|free| free.saturating_sub(bytes));
        if self.full || is_insufficient {
            Err(io::ErrorKind::StorageFull.into())
        } else {
            Ok(())
        }
    }

    /// Replaces the contents of a file, creating it if it is missing.
    pub(super) fn write(&mut self, path: String, data: Vec<u8>) -> io::Result<()> {
        self.reserve_space(data.len())?;
        if !self.has_directory(parent(&path)) {
            return Err(io::ErrorKind::NotFound.into());
        }
        self.current.insert(
            path,
            File {
                data: Arc::new(data),
                is_synced: false,
            },
        );
        Ok(())
    }

    /// Appends to a file, creating it if it is missing. Returns whether it was created.
    pub(super) fn append(&mut self, path: String, data: Vec<u8>) -> io::Result<bool> {
        self.reserve_space(data.len())?;
        if !self.has_directory(parent(&path)) {
            return Err(io::ErrorKind::NotFound.into());
        }
        let is_new = !self.current.contains_key(&path);
        let file = self.current.entry(path).or_default();
        file.is_synced = false;
        Arc::make_mut(&mut file.data).extend(data);
        Ok(is_new)
    }

    pub(super) fn rename(&mut self, from: &str, to: String) -> io::Result<()> {
        let file = self.current.remove(from).ok_or(io::ErrorKind::NotFound)?;
        self.current.insert(to, file);
        Ok(())
    }

    pub(super) fn remove(&mut self, path: &str) -> io::Result<()> {
        self.current
            .remove(path)
            .map(|_| ())
            .ok_or(io::ErrorKind::NotFound.into())
    }

    pub(super) fn read(&self, path: &str) -> io::Result<Vec<u8>> {
        self.current
            .get(path)
            .map(|file| file.data.to_vec())
            .ok_or(io::ErrorKind::NotFound.into())
    }

    /// Names of the files directly in the directory.
    pub(super) fn list(&self, directory: &str) -> io::Result<Vec<String>> {
        if !self.has_directory(directory) {
            return Err(io::ErrorKind::NotFound.into());
        }
        let children = self
            .current
            .keys()
            .filter(|path| is_direct_child(directory, path));
        Ok(children
            .map(|path| {
                path.rsplit_once('/')
                    .map_or(path.as_str(), |parts| parts.1)
                    .to_string()
            })
            .collect())
    }
}
