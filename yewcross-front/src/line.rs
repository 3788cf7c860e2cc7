//! Waiting lines, one a service: bounded, urgent first within reason, earliest horizon first.

use std::collections::BTreeMap;
use std::sync::Mutex;
use yewcross::code::Code;
use yewcross::consts::*;
use yewcross::tree::Class;
use yewcross::world::World;

#[derive(Default)]
struct Line {
    waiting: BTreeMap<(u64, u64), (Class, async_channel::Sender<()>)>,
    /// Let through, not yet at a server.
    passing: u32,
    /// us a job holds a slot, smoothed.
    typical: u64,
    /// us between two passes while others wait, smoothed: what other fronts take is in it.
    pace: u64,
    paced: u64,
    last: u64,
    next: u64,
}

impl Line {
    /// us that a job at this place must expect to wait.
    fn wait(&self, at: (u64, u64), free: u32, all: u32) -> u64 {
        let ahead = self.waiting.range(..at).count() as u64 + 1;
        let each = self.typical / all.max(1) as u64;
        let each = if self.paced < PACE_AFTER { each } else { each.max(self.pace) };
        (ahead + self.passing as u64).saturating_sub(free as u64) * each
    }
}

#[derive(Default)]
pub struct Lines(Mutex<BTreeMap<String, Line>>);

/// A place at the head of the line; given back when dropped.
pub struct Pass<'a> {
    lines: &'a Lines,
    svc: String,
}

impl Drop for Pass<'_> {
    fn drop(&mut self) {
        let mut g = self.lines.0.lock().unwrap();
        g.get_mut(&self.svc).into_iter().for_each(|l| l.passing = l.passing.saturating_sub(1));
        drop(g);
        self.lines.wake(&self.svc);
    }
}

/// An urgent job counts as this much nearer to its horizon; finite, so that nobody starves.
fn lead(c: Class) -> u64 {
    match c {
        Class::Urgent => 0,
        Class::Normal => 3 * SEC,
        Class::Idle => 6 * SEC,
    }
}

impl Lines {
    pub fn wake(&self, svc: &str) {
        let g = self.0.lock().unwrap();
        g.get(svc).and_then(|l| l.waiting.first_key_value()).into_iter().for_each(|(_, (_, tx))| {
            let _ = tx.try_send(());
        });
    }

    pub fn took(&self, svc: &str, us: u64) {
        let mut g = self.0.lock().unwrap();
        let l = g.entry(svc.into()).or_default();
        l.typical = if l.typical == 0 { us } else { (7 * l.typical + us) / 8 };
    }

    pub fn depth(&self) -> BTreeMap<String, usize> {
        self.0.lock().unwrap().iter().map(|(k, l)| (k.clone(), l.waiting.len())).collect()
    }

    /// Waits for room. Refuses at once what is bound to be too late; `room` gives free and all slots.
    #[allow(clippy::too_many_arguments)]
    pub async fn enter<'a>(
        &'a self,
        w: &World,
        svc: &str,
        class: Class,
        horizon: u64,
        cap: (u64, u64),
        patience: u64,
        needs: u64,
        room: impl Fn() -> (u32, u32),
    ) -> Result<Pass<'a>, (Code, u64)> {
        let (tx, rx) = async_channel::bounded(1);
        let key = {
            let mut g = self.0.lock().unwrap();
            let l = g.entry(svc.into()).or_default();
            let (free, all) = room();
            if all == 0 {
                return Err((Code::NoServer, BACK_SOON));
            }
            let mine = (horizon + lead(class), l.next);
            let most = if class == Class::Urgent { cap.0 } else { cap.0 - cap.0 * cap.1 / 100 };
            let wait = l.wait(mine, free, all);
            let back = wait.div_ceil(SEC).max(BACK_SOON);
            if l.waiting.len() as u64 >= most {
                return Err((Code::LineFull, back));
            }
            if w.now() + wait + needs > horizon || w.now() + wait > patience {
                return Err((Code::TooLate, back));
            }
            l.next += 1;
            l.waiting.insert(mine, (class, tx));
            mine
        };
        let spot = Spot { lines: self, svc: svc.into(), key };
        loop {
            {
                let mut g = self.0.lock().unwrap();
                let l = g.entry(svc.into()).or_default();
                let first = l.waiting.first_key_value().is_some_and(|x| *x.0 == key);
                let (free, all) = room();
                if first && free > l.passing {
                    l.passing += 1;
                    l.waiting.remove(&key);
                    let now = w.now();
                    if l.waiting.is_empty() {
                        l.last = 0;
                    } else {
                        let gap = if l.last == 0 { l.pace } else { now - l.last };
                        l.pace = (7 * l.pace + gap) / 8;
                        l.paced += 1;
                        l.last = now;
                    }
                    drop(g);
                    self.wake(svc);
                    drop(spot);
                    return Ok(Pass { lines: self, svc: svc.into() });
                }
                // What has become hopeless is told now, not when its time is up.
                let wait = if all == 0 { 0 } else { l.wait(key, free, all) };
                if w.now() + wait + needs > horizon || w.now() + wait > patience {
                    return Err((Code::TooLate, wait.div_ceil(SEC).max(BACK_SOON)));
                }
            }
            let now = w.now();
            let end = patience.min(horizon.saturating_sub(needs));
            if now > end {
                return Err((Code::TooLate, BACK_SOON));
            }
            w.within((end - now).clamp(MS, 100 * MS), rx.recv()).await;
        }
    }
}

struct Spot<'a> {
    lines: &'a Lines,
    svc: String,
    key: (u64, u64),
}

impl Drop for Spot<'_> {
    fn drop(&mut self) {
        self.lines.0.lock().unwrap().get_mut(&self.svc).and_then(|l| l.waiting.remove(&self.key));
        self.lines.wake(&self.svc);
    }
}
