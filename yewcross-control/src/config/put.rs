//! Putting a configuration in force where the tier numbers the versions and fronts hold serving
//! leases.
//!
//! A put is decided by a majority of the core disks and answered once no front can serve by an
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

/// Why a configuration is not known to be in force.
#[derive(Clone, Debug, PartialEq, Snafu)]
pub enum PutError {
    #[snafu(display("the configuration has {} faults", faults.len()))]
    InvalidConfiguration { faults: Vec<InvalidSetting> },
    #[snafu(display("the tier has no layout yet"))]
    NotBootstrapped,
    #[snafu(display("newest is {newest}"))]
    Conflict { newest: u64 },
    #[snafu(display("{}", fault.reason))]
    FrontsUnavailable { fault: InvalidSetting },
    #[snafu(display("no majority of the core disks was reached; nothing is stored"))]
    NoMajority,
    /// The newest decided document is left as it is, and nothing is stored.
    #[snafu(context(false), display("{source}"))]
    Unreadable { source: UnreadableDocument },
    #[snafu(display("some disk may hold it"))]
    OutcomeUnknown,
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

    /// What the answer says beyond the text of its code; empty where that says all.
    pub fn detail(&self) -> String {
        match self {
            PutError::InvalidConfiguration { .. }
            | PutError::NotBootstrapped
            | PutError::NoMajority => String::new(),
            _ => self.to_string(),
        }
    }
}

/// One put, as it is decided.
pub struct PutAttempt<'a> {
    /// The version that it replaces.
    pub base: u64,
    /// Names this attempt in the document, so that it knows its own change again.
    pub id: &'a str,
    pub text: &'a str,
    pub note: &'a str,
}

/// What a put came to in the register.
#[derive(Clone, Debug, PartialEq)]
pub enum PutDecision {
    /// It is this version, now or since an earlier try of the same attempt.
    Stored { version: u64 },
    /// It names another version than the newest.
    Conflict { newest: u64 },
    /// No rollout could complete now.
    FrontsUnavailable(InvalidSetting),
    /// The document in the register is not one; it is not replaced.
    Unreadable(UnreadableDocument),
}

/// Checks a configuration, has it decided on top of version `base`, and rolls it out. Returns its
/// version once no front can serve by an older one. A dry run checks only.
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

/// Has the put decided by a majority of the core disks.
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

/// Rolls the newest version out: the stored one, or one that followed and has it among its past.
async fn roll_out_newest(control: &Arc<Control>, version: u64) -> Result<u64, PutError> {
    let Ok((newest, epoch, content)) = control
        .registers
        .read_with_ballot("config", PEER_REQUEST_TIMEOUT)
        .await
    else {
        return Err(PutError::NotYetInForce { version });
    };
    if roll_out(control, "config", newest, epoch, &content).await {
        Ok(version)
    } else {
        Err(PutError::NotYetInForce { version })
    }
}

/// What a put makes of the register's value. Run again on a value that has its change, it comes to
/// the same. An empty value is the document before the first put; one that cannot be read is kept.
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
    if let Some(version) = version_of(&document, version, attempt.id) {
        return ValueUpdate::Keep(PutDecision::Stored { version });
    }
    if version != attempt.base {
        return ValueUpdate::Keep(PutDecision::Conflict { newest: version });
    }
    let next = successor(&document, version, attempt);
    let fault = find_lost_version(&next, in_force_version)
        .or_else(|| find_unavailable_group(&front_groups(&next, in_force_version), is_up));
    if let Some(fault) = fault {
        return ValueUpdate::Keep(PutDecision::FrontsUnavailable(fault));
    }
    // Strings and numbers always serialise.
    let raw = serde_json::to_vec(&next).unwrap_or_default();
    ValueUpdate::Write(
        raw,
        PutDecision::Stored {
            version: version + 1,
        },
    )
}

/// The version that an attempt is stored as, where the document still knows it.
fn version_of(document: &ConfigDoc, version: u64, id: &str) -> Option<u64> {
    if document.put_id == id {
        return Some(version);
    }
    let mut past = document.superseded.iter();
    past.find(|(_, past_id, _)| past_id == id)
        .map(|(past_version, _, _)| *past_version)
}

/// The document after a put on top of another.
fn successor(document: &ConfigDoc, version: u64, attempt: &PutAttempt) -> ConfigDoc {
    let mut past = document.superseded.clone();
    if version > 0 {
        past.insert(0, (version, document.put_id.clone(), document.text.clone()));
        past.truncate(RETAINED_VERSIONS);
    }
    ConfigDoc {
        text: attempt.text.into(),
        put_id: attempt.id.into(),
        note: attempt.note.into(),
        superseded: past,
        ..Default::default()
    }
}

/// The fault of a document whose past no longer reaches back to the version in force: the fronts of
/// a version that it has dropped could not be asked any more.
fn find_lost_version(document: &ConfigDoc, in_force_version: u64) -> Option<InvalidSetting> {
    let (oldest, _, _) = document.superseded.last()?;
    let is_lost = document.superseded.len() == RETAINED_VERSIONS && *oldest > in_force_version;
    is_lost.then(|| InvalidSetting {
        path: "fronts".into(),
        reason: format!("none of the last {RETAINED_VERSIONS} versions is proved in force"),
    })
}
