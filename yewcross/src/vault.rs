//! Files under the data folder: one a version, written aside, synced, renamed, the folder synced.

use crate::consts::*;
use crate::world::*;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};

/// The first sealed body of several, and where the next begins.
pub fn unseal_first(v: &[u8]) -> Option<(&[u8], usize)> {
    let n = usize::try_from(u64::from_le_bytes(v.get(4..12)?.try_into().ok()?)).ok()?;
    let d = v.get(..n.checked_add(12)?)?;
    let c = v.get(n + 12..n + 16)?;
    (d[..4] == DISK_FORMAT.to_le_bytes() && c == crc32fast::hash(d).to_le_bytes()).then_some((&d[12..], n + 16))
}

pub struct Vault {
    pub w: World,
    pub id: String,
    pub failed: AtomicBool,
    pub syncs: AtomicU64,
    pub bytes: AtomicU64,
    aside: AtomicU64,
}

pub fn seal(body: &[u8]) -> Vec<u8> {
    let mut v = DISK_FORMAT.to_le_bytes().to_vec();
    v.extend((body.len() as u64).to_le_bytes());
    v.extend(body);
    v.extend(crc32fast::hash(&v).to_le_bytes());
    v
}

pub fn unseal(v: &[u8]) -> Option<Vec<u8>> {
    let (d, c) = v.split_at_checked(v.len().checked_sub(4)?)?;
    let n = u64::from_le_bytes(d.get(4..12)?.try_into().ok()?) as usize;
    let ok = c == crc32fast::hash(d).to_le_bytes() && d[..4] == DISK_FORMAT.to_le_bytes() && d.len() == n + 12;
    ok.then(|| d[12..].to_vec())
}

impl Vault {
    /// Opens the folder; an empty one gets an identity of its own, made here and nowhere else.
    pub async fn open(w: &World) -> io::Result<Arc<Vault>> {
        w.mkdir("local").await?;
        let mut v = Vault {
            w: w.clone(),
            id: String::new(),
            failed: AtomicBool::new(false),
            syncs: AtomicU64::new(0),
            bytes: AtomicU64::new(0),
            aside: AtomicU64::new(0),
        };
        let own = v.load("local", "disk").await?;
        v.id = match own {
            Some((_, b)) => String::from_utf8_lossy(&b).into_owned(),
            None => {
                let id = format!("d{:016x}", w.rand());
                v.keep("local", "disk", 1, id.as_bytes()).await?;
                id
            }
        };
        Ok(Arc::new(v))
    }

    /// Returns once the version is safe; any error marks the disk failed until restart.
    pub async fn keep(&self, dir: &str, name: &str, ver: u64, body: &[u8]) -> io::Result<()> {
        if self.failed.load(SeqCst) {
            return Err(io::Error::other("disk failed"));
        }
        let r = self.keep_inner(dir, name, ver, body).await;
        if r.is_err() {
            self.failed.store(true, SeqCst);
            self.w.log("disk failed; it takes no part until restart");
        }
        r
    }

    async fn keep_inner(&self, dir: &str, name: &str, ver: u64, body: &[u8]) -> io::Result<()> {
        let aside = format!("{dir}/.{name}-{}", self.aside.fetch_add(1, SeqCst));
        let at = format!("{dir}/{name}-{ver:016x}");
        self.w.keep(&aside, &at, dir, seal(body)).await?;
        self.syncs.fetch_add(2, SeqCst);
        self.bytes.fetch_add(body.len() as u64, SeqCst);
        if ver > 1 {
            let _ = self.w.remove(&format!("{dir}/{name}-{:016x}", ver - 1)).await;
        }
        Ok(())
    }

    /// Newest version of each name in the folder; `None` for a body that is damaged.
    pub async fn scan(&self, dir: &str) -> io::Result<Vec<(String, u64, Option<Vec<u8>>)>> {
        let mut out: Vec<(String, u64, Option<Vec<u8>>)> = vec![];
        for f in self.w.list(dir).await? {
            if f.starts_with('.') {
                let _ = self.w.remove(&format!("{dir}/{f}")).await;
                continue;
            }
            let Some((n, v)) = f.rsplit_once('-').and_then(|(n, v)| Some((n.to_string(), u64::from_str_radix(v, 16).ok()?))) else {
                continue;
            };
            let b = self.w.get(&format!("{dir}/{f}")).await.ok().and_then(|b| unseal(&b));
            if b.is_none() && !n.starts_with("bad") {
                self.w.log(&format!("damaged file {dir}/{f} put aside"));
            }
            match out.last_mut().filter(|x| x.0 == n) {
                Some(x) if v > x.1 => *x = (n, v, b),
                Some(_) => {}
                None => out.push((n, v, b)),
            }
        }
        Ok(out)
    }

    pub async fn load(&self, dir: &str, name: &str) -> io::Result<Option<(u64, Vec<u8>)>> {
        let v = self.scan(dir).await?;
        Ok(v.into_iter().find(|x| x.0 == name).and_then(|(_, v, b)| b.map(|b| (v, b))))
    }
}
