//! Reads the chain before a turn into reserved memory: from the cache, and the rest from the stores,
//! page by page.
//!
//! Nobody knows the size of a chain before it is read, so two turns that wait for memory could each hold
//! what the other one needs. A turn therefore reads its chain without waiting. If there is no memory for
//! all of it, it releases what it has read, and reads the chain again, waiting, while no other turn does.

use crate::buffer_memory::Reservation;
use crate::constants::{CHAIN_MEMORY_TIMEOUT, HISTORY_PAGE_BYTES, PEER_REQUEST_TIMEOUT};
use crate::turn_log::OpenTurnError;
use crate::turn_log::client::Inner;
use crate::turn_log::messages::{StoredTurn, TurnLogOperation, TurnLogResponse};

/// Copies of a page while it is received: the frame or the decoded turns, and the payload.
const PAGE_COPIES: usize = 2;

/// The largest share of the memory for buffers that a page may reserve, as a divisor.
const PAGE_MEMORY_DIVISOR: usize = 4;

/// Number of times that the stores are asked for a page: again if the layout has changed.
const PAGE_ROUNDS: usize = 2;

/// A chain that was read, or the end of one.
pub(super) struct ReadChain {
    /// Newest first.
    pub(super) turns: Vec<StoredTurn>,
    /// Memory of the turns.
    pub(super) memory: Reservation,
}

/// The part of a chain to read.
#[derive(Clone, Copy)]
pub(super) struct ChainRange<'a> {
    /// Id of the last turn.
    pub(super) last: &'a str,
    /// Id of the turn before the first one; empty for the complete chain.
    pub(super) before: &'a str,
    /// The key by which the stores are ranked.
    pub(super) rank_key: &'a str,
}

/// Whether the reader waits for memory that others release.
#[derive(Clone, Copy, PartialEq, Eq)]
enum MemoryWait {
    /// Not at all.
    None,
    /// Until this time, in us of the runtime's clock.
    Until(u64),
}

impl Inner {
    /// Reads a chain into reserved memory.
    pub(super) async fn read_chain(
        &self,
        range: ChainRange<'_>,
        deadline_us: u64,
    ) -> Result<ReadChain, OpenTurnError> {
        let read = self
            .read_chain_waiting(range, MemoryWait::None, deadline_us)
            .await;
        if !matches!(read, Err(OpenTurnError::OutOfMemory)) {
            return read;
        }
        let runtime = &self.stores.runtime;
        let wait_until_us = deadline_us.min(runtime.now() + CHAIN_MEMORY_TIMEOUT);
        let left_us = wait_until_us.saturating_sub(runtime.now());
        let Some(_turn) = runtime.timeout(left_us, self.waiting_reader.lock()).await else {
            return Err(OpenTurnError::OutOfMemory);
        };
        let wait = MemoryWait::Until(wait_until_us);
        self.read_chain_waiting(range, wait, deadline_us).await
    }

    async fn read_chain_waiting(
        &self,
        range: ChainRange<'_>,
        wait: MemoryWait,
        deadline_us: u64,
    ) -> Result<ReadChain, OpenTurnError> {
        let mut chain = ReadChain {
            turns: vec![],
            memory: Reservation::new(&self.memory),
        };
        let mut next = range.last.to_string();
        let mut disk = None;
        while next != range.before {
            let cached = self.cache.lock().unwrap().history(&next, range.before);
            next = cached.missing;
            self.extend(&mut chain, cached.turns, wait).await?;
            if next == range.before {
                break;
            }
            let page = self
                .read_page(&next, range.rank_key, &mut disk, wait, deadline_us)
                .await?;
            let mut wanted = vec![];
            for stored in page {
                if next == range.before {
                    break;
                }
                next = stored.turn.prev.clone();
                wanted.push(stored);
            }
            self.extend(&mut chain, wanted, wait).await?;
        }
        Ok(chain)
    }

    /// Adds turns to a chain, and reserves their memory.
    async fn extend(
        &self,
        chain: &mut ReadChain,
        turns: Vec<StoredTurn>,
        wait: MemoryWait,
    ) -> Result<(), OpenTurnError> {
        let bytes = turns.iter().map(StoredTurn::bytes).sum();
        self.reserve(&mut chain.memory, bytes, wait).await?;
        chain.turns.extend(turns);
        Ok(())
    }

    async fn reserve(
        &self,
        memory: &mut Reservation,
        bytes: usize,
        wait: MemoryWait,
    ) -> Result<(), OpenTurnError> {
        let is_reserved = match wait {
            MemoryWait::None => memory.try_grow(bytes),
            MemoryWait::Until(time_us) => {
                memory
                    .grow_until(&self.stores.runtime, bytes, time_us)
                    .await
            }
        };
        if is_reserved {
            Ok(())
        } else {
            Err(OpenTurnError::OutOfMemory)
        }
    }

    /// Reads a page of the chain that ends in `id`, newest first. The memory for receiving it is reserved
    /// meanwhile.
    async fn read_page(
        &self,
        id: &str,
        rank_key: &str,
        last_disk: &mut Option<String>,
        wait: MemoryWait,
        deadline_us: u64,
    ) -> Result<Vec<StoredTurn>, OpenTurnError> {
        let mut receiving = Reservation::new(&self.memory).with_precedence();
        self.reserve(&mut receiving, self.page_memory_bytes(), wait)
            .await?;
        for _ in 0..PAGE_ROUNDS {
            let page = self.request_page(id, rank_key, last_disk, deadline_us);
            if let Some(turns) = page.await {
                return Ok(turns);
            }
        }
        Err(OpenTurnError::Unavailable)
    }

    /// Requests a page from the disk that returned the last one, or else from any that has it.
    async fn request_page(
        &self,
        id: &str,
        rank_key: &str,
        last_disk: &mut Option<String>,
        deadline_us: u64,
    ) -> Option<Vec<StoredTurn>> {
        let replicas = self.stores.replicas();
        let ranked = self.stores.order_by_site(rank_key, &replicas, &self.site);
        let operation = TurnLogOperation::FindHistory { id: id.into() };
        for disk in last_disk.take().into_iter().chain(ranked) {
            let left_us = deadline_us.saturating_sub(self.stores.runtime.now());
            let timeout_us = left_us.min(PEER_REQUEST_TIMEOUT);
            let response = self
                .stores
                .request(&disk, replicas.layout_version, &operation, timeout_us)
                .await;
            match response {
                Ok(TurnLogResponse::History(turns)) if !turns.is_empty() => {
                    self.cache_page(&disk, &turns);
                    *last_disk = Some(disk);
                    return Some(turns);
                }
                Ok(TurnLogResponse::NewerLayout(version)) => {
                    self.stores.catch_up(version).await;
                    return None;
                }
                _ => {}
            }
        }
        None
    }

    fn cache_page(&self, disk: &str, turns: &[StoredTurn]) {
        let mut cache = self.cache.lock().unwrap();
        for stored in turns {
            cache.put(stored.clone(), vec![disk.to_string()]);
        }
    }

    /// Memory for receiving a page, which may be a single turn of the largest size.
    fn page_memory_bytes(&self) -> usize {
        let body_bytes = {
            let configuration = self.stores.documents.config.load();
            configuration.1.routing.limits.body_bytes
        };
        let page_bytes = HISTORY_PAGE_BYTES.max(body_bytes);
        (PAGE_COPIES * page_bytes).min(self.memory.limit() / PAGE_MEMORY_DIVISOR)
    }
}
