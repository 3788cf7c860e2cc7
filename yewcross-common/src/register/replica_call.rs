//! One request to one replica of a key: handled locally for this process's disk, sent over the
//! network for any other.

use super::message::{RegisterReply, RegisterRequest};
use super::proposer::Vote;
use super::quorum::ReplicaLocation;
use super::replica::Replica;
use crate::constants::{PEER_REQUEST_TIMEOUT, WIRE_VERSION_DELTAS, WIRE_VERSION_NAMED_DISKS};
use crate::protocol::{PeerRequest, PeerResponse};
use crate::transport::PeerClient;
use std::net::SocketAddr;
use std::sync::Arc;

/// A request and its payload, sent identically to every replica of a key.
#[derive(Clone)]
pub(super) struct ReplicaCall {
    pub(super) request: RegisterRequest,
    pub(super) value: Arc<Vec<u8>>,
    /// Sent instead of the value to replicas that may have the previous version.
    pub(super) delta: Option<Arc<Vec<u8>>>,
}

impl ReplicaCall {
    /// A request without a payload.
    pub(super) fn without_value(request: RegisterRequest) -> ReplicaCall {
        ReplicaCall {
            request,
            value: Arc::default(),
            delta: None,
        }
    }

    /// Sends the request to one replica. A replica whose address is unknown counts as unavailable.
    pub(super) async fn send_to(
        self,
        replica: ReplicaLocation,
        peers: Arc<PeerClient>,
        local_replica: Arc<Replica>,
    ) -> Vote {
        let (reply, value) = if replica.disk == local_replica.storage.disk_id {
            local_replica
                .handle(self.request, self.value.to_vec())
                .await
        } else if let Some(address) = replica.addr {
            self.send_to_peer(address, &replica.disk, &peers).await
        } else {
            (RegisterReply::Unavailable, vec![])
        };
        Vote {
            disk: replica.disk,
            reply,
            value,
        }
    }

    /// Sends the delta if there is one and the peer's wire version supports deltas. Sends the
    /// complete value otherwise, or if the peer lacks the version that the delta is based on.
    async fn send_to_peer(
        self,
        address: SocketAddr,
        disk: &str,
        peers: &Arc<PeerClient>,
    ) -> (RegisterReply, Vec<u8>) {
        let supports_deltas = peers.version(address) >= WIRE_VERSION_DELTAS;
        if let Some(delta) = self.delta.filter(|_| supports_deltas) {
            let request = self.request.as_delta();
            let (reply, value) = request_from_disk(peers, address, disk, request, &delta).await;
            if reply != RegisterReply::NeedsFullValue {
                return (reply, value);
            }
        }
        request_from_disk(peers, address, disk, self.request, &self.value).await
    }
}

/// Sends a request to the disk that is expected at the address. A reply from any other disk does not
/// count as a vote: an empty replacement disk grants any promise, because it has no record of what
/// the lost disk accepted.
async fn request_from_disk(
    peers: &Arc<PeerClient>,
    address: SocketAddr,
    disk: &str,
    request: RegisterRequest,
    payload: &[u8],
) -> (RegisterReply, Vec<u8>) {
    let supports_named_disks = peers.version(address) >= WIRE_VERSION_NAMED_DISKS;
    let peer_request = if supports_named_disks {
        PeerRequest::Register {
            disk: disk.into(),
            request,
        }
    } else {
        PeerRequest::UnnamedRegister(request)
    };
    match peers
        .request(address, &peer_request, payload, PEER_REQUEST_TIMEOUT)
        .await
    {
        Ok((
            PeerResponse::Register {
                disk: sender,
                reply,
            },
            value,
        )) if sender == disk => (reply, value),
        Ok((PeerResponse::Register { .. } | PeerResponse::OtherDisk { .. }, _)) => {
            (RegisterReply::OtherDisk, vec![])
        }
        Ok((PeerResponse::UnnamedRegister(reply), value)) if !supports_named_disks => {
            (reply, value)
        }
        _ => (RegisterReply::Unavailable, vec![]),
    }
}
