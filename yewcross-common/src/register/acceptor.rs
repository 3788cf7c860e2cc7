//! The acceptor: what a replica does with a request, as a pure function of its record.

use super::message::{Ballot, RegisterReply, RegisterRequest};
use std::sync::Arc;

/// What a replica has recorded of one key. A key without a record has the default one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Record {
    /// The ballot promised last. A value is accepted under this one only.
    pub promised: Ballot,
    /// The ballot under which the value was accepted.
    pub accepted: Ballot,
    /// Version of the value; 0 where there never was one.
    pub seq: u64,
    /// The value; empty where the key was erased or never written.
    pub value: Arc<Vec<u8>>,
    /// The record cannot be read: the replica may not vote on this key.
    pub damaged: bool,
}

/// What has to be on disk before the reply may be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Nothing.
    None,
    /// The new record of the key.
    Write(Record),
    /// The removal of the key's record.
    Erase,
}

/// The outcome of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transition {
    /// Done first.
    pub effect: Effect,
    /// Sent once the effect is on disk.
    pub reply: RegisterReply,
    /// The value that is sent with the reply.
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

    fn refused(record: &Record) -> Transition {
        Transition::reply(RegisterReply::Refused {
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

/// Handles one request against the record of its key. `layout` is the newest layout that the
/// replica knows.
pub fn handle(
    record: &Record,
    layout: u64,
    request: &RegisterRequest,
    blob: Vec<u8>,
) -> Transition {
    if request.layout() < layout {
        return Transition::reply(RegisterReply::OldLayout);
    }
    match *request {
        RegisterRequest::Promise { epoch, .. } => promise(record, epoch),
        RegisterRequest::Accept {
            epoch, seq, delta, ..
        } => accept(record, epoch, seq, delta, blob),
        RegisterRequest::Fill { epoch, seq, .. } => fill(record, epoch, seq, blob),
        RegisterRequest::Confirm { epoch, .. } => confirm(record, epoch),
        RegisterRequest::Look { have, .. } => look(record, have),
        RegisterRequest::Drop { epoch, seq, .. } => erase(record, epoch, seq),
    }
}

fn promise(record: &Record, ballot: Ballot) -> Transition {
    if record.damaged {
        return Transition::reply(RegisterReply::Damaged);
    }
    if ballot <= record.promised {
        return Transition::refused(record);
    }
    let reply = RegisterReply::Promised {
        accepted: record.accepted,
        seq: record.seq,
    };
    let next = Record {
        promised: ballot,
        ..record.clone()
    };
    Transition {
        effect: Effect::Write(next),
        reply,
        value: Some(record.value.clone()),
    }
}

/// Accepts under the promised ballot only: a replica that dropped the key, or began it anew since,
/// has promised nothing to a proposer from before, however high that one's ballot.
fn accept(record: &Record, ballot: Ballot, seq: u64, delta: bool, blob: Vec<u8>) -> Transition {
    if record.damaged {
        return Transition::reply(RegisterReply::Damaged);
    }
    if ballot != record.promised {
        return Transition::refused(record);
    }
    if ballot == record.accepted && seq <= record.seq {
        return Transition::reply(RegisterReply::Accepted);
    }
    let value = if delta {
        patched(record, ballot, seq, &blob)
    } else {
        Some(blob)
    };
    match value {
        Some(value) => Transition::accepted(Record {
            promised: ballot,
            accepted: ballot,
            seq,
            value: Arc::new(value),
            damaged: false,
        }),
        None => Transition::reply(RegisterReply::NeedWhole),
    }
}

fn patched(record: &Record, ballot: Ballot, seq: u64, delta: &[u8]) -> Option<Vec<u8>> {
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
    Transition::refused(record)
}

fn confirm(record: &Record, ballot: Ballot) -> Transition {
    if record.damaged || record.promised != ballot {
        return Transition::refused(record);
    }
    Transition::reply(RegisterReply::Accepted)
}

fn look(record: &Record, have: (Ballot, u64)) -> Transition {
    if record.damaged {
        return Transition::reply(RegisterReply::Damaged);
    }
    let reply = RegisterReply::Looked {
        accepted: record.accepted,
        seq: record.seq,
    };
    let known = have == (record.accepted, record.seq);
    let value = if known {
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
    let emptied = record.value.is_empty() && !record.damaged;
    let same_version = record.promised == ballot && record.seq == seq;
    let effect = if emptied && same_version {
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
