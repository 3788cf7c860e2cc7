//! Which server takes a request: what is under way there, what it told, how it stood, what it holds, where it is.

use lru::LruCache;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, RwLock};
use yewcross::ask::Listed;
use yewcross::consts::*;
use yewcross::route::Engine;
use yewcross::world::World;

#[derive(Default)]
struct Seat {
    /// Ours under way, and of these the ones without a head yet.
    ours: u32,
    waiting: u32,
    /// Requests of others when it last told its load, and their mean.
    others: f64,
    mean: f64,
    told_at: u64,
    slots: u32,
    /// Tokens that we have it read and hold.
    reading: u64,
    tokens: u64,
    fails: u32,
    away_until: u64,
    full_until: u64,
    /// Since when it owes an answer.
    owes: u64,
    held: Option<LruCache<u64, u64>>,
    held_tokens: u64,
}

struct Waiter {
    rank: (u8, u64, u64),
    tx: async_channel::Sender<()>,
}

#[derive(Default)]
struct Line {
    seats: HashMap<String, Seat>,
    waiters: Vec<Waiter>,
    /// us from dispatch to the head.
    usual: f64,
    next: u64,
}

/// What a request needs of a server.
#[derive(Clone, Default)]
pub struct Need {
    pub service: String,
    pub engine: Option<Engine>,
    /// Parts of its prompt in order, with their tokens.
    pub parts: Vec<(u64, u64)>,
    /// Tokens of the prompt and of the output.
    pub prompt: u64,
    pub output: u64,
    /// The server that ran the turn before, and the tokens that it may still hold of it.
    pub prev: String,
    pub prev_tokens: u64,
    pub site: String,
    pub target_us: u64,
    /// Place in the line: rank, then us of the world's clock by which it should be over.
    pub rank: (u8, u64),
    /// Connections that we may have to one server.
    pub conns: u32,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NoSeat {
    /// The list names no server that may take it.
    None,
    /// All places are taken; one is due in so many us.
    Full(u64),
}

#[derive(Default)]
pub struct Balance {
    lines: RwLock<HashMap<String, Arc<Mutex<Line>>>>,
}

/// A place taken at a server; given back when dropped.
pub struct Claim {
    line: Arc<Mutex<Line>>,
    w: World,
    pub to: Listed,
    at: u64,
    reading: u64,
    tokens: u64,
    headed: bool,
}

impl Claim {
    /// The head of the answer is here.
    pub fn headed(&mut self) {
        let now = self.w.now();
        let mut g = self.line.lock().unwrap();
        let took = (now - self.at) as f64;
        g.usual = if g.usual == 0.0 { took } else { g.usual * 0.9 + took * 0.1 };
        let (reading, first) = (self.reading, !std::mem::replace(&mut self.headed, true));
        if let Some(s) = g.seats.get_mut(&self.to.server).filter(|_| first) {
            s.waiting = s.waiting.saturating_sub(1);
            s.reading = s.reading.saturating_sub(reading);
            s.owes = now;
            s.fails = 0;
            s.away_until = 0;
        }
    }

    pub fn told(&self, (run, wait, slots): (u32, u32, u32)) {
        let now = self.w.now();
        self.seat(|s| {
            s.others = (run + wait).saturating_sub(s.ours.saturating_sub(1)) as f64;
            s.mean = if s.told_at == 0 { s.others } else { s.mean * 0.9 + s.others * 0.1 };
            s.told_at = now;
            s.slots = slots;
        });
    }

    /// It turned a request away for want of room.
    pub fn full(&self) {
        let now = self.w.now();
        let mut g = self.line.lock().unwrap();
        let pause = (g.usual / 4.0).clamp(5_000.0, 100_000.0) as u64;
        g.seats.entry(self.to.server.clone()).or_default().full_until = now + pause;
    }

    pub fn failed(&self) {
        let now = self.w.now();
        self.seat(|s| {
            s.fails = (s.fails + 1).min(5);
            s.away_until = now + (SEAT_BACKOFF << (s.fails - 1));
        });
    }

    /// It has read these parts and may hold them.
    pub fn read(&self, parts: &[(u64, u64)], room: u64) {
        self.seat(|s| {
            let h = s.held.get_or_insert_with(LruCache::unbounded);
            parts.iter().for_each(|(id, n)| s.held_tokens = s.held_tokens + n - h.put(*id, *n).unwrap_or(0));
            while s.held_tokens > room
                && let Some((_, n)) = h.pop_lru()
            {
                s.held_tokens -= n;
            }
        });
    }

    fn seat(&self, f: impl FnOnce(&mut Seat)) {
        f(self.line.lock().unwrap().seats.entry(self.to.server.clone()).or_default())
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        let mut g = self.line.lock().unwrap();
        if let Some(s) = g.seats.get_mut(&self.to.server) {
            s.ours = s.ours.saturating_sub(1);
            s.tokens = s.tokens.saturating_sub(self.tokens);
            if !self.headed {
                s.waiting = s.waiting.saturating_sub(1);
                s.reading = s.reading.saturating_sub(self.reading);
            }
        }
        g.wake();
    }
}

impl Seat {
    fn others(&self, now: u64) -> f64 {
        if self.told_at == 0 {
            return 0.0;
        }
        let age = (now - self.told_at) as f64 / TOLD_FADE as f64;
        self.mean + (self.others - self.mean) * (-age).exp()
    }

    /// Tokens of the prompt that it would have to read.
    fn missing(&self, n: &Need, server: &str) -> u64 {
        let has = |p: &&(u64, u64)| self.held.as_ref().is_some_and(|h| h.contains(&p.0));
        let by_parts: u64 = n.parts.iter().take_while(has).map(|p| p.1).sum();
        n.prompt.saturating_sub(if n.prev == server { by_parts.max(n.prev_tokens) } else { by_parts })
    }

    fn silent(&self, now: u64, usual: f64) -> bool {
        self.waiting > 0 && now > self.owes + (4.0 * usual) as u64 + 150 * MS
    }

    fn slots(&self, n: &Need) -> u32 {
        if self.slots > 0 { self.slots } else { n.engine.as_ref().map_or(0, |e| e.slots) }
    }

    fn full(&self, n: &Need, server: &str, now: u64, usual: f64) -> bool {
        let l = self.ours as f64 + self.others(now);
        let slots = self.slots(n) as f64;
        let by_slots = slots > 0.0
            && match &n.engine {
                Some(_) => l >= slots,
                None => l >= slots + SEAT_QUEUE.min(slots * n.target_us as f64 / 4.0 / usual.max(1.0)),
            };
        let by_tokens = n.engine.as_ref().is_some_and(|e| {
            let each = if self.ours > 0 { self.tokens as f64 / self.ours as f64 } else { 0.0 };
            self.ours > 0
                && self.tokens as f64 + self.others(now) * each + (self.missing(n, server) + n.output) as f64 > e.cache_tokens as f64
        });
        now < self.full_until || self.ours >= n.conns || by_slots || by_tokens
    }

    /// us until its first event or its answer, as far as can be told.
    fn cost(&self, n: &Need, server: &str, now: u64, usual: f64) -> f64 {
        let l = self.ours as f64 + self.others(now);
        match &n.engine {
            Some(_) => (self.missing(n, server) + self.reading) as f64 * 1_000.0 / READ_PER_MS as f64 + l * 1_000.0,
            None => usual.max(10_000.0) * (l + 1.0) / self.slots(n).max(1) as f64,
        }
    }
}

impl Line {
    fn wake(&mut self) {
        while !self.waiters.is_empty() {
            let i = (0..self.waiters.len()).min_by_key(|i| self.waiters[*i].rank).unwrap_or(0);
            if self.waiters.swap_remove(i).tx.try_send(()).is_ok() {
                return;
            }
        }
    }

    fn due(&self, n: &Need, servers: usize, now: u64) -> u64 {
        let slots = self.seats.values().map(|s| s.slots(n)).max().unwrap_or(1).max(1) as usize * servers.max(1);
        let fullest = self.seats.values().map(|s| s.full_until.saturating_sub(now)).min().unwrap_or(0);
        ((self.waiters.len() + 1) as f64 * self.usual.max(10_000.0) / slots as f64) as u64 + fullest
    }
}

impl Balance {
    fn line(&self, service: &str) -> Arc<Mutex<Line>> {
        if let Some(l) = self.lines.read().unwrap().get(service) {
            return l.clone();
        }
        self.lines.write().unwrap().entry(service.into()).or_default().clone()
    }

    /// us from dispatch to the head at this service; 0 while unknown.
    pub fn usual(&self, service: &str) -> u64 {
        self.line(service).lock().unwrap().usual as u64
    }

    /// Requests that wait for a place.
    pub fn waiting(&self, service: &str) -> usize {
        self.line(service).lock().unwrap().waiters.len()
    }

    /// The best place at this moment, or why there is none.
    pub fn pick(&self, w: &World, n: &Need, servers: &[Listed], tried: &[String], kept: impl Fn(&str) -> bool) -> Result<Claim, NoSeat> {
        let (line, now) = (self.line(&n.service), w.now());
        let mut g = line.lock().unwrap();
        let usual = g.usual;
        let may: Vec<&Listed> = servers.iter().filter(|s| s.service == n.service && !s.leaving && !tried.contains(&s.server)).collect();
        may.iter().for_each(|s| {
            g.seats.entry(s.server.clone()).or_default();
        });
        let well = |s: &&&Listed| {
            let x = &g.seats[&s.server];
            now >= x.away_until && !x.silent(now, usual)
        };
        let sound: Vec<&Listed> = may.iter().filter(well).copied().collect();
        let from = if sound.is_empty() { &may } else { &sound };
        if from.is_empty() {
            return Err(NoSeat::None);
        }
        let free: Vec<&Listed> = from.iter().filter(|s| !g.seats[&s.server].full(n, &s.server, now, usual)).copied().collect();
        let cost = |s: &&&Listed| {
            let x = &g.seats[&s.server];
            let far = if s.site == n.site { 0.0 } else { ZONE_COST };
            let dial = if kept(&s.server) { 0.0 } else { ZONE_COST };
            ((x.cost(n, &s.server, now, usual) + far + dial) * 16.0) as i64 + (w.rand() & 15) as i64
        };
        // Fronts that all saw the same load must not all choose the same server.
        let two: Vec<&Listed> = match free.len() {
            k if n.engine.is_none() && k > 2 => {
                let a = w.pick(k);
                let b = (a + 1 + w.pick(k - 1)) % k;
                vec![free[a], free[b]]
            }
            _ => free,
        };
        let Some(to) = two.iter().min_by_key(cost).map(|s| (*s).clone()) else { return Err(NoSeat::Full(g.due(n, from.len(), now))) };
        let s = g.seats.get_mut(&to.server).expect("every server has a seat");
        let (reading, tokens) = if n.engine.is_some() { (s.missing(n, &to.server), s.missing(n, &to.server) + n.output) } else { (0, 0) };
        s.ours += 1;
        s.waiting += 1;
        if s.waiting == 1 {
            s.owes = now;
        }
        s.reading += reading;
        s.tokens += tokens;
        drop(g);
        Ok(Claim { line, w: w.clone(), to, at: now, reading, tokens, headed: false })
    }

    /// Waits in line for a place to come free, until `until`; false if none did.
    pub async fn wait(&self, w: &World, n: &Need, until: u64) -> bool {
        let rx = {
            let line = self.line(&n.service);
            let mut g = line.lock().unwrap();
            let (tx, rx) = async_channel::bounded(1);
            g.next += 1;
            let rank = (n.rank.0, n.rank.1, g.next);
            g.waiters.push(Waiter { rank, tx });
            rx
        };
        w.within(until.saturating_sub(w.now()), rx.recv()).await.is_some()
    }

    /// Forgets servers no longer listed, and waiters that left.
    pub fn tidy(&self, listed: impl Fn(&str) -> bool) {
        self.lines.read().unwrap().values().for_each(|l| {
            let mut g = l.lock().unwrap();
            g.seats.retain(|s, x| x.ours > 0 || listed(s));
            g.waiters.retain(|x| !x.tx.is_closed());
        });
    }
}
