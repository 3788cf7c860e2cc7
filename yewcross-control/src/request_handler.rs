//! The requests of other processes: one flat dispatch to the modules that answer them.

use crate::config::{self, DocumentChange, DocumentPoll, Publication};
use crate::{Control, layout, lease_granter};
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use yewcross_common::error_code::Code;
use yewcross_common::protocol::{PeerRequest, PeerResponse};
use yewcross_common::register::{RegisterReply, RegisterRequest};
use yewcross_common::runtime::BoxFuture;
use yewcross_common::transport::{Envelope, Reply, RequestHandler};

/// Decodes requests, and encodes the answers of [`Control::handle`].
pub(crate) struct PeerRequestHandler(pub(crate) Arc<Control>);

impl RequestHandler for PeerRequestHandler {
    fn handle(self: Arc<Self>, envelope: Envelope) -> BoxFuture<'static, Reply> {
        Box::pin(async move {
            let (response, payload) = match envelope.decode::<PeerRequest>() {
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
    /// Answers a request of the process named `from`. The payload is what travels beside a message,
    /// uninterpreted: a register's value, a document, a delta.
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
                    known,
                    is_front: front,
                    leaving_digest,
                    from,
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
                ballot: epoch,
                relays,
            } => {
                let publication = Publication {
                    name,
                    version,
                    epoch,
                    relays,
                };
                without_payload(config::apply_document(self, publication, payload))
            }
            PeerRequest::PublishDelta {
                name,
                version,
                ballot: epoch,
                base,
                base_digest,
                relays,
            } => {
                let publication = Publication {
                    name,
                    version,
                    epoch,
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
                without_payload(config::take_forwarded(self, base, payload).await)
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
            PeerRequest::TurnLog => (PeerResponse::TurnLog, self.turn_store.handle(payload).await),
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

    /// A request that names no disk means the one that was at this address when its sender last
    /// looked. Only a disk that has a seat in the layout applied here can be that one: a disk newly
    /// created here has none yet.
    async fn unnamed_register_request(
        &self,
        request: RegisterRequest,
        value: Vec<u8>,
    ) -> (PeerResponse, Vec<u8>) {
        let has_seat = self
            .documents
            .layout
            .load()
            .1
            .includes_disk(&self.storage.disk_id);
        if !has_seat {
            return without_payload(PeerResponse::UnnamedRegister(RegisterReply::Unavailable));
        }
        let (reply, value) = self.replica.handle(request, value).await;
        (PeerResponse::UnnamedRegister(reply), value)
    }
}
