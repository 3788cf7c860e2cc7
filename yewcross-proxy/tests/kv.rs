//! How cached prefixes and their replicas count when servers are scored.

use yewcross_common::configuration::ProgramClass;
use yewcross_common::constants::{KV_MIN_TOKENS, SEC};
use yewcross_common::protocol::{CachedPrefix, ListedServer, LoadReport, SessionCacheState};
use yewcross_proxy::scoring::{
    CacheWarmth, HomeServer, ScoreWeights, ScoringInput, cache_warmth, estimated_us, select_best,
    spill_target,
};
use yewcross_proxy::server_table::Server;

fn server(name: &str, running: u32) -> Server {
    let at = ListedServer {
        server: name.into(),
        service: "llm".into(),
        addr: ([127, 0, 0, 1], 1).into(),
        site: "a".into(),
        leaving: false,
    };
    let report = LoadReport {
        server: name.into(),
        instance: 1,
        slots: 4,
        running,
        cache_tokens: 100_000,
        prefill_us_per_1000: 120_000,
        decode_us_per_token: 1000,
        weights: "w1".into(),
        ..Default::default()
    };
    Server {
        listed: at,
        report,
        age_us: 0,
        sent_since_report: 0,
        recent_failures: 0,
    }
}

fn prefix(server: &str, tokens: u64, placed_tokens: u64) -> CachedPrefix {
    CachedPrefix {
        server: server.into(),
        instance: 1,
        weights: "w1".into(),
        tokens,
        digest: "x".into(),
        placed_tokens,
    }
}

fn scoring_input(cache: &SessionCacheState) -> ScoringInput<'_> {
    ScoringInput {
        key: "k",
        site: "a",
        prompt_tokens: 11_000,
        max_output_tokens: 50,
        cache,
        time_left: 6 * SEC,
    }
}

#[test]
fn a_replica_saves_time_only_once_it_is_in_the_cache() {
    let state = |placed_tokens| SessionCacheState {
        home: Some(prefix("m1", 10_000, 10_000)),
        replica: Some(prefix("m2", 9_000, placed_tokens)),
        program: "p".into(),
    };
    let m2 = server("m2", 0);
    let (stored, imported) = (state(0), state(9_000));
    let cold = estimated_us(&m2, &scoring_input(&stored), &CacheWarmth::Cold);
    let warmth = cache_warmth(&m2, &scoring_input(&stored));
    assert_eq!(
        (
            warmth.clone(),
            estimated_us(&m2, &scoring_input(&stored), &warmth)
        ),
        (CacheWarmth::Importable(prefix("m2", 9_000, 0)), cold)
    );
    let warmth = cache_warmth(&m2, &scoring_input(&imported));
    assert_eq!(warmth, CacheWarmth::Cached(9_000));
    assert!(estimated_us(&m2, &scoring_input(&imported), &warmth) * 4 < cold);
    // So many tokens were placed after the replica that it may have been evicted.
    let mut full = m2.clone();
    full.report.placed_tokens = 101_000;
    assert_eq!(
        cache_warmth(&full, &scoring_input(&imported)),
        CacheWarmth::Importable(prefix("m2", 9_000, 9_000))
    );
}

#[test]
fn a_replica_of_other_model_weights_or_of_an_earlier_instance_is_not_used() {
    for placed_tokens in [0, 9_000] {
        let cache = SessionCacheState {
            home: None,
            replica: Some(prefix("m2", 9_000, placed_tokens)),
            program: "p".into(),
        };
        let (mut reweighted, mut restarted) = (server("m2", 0), server("m2", 0));
        reweighted.report.weights = "w2".into();
        restarted.report.instance = 2;
        assert_eq!(
            [reweighted, restarted].map(|server| cache_warmth(&server, &scoring_input(&cache))),
            [CacheWarmth::Cold, CacheWarmth::Cold]
        );
    }
}

#[test]
fn replication_is_on_by_default_from_8192_tokens_and_its_target_is_stable() {
    let class = ProgramClass::default();
    assert_eq!(
        (class.kv_share, class.kv_min_tokens, KV_MIN_TOKENS),
        (true, 8_192, 8_192)
    );
    // The target does not depend on the load, so that it remains the server with the replica.
    let home = HomeServer {
        server: "m1".into(),
        site: "a".into(),
    };
    let mut servers = ["m1", "m2", "m3", "m4"]
        .map(|name| server(name, 0))
        .to_vec();
    let target = |servers: &[Server]| {
        spill_target(servers, "k", &home, &ScoreWeights::from(&class))
            .unwrap()
            .listed
            .server
            .clone()
    };
    let first = target(&servers);
    servers
        .iter_mut()
        .filter(|server| server.listed.server == first)
        .for_each(|server| server.report.running = 4);
    assert_eq!(target(&servers), first);
    // Without a replica, a turn whose home is full is sent to another server and starts cold.
    let cache = SessionCacheState {
        home: Some(prefix("m1", 10_000, 0)),
        replica: None,
        program: "p".into(),
    };
    servers
        .iter_mut()
        .filter(|server| server.listed.server == "m1")
        .for_each(|server| server.report.running = 4);
    assert!(
        select_best(
            &servers,
            &scoring_input(&cache),
            &ScoreWeights::from(&class),
            &[]
        )
        .is_some_and(|selection| selection.server.listed.server != "m1"
            && selection.warmth == CacheWarmth::Cold)
    );
}
