//! The server side: accepts connections and handles the requests received on them.

use super::announced_size::read_frame_start;
use super::client::PeerClient;
use super::connection::{WRITE_QUEUE_FRAMES, write_frames};
use super::frame::{
    DecodedFrame, Envelope, FrameReader, decode_frame, encode_frame, read_frame, reader_options,
};
use super::request_memory::RequestMemory;
use crate::buffer_memory::Reservation;
use crate::constants::{MS, PEER_READ_BUFFER_BYTES, PEER_REQUEST_BYTES, PEER_SEND_TIMEOUT};
use crate::overload::{CallerConnection, ConnectionPermit, ObservedConnection, OverloadManager};
use crate::runtime::{BoxFuture, Connection, Listener};
use async_channel::Sender;
use bytes::Bytes;
use futures_lite::io::BufReader;
use futures_lite::{AsyncReadExt, FutureExt};
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;

/// Delay, in µs, before the next attempt after accepting a connection failed, for example for lack of
/// file descriptors.
const ACCEPT_BACKOFF: u64 = 10 * MS;

/// The response to a request.
#[derive(Clone, Debug, Default)]
pub struct Reply {
    /// The response, as JSON.
    pub message: Vec<u8>,
    /// Binary data sent with the response; empty if there is none.
    pub payload: Vec<u8>,
}

/// Handles the requests of other nodes.
pub trait RequestHandler: Send + Sync {
    /// Handles one request. Requests on the same connection are handled concurrently.
    fn handle(self: Arc<Self>, request: Envelope) -> BoxFuture<'static, Reply>;
}

/// Reads the next frame into memory that is reserved for it. `None` if the connection is to be closed.
async fn read_reserved_frame(
    reader: &mut BufReader<Connection>,
    caller: &CallerConnection,
) -> Option<(FrameReader, Reservation)> {
    let start = read_frame_start(reader, reader_options()).await?;
    caller.begin_receiving();
    let mut reservation = caller.reservation().with_precedence();
    let bytes = start.frame_bytes + PEER_REQUEST_BYTES;
    if !caller.grow_frame(&mut reservation, bytes).await {
        return None;
    }
    if CallerConnection::is_large(start.frame_bytes) {
        caller.widen_receive_window();
    }
    let frame = read_frame(&mut start.bytes.as_slice().chain(reader)).await?;
    caller.begin_idle();
    caller.restore_receive_window();
    Some((frame, reservation))
}

impl PeerClient {
    /// Accepts connections and handles their requests until the process ends, without a limit on what
    /// they hold.
    pub async fn serve(
        self: Arc<Self>,
        listener: Box<dyn Listener>,
        handler: Arc<dyn RequestHandler>,
    ) {
        let overload = Arc::default();
        self.serve_within(listener, handler, overload).await;
    }

    /// Accepts connections that `overload` admits, and handles their requests until the process ends.
    pub async fn serve_within(
        self: Arc<Self>,
        listener: Box<dyn Listener>,
        handler: Arc<dyn RequestHandler>,
        overload: Arc<OverloadManager>,
    ) {
        loop {
            let Ok(connection) = listener.accept().await else {
                self.runtime.sleep(ACCEPT_BACKOFF).await;
                continue;
            };
            // A connection for which there is no room is closed.
            let Some(permit) = overload.admit(&self.runtime, &connection).await else {
                continue;
            };
            let (server, handler) = (self.clone(), handler.clone());
            self.runtime.spawn(async move {
                server.serve_connection(connection, handler, &permit).await;
            });
        }
    }

    async fn serve_connection(
        self: Arc<Self>,
        connection: Connection,
        handler: Arc<dyn RequestHandler>,
        permit: &ConnectionPermit,
    ) {
        let caller = permit.connection();
        let (replies, outgoing) = async_channel::bounded::<Bytes>(WRITE_QUEUE_FRAMES);
        connection.set_send_timeout(PEER_SEND_TIMEOUT);
        let mut reader = BufReader::with_capacity(PEER_READ_BUFFER_BYTES, connection.clone());
        let mut writer = ObservedConnection::new(connection, caller.clone());
        let read = self.read_requests(&mut reader, &replies, &handler, caller);
        let write = write_frames(&outgoing, &mut writer);
        read.or(write).or(caller.evicted()).await;
    }

    async fn read_requests(
        self: &Arc<Self>,
        reader: &mut BufReader<Connection>,
        replies: &Sender<Bytes>,
        handler: &Arc<dyn RequestHandler>,
        caller: &Arc<CallerConnection>,
    ) {
        while let Some((frame, reservation)) = read_reserved_frame(reader, caller).await {
            match decode_frame(&frame, self.newest_version) {
                Some(mut request) if !request.is_reply => {
                    let memory = RequestMemory::new(caller, reservation);
                    request.envelope.memory = Some(memory);
                    let response =
                        self.clone()
                            .handle_request(request, handler.clone(), replies.clone());
                    self.runtime.spawn(response);
                }
                _ => {
                    self.rejected_frames.fetch_add(1, Relaxed);
                }
            }
        }
    }

    /// Handles a request and queues the response, in the frame version of the request.
    async fn handle_request(
        self: Arc<Self>,
        request: DecodedFrame,
        handler: Arc<dyn RequestHandler>,
        replies: Sender<Bytes>,
    ) {
        let DecodedFrame { id, envelope, .. } = request;
        let is_same_site = envelope.site == self.site;
        let version = envelope.version;
        let memory = envelope.memory.clone();
        let reply = handler.handle(envelope).await;
        let frame = encode_frame(
            version,
            id,
            true,
            &self.own_name,
            &self.site,
            &reply.message,
            &reply.payload,
        );
        drop(reply);
        self.metrics.record_frame(is_same_site, frame.len());
        let frame = match memory {
            Some(memory) => memory.attach_to(frame).await,
            None => Some(Bytes::from(frame)),
        };
        // Without memory for it, the outcome is unknown to the sender.
        let Some(frame) = frame else { return };
        // The connection may have ended meanwhile; the request's outcome is then unknown to its
        // sender.
        let _ = replies.send(frame).await;
    }
}
