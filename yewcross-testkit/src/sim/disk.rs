//! A machine's disk: names and contents that are safe, and those that are not yet.
//!
//! Contents are safe once their file was synced, names once their folder was. A loss of power keeps
//! or loses each name by itself that was made, renamed or removed since; of writes after the last
//! sync of a file, any part is present, missing or torn.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::sync::Arc;

#[derive(Clone, Default)]
struct File {
    data: Arc<Vec<u8>>,
    synced: bool,
}

#[derive(Default)]
pub struct Disk {
    live: BTreeMap<String, File>,
    safe: BTreeMap<String, Arc<Vec<u8>>>,
    folders: BTreeSet<String>,
    safe_folders: BTreeSet<String>,
    pub stalled: bool,
    pub full: bool,
    pub failing: bool,
    /// Every operation takes so many times as long; 0 as 1.
    pub slowness: u64,
    /// Says that it synced, and did not.
    pub ignores_syncs: bool,
    /// Power goes so many us after so many more syncs.
    pub planned_power_loss: Option<(u64, u64)>,
    /// Bytes that may yet be written.
    pub free_bytes: Option<usize>,
    pub sync_count: u64,
}

/// Whether the path names something directly in the folder; the root is the empty folder.
fn is_in(folder: &str, path: &str) -> bool {
    let rest = if folder.is_empty() {
        Some(path)
    } else {
        path.strip_prefix(folder).and_then(|r| r.strip_prefix('/'))
    };
    rest.is_some_and(|r| !r.is_empty() && !r.contains('/'))
}

fn parent(path: &str) -> &str {
    path.rsplit_once('/').map_or("", |x| x.0)
}

/// Either of two, by lot, where they differ.
fn either<T: PartialEq>(live: Option<T>, safe: Option<T>, random: &mut fastrand::Rng) -> Option<T> {
    if live == safe || random.bool() {
        live
    } else {
        safe
    }
}

impl Disk {
    /// What a loss of power leaves.
    pub(super) fn lose_power(&mut self, random: &mut fastrand::Rng) {
        let folders = self.folders_left(random);
        let names: BTreeSet<String> = self.live.keys().chain(self.safe.keys()).cloned().collect();
        let mut left = BTreeMap::new();
        for name in names {
            let live = self
                .live
                .get(&name)
                .map(|file| self.contents_left(&name, file, random));
            let safe = self.safe.get(&name).cloned();
            let kept = either(live, safe, random);
            if let Some(data) = kept.filter(|_| folders.contains(parent(&name))) {
                left.insert(name, data);
            }
        }
        self.live = left
            .iter()
            .map(|(k, d)| {
                (
                    k.clone(),
                    File {
                        data: d.clone(),
                        synced: true,
                    },
                )
            })
            .collect();
        self.safe = left;
        self.safe_folders = folders.clone();
        self.folders = folders;
        self.stalled = false;
    }

    /// A folder whose name is lost takes with it what is in it.
    fn folders_left(&self, random: &mut fastrand::Rng) -> BTreeSet<String> {
        let mut left: BTreeSet<String> = [String::new()].into();
        for folder in self.folders.union(&self.safe_folders) {
            let kept = self.safe_folders.contains(folder) || random.bool();
            if kept && left.contains(parent(folder)) {
                left.insert(folder.clone());
            }
        }
        left
    }

    /// What a sync had made safe stays, however much of the rest is torn.
    fn contents_left(&self, name: &str, file: &File, random: &mut fastrand::Rng) -> Arc<Vec<u8>> {
        if file.synced {
            return file.data.clone();
        }
        let safe = self
            .safe
            .get(name)
            .filter(|s| file.data.starts_with(s))
            .map_or(0, |s| s.len());
        let end = safe + random.usize(0..=file.data.len() - safe);
        let mut data = file.data[..end].to_vec();
        if random.u8(0..4) == 0 && end > safe {
            // A later block was written, and an earlier one was not.
            let hole = random.usize(safe..end);
            data[safe..hole].fill(0);
        }
        Arc::new(data)
    }

    /// Turns one bit of some stored key file; returns its name.
    pub fn flip_key_file_bit(&mut self, r: u64) -> Option<String> {
        self.flip_bit("keys/", r)
    }

    /// Bytes in a folder and those beneath it.
    pub fn bytes_under(&self, dir: &str) -> u64 {
        self.live
            .iter()
            .filter(|x| x.0.starts_with(dir))
            .map(|x| x.1.data.len() as u64)
            .sum()
    }

    /// Turns one bit of some file of the folder; returns its name.
    pub fn flip_bit(&mut self, dir: &str, r: u64) -> Option<String> {
        let v: Vec<String> = self
            .live
            .keys()
            .filter(|k| k.starts_with(dir))
            .cloned()
            .collect();
        let n = v.get(r as usize % v.len().max(1))?.clone();
        let mut d = self.live.get(&n)?.data.to_vec();
        let i = (r >> 16) as usize % d.len().max(1);
        *d.get_mut(i)? ^= 1 << (r % 8);
        let d = Arc::new(d);
        self.live.insert(
            n.clone(),
            File {
                data: d.clone(),
                synced: true,
            },
        );
        self.safe.insert(n.clone(), d);
        Some(n)
    }

    pub fn file_count(&self) -> usize {
        self.live.len()
    }

    /// Names of files in a folder and beneath it.
    pub fn files_under(&self, dir: &str) -> Vec<String> {
        self.live
            .keys()
            .filter(|k| k.starts_with(dir))
            .cloned()
            .collect()
    }

    /// Syncs a file's contents, or a folder's names.
    pub(super) fn sync(&mut self, path: &str) {
        self.sync_count += 1;
        if self.ignores_syncs {
            return;
        }
        if let Some(file) = self.live.get_mut(path) {
            file.synced = true;
            let data = file.data.clone();
            self.safe
                .get_mut(path)
                .into_iter()
                .for_each(|s| *s = data.clone());
            return;
        }
        let named: Vec<(String, Arc<Vec<u8>>)> = self
            .live
            .iter()
            .filter(|x| is_in(path, x.0))
            .map(|(k, f)| {
                (
                    k.clone(),
                    if f.synced {
                        f.data.clone()
                    } else {
                        self.safe.get(k).cloned().unwrap_or_default()
                    },
                )
            })
            .collect();
        self.safe.retain(|k, _| !is_in(path, k));
        self.safe.extend(named);
        self.safe_folders.retain(|f| !is_in(path, f));
        self.safe_folders
            .extend(self.folders.iter().filter(|f| is_in(path, f)).cloned());
    }

    /// Makes a folder and those above it.
    pub(super) fn make_folder(&mut self, path: &str) {
        let mut at = path;
        while !at.is_empty() {
            self.folders.insert(at.into());
            at = parent(at);
        }
    }

    fn has_folder(&self, path: &str) -> bool {
        path.is_empty() || self.folders.contains(path)
    }

    /// Whether there is room for so many bytes more, which then are taken.
    fn take_room(&mut self, bytes: usize) -> io::Result<()> {
        let short = self.free_bytes.is_some_and(|room| room < bytes);
        self.free_bytes = self.free_bytes.map(|room| room.saturating_sub(bytes));
        if self.full || short {
            Err(io::ErrorKind::StorageFull.into())
        } else {
            Ok(())
        }
    }

    pub(super) fn write(&mut self, path: String, data: Vec<u8>) -> io::Result<()> {
        self.take_room(data.len())?;
        if !self.has_folder(parent(&path)) {
            return Err(io::ErrorKind::NotFound.into());
        }
        self.live.insert(
            path,
            File {
                data: Arc::new(data),
                synced: false,
            },
        );
        Ok(())
    }

    /// Tells whether the file is new.
    pub(super) fn append(&mut self, path: String, data: Vec<u8>) -> io::Result<bool> {
        self.take_room(data.len())?;
        if !self.has_folder(parent(&path)) {
            return Err(io::ErrorKind::NotFound.into());
        }
        let new = !self.live.contains_key(&path);
        let file = self.live.entry(path).or_default();
        file.synced = false;
        Arc::make_mut(&mut file.data).extend(data);
        Ok(new)
    }

    pub(super) fn rename(&mut self, from: &str, to: String) -> io::Result<()> {
        let file = self.live.remove(from).ok_or(io::ErrorKind::NotFound)?;
        self.live.insert(to, file);
        Ok(())
    }

    pub(super) fn remove(&mut self, path: &str) -> io::Result<()> {
        self.live
            .remove(path)
            .map(|_| ())
            .ok_or(io::ErrorKind::NotFound.into())
    }

    pub(super) fn read(&self, path: &str) -> io::Result<Vec<u8>> {
        self.live
            .get(path)
            .map(|f| f.data.to_vec())
            .ok_or(io::ErrorKind::NotFound.into())
    }

    /// Files directly in the folder.
    pub(super) fn list(&self, folder: &str) -> io::Result<Vec<String>> {
        if !self.has_folder(folder) {
            return Err(io::ErrorKind::NotFound.into());
        }
        let inside = self.live.keys().filter(|k| is_in(folder, k));
        Ok(inside
            .map(|k| k.rsplit_once('/').map_or(k.as_str(), |x| x.1).to_string())
            .collect())
    }
}
