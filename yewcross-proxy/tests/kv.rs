//! What a replica is worth to the judges.

use yewcross_common::configuration::ProgramClass;
use yewcross_common::constants::{KV_MIN_TOKENS, SEC};
use yewcross_common::protocol::{CachedPrefix, ListedServer, LoadReport, SessionCacheState};
use yewcross_proxy::scoring::{
    CacheWarmth, HomeServer, ScoreWeights, ScoringInput, cache_warmth, estimated_us, select_best,
    spill_target,
};
use yewcross_proxy::server_table::Server;

fn server(n: &str, running: u32) -> Server {
    let at = ListedServer {
        server: n.into(),
        service: "llm".into(),
        addr: ([127, 0, 0, 1], 1).into(),
        site: "a".into(),
        leaving: false,
    };
    let report = LoadReport {
        server: n.into(),
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

fn place(s: &str, tokens: u64, mark: u64) -> CachedPrefix {
    CachedPrefix {
        server: s.into(),
        instance: 1,
        weights: "w1".into(),
        tokens,
        digest: "x".into(),
        placed_tokens: mark,
    }
}

fn case(kv: &SessionCacheState) -> ScoringInput<'_> {
    ScoringInput {
        key: "k",
        site: "a",
        prompt_tokens: 11_000,
        max_output_tokens: 50,
        cache: kv,
        time_left: 6 * SEC,
    }
}

#[test]
fn a_replica_saves_time_only_once_it_is_in_the_cache() {
    let of = |mark| SessionCacheState {
        home: Some(place("m1", 10_000, 10_000)),
        replica: Some(place("m2", 9_000, mark)),
        program: "p".into(),
    };
    let m2 = server("m2", 0);
    let (stored, ready) = (of(0), of(9_000));
    let cold = estimated_us(&m2, &case(&stored), &CacheWarmth::Cold);
    let w = cache_warmth(&m2, &case(&stored));
    assert_eq!(
        (w.clone(), estimated_us(&m2, &case(&stored), &w)),
        (CacheWarmth::Importable(place("m2", 9_000, 0)), cold)
    );
    let w = cache_warmth(&m2, &case(&ready));
    assert_eq!(w, CacheWarmth::Cached(9_000));
    assert!(estimated_us(&m2, &case(&ready), &w) * 4 < cold);
    // Everything placed there since may have pushed it out.
    let mut full = m2.clone();
    full.report.placed_tokens = 101_000;
    assert_eq!(
        cache_warmth(&full, &case(&ready)),
        CacheWarmth::Importable(place("m2", 9_000, 9_000))
    );
}

#[test]
fn a_replica_of_other_weights_or_of_another_life_is_worth_nothing() {
    for mark in [0, 9_000] {
        let kv = SessionCacheState {
            home: None,
            replica: Some(place("m2", 9_000, mark)),
            program: "p".into(),
        };
        let (mut other, mut next) = (server("m2", 0), server("m2", 0));
        other.report.weights = "w2".into();
        next.report.instance = 2;
        assert_eq!(
            [other, next].map(|s| cache_warmth(&s, &case(&kv))),
            [CacheWarmth::Cold, CacheWarmth::Cold]
        );
    }
}

#[test]
fn the_ordinary_path_shares_from_8192_tokens_on_with_one_server() {
    let f = ProgramClass::default();
    assert_eq!(
        (f.kv_share, f.kv_min_tokens, KV_MIN_TOKENS),
        (true, 8_192, 8_192)
    );
    // Occupancy does not move the target, so that it stays the one server where the replica stands.
    let home = HomeServer {
        server: "m1".into(),
        site: "a".into(),
    };
    let mut v = ["m1", "m2", "m3", "m4"].map(|n| server(n, 0)).to_vec();
    let to = |v: &[Server]| {
        spill_target(v, "k", &home, &ScoreWeights::from(&f))
            .unwrap()
            .listed
            .server
            .clone()
    };
    let first = to(&v);
    v.iter_mut()
        .filter(|s| s.listed.server == first)
        .for_each(|s| s.report.running = 4);
    assert_eq!(to(&v), first);
    // Without a replica a full home's turn is picked another server, cold.
    let kv = SessionCacheState {
        home: Some(place("m1", 10_000, 0)),
        replica: None,
        program: "p".into(),
    };
    v.iter_mut()
        .filter(|s| s.listed.server == "m1")
        .for_each(|s| s.report.running = 4);
    assert!(
        select_best(&v, &case(&kv), &ScoreWeights::from(&f), &[]).is_some_and(|p| p
            .server
            .listed
            .server
            != "m1"
            && p.warmth == CacheWarmth::Cold)
    );
}
