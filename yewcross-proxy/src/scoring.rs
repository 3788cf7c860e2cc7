//! Small judges vote on every server for every job; the highest sum is picked.

use crate::server_table::Server;
use yewcross_common::configuration::ProgramClass;
use yewcross_common::constants::*;
use yewcross_common::protocol::{CachedPrefix, SessionCacheState};

/// What the judges know of a job.
pub struct ScoringInput<'a> {
    pub key: &'a str,
    pub site: &'a str,
    pub prompt_tokens: u64,
    pub max_output_tokens: u64,
    pub cache: &'a SessionCacheState,
    /// us left for the server's part.
    pub time_left: u64,
}

#[derive(Clone, Debug, PartialEq)]
pub enum CacheWarmth {
    Cached(u64),
    /// A replica stands there, not yet in its cache: a turn that comes now is served cold.
    Importable(CachedPrefix),
    Cold,
}

#[derive(Clone, Debug)]
pub struct Selection {
    pub server: Server,
    pub warmth: CacheWarmth,
    pub estimated_us: u64,
}

pub struct ScoreWeights {
    pub load: u64,
    pub reliability: u64,
    pub prefix: u64,
    pub site: u64,
}

impl From<&ProgramClass> for ScoreWeights {
    fn from(f: &ProgramClass) -> ScoreWeights {
        ScoreWeights {
            load: f.judge_load,
            reliability: f.judge_standing,
            prefix: f.judge_prefix,
            site: f.judge_site,
        }
    }
}

pub fn import_us(tokens: u64) -> u64 {
    tokens.saturating_mul(KV_IMPORT_US_PER_1000_TOKENS) / 1000
}

fn prefill(s: &Server, tokens: u64) -> u64 {
    tokens.saturating_mul(s.report.prefill_us_per_1000) / 1000
}

/// Whether importing a replica is quicker than reading its tokens anew.
pub fn is_import_faster(s: &Server, p: &CachedPrefix) -> bool {
    import_us(p.tokens) < prefill(s, p.tokens)
}

/// What of the prompt the server would not have to read again, and how it would come by it.
pub fn cache_warmth(s: &Server, c: &ScoringInput) -> CacheWarmth {
    let placed = c
        .cache
        .home
        .iter()
        .chain(c.cache.replica.iter().filter(|p| p.placed_tokens > 0));
    let held = placed.filter(|p| s.holds(p)).map(|p| p.tokens).max();
    let stored = c.cache.replica.as_ref().filter(|p| {
        !p.digest.is_empty()
            && p.server == s.listed.server
            && p.instance == s.report.instance
            && p.weights == s.report.weights
    });
    match (held, stored) {
        (Some(t), _) => CacheWarmth::Cached(t.min(c.prompt_tokens)),
        (None, Some(p)) if is_import_faster(s, p) => CacheWarmth::Importable(p.clone()),
        _ => CacheWarmth::Cold,
    }
}

/// No turn waits for an import, so a replica that is not yet in the cache saves nothing.
pub fn estimated_us(s: &Server, c: &ScoringInput, w: &CacheWarmth) -> u64 {
    let saved = match w {
        CacheWarmth::Cached(t) => *t,
        CacheWarmth::Importable(_) | CacheWarmth::Cold => 0,
    };
    prefill(s, c.prompt_tokens.saturating_sub(saved))
        .saturating_add(c.max_output_tokens * s.report.decode_us_per_token)
}

fn load(s: &Server) -> u64 {
    let full = 2 * s.report.slots.max(1) as u64;
    let v = 1000 - 1000 * (s.occupied() as u64).min(full) / full;
    v * LOAD_REPORT_STALE_AFTER.saturating_sub(s.age_us) / LOAD_REPORT_STALE_AFTER
}

fn standing(s: &Server) -> u64 {
    1000 / (1 + s.recent_failures as u64)
}

fn prefix(c: &ScoringInput, w: &CacheWarmth) -> u64 {
    let part = |t: u64| 1000 * t.min(c.prompt_tokens) / c.prompt_tokens.max(1);
    match w {
        CacheWarmth::Cached(t) => part(*t),
        CacheWarmth::Importable(p) => part(p.tokens) / 2,
        CacheWarmth::Cold => 0,
    }
}

fn site(s: &Server, c: &ScoringInput) -> u64 {
    if s.listed.site == c.site { 1000 } else { 0 }
}

pub fn score(s: &Server, c: &ScoringInput, w: &ScoreWeights) -> (u64, CacheWarmth) {
    let m = cache_warmth(s, c);
    let v = w.load * load(s)
        + w.reliability * standing(s)
        + w.prefix * prefix(c, &m)
        + w.site * site(s, c);
    (v, m)
}

/// The best server with room that can finish in time. Near-equal votes fall to the rendezvous hash,
/// so fronts do not herd.
pub fn select_best(
    servers: &[Server],
    c: &ScoringInput,
    w: &ScoreWeights,
    not: &[String],
) -> Option<Selection> {
    servers
        .iter()
        .filter(|s| s.free() > 0 && !not.contains(&s.listed.server))
        .filter_map(|s| {
            let (v, m) = score(s, c, w);
            let t = estimated_us(s, c, &m);
            (t <= c.time_left).then(|| {
                (
                    v / 4096,
                    yewcross_common::hash::rendezvous_weight(c.key, &s.listed.server),
                    Selection {
                        server: s.clone(),
                        warmth: m,
                        estimated_us: t,
                    },
                )
            })
        })
        .max_by_key(|x| (x.0, x.1))
        .map(|x| x.2)
}

/// Where the session would go were its home away: the judges' own pick without it, occupancy left
/// out so that it stays put.
pub fn spill_target<'a>(
    servers: &'a [Server],
    key: &str,
    home: &HomeServer,
    w: &ScoreWeights,
) -> Option<&'a Server> {
    servers
        .iter()
        .filter(|s| s.listed.server != home.server && s.report.cache_tokens > 0)
        .max_by_key(|s| {
            let near = (s.listed.site == home.site) as u64;
            (
                w.reliability * standing(s) / 4096,
                near * w.site,
                yewcross_common::hash::rendezvous_weight(key, &s.listed.server),
            )
        })
}

pub struct HomeServer {
    pub server: String,
    pub site: String,
}

#[cfg(test)]
mod tests {
    use super::*;
    use yewcross_common::protocol::{ListedServer, LoadReport};

    fn server(n: &str, site: &str, running: u32) -> Server {
        let at = ListedServer {
            server: n.into(),
            service: "llm".into(),
            addr: ([127, 0, 0, 1], 1).into(),
            site: site.into(),
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
    fn judges_prefer_the_held_prefix_until_it_is_full_then_the_replica() {
        let place = |s: &str| CachedPrefix {
            server: s.into(),
            instance: 1,
            weights: "".into(),
            tokens: 10_000,
            digest: "x".into(),
            placed_tokens: 0,
        };
        let kv = SessionCacheState {
            home: Some(place("m1")),
            replica: Some(place("m2")),
            program: "p".into(),
        };
        let c = ScoringInput {
            key: "k",
            site: "a",
            prompt_tokens: 11_000,
            max_output_tokens: 50,
            cache: &kv,
            time_left: 6_000_000,
        };
        let w = ScoreWeights::from(&ProgramClass::default());
        let mut v = vec![
            server("m1", "a", 1),
            server("m2", "a", 0),
            server("m3", "a", 0),
        ];
        let p = select_best(&v, &c, &w, &[]).unwrap();
        assert_eq!(
            (p.server.listed.server.as_str(), p.warmth),
            ("m1", CacheWarmth::Cached(10_000))
        );
        v[0].report.running = 4;
        let p = select_best(&v, &c, &w, &[]).unwrap();
        assert_eq!(
            (p.server.listed.server.as_str(), p.warmth),
            ("m2", CacheWarmth::Importable(place("m2")))
        );
        v[1].report.instance = 2;
        let p = select_best(&v, &c, &w, &[]).unwrap();
        assert_eq!(p.warmth, CacheWarmth::Cold);
        v[0].report.running = 1;
        v[0].report.placed_tokens = 95_000;
        assert_eq!(
            select_best(&v, &c, &w, &[]).unwrap().warmth,
            CacheWarmth::Cold,
            "evicted by what was placed since"
        );
        let short = ScoringInput {
            time_left: 1_000_000,
            ..c
        };
        assert!(select_best(&v, &short, &w, &[]).is_none());
    }
}
