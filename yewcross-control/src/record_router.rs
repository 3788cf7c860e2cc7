//! Requests of the record store to the owner of another key.

use std::net::SocketAddr;
use std::sync::{Arc, Weak};
use yewcross_common::constants::PEER_REQUEST_TIMEOUT;
use yewcross_common::documents::cache::{DocumentCache, replicas_by_preference};
use yewcross_common::error_code::Code;
use yewcross_common::membership::Membership;
use yewcross_common::protocol::{PeerRequest, PeerResponse};
use yewcross_common::transport::PeerClient;
use yewcross_state::records::RecordStore;

/// Sends a request to the replicas of a key, in order of preference.
#[derive(Clone)]
pub(crate) struct RecordRouter {
    pub(crate) documents: Arc<DocumentCache>,
    pub(crate) members: Arc<Membership>,
    pub(crate) peers: Arc<PeerClient>,
    pub(crate) own_address: SocketAddr,
    /// The store of this process, which owns this router.
    pub(crate) own_store: Weak<RecordStore>,
}

impl RecordRouter {
    /// The answer of the first replica that gives one.
    pub(crate) async fn request(self, key: String, request: PeerRequest) -> Option<PeerResponse> {
        for address in replicas_by_preference(&self.documents, &self.members, &key) {
            match self.request_one(address, &request).await {
                None | Some(PeerResponse::Rejected(Code::StoreAway)) => continue,
                answer => return answer,
            }
        }
        None
    }

    async fn request_one(&self, to: SocketAddr, request: &PeerRequest) -> Option<PeerResponse> {
        if to == self.own_address
            && let Some(store) = self.own_store.upgrade()
        {
            return Some(store.handle(request.clone(), vec![]).await.0);
        }
        let answer = self
            .peers
            .request(to, request, &[], PEER_REQUEST_TIMEOUT)
            .await;
        answer.ok().map(|(response, _)| response)
    }
}
