//! One request to one replica of a key: to the own disk directly, to any other over the network.

use super::message::{RegisterReply, RegisterRequest};
use super::proposer::Vote;
use super::quorum::ReplicaLocation;
use super::replica::Replica;
use crate::constants::{PEER_REQUEST_TIMEOUT, WIRE_VERSION_DELTAS, WIRE_VERSION_NAMED_DISKS};
use crate::protocol::{PeerRequest, PeerResponse};
use crate::transport::PeerClient;
use std::net::SocketAddr;
use std::sync::Arc;

/// A request and the value that goes with it, as it is sent to every replica.
#[derive(Clone)]
pub(super) struct ReplicaCall {
    pub(super) request: RegisterRequest,
    pub(super) value: Arc<Vec<u8>>,
    /// Sent in place of the value to replicas that may have the version before.
    pub(super) delta: Option<Arc<Vec<u8>>>,
}

impl ReplicaCall {
    /// A request that carries no value.
    pub(super) fn without_value(request: RegisterRequest) -> ReplicaCall {
        ReplicaCall {
            request,
            value: Arc::default(),
            delta: None,
        }
    }

    /// Sends the call to one replica. A replica without a known address counts as unreachable.
    pub(super) async fn send_to(
        self,
        seat: ReplicaLocation,
        peers: Arc<PeerClient>,
        own_replica: Arc<Replica>,
    ) -> Vote {
        let (reply, value) = if seat.disk == own_replica.storage.disk_id {
            own_replica.handle(self.request, self.value.to_vec()).await
        } else if let Some(address) = seat.addr {
            self.send_to_peer(address, &seat.disk, &peers).await
        } else {
            (RegisterReply::Away, vec![])
        };
        Vote {
            disk: seat.disk,
            reply,
            value,
        }
    }

    /// Sends the delta where there is one that the peer can read, and the complete value if the
    /// peer has not the version that the delta builds on.
    async fn send_to_peer(
        self,
        address: SocketAddr,
        disk: &str,
        peers: &Arc<PeerClient>,
    ) -> (RegisterReply, Vec<u8>) {
        let reads_deltas = peers.version(address) >= WIRE_VERSION_DELTAS;
        if let Some(delta) = self.delta.filter(|_| reads_deltas) {
            let request = self.request.as_delta();
            let (reply, value) = request_from_disk(peers, address, disk, request, &delta).await;
            if reply != RegisterReply::NeedWhole {
                return (reply, value);
            }
        }
        request_from_disk(peers, address, disk, self.request, &self.value).await
    }
}

/// Sends a request to the disk that is believed to be at the address. The answer of any other disk
/// is no vote: a disk that came back empty promises anything, and remembers nothing of what the
/// lost one accepted.
async fn request_from_disk(
    peers: &Arc<PeerClient>,
    address: SocketAddr,
    disk: &str,
    request: RegisterRequest,
    blob: &[u8],
) -> (RegisterReply, Vec<u8>) {
    let names_disks = peers.version(address) >= WIRE_VERSION_NAMED_DISKS;
    let question = if names_disks {
        PeerRequest::Register {
            disk: disk.into(),
            request,
        }
    } else {
        PeerRequest::UnnamedRegister(request)
    };
    match peers
        .request(address, &question, blob, PEER_REQUEST_TIMEOUT)
        .await
    {
        Ok((PeerResponse::Register { disk: from, reply }, value)) if from == disk => (reply, value),
        Ok((PeerResponse::Register { .. } | PeerResponse::OtherDisk { .. }, _)) => {
            (RegisterReply::OtherDisk, vec![])
        }
        Ok((PeerResponse::UnnamedRegister(reply), value)) if !names_disks => (reply, value),
        _ => (RegisterReply::Away, vec![]),
    }
}
