//! The server side: accepts connections and handles the requests received on them.

use super::client::PeerClient;
use super::connection::{WRITE_QUEUE_FRAMES, write_frames};
use super::frame::{DecodedFrame, Envelope, decode_frame, encode_frame, read_frame};
use crate::constants::{MS, PEER_READ_BUFFER_BYTES, PEER_SEND_TIMEOUT};
use crate::runtime::{BoxFuture, Connection, Listener};
use async_channel::Sender;
use futures_lite::io::BufReader;
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

impl PeerClient {
    /// Accepts connections and handles their requests until the process ends.
    pub async fn serve(
        self: Arc<Self>,
        listener: Box<dyn Listener>,
        handler: Arc<dyn RequestHandler>,
    ) {
        loop {
            let Ok(connection) = listener.accept().await else {
                self.runtime.sleep(ACCEPT_BACKOFF).await;
                continue;
            };
            let (server, handler) = (self.clone(), handler.clone());
            self.runtime
                .spawn(async move { server.serve_connection(connection, handler).await });
        }
    }

    async fn serve_connection(
        self: Arc<Self>,
        connection: Connection,
        handler: Arc<dyn RequestHandler>,
    ) {
        let (replies, outgoing) = async_channel::bounded::<Vec<u8>>(WRITE_QUEUE_FRAMES);
        connection.set_send_timeout(PEER_SEND_TIMEOUT);
        let mut reader = BufReader::with_capacity(PEER_READ_BUFFER_BYTES, connection.clone());
        let mut writer = connection;
        let read = self.read_requests(&mut reader, &replies, &handler);
        let write = write_frames(&outgoing, &mut writer);
        futures_lite::future::or(read, write).await;
    }

    async fn read_requests(
        self: &Arc<Self>,
        reader: &mut BufReader<Connection>,
        replies: &Sender<Vec<u8>>,
        handler: &Arc<dyn RequestHandler>,
    ) {
        while let Some(frame) = read_frame(reader).await {
            match decode_frame(&frame, self.newest_version) {
                Some(request) if !request.is_reply => {
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
        replies: Sender<Vec<u8>>,
    ) {
        let DecodedFrame { id, envelope, .. } = request;
        let is_same_site = envelope.site == self.site;
        let version = envelope.version;
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
        self.metrics.record_frame(is_same_site, frame.len());
        // The connection may have ended meanwhile; the request's outcome is then unknown to its
        // sender.
        let _ = replies.send(frame).await;
    }
}
