//! Process settings: the startup file, which is read and validated before any socket is bound.

use crate::constants::{MS, SHUTDOWN_RESERVE, START_TIMEOUT_MS, WIRE_VERSION, WIRE_VERSION_MIN};
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

/// Maximum length of the name of a node or site, in bytes.
const NAME_BYTES_MAX: usize = 64;

/// Allowed numbers of threads that run tasks.
const THREADS_ALLOWED: RangeInclusive<usize> = 1..=64;

/// Number of threads that run tasks, unless set.
const THREADS_DEFAULT: usize = 2;

/// The role of a process in the tier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Accepts requests from callers and forwards them to servers.
    Front,
    /// Stores the tier's documents; one of the cores runs the singleton tasks.
    Core,
    /// Stores sessions, turns and budgets.
    Store,
}

impl Role {
    /// The name of the role in settings and logs.
    pub fn name(self) -> &'static str {
        match self {
            Role::Front => "front",
            Role::Core => "core",
            Role::Store => "store",
        }
    }
}

/// The contents of the startup file.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProcessSettings {
    /// Name of the node, unique in the tier.
    pub name: String,
    /// Role of the process.
    pub role: Role,
    /// Site (failure domain) that the process runs in.
    pub site: String,
    /// Listening address for requests of other processes of the tier.
    pub peer: SocketAddr,
    /// Listening address for requests of callers (front) or operators (core, store).
    pub http: SocketAddr,
    /// Peer addresses of other processes, which this one contacts to join the tier.
    pub seeds: Vec<SocketAddr>,
    /// Data folder for durable state; core and store only.
    #[serde(default)]
    pub data: String,
    /// Address of the platform's server list; core only.
    #[serde(default)]
    pub platform: Option<SocketAddr>,
    /// Number of threads that run tasks.
    #[serde(default = "default_threads")]
    pub threads: usize,
    /// Newest frame version to use; set to an older one while a tier is being upgraded or downgraded.
    #[serde(default = "default_wire_version")]
    pub wire: u16,
    /// Bootstrap the tier without an operator; set only for the first start of a tier, with empty
    /// disks.
    #[serde(default)]
    #[serde(rename = "found")]
    pub bootstrap: bool,
    /// Longest time in ms that the start waits for an address or a data folder in use, or for a disk
    /// that does not accept writes.
    #[serde(default = "default_start_timeout_ms")]
    pub start_timeout_ms: u64,
    /// Guarantees that the tier has to provide.
    #[serde(default)]
    pub bounds: Bounds,
}

/// The fault tolerance, time limits and resource limits of a deployment. Times are in ms.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Bounds {
    /// Number of nodes with disks that may be lost at the same time.
    pub lost: usize,
    /// Number of zones that may be lost at the same time; each counts as one node of a role.
    pub lost_zones: usize,
    /// Number of regions that may be lost at the same time; each counts as one node of a role.
    pub lost_regions: usize,
    /// Interval between the probes of a node.
    #[serde(rename = "beat")]
    pub probe_interval: u64,
    /// The time limits apply to a node once it has been in contact for this long.
    pub contact: u64,
    /// Time limit until an acknowledged configuration is applied on all nodes.
    pub apply: u64,
    /// Time limit until an operator's request is answered.
    pub ack: u64,
    /// Time limit until requests are no longer sent to a server that is draining.
    pub drain: u64,
    /// Time from the termination signal until the process is killed.
    pub grace: u64,
    /// Time limit until the replicas on an empty disk are restored.
    pub catch_up: u64,
    /// Time limit until an event of a stream is forwarded.
    #[serde(rename = "pass")]
    pub event_forwarding: u64,
    /// Memory limit of the process, in MB; 0 for no limit.
    pub memory_mb: u64,
    /// Limit of file descriptors for sockets and data files; 0 for no limit.
    pub files: u64,
}

impl Bounds {
    /// Time in µs from the termination signal until a process that still answers requests ends by
    /// itself.
    pub fn shutdown_time(&self) -> u64 {
        (self.grace * MS).saturating_sub(SHUTDOWN_RESERVE)
    }
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

fn default_start_timeout_ms() -> u64 {
    START_TIMEOUT_MS
}

/// The reason why settings cannot be used.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The file cannot be read.
    #[snafu(display("cannot read {path}: {source}"))]
    Unreadable {
        /// Path of the file.
        path: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The file is not valid TOML, or does not have the structure of [`ProcessSettings`].
    #[snafu(display("{path}: {reason}"))]
    Malformed {
        /// Path of the file.
        path: String,
        /// Message of the TOML parser.
        reason: String,
    },
    /// A setting has an invalid value.
    #[snafu(display("{key}: {reason}"))]
    Invalid {
        /// Name of the setting.
        key: &'static str,
        /// The rule that the value violates.
        reason: &'static str,
    },
}

/// Process exit codes.
pub mod exit {
    /// The process completed successfully.
    pub const OK: i32 = 0;
    /// The command line is invalid.
    pub const USAGE: i32 = 2;
    /// The startup file or another input file is missing or invalid.
    pub const BAD_STARTUP: i32 = 3;
    /// An address cannot be bound.
    pub const CANNOT_BIND: i32 = 4;
    /// The data folder cannot be used.
    pub const BAD_DISK: i32 = 5;
    /// A process with the same name that was started later has replaced this one.
    pub const REPLACED: i32 = 6;
    /// A task without which the process cannot do its work panicked.
    pub const TASK_PANICKED: i32 = 7;
}

impl ProcessSettings {
    /// Longest wait at the start, in µs.
    pub fn start_timeout(&self) -> u64 {
        self.start_timeout_ms * MS
    }

    /// Reads a startup file without validating the values, see [`ProcessSettings::validate`].
    pub fn read(path: &str) -> Result<ProcessSettings, SettingsError> {
        let text = std::fs::read_to_string(path).map_err(|source| SettingsError::Unreadable {
            path: path.into(),
            source,
        })?;
        toml::from_str(&text).map_err(|error| SettingsError::Malformed {
            path: path.into(),
            reason: error.message().to_string(),
        })
    }

    /// Reads the startup file again and validates it. Only the seeds and the platform's address may
    /// have changed; `Err` contains the reason for a rejection.
    pub fn reload(&self, path: &str) -> Result<ProcessSettings, String> {
        let reloaded = ProcessSettings::read(path).map_err(|error| error.to_string())?;
        if let Some(error) = reloaded
            .validate_startup_file(self.role == Role::Front)
            .first()
        {
            return Err(error.to_string());
        }
        if reloaded.needs_restart(self) {
            return Err("only seeds and platform can change without a restart".into());
        }
        Ok(reloaded)
    }

    /// Whether any setting differs that is read only at the start of the process.
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

    /// Validates settings that an operator writes: like [`ProcessSettings::validate`], but a process
    /// that knows no seed is taken for a mistake.
    pub fn validate_startup_file(&self, is_front: bool) -> Vec<SettingsError> {
        let mut errors = self.validate(is_front);
        if self.seeds.is_empty() {
            errors.push(SettingsError::Invalid {
                key: "seeds",
                reason: "must list at least one other process",
            });
        }
        errors
    }

    /// Validates the settings for a front, or else for a core or store. Returns all errors. Seeds may
    /// be missing: a process without them waits until others contact it or a reload names some.
    pub fn validate(&self, is_front: bool) -> Vec<SettingsError> {
        const NAME_RULE: &str = "must be 1 to 64 letters, digits, - or _";
        let supports_wire_version = (WIRE_VERSION_MIN..=WIRE_VERSION).contains(&self.wire);
        let checks = [
            (is_valid_name(&self.name), "name", NAME_RULE),
            (is_valid_name(&self.site), "site", NAME_RULE),
            (
                is_front == (self.role == Role::Front),
                "role",
                "this program does not support the role",
            ),
            (self.peer != self.http, "http", "must differ from peer"),
            (
                !self.peer.ip().is_unspecified(),
                "peer",
                "must be an address that other processes can reach",
            ),
            (
                is_front || !self.data.is_empty(),
                "data",
                "a data folder is required for this role",
            ),
            (
                supports_wire_version,
                "wire",
                "not a frame version that this program supports",
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
            .map(|(_, key, reason)| SettingsError::Invalid { key, reason })
            .collect()
    }
}

/// Whether a text is a valid name of a node or site.
fn is_valid_name(text: &str) -> bool {
    (1..=NAME_BYTES_MAX).contains(&text.len())
        && text
            .bytes()
            .all(|byte| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_')
}

/// Reads and validates a startup file. On errors, prints all of them and exits the process. With
/// `only_check`, also exits the process if the settings are valid.
pub fn load(path: &str, is_front: bool, only_check: bool) -> ProcessSettings {
    let settings = ProcessSettings::read(path).unwrap_or_else(|error| {
        eprintln!("{error}");
        std::process::exit(exit::BAD_STARTUP)
    });
    let errors = settings.validate_startup_file(is_front);
    for error in &errors {
        eprintln!("{path}: {error}");
    }
    if !errors.is_empty() {
        std::process::exit(exit::BAD_STARTUP);
    }
    if only_check {
        println!("{path}: valid");
        std::process::exit(exit::OK);
    }
    settings
}
