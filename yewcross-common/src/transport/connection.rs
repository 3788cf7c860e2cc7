//! One connection to a peer, shared by the requests in flight on it.

use super::frame::{Envelope, decode_frame, read_frame};
use crate::constants::PEER_READ_BUFFER_BYTES;
use crate::runtime::{Connection, Runtime};
use async_channel::{Receiver, Sender};
use futures_lite::io::BufReader;
use futures_lite::{AsyncWrite, AsyncWriteExt};
use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// Capacity, in frames, of the write queue of a connection; senders wait while it is full.
pub(super) const WRITE_QUEUE_FRAMES: usize = 1024;

/// The client's side of a connection. Responses may arrive in any order and are matched to requests by
/// id.
pub(super) struct PeerConnection {
    /// Frames to be written.
    pub(super) outgoing: Sender<Vec<u8>>,
    /// Requests in flight by id, each with the channel for its response.
    in_flight: Mutex<BTreeMap<u64, Sender<Envelope>>>,
    /// Time of the last frame received (µs, monotonic).
    last_received: AtomicU64,
}

impl PeerConnection {
    pub(super) fn new(outgoing: Sender<Vec<u8>>, now: u64) -> PeerConnection {
        PeerConnection {
            outgoing,
            in_flight: Default::default(),
            last_received: AtomicU64::new(now),
        }
    }

    /// Registers a request in flight and returns the channel for its response. The channel is closed
    /// without a response if the connection ends.
    pub(super) fn register(&self, id: u64) -> Receiver<Envelope> {
        let (response, receiver) = async_channel::bounded(1);
        self.in_flight.lock().unwrap().insert(id, response);
        receiver
    }

    /// Removes a request whose response is no longer awaited.
    pub(super) fn deregister(&self, id: u64) {
        self.in_flight.lock().unwrap().remove(&id);
    }

    /// Whether no frame has been received since `time` (µs, monotonic).
    pub(super) fn has_received_nothing_since(&self, time: u64) -> bool {
        self.last_received.load(Relaxed) < time
    }

    /// Reads responses and writes queued frames until either direction ends.
    pub(super) async fn transfer(
        &self,
        runtime: &Runtime,
        stream: &Connection,
        outgoing: &Receiver<Vec<u8>>,
        newest_version: u16,
    ) {
        let mut writer = stream.clone();
        let mut reader = BufReader::with_capacity(PEER_READ_BUFFER_BYTES, stream.clone());
        let read = self.read_responses(runtime, &mut reader, newest_version);
        let write = write_frames(outgoing, &mut writer);
        futures_lite::future::or(read, write).await;
    }

    async fn read_responses(
        &self,
        runtime: &Runtime,
        reader: &mut BufReader<Connection>,
        newest_version: u16,
    ) {
        while let Some(frame) = read_frame(reader).await {
            self.last_received.store(runtime.now(), Relaxed);
            let Some(frame) = decode_frame(&frame, newest_version) else {
                continue;
            };
            if frame.is_reply {
                self.complete(frame.id, frame.envelope);
            }
        }
    }

    fn complete(&self, id: u64, response: Envelope) {
        if let Some(request) = self.in_flight.lock().unwrap().remove(&id) {
            // The channel is closed if the request has timed out concurrently.
            let _ = request.try_send(response);
        }
    }

    /// Closes the connection: no further frame is queued, and each request in flight fails with an
    /// unknown outcome.
    pub(super) fn close(&self) {
        self.outgoing.close();
        self.in_flight.lock().unwrap().clear();
    }
}

/// Writes queued frames until the queue is closed and empty, or the connection fails.
pub(super) async fn write_frames<Frame: AsRef<[u8]>>(
    frames: &Receiver<Frame>,
    writer: &mut (impl AsyncWrite + Unpin),
) {
    while let Ok(frame) = frames.recv().await {
        if writer.write_all(frame.as_ref()).await.is_err() {
            return;
        }
    }
}
