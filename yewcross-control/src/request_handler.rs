//! Dispatches requests from other processes to the modules that handle them.

use crate::config::{self, DocumentChange, DocumentPoll, Publication};
use crate::{Control, layout, lease_granter};
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use yewcross_common::error_code::Code;
use yewcross_common::protocol::{PeerRequest, PeerResponse};
use yewcross_common::register::{RegisterReply, RegisterRequest};
use yewcross_common::runtime::BoxFuture;
use yewcross_common::transport::{Envelope, Reply, RequestHandler};
use yewcross_common::turn_log::TurnLogResponse;
use yewcross_common::turn_log::messages::encode;

/// Copies of a document that are made to send it: the payload, the frame that contains it, and the bytes
/// of that frame.
const DOCUMENT_COPIES: usize = 3;

/// The same for turns, whose encoded response may have twice their size before it is a payload.
const TURN_COPIES: usize = 4;

/// Decodes requests from other processes and encodes the responses of [`Control::handle`].
pub(crate) struct PeerRequestHandler(pub(crate) Arc<Control>);

impl RequestHandler for PeerRequestHandler {
    fn handle(self: Arc<Self>, envelope: Envelope) -> BoxFuture<'static, Reply> {
        Box::pin(async move {
            let (response, payload) = match envelope.decode::<PeerRequest>() {
                Some(request) if !self.0.reserve_response(&envelope, &request).await => {
                    without_payload(PeerResponse::Rejected(Code::NoMajority))
                }
                Some(PeerRequest::TurnLog) => self.0.handle_turn_log(envelope).await,
                Some(request) => {
                    self.0
                        .handle(request, envelope.payload, &envelope.from)
                        .await
                }
                None => without_payload(PeerResponse::Rejected(Code::BadBody)),
            };
            Reply {
                message: serde_json::to_vec(&response).expect("a response always serialises"),
                payload,
            }
        })
    }
}

fn without_payload(response: PeerResponse) -> (PeerResponse, Vec<u8>) {
    (response, vec![])
}

impl Control {
    /// Reserves memory for the document that a request asks for, and its copy in a frame, before it is
    /// copied for each of many requests. Returns whether there is enough.
    async fn reserve_response(&self, envelope: &Envelope, request: &PeerRequest) -> bool {
        let (PeerRequest::FetchDocument { name, .. }
        | PeerRequest::ReadDecidedDocument { name, .. }) = request
        else {
            return true;
        };
        let document_bytes = self.documents.document(name).content.len();
        envelope
            .reserve_response(DOCUMENT_COPIES * document_bytes)
            .await
    }

    /// Handles a request to the turn log. Memory for the copies of the turns that the response carries
    /// is reserved before they are made.
    async fn handle_turn_log(&self, mut envelope: Envelope) -> (PeerResponse, Vec<u8>) {
        let body = std::mem::take(&mut envelope.payload);
        let response = self.turn_store.respond(body, envelope.version).await;
        let copied_bytes = TURN_COPIES * response.turn_bytes();
        let has_memory = copied_bytes == 0 || envelope.reserve_response(copied_bytes).await;
        let response = match has_memory {
            true => response,
            false => TurnLogResponse::Unavailable,
        };
        (PeerResponse::TurnLog, encode(&response))
    }

    /// Handles a request of the process named `from`. The payload is the binary data sent along
    /// with the message: a register's value, a document or a delta.
    pub async fn handle(
        self: &Arc<Self>,
        request: PeerRequest,
        payload: Vec<u8>,
        from: &str,
    ) -> (PeerResponse, Vec<u8>) {
        match request {
            PeerRequest::Probe { .. }
            | PeerRequest::ProbeOnBehalf { .. }
            | PeerRequest::ExchangeMembership { .. }
            | PeerRequest::MembershipUpdate { .. } => {
                without_payload(self.members.handle(request).await)
            }
            PeerRequest::UnnamedRegister(request) => {
                self.unnamed_register_request(request, payload).await
            }
            PeerRequest::Register { disk, .. } | PeerRequest::SweepProgress { disk, .. }
                if !disk.is_empty() && disk != self.storage.disk_id =>
            {
                without_payload(PeerResponse::OtherDisk {
                    disk: self.storage.disk_id.clone(),
                })
            }
            PeerRequest::Register { request, .. } => self.register_request(request, payload).await,
            PeerRequest::PollDocuments {
                known,
                front,
                leaving_digest,
            } => {
                let poll = DocumentPoll {
                    held_versions: known,
                    is_front: front,
                    leaving_digest,
                    poller_name: from,
                };
                without_payload(config::poll_documents(self, poll).await)
            }
            PeerRequest::FetchDocument { name, newer_than } => {
                config::fetch_document(self, &name, newer_than).await
            }
            PeerRequest::ReadDecidedDocument { name, .. } => {
                config::read_decided_document(self, &name).await
            }
            PeerRequest::PublishDocument {
                name,
                version,
                ballot,
                relays,
            } => {
                let publication = Publication {
                    name,
                    version,
                    ballot,
                    relays,
                };
                without_payload(config::apply_document(self, publication, payload))
            }
            PeerRequest::PublishDelta {
                name,
                version,
                ballot,
                base,
                base_digest,
                relays,
            } => {
                let publication = Publication {
                    name,
                    version,
                    ballot,
                    relays,
                };
                let change = DocumentChange {
                    base,
                    base_digest,
                    delta: payload,
                };
                without_payload(config::apply_document_change(self, publication, change))
            }
            PeerRequest::ServersLeaving { servers, relays } => {
                without_payload(config::mark_servers_leaving(self, servers, &relays))
            }
            PeerRequest::ForwardPut { base } => {
                without_payload(config::decide_forwarded_order(self, base, payload).await)
            }
            PeerRequest::ForwardRetire { node } => {
                without_payload(layout::retire_forwarded(self, &node).await)
            }
            PeerRequest::CollectServingLeases { name, version } => {
                without_payload(config::collect_serving_leases(self, &name, version).await)
            }
            PeerRequest::AnnounceInForce { version } => {
                without_payload(config::record_in_force(self, version).await)
            }
            PeerRequest::Bootstrap => {
                without_payload(layout::accept_first_layout(self, payload).await)
            }
            PeerRequest::Lease(request) => without_payload(PeerResponse::Lease(
                lease_granter::answer(self, &request).await,
            )),
            PeerRequest::StartSweep => {
                self.is_sweep_requested.store(true, SeqCst);
                self.sweep_requested.notify(usize::MAX);
                without_payload(PeerResponse::Ok)
            }
            PeerRequest::SweepProgress { layout, .. } => {
                without_payload(layout::report(self, layout))
            }
            other => self.record_store.handle(other, payload).await,
        }
    }

    async fn register_request(
        &self,
        request: RegisterRequest,
        value: Vec<u8>,
    ) -> (PeerResponse, Vec<u8>) {
        let (reply, value) = self.replica.handle(request, value).await;
        let response = PeerResponse::Register {
            disk: self.storage.disk_id.clone(),
            reply,
        };
        (response, value)
    }

    /// Handles a register request without a disk identity. Such a request is addressed to the disk
    /// that the sender last saw at this address. Only a disk that the layout applied here includes
    /// can be that disk: a newly created one is not included yet.
    async fn unnamed_register_request(
        &self,
        request: RegisterRequest,
        value: Vec<u8>,
    ) -> (PeerResponse, Vec<u8>) {
        let is_in_layout = self
            .documents
            .layout
            .load()
            .1
            .includes_disk(&self.storage.disk_id);
        if !is_in_layout {
            return without_payload(PeerResponse::UnnamedRegister(RegisterReply::Unavailable));
        }
        let (reply, value) = self.replica.handle(request, value).await;
        (PeerResponse::UnnamedRegister(reply), value)
    }
}
