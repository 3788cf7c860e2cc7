//! The one proposer of the documents: the holder of the duty lease.
//!
//! Ballots keep two proposers from deciding against each other, and no more: proposers that share a
//! key outbid each other, and on slow processors none of them may ever succeed. So only the holder
//! prepares ballots for the configuration, the layout and the platform's list; every other core
//! forwards orders to it, and reads without preparing anything.

use crate::{Control, singleton_tasks};
use std::sync::Arc;
use yewcross_common::constants::{MS, PROPOSER_RETRY_DELAY, READ_TIMEOUT};
use yewcross_common::error_code::Code;
use yewcross_common::protocol::{PeerRequest, PeerResponse};
use yewcross_common::register::ChangeError;
use yewcross_common::register::client::DecidedValue;
use yewcross_common::transport::SendError;

/// us. Less than this is not enough for a request to the proposer.
const SHORTEST_FORWARD: u64 = MS;

/// Why the proposer has not answered.
pub enum NotAnswered {
    /// No process is known to propose, or the one asked does not: nothing was done.
    NoProposer,
    /// The proposer may have acted, and its answer is lost.
    Unknown,
}

/// Sends a request to the proposer, once. The timeout is in us.
pub async fn forward(
    control: &Arc<Control>,
    request: &PeerRequest,
    payload: &[u8],
    timeout: u64,
) -> Result<(PeerResponse, Vec<u8>), NotAnswered> {
    let holder = singleton_tasks::holder_address(control).ok_or(NotAnswered::NoProposer)?;
    match control
        .peers
        .request(holder, request, payload, timeout)
        .await
    {
        Ok((PeerResponse::Rejected(Code::NotOnDuty | Code::BadBody), _))
        | Err(SendError::NotSent) => Err(NotAnswered::NoProposer),
        Ok(answer) => Ok(answer),
        Err(SendError::OutcomeUnknown) => Err(NotAnswered::Unknown),
    }
}

/// Returns once the lease has changed hands, or after a random backoff.
pub async fn wait_for_one(control: &Arc<Control>) {
    let changed = control.singleton_tasks.lease_changed.listen();
    let backoff = PROPOSER_RETRY_DELAY + control.runtime.random() % PROPOSER_RETRY_DELAY;
    control.runtime.timeout(backoff, changed).await;
}

/// The newest decided version of a document: what a majority of the core disks holds alike, or what
/// the proposer proves. The timeout is in us.
pub async fn newest(
    control: &Arc<Control>,
    name: &str,
    timeout: u64,
) -> Result<DecidedValue, ChangeError> {
    let deadline = control.runtime.now() + timeout;
    let time_left = || deadline.saturating_sub(control.runtime.now());
    loop {
        let read = control
            .registers
            .read_newest(name, time_left().min(READ_TIMEOUT))
            .await;
        if !matches!(read, Err(ChangeError::NotProposer)) {
            return read;
        }
        let left = time_left();
        if left < SHORTEST_FORWARD {
            return Err(ChangeError::NotApplied);
        }
        let request = PeerRequest::ReadDecidedDocument {
            name: name.into(),
            hops: 1,
        };
        match forward(control, &request, &[], left.min(READ_TIMEOUT)).await {
            Ok((
                PeerResponse::Document {
                    version,
                    ballot: epoch,
                },
                content,
            )) => {
                return Ok((version, epoch, Arc::new(content)));
            }
            _ => wait_for_one(control).await,
        }
    }
}
