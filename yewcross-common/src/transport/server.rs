//! The server's side: accepts connections and answers the requests that arrive on them.

use super::client::PeerClient;
use super::connection::{WRITE_QUEUE, write_frames};
use super::frame::{DecodedFrame, Envelope, decode_frame, encode_frame, read_frame};
use crate::constants::{MS, PEER_READ_BUFFER_BYTES, PEER_SEND_TIMEOUT};
use crate::runtime::{BoxFuture, Connection, Listener};
use async_channel::Sender;
use futures_lite::io::BufReader;
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;

/// µs until the next attempt after a failure to accept, such as a lack of file descriptors.
const ACCEPT_BACKOFF: u64 = 10 * MS;

/// The answer to a request.
#[derive(Clone, Debug, Default)]
pub struct Reply {
    /// The response, as JSON.
    pub message: Vec<u8>,
    /// Bytes that go with it; empty where the response needs none.
    pub payload: Vec<u8>,
}

/// Answers the requests that other nodes send.
pub trait RequestHandler: Send + Sync {
    /// Answers one request. Requests of one connection are handled concurrently.
    fn handle(self: Arc<Self>, request: Envelope) -> BoxFuture<'static, Reply>;
}

impl PeerClient {
    /// Accepts connections and answers their requests until the process ends.
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
        let (replies, outgoing) = async_channel::bounded::<Vec<u8>>(WRITE_QUEUE);
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
                    let answer =
                        self.clone()
                            .answer_request(request, handler.clone(), replies.clone());
                    self.runtime.spawn(answer);
                }
                _ => {
                    self.rejected_frames.fetch_add(1, Relaxed);
                }
            }
        }
    }

    /// Answers in the frame version that the request came in.
    async fn answer_request(
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
        // The connection may have ended meanwhile; the requester then knows no outcome.
        let _ = replies.send(frame).await;
    }
}
