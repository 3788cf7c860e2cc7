//! Access to the single proposer of the documents: the holder of the lease for singleton tasks.
//!
//! Ballots guarantee only that two proposers never decide different values: concurrent proposers on
//! one key outbid each other, and on slow processors it may happen that none of them ever succeeds.
//! Therefore only the lease holder prepares ballots for the configuration, the layout and the
//! platform's list. Every other core forwards orders to it, and reads without preparing ballots.

use crate::{Control, singleton_tasks};
use std::sync::Arc;
use yewcross_common::constants::{MS, PROPOSER_RETRY_DELAY, READ_TIMEOUT};
use yewcross_common::error_code::Code;
use yewcross_common::protocol::{PeerRequest, PeerResponse};
use yewcross_common::register::ChangeError;
use yewcross_common::register::client::DecidedValue;
use yewcross_common::transport::SendError;

/// us. Minimum remaining time for forwarding a request: less does not suffice for the proposer to
/// answer.
const FORWARD_TIMEOUT_MIN: u64 = MS;

/// Reason why a forwarded request got no answer from the proposer.
pub enum ForwardError {
    /// No proposer is known, or the process addressed was not reached or is not the proposer: the
    /// request had no effect.
    NoProposer,
    /// The proposer's response was lost; the request may have taken effect.
    OutcomeUnknown,
}

/// Sends a request to the proposer, without retries. The timeout is in us.
pub async fn forward(
    control: &Arc<Control>,
    request: &PeerRequest,
    payload: &[u8],
    timeout: u64,
) -> Result<(PeerResponse, Vec<u8>), ForwardError> {
    let holder = singleton_tasks::holder_address(control).ok_or(ForwardError::NoProposer)?;
    match control
        .peers
        .request(holder, request, payload, timeout)
        .await
    {
        Ok((PeerResponse::Rejected(Code::NotOnDuty | Code::BadBody), _))
        | Err(SendError::NotSent) => Err(ForwardError::NoProposer),
        Ok(answer) => Ok(answer),
        Err(SendError::OutcomeUnknown) => Err(ForwardError::OutcomeUnknown),
    }
}

/// Waits until the lease holder changes, at most for a random backoff.
pub async fn wait_for_proposer(control: &Arc<Control>) {
    let changed = control.singleton_tasks.lease_changed.listen();
    let backoff = PROPOSER_RETRY_DELAY + control.runtime.random() % PROPOSER_RETRY_DELAY;
    control.runtime.timeout(backoff, changed).await;
}

/// Reads the newest decided version of a document: the value that a majority of the core disks
/// holds identically, or else the proposer's answer. The timeout is in us.
pub async fn read_newest_decided(
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
        let remaining = time_left();
        if remaining < FORWARD_TIMEOUT_MIN {
            return Err(ChangeError::NotApplied);
        }
        let request = PeerRequest::ReadDecidedDocument {
            name: name.into(),
            hops: 1,
        };
        match forward(control, &request, &[], remaining.min(READ_TIMEOUT)).await {
            Ok((PeerResponse::Document { version, ballot }, content)) => {
                return Ok((version, ballot, Arc::new(content)));
            }
            _ => wait_for_proposer(control).await,
        }
    }
}
