//! The client side: sends requests to peers, over one connection per peer.

use super::connection::{PeerConnection, WRITE_QUEUE_FRAMES};
use super::frame::{Envelope, encode_frame};
use super::metrics::TransportMetrics;
use crate::constants::{CONNECT_TIMEOUT, LINK_SUSPECT_AFTER, PEER_SEND_TIMEOUT, WIRE_VERSION_MIN};
use crate::protocol::{PeerRequest, PeerResponse};
use crate::runtime::{Connection, FrameFault, Runtime};
use async_channel::{Receiver, Sender};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex};

/// Why a request failed without a response.
#[derive(Debug, Clone, PartialEq)]
pub enum SendError {
    /// The request was not sent.
    NotSent,
    /// The peer may have received and handled the request.
    OutcomeUnknown,
}

/// A peer's site and supported frame version.
struct PeerInfo {
    site: String,
    /// Newest frame version that the peer supports.
    newest_version: u16,
}

/// Sends requests to peers and counts the messages and bytes sent.
pub struct PeerClient {
    /// The runtime of this process.
    pub runtime: Runtime,
    /// Name of this node.
    pub own_name: String,
    /// Site of this node.
    pub site: String,
    next_request_id: AtomicU64,
    connections: Mutex<BTreeMap<SocketAddr, Arc<PeerConnection>>>,
    known_peers: Mutex<BTreeMap<SocketAddr, PeerInfo>>,
    /// Newest frame version that this process supports.
    pub(super) newest_version: u16,
    /// Number of received frames that were rejected: malformed, of an unsupported version, or responses
    /// where only requests are expected.
    pub rejected_frames: AtomicU64,
    /// Counters of messages and bytes sent.
    pub metrics: TransportMetrics,
}

impl PeerClient {
    /// Creates a client without connections. `newest_version` is the newest supported frame version.
    pub fn new(
        runtime: &Runtime,
        own_name: &str,
        site: &str,
        newest_version: u16,
    ) -> Arc<PeerClient> {
        Arc::new(PeerClient {
            runtime: runtime.clone(),
            own_name: own_name.into(),
            site: site.into(),
            next_request_id: AtomicU64::new(1),
            connections: Default::default(),
            known_peers: Default::default(),
            newest_version,
            rejected_frames: AtomicU64::new(0),
            metrics: Default::default(),
        })
    }

    /// Records a peer's site and the newest frame version that it supports.
    pub fn record_peer(&self, peer: SocketAddr, site: &str, newest_version: u16) {
        let info = PeerInfo {
            site: site.into(),
            newest_version,
        };
        self.known_peers.lock().unwrap().insert(peer, info);
    }

    /// The frame version used with a peer: the newest that both support, or the oldest until the peer's
    /// version has been recorded.
    pub fn version(&self, peer: SocketAddr) -> u16 {
        self.known_peers
            .lock()
            .unwrap()
            .get(&peer)
            .map_or(WIRE_VERSION_MIN, |info| {
                info.newest_version.min(self.newest_version)
            })
    }

    /// Whether the peer is at the same site as this node. A peer whose site has not been recorded yet
    /// counts as being at the same site.
    fn is_same_site(&self, peer: SocketAddr) -> bool {
        self.known_peers
            .lock()
            .unwrap()
            .get(&peer)
            .is_none_or(|info| info.site == self.site)
    }

    /// Sends a request once and waits up to `timeout` µs for the response and its payload.
    pub async fn request(
        self: &Arc<Self>,
        to: SocketAddr,
        request: &PeerRequest,
        payload: &[u8],
        timeout: u64,
    ) -> Result<(PeerResponse, Vec<u8>), SendError> {
        // Requests are plain data that can always be encoded as JSON.
        let message = serde_json::to_vec(request).unwrap_or_default();
        let envelope = self
            .exchange(to, request.into(), message, payload, timeout)
            .await?;
        envelope
            .decode::<PeerResponse>()
            .map(|response| (response, envelope.payload))
            .ok_or(SendError::OutcomeUnknown)
    }

    /// Sends a message and waits for its response. The timeout includes the time to connect.
    async fn exchange(
        self: &Arc<Self>,
        to: SocketAddr,
        kind: &'static str,
        message: Vec<u8>,
        payload: &[u8],
        timeout: u64,
    ) -> Result<Envelope, SendError> {
        let fault = self.runtime.frame_fault(to);
        let started = self.runtime.now();
        let connection = self.connection(to).await?;
        let id = self.next_request_id.fetch_add(1, Relaxed);
        let frame = encode_frame(
            self.version(to),
            id,
            false,
            &self.own_name,
            &self.site,
            &message,
            payload,
        );
        let response = connection.register(id);
        self.metrics
            .record_frame(self.is_same_site(to), frame.len());
        let frame_bytes = frame.len() as u64;
        let send = self.send_frame(&connection.outgoing, frame, fault);
        let remaining = timeout.saturating_sub(self.runtime.now() - started);
        let result = self
            .runtime
            .timeout(remaining, async {
                send.await?;
                response.recv().await.map_err(|_| SendError::OutcomeUnknown)
            })
            .await
            .unwrap_or(Err(SendError::OutcomeUnknown));
        connection.deregister(id);
        if matches!(result, Err(SendError::OutcomeUnknown)) {
            self.replace_if_unresponsive(to, &connection, started);
        }
        let response_bytes = result.as_ref().map_or(0, |envelope| {
            envelope.message.len() + envelope.payload.len()
        });
        self.metrics
            .record_request(kind, frame_bytes, response_bytes as u64);
        result
    }

    /// Queues a frame for writing, or applies the fault injected by the runtime's simulated network.
    async fn send_frame(
        &self,
        outgoing: &Sender<Vec<u8>>,
        frame: Vec<u8>,
        fault: FrameFault,
    ) -> Result<(), SendError> {
        let sent = match fault {
            FrameFault::Drop => Ok(()),
            FrameFault::Deliver => outgoing.send(frame).await,
            FrameFault::Duplicate => {
                // If the first send fails, the second one fails too, and its error is returned.
                let _ = outgoing.send(frame.clone()).await;
                outgoing.send(frame).await
            }
            FrameFault::Delay(delay) => {
                self.runtime.sleep(delay).await;
                outgoing.send(frame).await
            }
        };
        sent.map_err(|_| SendError::NotSent)
    }

    /// The connection to a peer; opened if there is none.
    async fn connection(
        self: &Arc<Self>,
        to: SocketAddr,
    ) -> Result<Arc<PeerConnection>, SendError> {
        if let Some(connection) = self.connections.lock().unwrap().get(&to) {
            return Ok(connection.clone());
        }
        let stream = self
            .runtime
            .connect_within(to, CONNECT_TIMEOUT)
            .await
            .map_err(|_| SendError::NotSent)?;
        stream.set_send_timeout(PEER_SEND_TIMEOUT);
        let (sender, outgoing) = async_channel::bounded::<Vec<u8>>(WRITE_QUEUE_FRAMES);
        let opened = Arc::new(PeerConnection::new(sender, self.runtime.now()));
        // Another request may have connected concurrently: its connection is used, and this one is
        // dropped.
        let connection = self
            .connections
            .lock()
            .unwrap()
            .entry(to)
            .or_insert_with(|| opened.clone())
            .clone();
        if Arc::ptr_eq(&connection, &opened) {
            let task = self.clone().run_connection(to, opened, stream, outgoing);
            self.runtime.spawn(task);
        }
        Ok(connection)
    }

    /// Transfers frames until the connection ends.
    async fn run_connection(
        self: Arc<Self>,
        to: SocketAddr,
        connection: Arc<PeerConnection>,
        stream: Connection,
        outgoing: Receiver<Vec<u8>>,
    ) {
        connection
            .transfer(&self.runtime, &stream, &outgoing, self.newest_version)
            .await;
        self.detach(to, &connection);
        connection.close();
    }

    /// Detaches a connection so that new requests do not use it; returns whether it was still in use.
    fn detach(&self, to: SocketAddr, connection: &Arc<PeerConnection>) -> bool {
        let mut connections = self.connections.lock().unwrap();
        let is_current = connections
            .get(&to)
            .is_some_and(|current| Arc::ptr_eq(current, connection));
        if is_current {
            connections.remove(&to);
        }
        is_current
    }

    /// Detaches a connection on which nothing was received since the request started, so that the next
    /// request opens a new one. A machine that lost power sends nothing, and TCP may retransmit on the
    /// old connection only seconds after the machine is back. Requests in flight on the old connection
    /// may still receive responses until it is closed.
    fn replace_if_unresponsive(
        self: &Arc<Self>,
        to: SocketAddr,
        connection: &Arc<PeerConnection>,
        request_start: u64,
    ) {
        let has_exceeded_delay = self.runtime.now() >= request_start + LINK_SUSPECT_AFTER;
        if !has_exceeded_delay || !connection.has_received_nothing_since(request_start) {
            return;
        }
        if self.detach(to, connection) {
            let (runtime, connection) = (self.runtime.clone(), connection.clone());
            self.runtime.spawn(async move {
                runtime.sleep(PEER_SEND_TIMEOUT).await;
                connection.outgoing.close();
            });
        }
    }
}
