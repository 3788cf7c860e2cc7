//! Memory of a request of a peer and of its response.

use crate::buffer_memory::Reservation;
use crate::overload::CallerConnection;
use bytes::Bytes;
use std::sync::{Arc, Mutex};

/// The memory that is reserved for a request and its response, until the response is written.
#[derive(Clone, Debug)]
pub(super) struct RequestMemory {
    caller: Arc<CallerConnection>,
    /// `None` while it grows, and after it was handed to the response.
    reservation: Arc<Mutex<Option<Reservation>>>,
}

impl RequestMemory {
    pub(super) fn new(caller: &Arc<CallerConnection>, reservation: Reservation) -> RequestMemory {
        RequestMemory {
            caller: caller.clone(),
            reservation: Arc::new(Mutex::new(Some(reservation))),
        }
    }

    /// Reserves memory up to a total of `bytes`; returns whether there is enough.
    pub(super) async fn grow_to(&self, bytes: usize) -> bool {
        let Some(mut reservation) = self.reservation.lock().unwrap().take() else {
            return false;
        };
        let missing_bytes = bytes.saturating_sub(reservation.bytes());
        let has_grown = self
            .caller
            .grow_frame(&mut reservation, missing_bytes)
            .await;
        *self.reservation.lock().unwrap() = Some(reservation);
        has_grown
    }

    /// The response frame with its memory; `None` if there is not enough of it.
    pub(super) async fn attach_to(&self, frame: Vec<u8>) -> Option<Bytes> {
        if !self.grow_to(frame.len()).await {
            return None;
        }
        let reservation = self.reservation.lock().unwrap().take()?;
        Some(reservation.attach_to(frame))
    }
}
