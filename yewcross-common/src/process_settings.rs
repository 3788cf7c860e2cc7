//! A process's settings: the startup file, which is read and validated before anything is bound.

use crate::constants::{WIRE_VERSION, WIRE_VERSION_MIN};
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

/// Bytes of a node's or site's name, at most.
const NAME_BYTES_MAX: usize = 64;

/// Threads that run tasks.
const THREADS_ALLOWED: RangeInclusive<usize> = 1..=64;

const THREADS_DEFAULT: usize = 2;

/// What a process does in the tier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Takes requests from callers and sends them to servers.
    Front,
    /// Holds the tier's documents; one of the cores runs the singleton tasks.
    Core,
    /// Holds sessions, turns and budgets.
    Store,
}

/// The startup file.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProcessSettings {
    /// Name of the node, unique in the tier.
    pub name: String,
    /// What the process does.
    pub role: Role,
    /// Site (failure domain) that it runs in.
    pub site: String,
    /// Address for requests of other processes of the tier.
    pub peer: SocketAddr,
    /// Address for requests of callers (front) or operators (core, store).
    pub http: SocketAddr,
    /// Peer addresses of other processes, by which this one joins the tier.
    pub seeds: Vec<SocketAddr>,
    /// Folder for state; core and store only.
    #[serde(default)]
    pub data: String,
    /// Address of the platform's server list; core only.
    #[serde(default)]
    pub platform: Option<SocketAddr>,
    /// Threads that run tasks.
    #[serde(default = "default_threads")]
    pub threads: usize,
    /// Newest frame version to speak; set to an older one while a tier is upgraded, or downgraded.
    #[serde(default = "default_wire_version")]
    pub wire: u16,
    /// Bootstrap the tier without an operator; set only for the very first start, on empty disks.
    #[serde(default)]
    #[serde(rename = "found")]
    pub bootstrap: bool,
    /// What the tier has to guarantee.
    #[serde(default)]
    pub bounds: Bounds,
}

/// What the tier has to guarantee where it runs. Times in ms.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Bounds {
    /// Nodes with disks that may be lost at the same time.
    pub lost: usize,
    /// Zones that may be lost at the same time; each counts as one node of a role.
    pub lost_zones: usize,
    /// Regions that may be lost at the same time; each counts as one node of a role.
    pub lost_regions: usize,
    /// Interval between the probes of a node.
    #[serde(rename = "beat")]
    pub probe_interval: u64,
    /// A node that has been in contact for this long is bound by the time limits.
    pub contact: u64,
    /// Until an acknowledged configuration is in force everywhere.
    pub apply: u64,
    /// Until an operator's order is answered.
    pub ack: u64,
    /// Until no request reaches a server known to be draining.
    pub drain: u64,
    /// From the signal to stop until the process is killed.
    pub grace: u64,
    /// Until an empty disk holds its replicas again.
    pub catch_up: u64,
    /// Until an event of a stream is forwarded.
    #[serde(rename = "pass")]
    pub event_forwarding: u64,
    /// Memory that the process may use, in MB; 0: unbounded.
    pub memory_mb: u64,
    /// File descriptors for sockets and data files; 0: unbounded.
    pub files: u64,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds {
            lost: 1,
            lost_zones: 0,
            lost_regions: 0,
            probe_interval: 400,
            contact: 3_000,
            apply: 2_000,
            ack: 4_000,
            drain: 3_000,
            grace: 8_000,
            catch_up: 4_200,
            event_forwarding: 120,
            memory_mb: 0,
            files: 0,
        }
    }
}

fn default_wire_version() -> u16 {
    WIRE_VERSION
}

fn default_threads() -> usize {
    THREADS_DEFAULT
}

/// Why settings cannot be used.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The file cannot be read.
    #[snafu(display("cannot read {path}: {source}"))]
    Unreadable {
        /// Path of the file.
        path: String,
        /// What the operating system says.
        source: std::io::Error,
    },
    /// The file is not TOML of the settings' form.
    #[snafu(display("{path}: {why}"))]
    Malformed {
        /// Path of the file.
        path: String,
        /// What is wrong, and where.
        why: String,
    },
    /// A setting has an invalid value.
    #[snafu(display("{key}: {why}"))]
    Invalid {
        /// Name of the setting.
        key: &'static str,
        /// What is allowed.
        why: &'static str,
    },
}

/// Process exit codes.
pub mod exit {
    /// The process did what it was started for.
    pub const OK: i32 = 0;
    /// The command line is wrong.
    pub const USAGE: i32 = 2;
    /// The startup file, or another input file, cannot be used.
    pub const BAD_STARTUP: i32 = 3;
    /// An address cannot be bound.
    pub const CANNOT_BIND: i32 = 4;
    /// The data folder cannot be used.
    pub const BAD_DISK: i32 = 5;
    /// A younger process of the same name has replaced this one.
    pub const REPLACED: i32 = 6;
}

impl ProcessSettings {
    /// Reads a startup file. The values are not validated yet, see [`ProcessSettings::check`].
    pub fn read(path: &str) -> Result<ProcessSettings, SettingsError> {
        let text = std::fs::read_to_string(path).map_err(|source| SettingsError::Unreadable {
            path: path.into(),
            source,
        })?;
        toml::from_str(&text).map_err(|error| SettingsError::Malformed {
            path: path.into(),
            why: error.message().to_string(),
        })
    }

    /// Reads the startup file again. Only seeds and the platform's address may have changed; `Err`
    /// says what is wrong.
    pub fn reload(&self, path: &str) -> Result<ProcessSettings, String> {
        let reloaded = ProcessSettings::read(path).map_err(|error| error.to_string())?;
        if let Some(error) = reloaded.validate(self.role == Role::Front).first() {
            return Err(error.to_string());
        }
        if reloaded.needs_restart(self) {
            return Err("only seeds and platform can change without a restart".into());
        }
        Ok(reloaded)
    }

    /// Whether a setting differs that is read at the start only.
    fn needs_restart(&self, running: &ProcessSettings) -> bool {
        self.name != running.name
            || self.role != running.role
            || self.site != running.site
            || self.peer != running.peer
            || self.http != running.http
            || self.data != running.data
            || self.threads != running.threads
            || self.wire != running.wire
    }

    /// Validates the settings for a front, or for a core or store: all errors, not just the first.
    pub fn validate(&self, front: bool) -> Vec<SettingsError> {
        const NAME_RULE: &str = "must be 1 to 64 letters, digits, - or _";
        let speaks_wire_version = (WIRE_VERSION_MIN..=WIRE_VERSION).contains(&self.wire);
        let checks = [
            (is_name(&self.name), "name", NAME_RULE),
            (is_name(&self.site), "site", NAME_RULE),
            (
                front == (self.role == Role::Front),
                "role",
                "this program does not run that role",
            ),
            (
                !self.seeds.is_empty(),
                "seeds",
                "name at least one other process",
            ),
            (self.peer != self.http, "http", "must differ from peer"),
            (
                !self.peer.ip().is_unspecified(),
                "peer",
                "must be an address others can reach",
            ),
            (
                front || !self.data.is_empty(),
                "data",
                "a folder is needed for this role",
            ),
            (
                speaks_wire_version,
                "wire",
                "not a version this program speaks",
            ),
            (
                THREADS_ALLOWED.contains(&self.threads),
                "threads",
                "must be 1 to 64",
            ),
        ];
        checks
            .into_iter()
            .filter(|(is_valid, _, _)| !is_valid)
            .map(|(_, key, why)| SettingsError::Invalid { key, why })
            .collect()
    }
}

fn is_name(text: &str) -> bool {
    (1..=NAME_BYTES_MAX).contains(&text.len())
        && text
            .bytes()
            .all(|byte| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_')
}

/// Reads and validates a startup file; prints all errors and ends the process where there are any.
/// With `only_check` the process ends in any case.
pub fn load(path: &str, front: bool, only_check: bool) -> ProcessSettings {
    let settings = ProcessSettings::read(path).unwrap_or_else(|error| {
        eprintln!("{error}");
        std::process::exit(exit::BAD_STARTUP)
    });
    let errors = settings.validate(front);
    for error in &errors {
        eprintln!("{path}: {error}");
    }
    if !errors.is_empty() {
        std::process::exit(exit::BAD_STARTUP);
    }
    if only_check {
        println!("{path}: sound");
        std::process::exit(exit::OK);
    }
    settings
}
