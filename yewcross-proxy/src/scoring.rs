//! Scores servers for a job by weighted criteria: load, reliability, cached prefix and site. The
//! server with the highest sum is picked.

use crate::server_table::Server;
use yewcross_common::configuration::ProgramClass;
use yewcross_common::constants::*;
use yewcross_common::protocol::{CachedPrefix, SessionCacheState};

/// The job for which servers are scored.
pub struct ScoringInput<'a> {
    /// The session's key.
    pub key: &'a str,
    /// The site of this proxy.
    pub site: &'a str,
    pub prompt_tokens: u64,
    pub max_output_tokens: u64,
    /// Where the session's prefix is cached.
    pub cache: &'a SessionCacheState,
    /// µs that are left for the server's part of the job.
    pub time_left: u64,
}

/// Whether a server has the session's prefix in its cache.
#[derive(Clone, Debug, PartialEq)]
pub enum CacheWarmth {
    /// So many tokens of the prompt are cached.
    Cached(u64),
    /// A replica is stored at the server but not yet imported into its cache: a turn that is sent
    /// there now finds nothing cached.
    Importable(CachedPrefix),
    /// Nothing usable is cached or stored there.
    Cold,
}

/// The server picked for a job.
#[derive(Clone, Debug)]
pub struct Selection {
    pub server: Server,
    pub warmth: CacheWarmth,
    /// Estimated µs that the server needs for the job.
    pub estimated_us: u64,
}

/// Weights of the criteria.
pub struct ScoreWeights {
    pub load: u64,
    pub reliability: u64,
    pub prefix: u64,
    pub site: u64,
}

impl From<&ProgramClass> for ScoreWeights {
    fn from(class: &ProgramClass) -> ScoreWeights {
        ScoreWeights {
            load: class.judge_load,
            reliability: class.judge_standing,
            prefix: class.judge_prefix,
            site: class.judge_site,
        }
    }
}

/// Estimated µs to import a replica of this many tokens into a server's cache.
pub fn import_us(tokens: u64) -> u64 {
    tokens.saturating_mul(KV_IMPORT_US_PER_1000_TOKENS) / 1000
}

fn prefill_us(server: &Server, tokens: u64) -> u64 {
    tokens.saturating_mul(server.report.prefill_us_per_1000) / 1000
}

/// Whether importing a replica is faster than prefilling its tokens.
pub fn is_import_faster(server: &Server, replica: &CachedPrefix) -> bool {
    import_us(replica.tokens) < prefill_us(server, replica.tokens)
}

/// The part of the prompt that the server need not prefill, or could import.
pub fn cache_warmth(server: &Server, input: &ScoringInput) -> CacheWarmth {
    let placed = input.cache.home.iter().chain(
        input
            .cache
            .replica
            .iter()
            .filter(|prefix| prefix.placed_tokens > 0),
    );
    let cached = placed
        .filter(|prefix| server.holds(prefix))
        .map(|prefix| prefix.tokens)
        .max();
    let stored = input.cache.replica.as_ref().filter(|replica| {
        !replica.digest.is_empty()
            && replica.server == server.listed.server
            && replica.instance == server.report.instance
            && replica.weights == server.report.weights
    });
    match (cached, stored) {
        (Some(tokens), _) => CacheWarmth::Cached(tokens.min(input.prompt_tokens)),
        (None, Some(replica)) if is_import_faster(server, replica) => {
            CacheWarmth::Importable(replica.clone())
        }
        _ => CacheWarmth::Cold,
    }
}

/// Estimated µs that the server needs for the job. Turns do not wait for imports, so a replica that
/// is not yet in the cache saves no time.
pub fn estimated_us(server: &Server, input: &ScoringInput, warmth: &CacheWarmth) -> u64 {
    let cached_tokens = match warmth {
        CacheWarmth::Cached(tokens) => *tokens,
        CacheWarmth::Importable(_) | CacheWarmth::Cold => 0,
    };
    prefill_us(server, input.prompt_tokens.saturating_sub(cached_tokens))
        .saturating_add(input.max_output_tokens * server.report.decode_us_per_token)
}

/// 1000 for an idle server, 0 from twice as many jobs as slots on; scaled down with the age of the
/// server's report.
fn load_score(server: &Server) -> u64 {
    let max_jobs = 2 * server.report.slots.max(1) as u64;
    let score = 1000 - 1000 * (server.occupied() as u64).min(max_jobs) / max_jobs;
    score * LOAD_REPORT_STALE_AFTER.saturating_sub(server.age_us) / LOAD_REPORT_STALE_AFTER
}

/// 1000 for a server without recent failures, less for each failure in a row.
fn reliability_score(server: &Server) -> u64 {
    1000 / (1 + server.recent_failures as u64)
}

/// Cached share of the prompt, in thousandths; a prefix that could be imported counts half.
fn prefix_score(input: &ScoringInput, warmth: &CacheWarmth) -> u64 {
    let share = |tokens: u64| 1000 * tokens.min(input.prompt_tokens) / input.prompt_tokens.max(1);
    match warmth {
        CacheWarmth::Cached(tokens) => share(*tokens),
        CacheWarmth::Importable(replica) => share(replica.tokens) / 2,
        CacheWarmth::Cold => 0,
    }
}

/// 1000 for a server at this proxy's site, else 0.
fn site_score(server: &Server, input: &ScoringInput) -> u64 {
    if server.listed.site == input.site {
        1000
    } else {
        0
    }
}

/// The server's weighted score for the job, and the state of its cache.
pub fn score(server: &Server, input: &ScoringInput, weights: &ScoreWeights) -> (u64, CacheWarmth) {
    let warmth = cache_warmth(server, input);
    let score = weights.load * load_score(server)
        + weights.reliability * reliability_score(server)
        + weights.prefix * prefix_score(input, &warmth)
        + weights.site * site_score(server, input);
    (score, warmth)
}

/// Picks the server with the highest score among those that are not excluded, have a free slot and
/// can finish in time. Scores are compared in steps of 4096 and near-equal ones are decided by
/// rendezvous hashing, so that proxies do not all pick the same server.
pub fn select_best(
    servers: &[Server],
    input: &ScoringInput,
    weights: &ScoreWeights,
    excluded: &[String],
) -> Option<Selection> {
    servers
        .iter()
        .filter(|server| server.free() > 0 && !excluded.contains(&server.listed.server))
        .filter_map(|server| {
            let (score, server_warmth) = score(server, input, weights);
            let estimate = estimated_us(server, input, &server_warmth);
            (estimate <= input.time_left).then(|| {
                (
                    score / 4096,
                    yewcross_common::hash::rendezvous_weight(input.key, &server.listed.server),
                    Selection {
                        server: server.clone(),
                        warmth: server_warmth,
                        estimated_us: estimate,
                    },
                )
            })
        })
        .max_by_key(|candidate| (candidate.0, candidate.1))
        .map(|candidate| candidate.2)
}

/// The server at which a session's replica is kept: the one that would be picked if the home were
/// unavailable. The load does not count, so that the choice is stable.
pub fn spill_target<'a>(
    servers: &'a [Server],
    key: &str,
    home: &HomeServer,
    weights: &ScoreWeights,
) -> Option<&'a Server> {
    servers
        .iter()
        .filter(|server| server.listed.server != home.server && server.report.cache_tokens > 0)
        .max_by_key(|server| {
            let is_same_site = (server.listed.site == home.site) as u64;
            (
                weights.reliability * reliability_score(server) / 4096,
                is_same_site * weights.site,
                yewcross_common::hash::rendezvous_weight(key, &server.listed.server),
            )
        })
}

/// The server that ran a session's last turn, and its site.
pub struct HomeServer {
    pub server: String,
    pub site: String,
}

#[cfg(test)]
mod tests {
    use super::*;
    use yewcross_common::protocol::{ListedServer, LoadReport};

    fn server(name: &str, site: &str, running: u32) -> Server {
        let at = ListedServer {
            server: name.into(),
            service: "llm".into(),
            addr: ([127, 0, 0, 1], 1).into(),
            site: site.into(),
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

    #[test]
    fn the_server_with_the_cached_prefix_is_picked_until_it_is_full_then_the_replica() {
        let prefix_at = |server: &str| CachedPrefix {
            server: server.into(),
            instance: 1,
            weights: "".into(),
            tokens: 10_000,
            digest: "x".into(),
            placed_tokens: 0,
        };
        let cache = SessionCacheState {
            home: Some(prefix_at("m1")),
            replica: Some(prefix_at("m2")),
            program: "p".into(),
        };
        let input = ScoringInput {
            key: "k",
            site: "a",
            prompt_tokens: 11_000,
            max_output_tokens: 50,
            cache: &cache,
            time_left: 6_000_000,
        };
        let weights = ScoreWeights::from(&ProgramClass::default());
        let mut servers = vec![
            server("m1", "a", 1),
            server("m2", "a", 0),
            server("m3", "a", 0),
        ];
        let selection = select_best(&servers, &input, &weights, &[]).unwrap();
        assert_eq!(
            (selection.server.listed.server.as_str(), selection.warmth),
            ("m1", CacheWarmth::Cached(10_000))
        );
        servers[0].report.running = 4;
        let selection = select_best(&servers, &input, &weights, &[]).unwrap();
        assert_eq!(
            (selection.server.listed.server.as_str(), selection.warmth),
            ("m2", CacheWarmth::Importable(prefix_at("m2")))
        );
        servers[1].report.instance = 2;
        let selection = select_best(&servers, &input, &weights, &[]).unwrap();
        assert_eq!(selection.warmth, CacheWarmth::Cold);
        servers[0].report.running = 1;
        servers[0].report.placed_tokens = 95_000;
        assert_eq!(
            select_best(&servers, &input, &weights, &[]).unwrap().warmth,
            CacheWarmth::Cold,
            "the prefix must count as evicted by tokens placed after it"
        );
        let short_of_time = ScoringInput {
            time_left: 1_000_000,
            ..input
        };
        assert!(select_best(&servers, &short_of_time, &weights, &[]).is_none());
    }
}
