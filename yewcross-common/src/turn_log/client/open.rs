//! Opens a turn at the store that owns its program's ledger.

use crate::constants::{STORE_HEDGE_DELAY, STORE_RETRY_DELAY, STORE_UNRESPONSIVE_HEDGES};
use crate::turn_log::client::Inner;
use crate::turn_log::client::cache::ChainLink;
use crate::turn_log::client::chain_reader::{ChainRange, ReadChain};
use crate::turn_log::client::settlement::SettleOnDrop;
use crate::turn_log::messages::{StoredTurn, TurnLogOperation, TurnLogResponse};
use crate::turn_log::replicas::StoreReplicas;
use crate::turn_log::{OpenTurn, OpenTurnError, OpenedTurn};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;

/// State of the attempts to open a turn.
#[derive(Default)]
struct OpenAttempts {
    /// Disks that did not open the turn.
    tried: BTreeSet<String>,
    /// Whether the next store is requested to take over the ownership of the ledger.
    take_over: bool,
    /// The owner reported by the last response.
    redirected_to: Option<String>,
}

impl Inner {
    /// Opens the turn and reads the chain before it. If the outcome is unknown, if the chain cannot be
    /// read, or if this future is dropped, a settlement is started that releases the possible
    /// reservation.
    pub(super) async fn open(
        self: &Arc<Self>,
        open: OpenTurn,
        deadline_us: u64,
    ) -> Result<OpenedTurn, OpenTurnError> {
        let mut guard = SettleOnDrop::new(self, &open, 0);
        let missing = self.cache.lock().unwrap().first_missing(&open.prev);
        if missing.is_empty() {
            self.counters.cache_hits.fetch_add(1, Relaxed);
        }
        if !missing.is_empty() || open.is_budgeted() {
            let opened = self.request_open(&open, missing, deadline_us).await;
            if matches!(
                opened,
                Err(OpenTurnError::BudgetSpent | OpenTurnError::UnknownTurn)
            ) {
                guard.disarm();
            }
            opened?;
        }
        let range = ChainRange {
            last: &open.prev,
            before: "",
            rank_key: open.rank_key(),
        };
        let ReadChain { mut turns, memory } = self.read_chain(range, deadline_us).await?;
        turns.reverse();
        let links = turns.iter().map(ChainLink::of).collect();
        let chain = turns.into_iter().map(|stored| stored.turn).collect();
        guard.disarm();
        let mut cache = self.cache.lock().unwrap();
        cache.open_chains.put(open.turn, links);
        Ok(OpenedTurn { chain, memory })
    }

    /// Sends the request to one store after another until a response is conclusive. The store returns
    /// the end of the chain that ends in `missing`, which is cached.
    async fn request_open(
        self: &Arc<Self>,
        open: &OpenTurn,
        missing: String,
        deadline_us: u64,
    ) -> Result<(), OpenTurnError> {
        let runtime = &self.stores.runtime;
        let mut attempts = OpenAttempts::default();
        while runtime.now() < deadline_us {
            let replicas = self.stores.replicas();
            let Some(disk) = self.next_store(open, &replicas, &mut attempts) else {
                attempts.tried.clear();
                runtime
                    .sleep(STORE_RETRY_DELAY + runtime.random() % STORE_RETRY_DELAY)
                    .await;
                continue;
            };
            let operation = TurnLogOperation::OpenTurn {
                program: open.program.clone(),
                turn: open.turn.clone(),
                max_output_tokens: open.max_output_tokens,
                budget: open.budget.filter(|_| !open.program.is_empty()),
                parent: missing.clone(),
                take_over: attempts.take_over,
            };
            let response = self
                .request_until_unresponsive(&disk, replicas.layout_version, &operation, deadline_us)
                .await;
            match response {
                Some(TurnLogResponse::Opened { rows }) => {
                    self.cache_opened(open, &disk, &rows);
                    return Ok(());
                }
                Some(TurnLogResponse::BudgetSpent) => return Err(OpenTurnError::BudgetSpent),
                Some(TurnLogResponse::UnknownTurn) => return Err(OpenTurnError::UnknownTurn),
                Some(TurnLogResponse::NewerLayout(version)) => {
                    self.stores.catch_up(version).await;
                }
                Some(TurnLogResponse::Owner(owner)) => {
                    self.follow_redirect(owner, &replicas, &mut attempts);
                }
                _ => self.fail_over(open, disk, &mut attempts),
            }
        }
        Err(OpenTurnError::Unavailable)
    }

    /// The reported or cached owner, if it is responsive and not tried yet; otherwise the first untried
    /// disk in order.
    fn next_store(
        &self,
        open: &OpenTurn,
        replicas: &StoreReplicas,
        attempts: &mut OpenAttempts,
    ) -> Option<String> {
        let order = self
            .stores
            .order_by_site(open.rank_key(), replicas, &self.site);
        let redirected_to = attempts.redirected_to.take();
        let owner = redirected_to
            .or_else(|| self.cached_owner(&open.program))
            .filter(|disk| replicas.contains(disk));
        let tried = &attempts.tried;
        owner
            .filter(|disk| !tried.contains(disk) && self.stores.is_responsive(disk))
            .or_else(|| order.into_iter().find(|disk| !tried.contains(disk)))
    }

    fn cache_opened(&self, open: &OpenTurn, disk: &str, rows: &[StoredTurn]) {
        let mut cache = self.cache.lock().unwrap();
        if !open.program.is_empty() {
            cache.owners.put(open.program.clone(), disk.into());
        }
        for stored in rows {
            cache.put(stored.clone(), vec![disk.to_string()]);
        }
    }

    /// Handles a redirect to an owner that the responding store considers alive. If this node cannot
    /// reach that owner, the next request asks the store to take over the ownership.
    fn follow_redirect(
        &self,
        owner: String,
        replicas: &StoreReplicas,
        attempts: &mut OpenAttempts,
    ) {
        let is_reachable = replicas.contains(&owner)
            && self.stores.is_responsive(&owner)
            && !attempts.tried.contains(&owner);
        if is_reachable {
            attempts.redirected_to = Some(owner);
        } else {
            attempts.take_over = true;
        }
    }

    fn fail_over(&self, open: &OpenTurn, disk: String, attempts: &mut OpenAttempts) {
        self.counters.failovers.fetch_add(1, Relaxed);
        self.cache.lock().unwrap().owners.pop(&open.program);
        attempts.tried.insert(disk);
        attempts.take_over = true;
    }

    /// Waits for the response of one store until its node is no longer alive or has become
    /// unresponsive. A store that is merely slow is waited for until the deadline.
    async fn request_until_unresponsive(
        &self,
        disk: &str,
        layout_version: u64,
        operation: &TurnLogOperation,
        deadline_us: u64,
    ) -> Option<TurnLogResponse> {
        let runtime = &self.stores.runtime;
        let sent_us = runtime.now();
        let request = async {
            let timeout_us = deadline_us.saturating_sub(runtime.now());
            self.stores
                .request(disk, layout_version, operation, timeout_us)
                .await
                .ok()
        };
        let watch = async {
            for wait_count in 1.. {
                runtime.sleep(STORE_HEDGE_DELAY).await;
                self.stores.mark_slow(disk);
                let has_failed = !self.stores.is_alive(disk)
                    || (wait_count >= STORE_UNRESPONSIVE_HEDGES
                        && self.stores.has_not_answered_since(disk, sent_us));
                if has_failed {
                    break;
                }
            }
            None
        };
        futures_lite::future::or(request, watch).await
    }
}
