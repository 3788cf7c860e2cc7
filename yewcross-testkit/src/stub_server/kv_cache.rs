//! The KV cache of session prefixes, and the transfer of prefixes between servers.

use super::{StubServer, string_member};
use http_types::{Method, Response};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use yewcross_common::buffered_http::{fetch, json_response};
use yewcross_common::constants::{
    KV_IMPORT_US_PER_1000_TOKENS, KV_PUSH_TIMEOUT, KV_TOKEN_BYTES, SEC,
};
use yewcross_common::hash::digest;

/// Write rate of a save, bytes per us.
const SAVE_BYTES_PER_US: u64 = 4_000;
/// Capacity for replicas, as a multiple of the cache's capacity.
const REPLICA_CAPACITY_FACTOR: u64 = 4;

/// The computed prefix of a session's history.
#[derive(Clone, Debug)]
pub(super) struct Prefix {
    /// Length of the prefix, bytes.
    pub(super) length: usize,
    /// Digest of the prefix.
    pub(super) digest: String,
    pub(super) tokens: u64,
    /// Time of the last use, us; the least recently used prefix is evicted first.
    pub(super) used_at: u64,
}

/// The last save of a session.
struct SavedPrefix {
    digest: String,
    tokens: u64,
}

#[derive(Default)]
pub(super) struct KvCache {
    /// Prefixes that turns reuse, by session.
    prefixes: BTreeMap<String, Prefix>,
    /// Prefixes received from other servers and not part of the cache, by session.
    replicas: BTreeMap<String, Prefix>,
    /// The last save of each session.
    saved: BTreeMap<String, SavedPrefix>,
    /// Tokens added to the cache so far.
    pub(super) placed_tokens: u64,
}

/// Numbers of a session's tokens that a server stores.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HeldTokens {
    /// Tokens of its replica, if there is one.
    pub replica: Option<u64>,
    /// Tokens of its prefix in the cache, if there is one.
    pub cached: Option<u64>,
}

/// Evicts the least recently used prefixes until the rest fits the capacity (tokens). The last
/// prefix is never evicted.
fn evict(prefixes: &mut BTreeMap<String, Prefix>, capacity: u64) {
    let total = |prefixes: &BTreeMap<String, Prefix>| -> u64 {
        prefixes.values().map(|prefix| prefix.tokens).sum()
    };
    while total(prefixes) > capacity && prefixes.len() > 1 {
        let oldest = prefixes
            .iter()
            .min_by_key(|(_, prefix)| prefix.used_at)
            .map(|(session, _)| session.clone())
            .unwrap_or_default();
        prefixes.remove(&oldest);
    }
}

impl KvCache {
    /// Inserts a prefix into the cache, `added` tokens of which are new there. Returns the tokens
    /// added to the cache so far.
    pub(super) fn insert_prefix(
        &mut self,
        session: &str,
        prefix: Prefix,
        added: u64,
        capacity: u64,
    ) -> u64 {
        self.placed_tokens += added;
        self.prefixes.insert(session.into(), prefix);
        evict(&mut self.prefixes, capacity);
        self.placed_tokens
    }

    /// The session's prefix in the cache, if it has that digest.
    fn cached(&self, session: &str, digest: &str) -> Option<Prefix> {
        let prefix = self.prefixes.get(session)?;
        (prefix.digest == digest).then(|| prefix.clone())
    }

    /// The session's replica, if it has that digest.
    fn replica(&self, session: &str, digest: &str) -> Option<Prefix> {
        let prefix = self.replicas.get(session)?;
        (prefix.digest == digest).then(|| prefix.clone())
    }

    fn store_replica(&mut self, session: String, prefix: Prefix, cache_tokens: u64) {
        self.replicas.insert(session, prefix);
        evict(&mut self.replicas, REPLICA_CAPACITY_FACTOR * cache_tokens);
    }

    /// Tokens of the session's last save, if it has that digest.
    fn saved_tokens(&self, session: &str, digest: &str) -> Option<u64> {
        let saved = self.saved.get(session)?;
        (saved.digest == digest).then_some(saved.tokens)
    }
}

impl StubServer {
    /// The session's tokens that the server stores.
    pub fn held_tokens(&self, session: &str) -> HeldTokens {
        let state = self.state();
        HeldTokens {
            replica: state.kv.replicas.get(session).map(|prefix| prefix.tokens),
            cached: state.kv.prefixes.get(session).map(|prefix| prefix.tokens),
        }
    }

    /// Number of tokens at the start of the prompt that the cache holds. Counts as a use of them.
    pub(super) fn reuse_prefix(&self, session: &str, prompt: &str) -> u64 {
        let mut state = self.state();
        let now = self.runtime.now();
        let is_prefix = |prefix: &&mut Prefix| {
            prefix.length <= prompt.len()
                && digest(&prompt.as_bytes()[..prefix.length]) == prefix.digest
        };
        let Some(prefix) = state.kv.prefixes.get_mut(session).filter(is_prefix) else {
            return 0;
        };
        prefix.used_at = now;
        prefix.tokens
    }

    /// Saves a cached session. If the last save has the request's base digest, only the tokens
    /// since are written.
    pub(super) async fn handle_save(&self, body: &Value) -> Response {
        let session = string_member(body, "session");
        let cached = self
            .state()
            .kv
            .cached(&session, &string_member(body, "digest"));
        let Some(prefix) = cached else {
            return json_response(404, &json!({"ok": false}));
        };
        let base = body["base"].as_str();
        let saved = base.and_then(|digest| self.state().kv.saved_tokens(&session, digest));
        let bytes = prefix.tokens.saturating_sub(saved.unwrap_or(0)) * KV_TOKEN_BYTES;
        let save = SavedPrefix {
            digest: prefix.digest.clone(),
            tokens: prefix.tokens,
        };
        self.state().kv.saved.insert(session, save);
        self.runtime.sleep(bytes / SAVE_BYTES_PER_US).await;
        json_response(
            200,
            &json!({"tokens": prefix.tokens, "digest": prefix.digest, "bytes": bytes}),
        )
    }

    /// Sends a cached session to another server: a delta if that server has the base, else all of
    /// it.
    pub(super) async fn handle_send(&self, body: &Value) -> Response {
        let session = string_member(body, "session");
        let cached = self
            .state()
            .kv
            .cached(&session, &string_member(body, "digest"));
        let to = string_member(body, "to").parse::<SocketAddr>();
        let (Some(prefix), Ok(to)) = (cached, to) else {
            return json_response(404, &json!({"ok": false, "bytes": 0}));
        };
        let target = string_member(body, "target");
        let mut bytes = 0;
        for base in [string_member(body, "base"), String::new()] {
            let offer = json!({
                "session": session,
                "digest": prefix.digest,
                "len": prefix.length,
                "tokens": prefix.tokens,
                "base": base,
                "target": target,
            });
            let Some((status, answer)) = self.offer_replica(to, &offer).await else {
                break;
            };
            bytes += answer["bytes"].as_u64().unwrap_or(0);
            if status == 200 {
                return json_response(
                    200,
                    &json!({"ok": true, "bytes": bytes, "inst": answer["inst"]}),
                );
            }
            if base.is_empty() {
                break;
            }
        }
        json_response(200, &json!({"ok": false, "bytes": bytes}))
    }

    async fn offer_replica(&self, to: SocketAddr, offer: &Value) -> Option<(u16, Value)> {
        let body = serde_json::to_vec(offer).unwrap_or_default();
        let fetched = fetch(
            &self.runtime,
            to,
            Method::Post,
            "/kv/put",
            &[],
            body,
            KV_PUSH_TIMEOUT,
        );
        let (status, _, answer) = fetched.await.ok()?;
        Some((status, serde_json::from_slice(&answer).unwrap_or_default()))
    }

    /// Receives a replica. A delta is accepted only if the replica it is based on is stored. The
    /// transfer time of the link is simulated here.
    pub(super) async fn handle_put(&self, body: &Value) -> Response {
        let session = string_member(body, "session");
        let base = string_member(body, "base");
        self.record_late_arrival(&format!("push of {session}"));
        if string_member(body, "target") != self.reported_name() {
            return json_response(403, &json!({"ok": false, "bytes": 0}));
        }
        let base_tokens = if base.is_empty() {
            Some(0)
        } else {
            let replica = self.state().kv.replica(&session, &base);
            replica.map(|replica| replica.tokens)
        };
        let Some(base_tokens) = base_tokens else {
            return json_response(409, &json!({"ok": false, "bytes": 0}));
        };
        let tokens = body["tokens"].as_u64().unwrap_or(0);
        let bytes = tokens.saturating_sub(base_tokens) * KV_TOKEN_BYTES;
        let link = self.settings.link_bytes_per_second.max(1);
        self.runtime.sleep(bytes.saturating_mul(SEC) / link).await;
        let prefix = Prefix {
            length: body["len"].as_u64().unwrap_or(0) as usize,
            digest: string_member(body, "digest"),
            tokens,
            used_at: self.runtime.now(),
        };
        let cache_tokens = self.settings.cache_tokens;
        self.state().kv.store_replica(session, prefix, cache_tokens);
        json_response(
            200,
            &json!({"ok": true, "bytes": bytes, "inst": self.instance}),
        )
    }

    /// Imports a replica into the cache.
    pub(super) async fn handle_import(&self, body: &Value) -> Response {
        let session = string_member(body, "session");
        self.record_late_arrival(&format!("import of {session}"));
        let replica = self
            .state()
            .kv
            .replica(&session, &string_member(body, "digest"));
        let Some(prefix) = replica else {
            return json_response(200, &json!({"ok": false}));
        };
        let duration = prefix.tokens * KV_IMPORT_US_PER_1000_TOKENS / 1000 * self.import_slowdown();
        self.runtime.sleep(duration).await;
        if self.take_fault(|faults| &mut faults.failed_imports) {
            return json_response(200, &json!({"ok": false}));
        }
        let tokens = prefix.tokens;
        let imported = Prefix {
            used_at: self.runtime.now(),
            ..prefix
        };
        let capacity = self.settings.cache_tokens;
        let placed = self
            .state()
            .kv
            .insert_prefix(&session, imported, tokens, capacity);
        json_response(
            200,
            &json!({"ok": true, "tokens": tokens, "placed": placed}),
        )
    }

    /// Removes a session's replica and save. Its prefix in the cache stays.
    pub(super) fn handle_drop(&self, body: &Value) -> Response {
        let session = string_member(body, "session");
        let mut state = self.state();
        state.kv.replicas.remove(&session);
        state.kv.saved.remove(&session);
        drop(state);
        json_response(200, &json!({"ok": true}))
    }
}
