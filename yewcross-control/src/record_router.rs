//! Routes requests of the record store about another key to that key's replicas.

use std::net::SocketAddr;
use std::sync::{Arc, Weak};
use yewcross_common::constants::PEER_REQUEST_TIMEOUT;
use yewcross_common::documents::cache::{DocumentCache, replicas_by_preference};
use yewcross_common::error_code::Code;
use yewcross_common::membership::Membership;
use yewcross_common::protocol::{PeerRequest, PeerResponse};
use yewcross_common::transport::PeerClient;
use yewcross_state::records::RecordStore;

/// Sends a request to the replicas of a key one by one, in order of preference, until one answers.
#[derive(Clone)]
pub(crate) struct RecordRouter {
    pub(crate) documents: Arc<DocumentCache>,
    pub(crate) members: Arc<Membership>,
    pub(crate) peers: Arc<PeerClient>,
    pub(crate) own_address: SocketAddr,
    /// The record store of this process. It owns this router, hence the weak reference.
    pub(crate) own_store: Weak<RecordStore>,
}

impl RecordRouter {
    /// Returns the response of the first replica that gives one, or `None`.
    pub(crate) async fn request(self, key: String, request: PeerRequest) -> Option<PeerResponse> {
        for address in replicas_by_preference(&self.documents, &self.members, &key) {
            match self.request_from(address, &request).await {
                None | Some(PeerResponse::Rejected(Code::StoreAway)) => continue,
                answer => return answer,
            }
        }
        None
    }

    /// Sends a request to one replica. A request to this process is handled by its own store.
    async fn request_from(
        &self,
        address: SocketAddr,
        request: &PeerRequest,
    ) -> Option<PeerResponse> {
        if address == self.own_address
            && let Some(store) = self.own_store.upgrade()
        {
            return Some(store.handle(request.clone(), vec![]).await.0);
        }
        let answer = self
            .peers
            .request(address, request, &[], PEER_REQUEST_TIMEOUT)
            .await;
        answer.ok().map(|(response, _)| response)
    }
}
