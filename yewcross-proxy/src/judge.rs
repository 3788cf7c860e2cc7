//! Small judges vote on every server for every job; the highest sum is picked.

use crate::server_table::Server;
use yewcross_common::configuration::ProgramClass;
use yewcross_common::constants::*;
use yewcross_common::protocol::{CachedPrefix, SessionCacheState};

/// What the judges know of a job.
pub struct Case<'a> {
    pub key: &'a str,
    pub site: &'a str,
    pub tokens: u64,
    pub max_out: u64,
    pub kv: &'a SessionCacheState,
    /// us left for the server's part.
    pub left: u64,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Warmth {
    Held(u64),
    /// A replica stands there, not yet in its cache: a turn that comes now is served cold.
    Import(CachedPrefix),
    Cold,
}

#[derive(Clone, Debug)]
pub struct Pick {
    pub server: Server,
    pub warmth: Warmth,
    pub takes: u64,
}

pub struct Weights {
    pub load: u64,
    pub standing: u64,
    pub prefix: u64,
    pub site: u64,
}

impl From<&ProgramClass> for Weights {
    fn from(f: &ProgramClass) -> Weights {
        Weights {
            load: f.judge_load,
            standing: f.judge_standing,
            prefix: f.judge_prefix,
            site: f.judge_site,
        }
    }
}

pub fn import_takes(tokens: u64) -> u64 {
    tokens.saturating_mul(KV_IMPORT_US_PER_1000_TOKENS) / 1000
}

fn prefill(s: &Server, tokens: u64) -> u64 {
    tokens.saturating_mul(s.report.prefill_us_per_1000) / 1000
}

/// Whether importing a replica is quicker than reading its tokens anew.
pub fn pays(s: &Server, p: &CachedPrefix) -> bool {
    import_takes(p.tokens) < prefill(s, p.tokens)
}

/// What of the prompt the server would not have to read again, and how it would come by it.
pub fn warmth(s: &Server, c: &Case) -> Warmth {
    let placed =
        c.kv.home
            .iter()
            .chain(c.kv.replica.iter().filter(|p| p.placed_tokens > 0));
    let held = placed.filter(|p| s.holds(p)).map(|p| p.tokens).max();
    let stored = c.kv.replica.as_ref().filter(|p| {
        !p.digest.is_empty()
            && p.server == s.listed.server
            && p.instance == s.report.instance
            && p.weights == s.report.weights
    });
    match (held, stored) {
        (Some(t), _) => Warmth::Held(t.min(c.tokens)),
        (None, Some(p)) if pays(s, p) => Warmth::Import(p.clone()),
        _ => Warmth::Cold,
    }
}

/// No turn waits for an import, so a replica that is not yet in the cache saves nothing.
pub fn takes(s: &Server, c: &Case, w: &Warmth) -> u64 {
    let saved = match w {
        Warmth::Held(t) => *t,
        Warmth::Import(_) | Warmth::Cold => 0,
    };
    prefill(s, c.tokens.saturating_sub(saved))
        .saturating_add(c.max_out * s.report.decode_us_per_token)
}

fn load(s: &Server) -> u64 {
    let full = 2 * s.report.slots.max(1) as u64;
    let v = 1000 - 1000 * (s.occupied() as u64).min(full) / full;
    v * LOAD_REPORT_STALE_AFTER.saturating_sub(s.age_us) / LOAD_REPORT_STALE_AFTER
}

fn standing(s: &Server) -> u64 {
    1000 / (1 + s.recent_failures as u64)
}

fn prefix(c: &Case, w: &Warmth) -> u64 {
    let part = |t: u64| 1000 * t.min(c.tokens) / c.tokens.max(1);
    match w {
        Warmth::Held(t) => part(*t),
        Warmth::Import(p) => part(p.tokens) / 2,
        Warmth::Cold => 0,
    }
}

fn site(s: &Server, c: &Case) -> u64 {
    if s.listed.site == c.site { 1000 } else { 0 }
}

pub fn vote(s: &Server, c: &Case, w: &Weights) -> (u64, Warmth) {
    let m = warmth(s, c);
    let v = w.load * load(s)
        + w.standing * standing(s)
        + w.prefix * prefix(c, &m)
        + w.site * site(s, c);
    (v, m)
}

/// The best server with room that can finish in time. Near-equal votes fall to the rendezvous hash,
/// so fronts do not herd.
pub fn pick(servers: &[Server], c: &Case, w: &Weights, not: &[String]) -> Option<Pick> {
    servers
        .iter()
        .filter(|s| s.free() > 0 && !not.contains(&s.listed.server))
        .filter_map(|s| {
            let (v, m) = vote(s, c, w);
            let t = takes(s, c, &m);
            (t <= c.left).then(|| {
                (
                    v / 4096,
                    yewcross_common::hash::rendezvous_weight(c.key, &s.listed.server),
                    Pick {
                        server: s.clone(),
                        warmth: m,
                        takes: t,
                    },
                )
            })
        })
        .max_by_key(|x| (x.0, x.1))
        .map(|x| x.2)
}

/// Where the session would go were its home away: the judges' own pick without it, occupancy left
/// out so that it stays put.
pub fn spill<'a>(servers: &'a [Server], key: &str, home: &Home, w: &Weights) -> Option<&'a Server> {
    servers
        .iter()
        .filter(|s| s.listed.server != home.server && s.report.cache_tokens > 0)
        .max_by_key(|s| {
            let near = (s.listed.site == home.site) as u64;
            (
                w.standing * standing(s) / 4096,
                near * w.site,
                yewcross_common::hash::rendezvous_weight(key, &s.listed.server),
            )
        })
}

pub struct Home {
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
        let c = Case {
            key: "k",
            site: "a",
            tokens: 11_000,
            max_out: 50,
            kv: &kv,
            left: 6_000_000,
        };
        let w = Weights::from(&ProgramClass::default());
        let mut v = vec![
            server("m1", "a", 1),
            server("m2", "a", 0),
            server("m3", "a", 0),
        ];
        let p = pick(&v, &c, &w, &[]).unwrap();
        assert_eq!(
            (p.server.listed.server.as_str(), p.warmth),
            ("m1", Warmth::Held(10_000))
        );
        v[0].report.running = 4;
        let p = pick(&v, &c, &w, &[]).unwrap();
        assert_eq!(
            (p.server.listed.server.as_str(), p.warmth),
            ("m2", Warmth::Import(place("m2")))
        );
        v[1].report.instance = 2;
        let p = pick(&v, &c, &w, &[]).unwrap();
        assert_eq!(p.warmth, Warmth::Cold);
        v[0].report.running = 1;
        v[0].report.placed_tokens = 95_000;
        assert_eq!(
            pick(&v, &c, &w, &[]).unwrap().warmth,
            Warmth::Cold,
            "evicted by what was placed since"
        );
        let short = Case {
            left: 1_000_000,
            ..c
        };
        assert!(pick(&v, &short, &w, &[]).is_none());
    }
}
