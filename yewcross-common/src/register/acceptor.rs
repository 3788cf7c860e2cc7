//! The acceptor: a replica's reply to a request and the change of its record, as a pure function.

use super::message::{Ballot, RegisterReply, RegisterRequest};
use std::sync::Arc;

/// A replica's record of one key. A key that has no record is treated as having the default one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Record {
    /// The ballot promised last. A value is accepted under this ballot only.
    pub promised: Ballot,
    /// The ballot under which the value was accepted.
    pub accepted: Ballot,
    /// Version of the value; 0 if no value was ever accepted.
    pub seq: u64,
    /// The value; empty if the key was erased or never written.
    pub value: Arc<Vec<u8>>,
    /// The record cannot be read from disk: the replica may not vote on this key.
    pub damaged: bool,
}

/// The change that must be on disk before the reply may be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// No change.
    None,
    /// Write the new record of the key.
    Write(Record),
    /// Remove the key's record.
    Erase,
}

/// The result of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transition {
    /// Persisted before the reply is sent.
    pub effect: Effect,
    /// Sent once the effect is on disk.
    pub reply: RegisterReply,
    /// The payload of the reply.
    pub value: Option<Arc<Vec<u8>>>,
}

impl Transition {
    fn reply(reply: RegisterReply) -> Transition {
        Transition {
            effect: Effect::None,
            reply,
            value: None,
        }
    }

    fn rejected(record: &Record) -> Transition {
        Transition::reply(RegisterReply::Rejected {
            promised: record.promised,
        })
    }

    fn accepted(record: Record) -> Transition {
        Transition {
            effect: Effect::Write(record),
            reply: RegisterReply::Accepted,
            value: None,
        }
    }
}

/// Handles one request against the record of its key. `layout_version` is the newest layout version
/// that the replica has received; `payload` is the value or delta sent with the request.
pub fn handle(
    record: &Record,
    layout_version: u64,
    request: &RegisterRequest,
    payload: Vec<u8>,
) -> Transition {
    if request.layout_version() < layout_version {
        return Transition::reply(RegisterReply::StaleLayout);
    }
    match *request {
        RegisterRequest::Promise { ballot, .. } => promise(record, ballot),
        RegisterRequest::Accept {
            ballot, seq, delta, ..
        } => accept(record, ballot, seq, delta, payload),
        RegisterRequest::Fill { ballot, seq, .. } => fill(record, ballot, seq, payload),
        RegisterRequest::Confirm { ballot, .. } => confirm(record, ballot),
        RegisterRequest::Report { have, .. } => report(record, have),
        RegisterRequest::Erase { ballot, seq, .. } => erase(record, ballot, seq),
    }
}

fn promise(record: &Record, ballot: Ballot) -> Transition {
    if record.damaged {
        return Transition::reply(RegisterReply::Damaged);
    }
    if ballot <= record.promised {
        return Transition::rejected(record);
    }
    let reply = RegisterReply::Promised {
        accepted: record.accepted,
        seq: record.seq,
    };
    let new_record = Record {
        promised: ballot,
        ..record.clone()
    };
    Transition {
        effect: Effect::Write(new_record),
        reply,
        value: Some(record.value.clone()),
    }
}

/// Accepts under exactly the promised ballot. A replica that has erased the key since, or created a
/// new record for it, has lost its promises to earlier proposers: their ballots must be rejected even
/// if they are higher than the promised one.
fn accept(record: &Record, ballot: Ballot, seq: u64, delta: bool, payload: Vec<u8>) -> Transition {
    if record.damaged {
        return Transition::reply(RegisterReply::Damaged);
    }
    if ballot != record.promised {
        return Transition::rejected(record);
    }
    if ballot == record.accepted && seq <= record.seq {
        return Transition::reply(RegisterReply::Accepted);
    }
    let value = if delta {
        apply_delta(record, ballot, seq, &payload)
    } else {
        Some(payload)
    };
    match value {
        Some(value) => Transition::accepted(Record {
            promised: ballot,
            accepted: ballot,
            seq,
            value: Arc::new(value),
            damaged: false,
        }),
        None => Transition::reply(RegisterReply::NeedsFullValue),
    }
}

/// The new value, if the record holds the version directly before `seq` under the same ballot.
fn apply_delta(record: &Record, ballot: Ballot, seq: u64, delta: &[u8]) -> Option<Vec<u8>> {
    let is_at_previous_version = (record.accepted, record.seq + 1) == (ballot, seq);
    if is_at_previous_version {
        crate::documents::delta::apply(&record.value, delta)
    } else {
        None
    }
}

fn fill(record: &Record, ballot: Ballot, seq: u64, value: Vec<u8>) -> Transition {
    if record.damaged {
        return Transition::accepted(Record {
            promised: ballot,
            accepted: ballot,
            seq,
            value: Arc::new(value),
            damaged: false,
        });
    }
    if (ballot, seq) == (record.accepted, record.seq) {
        return Transition::reply(RegisterReply::Accepted);
    }
    Transition::rejected(record)
}

fn confirm(record: &Record, ballot: Ballot) -> Transition {
    if record.damaged || record.promised != ballot {
        return Transition::rejected(record);
    }
    Transition::reply(RegisterReply::Accepted)
}

fn report(record: &Record, have: (Ballot, u64)) -> Transition {
    if record.damaged {
        return Transition::reply(RegisterReply::Damaged);
    }
    let reply = RegisterReply::Reported {
        accepted: record.accepted,
        seq: record.seq,
    };
    let has_current_version = have == (record.accepted, record.seq);
    let value = if has_current_version {
        None
    } else {
        Some(record.value.clone())
    };
    Transition {
        effect: Effect::None,
        reply,
        value,
    }
}

fn erase(record: &Record, ballot: Ballot, seq: u64) -> Transition {
    let is_empty = record.value.is_empty() && !record.damaged;
    let is_same_version = record.promised == ballot && record.seq == seq;
    let effect = if is_empty && is_same_version {
        Effect::Erase
    } else {
        Effect::None
    };
    Transition {
        effect,
        reply: RegisterReply::Accepted,
        value: None,
    }
}
