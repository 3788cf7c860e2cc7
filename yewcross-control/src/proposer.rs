//! The one proposer of the documents: the holder of the duty lease.
//!
//! Ballots keep two proposers from deciding against each other, and do no more: proposers that
//! share a key outbid each other, and on slow processors none of them may ever get through. So only
//! the holder prepares ballots for the configuration, the layout and the platform's list; every
//! other core passes orders on to it, and reads without preparing anything.

use crate::{Control, singleton_tasks};
use std::sync::Arc;
use yewcross_common::constants::{LOOKS_WITHIN, MS, PROPOSER_AGAIN};
use yewcross_common::error_code::Code;
use yewcross_common::protocol::{PeerRequest, PeerResponse};
use yewcross_common::register::ChangeError;
use yewcross_common::register::client::Decided;
use yewcross_common::transport::SendError;

/// Why the proposer has not answered.
pub enum NotAnswered {
    /// No process is known to propose, or the one asked does not: nothing was done.
    NoProposer,
    /// The proposer may have acted, and its answer is lost.
    Unknown,
}

/// Puts a question to the process that proposes, once.
pub async fn forward(
    control: &Arc<Control>,
    question: &PeerRequest,
    blob: &[u8],
    us: u64,
) -> Result<(PeerResponse, Vec<u8>), NotAnswered> {
    let to = singleton_tasks::holder_address(control).ok_or(NotAnswered::NoProposer)?;
    match control.peers.request(to, question, blob, us).await {
        Ok((PeerResponse::Rejected(Code::NotOnDuty | Code::BadBody), _))
        | Err(SendError::NotSent) => Err(NotAnswered::NoProposer),
        Ok(answer) => Ok(answer),
        Err(SendError::OutcomeUnknown) => Err(NotAnswered::Unknown),
    }
}

/// Returns once the lease has changed hands, or a little later.
pub async fn wait_for_one(control: &Arc<Control>) {
    let changed = control.duties.changed.listen();
    control
        .runtime
        .timeout(
            PROPOSER_AGAIN + control.runtime.random() % PROPOSER_AGAIN,
            changed,
        )
        .await;
}

/// The newest decided version of a document: what a majority of the core disks holds alike, or what
/// the proposer proves.
pub async fn newest(control: &Arc<Control>, name: &str, us: u64) -> Result<Decided, ChangeError> {
    let until = control.runtime.now() + us;
    loop {
        match control
            .registers
            .newest(
                name,
                until
                    .saturating_sub(control.runtime.now())
                    .min(LOOKS_WITHIN),
            )
            .await
        {
            Err(ChangeError::NotProposer) => {}
            found => return found,
        }
        let left = until.saturating_sub(control.runtime.now());
        if left < MS {
            return Err(ChangeError::NotDone);
        }
        let question = PeerRequest::ReadDecidedDocument {
            name: name.into(),
            hops: 1,
        };
        match forward(control, &question, &[], left.min(LOOKS_WITHIN)).await {
            Ok((
                PeerResponse::Document {
                    version: seq,
                    epoch,
                },
                raw,
            )) => return Ok((seq, epoch, Arc::new(raw))),
            _ => wait_for_one(control).await,
        }
    }
}
