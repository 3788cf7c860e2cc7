//! Reads a store's log again after a write of unknown outcome.

use crate::segment_log::{Item, Log, path};
use crate::turn_store::{TurnIndex, TurnStore};
use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use yewcross_common::constants::*;
use yewcross_common::storage::encode_frame;
use yewcross_common::turn_log::store_client::encode;

impl TurnStore {
    /// Replaces what is in memory, which may be ahead of the disk, by what the log holds. Only
    /// called while the disk counts as failed, so that nothing is answered meanwhile. Where bytes
    /// that were answered for are gone, the store is in doubt, as after a start that finds damage.
    pub async fn restore(self: &Arc<Self>) -> io::Result<()> {
        while self.log.lock().unwrap().is_busy() {
            self.runtime.sleep(DISK_RETRY / 10).await;
        }
        let answered = self.log.lock().unwrap().sizes.clone();
        let (shelf, found) = TurnIndex::load(&self.runtime).await?;
        let is_shorter =
            |(segment, bytes): (&u64, &u64)| found.sizes.get(segment).is_none_or(|now| now < bytes);
        let damaged = !found.hurt.is_empty() || answered.iter().any(is_shorter);
        let mut sizes = found.sizes;
        let segment = sizes.keys().last().map_or(1, |newest| newest + 1);
        self.mark_torn(segment, &found.torn, &mut sizes).await?;
        *self.index.lock().unwrap() = shelf;
        *self.log.lock().unwrap() = Log::new(segment, sizes);
        if damaged {
            self.runtime
                .log("the log lost what was answered for; asking the other disks");
            self.recovery_pending.store(true, SeqCst);
        }
        Ok(())
    }

    /// Torn ends are marked before anything else is written behind them.
    async fn mark_torn(
        &self,
        segment: u64,
        torn: &[(u64, u64)],
        sizes: &mut BTreeMap<u64, u64>,
    ) -> io::Result<()> {
        if torn.is_empty() {
            return Ok(());
        }
        let marks: Vec<Item> = torn
            .iter()
            .map(|(segment, bytes)| Item::Torn(*segment, *bytes))
            .collect();
        let body = encode_frame(&encode(&marks));
        let bytes = body.len() as u64;
        self.runtime.append(&path(segment), body).await?;
        sizes.insert(segment, bytes);
        Ok(())
    }
}
