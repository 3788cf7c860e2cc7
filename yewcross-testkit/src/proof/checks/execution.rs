//! What ran where, and how often: at most once, within budgets, only where allowed.

use crate::caller::Seen;
use crate::proof::evidence::Evidence;
use crate::standin::Run;
use std::collections::{BTreeMap, BTreeSet};
use yewcross_common::constants::{MS, SEC};

pub(super) fn twice(e: &Evidence) -> Vec<String> {
    let mut n: BTreeMap<(&str, &str), u32> = BTreeMap::new();
    e.runs
        .iter()
        .filter(|r| e.once.contains(&r.program))
        .for_each(|r| *n.entry((&r.session, &r.job)).or_default() += 1);
    n.into_iter()
        .filter(|x| x.1 > 1)
        .map(|(k, c)| format!("2 {} of {} ran {c} times", k.1, k.0))
        .collect()
}

/// A shot that was answered "not run" must never run, whatever other tries of its job were told;
/// and a once-only job whose every answer so far said "not run" must not run either.
pub(super) fn not_run(e: &Evidence) -> Vec<String> {
    let ran: BTreeSet<(&str, &str)> = e
        .runs
        .iter()
        .map(|r| (r.job.as_str(), r.shot.as_str()))
        .collect();
    let mine = |s: &Seen| {
        [s.job.as_str(), s.shot.as_str()]
            .into_iter()
            .any(|j| ran.contains(&(j, s.shot.as_str())))
    };
    let shots = e
        .seen
        .iter()
        .filter(|s| s.ran == "not_run" && !s.shot.is_empty() && mine(s));
    let mut asks: BTreeMap<(&str, &str), Vec<&Seen>> = BTreeMap::new();
    e.seen
        .iter()
        .filter(|s| !s.job.is_empty())
        .for_each(|s| asks.entry((&s.session, &s.job)).or_default().push(s));
    let jobs = e
        .runs
        .iter()
        .filter(|r| e.once.contains(&r.program))
        .filter(|r| {
            let s = r.session.rsplit('/').next().unwrap_or("");
            asks.get(&(s, r.job.as_str()))
                .is_some_and(|v| !v.iter().any(|s| s.ran != "not_run" && s.at <= r.at))
        });
    shots
        .map(|s| {
            format!(
                "3 {} {} at {} was told {:?}, not run, and its shot {} ran",
                s.kind, s.job, s.at, s.heard, s.shot
            )
        })
        .chain(jobs.map(|r| {
            format!(
                "3 {} ran at {} though all its refusals said not run",
                r.job, r.at
            )
        }))
        .collect()
}

pub(super) fn budget(e: &Evidence) -> Vec<String> {
    let mut v = vec![];
    for (b, a) in &e.budgets {
        let mut runs: Vec<&Run> = e
            .runs
            .iter()
            .filter(|r| a.programs.contains(&r.program))
            .collect();
        runs.sort_by_key(|r| r.at);
        let out: u64 = runs.iter().map(|r| r.output).sum();
        let most = a.caps.iter().map(|c| c.tokens).max().unwrap_or(0);
        if out > most + a.turn {
            v.push(format!(
                "4 {b} put out {out} of {most} and one turn of {}",
                a.turn
            ));
        }
        // Nothing more may start once what had started a second before passes the figure then in
        // force.
        let (mut sum, mut k) = (0, 0);
        for r in &runs {
            while runs[k].at + SEC < r.at {
                sum += runs[k].output;
                k += 1;
            }
            let now = a
                .caps
                .iter()
                .rfind(|c| c.from + SEC < r.at)
                .map_or(u64::MAX, |c| c.tokens);
            let coming = a
                .caps
                .iter()
                .filter(|c| c.from + SEC >= r.at)
                .map(|c| c.tokens)
                .max()
                .unwrap_or(0);
            if sum > now.max(coming).saturating_add(a.turn) {
                v.push(format!(
                    "4 {b}: {} started at {} with {sum} of {now} put out",
                    r.job, r.at
                ));
                break;
            }
        }
    }
    v
}

pub(super) fn leaving(e: &Evidence) -> Vec<String> {
    e.knocks
        .iter()
        .filter_map(|(t, k)| {
            let server = k.split(' ').next().unwrap_or("");
            let since = e
                .left
                .iter()
                .filter(|l| l.1 == server && l.0 <= *t)
                .map(|l| l.0)
                .max()?;
            (*t > since + 3 * SEC).then(|| {
                format!(
                    "7 {k} came {} ms after it began to leave",
                    (t - since) / 1000
                )
            })
        })
        .collect()
}

/// What a configuration does not allow, or no longer allows, must not run: neither at a stranger
/// who took a known address, nor at what an acknowledged put withdrew.
pub(super) fn allowed(e: &Evidence) -> Vec<String> {
    let strange = e.runs.iter().filter(|r| r.server.starts_with('x'));
    let strange = strange.map(|r| format!("10 {} ran at {} which nobody allowed", r.job, r.server));
    // What was on its way as the put was acknowledged is given a quarter of a second to arrive.
    let cut = e.banned.iter().flat_map(|(from, to, what)| {
        let hit = move |r: &&Run| {
            let name = format!("{}/{}", r.service, r.program);
            let named = r.server == *what
                || name == *what
                || (what.ends_with('/') && name.starts_with(what.as_str()));
            named && r.at > from + 250 * MS && r.at < *to
        };
        e.runs.iter().filter(hit).map(move |r| {
            format!(
                "10 {} ran at {} {} ms after {what} was withdrawn",
                r.job,
                r.server,
                (r.at - from) / 1000
            )
        })
    });
    strange.chain(cut).collect()
}
