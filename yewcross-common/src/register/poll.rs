//! One request to every replica of a key: to the own disk directly, to the others over the links.

use super::message::{RegisterReply, RegisterRequest};
use super::proposer::Vote;
use super::quorum::Seat;
use super::replica::Replica;
use crate::constants::{PEER_WAIT, WIRE_DELTAS, WIRE_NAMED_DISKS};
use crate::protocol::{PeerRequest, PeerResponse};
use crate::transport::PeerClient;
use std::net::SocketAddr;
use std::sync::Arc;

/// Puts a request to the disk that is believed to be at the address. The answer of any other disk
/// is no vote: a disk that came back empty promises anything, and remembers nothing of what the
/// lost one accepted.
async fn ask_disk(
    peers: &Arc<PeerClient>,
    to: SocketAddr,
    disk: &str,
    request: RegisterRequest,
    blob: &[u8],
) -> (RegisterReply, Vec<u8>) {
    let named = peers.version(to) >= WIRE_NAMED_DISKS;
    let question = if named {
        PeerRequest::Register {
            disk: disk.into(),
            request,
        }
    } else {
        PeerRequest::UnnamedRegister(request)
    };
    match peers.request(to, &question, blob, PEER_WAIT).await {
        Ok((PeerResponse::Register { disk: from, reply }, value)) if from == disk => (reply, value),
        Ok((PeerResponse::Register { .. } | PeerResponse::OtherDisk { .. }, _)) => {
            (RegisterReply::OtherDisk, vec![])
        }
        Ok((PeerResponse::UnnamedRegister(reply), value)) if !named => (reply, value),
        _ => (RegisterReply::Away, vec![]),
    }
}

/// One request and what goes with it, as it is put to every replica.
#[derive(Clone)]
pub(super) struct Poll {
    pub request: RegisterRequest,
    pub blob: Arc<Vec<u8>>,
    /// Sent in place of the blob to replicas that may hold the version before.
    pub delta: Option<Arc<Vec<u8>>>,
}

impl Poll {
    pub fn bare(request: RegisterRequest) -> Poll {
        Poll {
            request,
            blob: Arc::default(),
            delta: None,
        }
    }

    pub async fn put_to(self, seat: Seat, peers: Arc<PeerClient>, own: Arc<Replica>) -> Vote {
        let (reply, value) = if seat.disk == own.storage.disk_id {
            own.handle(self.request, self.blob.to_vec()).await
        } else if let Some(to) = seat.addr {
            self.send(to, &seat.disk, &peers).await
        } else {
            (RegisterReply::Away, vec![])
        };
        Vote {
            disk: seat.disk,
            reply,
            value,
        }
    }

    async fn send(
        self,
        to: SocketAddr,
        disk: &str,
        peers: &Arc<PeerClient>,
    ) -> (RegisterReply, Vec<u8>) {
        let speaks_deltas = peers.version(to) >= WIRE_DELTAS;
        if let Some(delta) = self.delta.filter(|_| speaks_deltas) {
            let answer = ask_disk(peers, to, disk, self.request.as_delta(), &delta).await;
            if answer.0 != RegisterReply::NeedWhole {
                return answer;
            }
        }
        ask_disk(peers, to, disk, self.request, &self.blob).await
    }
}
