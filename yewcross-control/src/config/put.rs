//! Puts of configurations in a tier that numbers the versions itself and whose fronts hold serving
//! leases.
//!
//! A put is decided by a majority of the core disks and acknowledged once no front can serve by an
//! older version.

use super::decoding::{UnreadableDocument, decode_configuration};
use super::front_groups::{find_unavailable_group, front_groups};
use super::rollout::roll_out;
use crate::Control;
use snafu::Snafu;
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use yewcross_common::configuration::{Configuration, InvalidSetting};
use yewcross_common::constants::{PEER_REQUEST_TIMEOUT, PUT_TIMEOUT, RETAINED_VERSIONS};
use yewcross_common::error_code::Code;
use yewcross_common::protocol::ConfigDoc;
use yewcross_common::register::{ChangeError, ValueUpdate};

/// Reason why a put configuration is not confirmed to be in force.
#[derive(Clone, Debug, PartialEq, Snafu)]
pub enum PutError {
    #[snafu(display("the configuration has {} faults", faults.len()))]
    InvalidConfiguration { faults: Vec<InvalidSetting> },
    #[snafu(display("the tier has no layout yet"))]
    NotBootstrapped,
    /// The base of the put is not the newest version.
    #[snafu(display("newest is {newest}"))]
    Conflict { newest: u64 },
    /// A rollout could not complete, as in [`PutDecision::FrontsUnavailable`].
    #[snafu(display("{}", fault.reason))]
    FrontsUnavailable { fault: InvalidSetting },
    #[snafu(display("no majority of the core disks was reached; nothing is stored"))]
    NoMajority,
    /// The newest decided document cannot be decoded. It is left unchanged, and nothing is stored.
    #[snafu(context(false), display("{source}"))]
    Unreadable { source: UnreadableDocument },
    /// The put may be stored on some disks, and may still be decided.
    #[snafu(display("some disk may hold it"))]
    OutcomeUnknown,
    /// The put is decided, but the rollout was not confirmed in time.
    #[snafu(display("version {version} is stored, not yet proved in force"))]
    NotYetInForce { version: u64 },
}

impl PutError {
    /// The code of the answer to an operator.
    pub fn code(&self) -> Code {
        match self {
            PutError::InvalidConfiguration { .. } => Code::BadConfig,
            PutError::NotBootstrapped => Code::NotFounded,
            PutError::Conflict { .. } => Code::Conflict,
            PutError::FrontsUnavailable { .. } | PutError::NoMajority => Code::NoMajority,
            PutError::Unreadable { .. }
            | PutError::OutcomeUnknown
            | PutError::NotYetInForce { .. } => Code::Undecided,
        }
    }

    /// The detail of the answer to an operator; empty if the text of the code is sufficient.
    pub fn detail(&self) -> String {
        match self {
            PutError::InvalidConfiguration { .. }
            | PutError::NotBootstrapped
            | PutError::NoMajority => String::new(),
            _ => self.to_string(),
        }
    }
}

/// The parameters of one attempt to put a configuration.
pub struct PutAttempt<'a> {
    /// The version that it replaces.
    pub base: u64,
    /// Identifies this attempt in the document, so that a retry recognises its own change.
    pub id: &'a str,
    /// The complete configuration.
    pub text: &'a str,
    /// A remark that is stored with the version.
    pub note: &'a str,
}

/// The outcome of a put in the register.
#[derive(Clone, Debug, PartialEq)]
pub enum PutDecision {
    /// The configuration is stored as this version, by this or an earlier run of the same attempt.
    Stored { version: u64 },
    /// The attempt's base is not the newest version.
    Conflict { newest: u64 },
    /// A rollout could not complete, because a group of fronts has no majority up or cannot be
    /// determined.
    FrontsUnavailable(InvalidSetting),
    /// The value in the register cannot be decoded; it is not replaced.
    Unreadable(UnreadableDocument),
}

/// Validates a configuration, has it decided as the successor of version `base`, and rolls it out.
/// Returns its version once no front can serve by an older one. A dry run only validates the
/// configuration and compares `base` with the newest applied version.
pub async fn put(
    control: &Arc<Control>,
    base: u64,
    text: String,
    note: String,
    is_dry_run: bool,
) -> Result<u64, PutError> {
    if let Err(faults) = Configuration::read(text.as_bytes()) {
        return Err(PutError::InvalidConfiguration { faults });
    }
    if control.documents.layout.load().0 == 0 {
        return Err(PutError::NotBootstrapped);
    }
    if is_dry_run {
        let newest = control.documents.config.load().0;
        return if newest == base {
            Ok(base)
        } else {
            Err(PutError::Conflict { newest })
        };
    }
    control.counters.puts.fetch_add(1, SeqCst);
    let version = store(control, base, &text, &note).await?;
    roll_out_newest(control, version).await
}

/// Has the put decided by a majority of the core disks. Returns the version that it is stored as.
async fn store(control: &Arc<Control>, base: u64, text: &str, note: &str) -> Result<u64, PutError> {
    let id = format!(
        "{}-{:016x}",
        control.settings.name,
        control.runtime.random()
    );
    let attempt = PutAttempt {
        base,
        id: &id,
        text,
        note,
    };
    let nodes = control.members.view.load_full();
    let decision = control
        .registers
        .change("config", PUT_TIMEOUT, |version, value| {
            let in_force_version = control.in_force_version.load(SeqCst);
            decide_put(version, value, &attempt, in_force_version, |front| {
                nodes.contains_key(front)
            })
        })
        .await;
    match decision {
        Ok(PutDecision::Stored { version }) => Ok(version),
        Ok(PutDecision::Conflict { newest }) => Err(PutError::Conflict { newest }),
        Ok(PutDecision::FrontsUnavailable(fault)) => Err(PutError::FrontsUnavailable { fault }),
        Ok(PutDecision::Unreadable(source)) => {
            control.runtime.log(&source.to_string());
            Err(PutError::Unreadable { source })
        }
        Err(ChangeError::NotApplied | ChangeError::NotProposer) => Err(PutError::NoMajority),
        Err(ChangeError::Undecided) => Err(PutError::OutcomeUnknown),
    }
}

/// Rolls out the newest version: the stored one, or a later one that lists it among its superseded
/// versions.
async fn roll_out_newest(control: &Arc<Control>, version: u64) -> Result<u64, PutError> {
    let Ok((newest, ballot, content)) = control
        .registers
        .read_with_ballot("config", PEER_REQUEST_TIMEOUT)
        .await
    else {
        return Err(PutError::NotYetInForce { version });
    };
    if roll_out(control, "config", newest, ballot, &content).await {
        Ok(version)
    } else {
        Err(PutError::NotYetInForce { version })
    }
}

/// Decides a put on the register's value. The decision is idempotent: on a value that already
/// contains the change it gives the same result. An empty value is the document before the first
/// put; a value that cannot be decoded is kept.
pub fn decide_put(
    version: u64,
    value: &[u8],
    attempt: &PutAttempt,
    in_force_version: u64,
    is_up: impl Fn(&str) -> bool,
) -> ValueUpdate<PutDecision> {
    let document = match decode_configuration(value) {
        Ok(document) => document,
        Err(error) => return ValueUpdate::Keep(PutDecision::Unreadable(error)),
    };
    if let Some(version) = find_stored_version(&document, version, attempt.id) {
        return ValueUpdate::Keep(PutDecision::Stored { version });
    }
    if version != attempt.base {
        return ValueUpdate::Keep(PutDecision::Conflict { newest: version });
    }
    let next_document = successor(&document, version, attempt);
    let fault = find_history_gap(&next_document, in_force_version)
        .or_else(|| find_unavailable_group(&front_groups(&next_document, in_force_version), is_up));
    if let Some(fault) = fault {
        return ValueUpdate::Keep(PutDecision::FrontsUnavailable(fault));
    }
    // Cannot fail: the document consists of strings and numbers, which always serialise.
    let encoded = serde_json::to_vec(&next_document).unwrap_or_default();
    ValueUpdate::Write(
        encoded,
        PutDecision::Stored {
            version: version + 1,
        },
    )
}

/// The version that an attempt is stored as, if the document still lists it.
fn find_stored_version(document: &ConfigDoc, version: u64, id: &str) -> Option<u64> {
    if document.put_id == id {
        return Some(version);
    }
    let mut superseded = document.superseded.iter();
    superseded
        .find(|(_, superseded_id, _)| superseded_id == id)
        .map(|(superseded_version, _, _)| *superseded_version)
}

/// The document that replaces `document`, which is `version`, when the put is accepted.
fn successor(document: &ConfigDoc, version: u64, attempt: &PutAttempt) -> ConfigDoc {
    let mut superseded = document.superseded.clone();
    if version > 0 {
        superseded.insert(0, (version, document.put_id.clone(), document.text.clone()));
        superseded.truncate(RETAINED_VERSIONS);
    }
    ConfigDoc {
        text: attempt.text.into(),
        put_id: attempt.id.into(),
        note: attempt.note.into(),
        superseded,
        ..Default::default()
    }
}

/// Reports a fault if the document's superseded versions no longer reach back to the version in
/// force: a rollout could not determine the fronts of the versions that have been dropped.
fn find_history_gap(document: &ConfigDoc, in_force_version: u64) -> Option<InvalidSetting> {
    let (oldest, _, _) = document.superseded.last()?;
    let has_gap = document.superseded.len() == RETAINED_VERSIONS && *oldest > in_force_version;
    has_gap.then(|| InvalidSetting {
        path: "fronts".into(),
        reason: format!("none of the last {RETAINED_VERSIONS} versions is proved in force"),
    })
}
