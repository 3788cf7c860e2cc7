//! A process's startup file: read and checked whole before anything is bound.

use serde::{Deserialize, Serialize};
use snafu::Snafu;
use std::net::SocketAddr;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    Front,
    Core,
    Store,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProcessSettings {
    pub name: String,
    pub role: Role,
    pub site: String,
    /// Where other processes of the tier reach this one.
    pub peer: SocketAddr,
    /// Where callers (front) or operators (control) reach it.
    pub http: SocketAddr,
    /// Peer addresses of other processes, to find the tier by.
    pub seeds: Vec<SocketAddr>,
    /// Folder for state; control only.
    #[serde(default)]
    pub data: String,
    /// The platform's server list; core only.
    #[serde(default)]
    pub platform: Option<SocketAddr>,
    #[serde(default = "threads")]
    pub threads: usize,
    /// Newest frame version to speak; set it back while a tier is being upgraded or to go back.
    #[serde(default = "newest")]
    pub wire: u16,
    /// Found the tier without an operator; said only at the very first start, on empty disks.
    #[serde(default)]
    pub found: bool,
    #[serde(default)]
    pub bounds: Bounds,
}

/// What the place it runs in asks of the tier. Times in ms.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Bounds {
    /// Disk machines that may be lost at the same time.
    pub lost: usize,
    /// Zones that may be lost at the same time; each counts as one disk machine of a class.
    pub lost_zones: usize,
    /// Regions that may be lost at the same time; each counts as one disk machine of a class.
    pub lost_regions: usize,
    /// How often nodes ought to hear of each other.
    pub beat: u64,
    /// A node in touch this long is bound by the timed rules.
    pub contact: u64,
    /// An acknowledged configuration is in force everywhere.
    pub apply: u64,
    /// An operator's order is answered.
    pub ack: u64,
    /// No request reaches a server known to be leaving.
    pub drain: u64,
    /// From the word to stop until the process is killed.
    pub grace: u64,
    /// An empty disk is filled again.
    pub catch_up: u64,
    /// An event is passed on.
    pub pass: u64,
    /// Memory the process may use, MB; 0: unbounded.
    pub memory_mb: u64,
    /// Descriptors for sockets and data files; 0: unbounded.
    pub files: u64,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds {
            lost: 1,
            lost_zones: 0,
            lost_regions: 0,
            beat: 400,
            contact: 3_000,
            apply: 2_000,
            ack: 4_000,
            drain: 3_000,
            grace: 8_000,
            catch_up: 4_200,
            pass: 120,
            memory_mb: 0,
            files: 0,
        }
    }
}

fn newest() -> u16 {
    crate::constants::WIRE_VERSION
}

fn threads() -> usize {
    2
}

#[derive(Debug, Snafu)]
pub enum Fault {
    #[snafu(display("cannot read {path}: {source}"))]
    Unreadable {
        path: String,
        source: std::io::Error,
    },
    #[snafu(display("{path}: {why}"))]
    Malformed { path: String, why: String },
    #[snafu(display("{key}: {why}"))]
    Wrong { key: &'static str, why: String },
}

/// Process exit codes.
pub mod exit {
    pub const OK: i32 = 0;
    pub const USAGE: i32 = 2;
    pub const BAD_STARTUP: i32 = 3;
    pub const CANNOT_BIND: i32 = 4;
    pub const BAD_DISK: i32 = 5;
    pub const REPLACED: i32 = 6;
}

impl ProcessSettings {
    pub fn read(path: &str) -> Result<ProcessSettings, Fault> {
        let t = std::fs::read_to_string(path).map_err(|source| Fault::Unreadable {
            path: path.into(),
            source,
        })?;
        toml::from_str(&t).map_err(|e| Fault::Malformed {
            path: path.into(),
            why: e.message().to_string(),
        })
    }

    /// What a reload may bring: seeds and the platform's address. The rest needs a restart.
    pub fn reload(&self, path: &str) -> Result<ProcessSettings, String> {
        let n = ProcessSettings::read(path).map_err(|e| e.to_string())?;
        if let Some(e) = n.check(self.role == Role::Front).first() {
            return Err(e.to_string());
        }
        let fixed = |s: &ProcessSettings| {
            (
                s.name.clone(),
                s.role,
                s.site.clone(),
                s.peer,
                s.http,
                s.data.clone(),
                s.threads,
                s.wire,
            )
        };
        if fixed(&n) == fixed(self) {
            Ok(n)
        } else {
            Err("only seeds and platform can change without a restart".into())
        }
    }

    /// Every fault, not only the first.
    pub fn check(&self, front: bool) -> Vec<Fault> {
        let mut v = vec![];
        let mut no = |bad: bool, key: &'static str, why: &str| {
            if bad {
                v.push(Fault::Wrong {
                    key,
                    why: why.into(),
                });
            }
        };
        let plain = |s: &str| {
            !s.is_empty()
                && s.len() <= 64
                && s.bytes()
                    .all(|b| b.is_ascii_alphanumeric() || b == b'-' || b == b'_')
        };
        no(
            !plain(&self.name),
            "name",
            "must be 1 to 64 letters, digits, - or _",
        );
        no(
            !plain(&self.site),
            "site",
            "must be 1 to 64 letters, digits, - or _",
        );
        no(
            front != (self.role == Role::Front),
            "role",
            "this program does not run that role",
        );
        no(
            self.seeds.is_empty(),
            "seeds",
            "name at least one other process",
        );
        no(self.peer == self.http, "http", "must differ from peer");
        no(
            self.peer.ip().is_unspecified(),
            "peer",
            "must be an address others can reach",
        );
        no(
            !front && self.data.is_empty(),
            "data",
            "a folder is needed for this role",
        );
        no(
            !(crate::constants::WIRE_OLDEST..=crate::constants::WIRE_VERSION).contains(&self.wire),
            "wire",
            "not a version this program speaks",
        );
        no(
            !(1..=64).contains(&self.threads),
            "threads",
            "must be 1 to 64",
        );
        v
    }
}

/// Reads and checks, or prints every fault and ends the process.
pub fn load(path: &str, front: bool, only_check: bool) -> ProcessSettings {
    let s = ProcessSettings::read(path).unwrap_or_else(|e| {
        eprintln!("{e}");
        std::process::exit(exit::BAD_STARTUP)
    });
    let v = s.check(front);
    v.iter().for_each(|e| eprintln!("{path}: {e}"));
    if !v.is_empty() {
        std::process::exit(exit::BAD_STARTUP);
    }
    if only_check {
        println!("{path}: sound");
        std::process::exit(exit::OK);
    }
    s
}
