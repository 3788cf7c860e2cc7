//! A world of many machines in one thread: virtual time, seeded order, faults, disks that forget.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::future::Future;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, Wake, Waker};
use yewcross_common::constants::*;
use yewcross_common::runtime::*;

mod disk;
mod fingerprint;

pub use disk::Disk;
use fingerprint::{DiskKind, DiskStep, Event, Fingerprint};

type Task = Pin<Box<dyn Future<Output = ()> + Send>>;

#[derive(Default)]
struct Ready {
    line: Vec<u64>,
    set: BTreeSet<u64>,
}

struct Nudge(Arc<Mutex<Ready>>, u64);

impl Wake for Nudge {
    fn wake(self: Arc<Self>) {
        let mut r = self.0.lock().unwrap();
        if r.set.insert(self.1) {
            r.line.push(self.1);
        }
    }
}

struct Slot {
    who: (usize, u32),
    fut: Option<Task>,
    waker: Waker,
}

/// What a machine charges. All 0, as in the shapes that came first: its processor is free and a
/// sync takes 400 us.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Costs {
    /// percent of a core that the machine has; 0: its processor is free.
    pub share: u64,
    /// us of a whole core a task that is woken.
    pub wake: u64,
    /// ns of a whole core a byte read from or written to a connection.
    pub byte: u64,
    /// us that the disk is taken by a sync, one at a time; 0: 400 us and up to half of it, all at
    /// once.
    pub sync: u64,
}

/// Work that waits for a machine's processor.
#[derive(Default)]
struct Cpu {
    costs: Costs,
    /// Taken until then.
    until: u64,
    line: VecDeque<u64>,
    set: BTreeSet<u64>,
    armed: bool,
    /// Bytes moved in the poll under way.
    bytes: u64,
    /// us of a whole core, so far.
    used: u64,
    disk_until: u64,
}

pub struct Machine {
    pub name: String,
    pub site: String,
    pub ip: IpAddr,
    life: u32,
    up: bool,
    powered: bool,
    frozen: bool,
    parked: Vec<u64>,
    cpu: Cpu,
    pub disk: Disk,
    /// ms added to the calendar
    skew: i64,
}

struct DoorState {
    who: (usize, u32),
    line: VecDeque<Connection>,
    waker: Option<Waker>,
}

#[derive(Default)]
struct Dir {
    chunks: VecDeque<(u64, Vec<u8>)>,
    last: u64,
    closed: Option<u64>,
    reset: bool,
    reader_gone: bool,
    waker: Option<Waker>,
    /// Bytes written and not yet read, and who waits to write more.
    held: usize,
    writer: Option<Waker>,
}

struct Wire {
    /// Which connection of the world it is, by the order of opening.
    number: u64,
    ends: [(usize, u32); 2],
    dirs: [Dir; 2],
}

enum Due {
    Cpu(usize),
    Power(usize),
    Wake(Waker),
    Reader(u64, usize),
}

#[derive(Clone, Copy, Default)]
pub struct Weather {
    /// per thousand frames between our processes
    pub lose: u64,
    pub twice: u64,
    pub late: u64,
    /// us, largest extra delay of any chunk
    pub jitter: u64,
}

struct Inner {
    now: u64,
    rng: fastrand::Rng,
    tasks: BTreeMap<u64, Slot>,
    next: u64,
    timers: BTreeMap<(u64, u64), Due>,
    machines: Vec<Machine>,
    doors: BTreeMap<SocketAddr, DoorState>,
    wires: BTreeMap<u64, Wire>,
    cuts: BTreeSet<(usize, usize)>,
    gap: u64,
    /// bytes that a connection takes before its reader must read
    window: usize,
    weather: Weather,
    log: Vec<(u64, String, String)>,
    hash: u64,
    fingerprint: Fingerprint,
    /// Connections opened so far.
    opened: u64,
    pub polls: u64,
}

#[derive(Clone)]
pub struct Sim {
    i: Arc<Mutex<Inner>>,
    ready: Arc<Mutex<Ready>>,
}

#[derive(Clone)]
pub struct SimHost {
    sim: Sim,
    who: (usize, u32),
}

impl Inner {
    fn at(&mut self, t: u64, d: Due) {
        self.next += 1;
        let k = (t, self.next);
        self.timers.insert(k, d);
    }
    fn alive(&self, who: (usize, u32)) -> bool {
        let m = &self.machines[who.0];
        m.up && m.powered && m.life == who.1
    }
    fn hop(&mut self, a: usize, b: usize) -> u64 {
        let base = if a == b {
            10
        } else if self.machines[a].site == self.machines[b].site {
            100
        } else {
            self.gap
        };
        base + self.rng.u64(0..=base / 4 + self.weather.jitter)
    }
    fn cut(&self, a: usize, b: usize) -> bool {
        self.cuts.contains(&(a, b))
    }
    fn machine_at(&self, ip: IpAddr) -> Option<usize> {
        self.machines.iter().rposition(|m| m.ip == ip && m.powered)
    }
    fn note(&mut self, who: &str, line: &str) {
        self.hash = yewcross_common::hash::rendezvous_weight(
            &format!("{} {who} {line}", self.now),
            &self.hash.to_string(),
        );
        self.log.push((self.now, who.into(), line.into()));
    }
    /// Takes what the machine does into the fingerprint.
    fn did(&mut self, m: usize, event: Event) {
        self.fingerprint
            .add(self.now, &self.machines[m].name, event);
    }
    /// The same for an event on a connection: `event` is told the connection's number and the name
    /// of the machine at its other end.
    fn did_on<'a>(
        &'a mut self,
        id: u64,
        side: usize,
        event: impl FnOnce(u64, &'a str) -> Event<'a>,
    ) {
        if let Some(wire) = self.wires.get(&id) {
            let [me, other] =
                [side, 1 - side].map(|end| self.machines[wire.ends[end].0].name.as_str());
            self.fingerprint
                .add(self.now, me, event(wire.number, other));
        }
    }
}

impl Sim {
    pub fn new(seed: u64, gap: u64) -> Sim {
        let i = Inner {
            now: 1,
            rng: fastrand::Rng::with_seed(seed),
            tasks: BTreeMap::new(),
            next: 0,
            timers: BTreeMap::new(),
            machines: vec![],
            doors: BTreeMap::new(),
            wires: BTreeMap::new(),
            cuts: BTreeSet::new(),
            gap,
            window: 256 << 10,
            weather: Weather::default(),
            log: vec![],
            hash: seed,
            fingerprint: Fingerprint::default(),
            opened: 0,
            polls: 0,
        };
        Sim {
            i: Arc::new(Mutex::new(i)),
            ready: Default::default(),
        }
    }

    pub fn machine(&self, name: &str, site: &str, ip: IpAddr) -> usize {
        let mut g = self.i.lock().unwrap();
        g.machines.push(Machine {
            name: name.into(),
            site: site.into(),
            ip,
            life: 0,
            up: false,
            powered: true,
            frozen: false,
            parked: vec![],
            cpu: Cpu::default(),
            disk: Disk::default(),
            skew: 0,
        });
        g.machines.len() - 1
    }

    pub fn find(&self, name: &str) -> usize {
        self.i
            .lock()
            .unwrap()
            .machines
            .iter()
            .rposition(|m| m.name == name)
            .unwrap_or_else(|| panic!("no machine {name}"))
    }

    /// A fresh process on the machine.
    pub fn boot(&self, m: usize) -> Runtime {
        let mut g = self.i.lock().unwrap();
        let x = &mut g.machines[m];
        x.life += 1;
        x.up = true;
        x.frozen = false;
        let who = (m, x.life);
        g.did(m, Event::Booted);
        drop(g);
        Runtime(Arc::new(SimHost {
            sim: self.clone(),
            who,
        }))
    }

    /// The process that runs on the machine, for more tasks of its.
    pub fn beside(&self, m: usize) -> Runtime {
        let life = self.i.lock().unwrap().machines[m].life;
        Runtime(Arc::new(SimHost {
            sim: self.clone(),
            who: (m, life),
        }))
    }
    pub fn charge(&self, m: usize, c: Costs) {
        self.i.lock().unwrap().machines[m].cpu.costs = c;
    }
    /// us of a whole core that the machine's tasks were charged so far.
    pub fn used(&self, m: usize) -> u64 {
        self.i.lock().unwrap().machines[m].cpu.used
    }
    pub fn now(&self) -> u64 {
        self.i.lock().unwrap().now
    }
    pub fn rand(&self) -> u64 {
        self.i.lock().unwrap().rng.u64(..)
    }
    pub fn window(&self, bytes: usize) {
        self.i.lock().unwrap().window = bytes;
    }
    pub fn weather(&self, w: Weather) {
        self.i.lock().unwrap().weather = w;
    }
    pub fn log(&self) -> Vec<(u64, String, String)> {
        self.i.lock().unwrap().log.clone()
    }
    /// Over every line that was logged, in its words.
    pub fn hash(&self) -> u64 {
        self.i.lock().unwrap().hash
    }
    /// Over what the machines did on connections and disks, and when: whatever is logged does not
    /// enter.
    pub fn fingerprint(&self) -> u128 {
        self.i.lock().unwrap().fingerprint.value()
    }
    pub fn polls(&self) -> u64 {
        self.i.lock().unwrap().polls
    }
    pub fn note(&self, line: &str) {
        self.i.lock().unwrap().note("lab", line);
    }
    pub fn up(&self, m: usize) -> bool {
        let g = self.i.lock().unwrap();
        g.machines[m].up && g.machines[m].powered
    }
    pub fn site(&self, m: usize) -> String {
        self.i.lock().unwrap().machines[m].site.clone()
    }
    pub fn skew(&self, m: usize, ms: i64) {
        self.i.lock().unwrap().machines[m].skew = ms;
    }
    pub fn disk<T>(&self, m: usize, f: impl FnOnce(&mut Disk) -> T) -> T {
        f(&mut self.i.lock().unwrap().machines[m].disk)
    }
    pub fn sizes(&self) -> (usize, usize, usize) {
        let g = self.i.lock().unwrap();
        (
            g.tasks.len(),
            g.wires.len(),
            g.machines.iter().map(|m| m.disk.files()).sum(),
        )
    }

    /// Ends the process; with `power`, the machine too: no farewell on the wire, unsynced bytes
    /// lost.
    pub fn kill(&self, m: usize, power: bool) {
        let mut g = self.i.lock().unwrap();
        let name = g.machines[m].name.clone();
        g.note(&name, if power { "loses power" } else { "killed" });
        g.did(
            m,
            if power {
                Event::LostPower
            } else {
                Event::Killed
            },
        );
        g.machines[m].up = false;
        g.machines[m].frozen = false;
        g.machines[m].parked.clear();
        let c = &mut g.machines[m].cpu;
        (c.until, c.armed) = (0, false);
        c.line.clear();
        c.set.clear();
        if power {
            g.machines[m].powered = false;
            let mut r = fastrand::Rng::with_seed(g.rng.u64(..));
            g.machines[m].disk.lose_power(&mut r);
        }
        let ids: Vec<u64> = g
            .tasks
            .iter()
            .filter(|t| t.1.who.0 == m)
            .map(|t| *t.0)
            .collect();
        let dead: Vec<Slot> = ids.iter().filter_map(|i| g.tasks.remove(i)).collect();
        let shut: Vec<SocketAddr> = g
            .doors
            .iter()
            .filter(|d| d.1.who.0 == m)
            .map(|d| *d.0)
            .collect();
        let doors: Vec<DoorState> = shut.iter().filter_map(|a| g.doors.remove(a)).collect();
        let t = g.now;
        let (mut wake, mut stuck) = (vec![], vec![]);
        let wires: Vec<u64> = g
            .wires
            .iter()
            .filter(|w| w.1.ends.iter().any(|e| e.0 == m))
            .map(|w| *w.0)
            .collect();
        for w in wires {
            for side in 0..2 {
                let ends = g.wires[&w].ends;
                if ends[side].0 != m {
                    continue;
                }
                let hop = g.hop(m, ends[1 - side].0);
                let x = g.wires.get_mut(&w).map(|x| &mut x.dirs);
                if let Some(d) = x.filter(|_| !power) {
                    d[side].closed.get_or_insert(t + hop);
                    d[side].reset = true;
                    d[1 - side].reader_gone = true;
                    stuck.extend(d[1 - side].writer.take());
                    wake.push((w, side, t + hop));
                }
            }
        }
        wake.into_iter()
            .for_each(|(w, d, at)| g.at(at, Due::Reader(w, d)));
        drop(g);
        stuck.into_iter().for_each(|w: Waker| w.wake());
        drop((dead, doors));
    }

    pub fn power_on(&self, m: usize) {
        self.i.lock().unwrap().machines[m].powered = true;
    }

    pub fn wipe(&self, m: usize) {
        let mut g = self.i.lock().unwrap();
        let name = g.machines[m].name.clone();
        g.note(&name, "loses its disk");
        g.did(m, Event::LostDisk);
        g.machines[m].disk = Disk::default();
    }

    pub fn freeze(&self, m: usize) {
        let mut g = self.i.lock().unwrap();
        let name = g.machines[m].name.clone();
        g.note(&name, "freezes");
        g.did(m, Event::Froze);
        g.machines[m].frozen = true;
    }

    pub fn thaw(&self, m: usize) {
        let mut g = self.i.lock().unwrap();
        let name = g.machines[m].name.clone();
        g.note(&name, "wakes");
        g.did(m, Event::Woke);
        g.machines[m].frozen = false;
        let v = std::mem::take(&mut g.machines[m].parked);
        drop(g);
        let mut r = self.ready.lock().unwrap();
        v.into_iter().for_each(|t| {
            if r.set.insert(t) {
                r.line.push(t)
            }
        });
    }

    /// Stops what flows from `a` to `b`; it is delivered when the cut heals.
    pub fn cut(&self, a: usize, b: usize) {
        self.i.lock().unwrap().cuts.insert((a, b));
    }

    pub fn split(&self, xs: &[usize], ys: &[usize]) {
        xs.iter().for_each(|x| {
            ys.iter().filter(|y| *y != x).for_each(|y| {
                self.cut(*x, *y);
                self.cut(*y, *x);
            })
        });
    }

    pub fn heal(&self) {
        let mut g = self.i.lock().unwrap();
        g.cuts.clear();
        g.note("lab", "cuts heal");
        let t = g.now;
        g.fingerprint.add(t, "", Event::Healed);
        let ids: Vec<u64> = g.wires.keys().cloned().collect();
        for w in ids {
            for d in 0..2 {
                let ends = g.wires[&w].ends;
                let hop = g.hop(ends[d].0, ends[1 - d].0);
                let Some(x) = g.wires.get_mut(&w) else {
                    continue;
                };
                let held = x.dirs[d].chunks.iter().any(|c| c.0 == u64::MAX)
                    || x.dirs[d].closed == Some(u64::MAX);
                if held {
                    x.dirs[d]
                        .chunks
                        .iter_mut()
                        .filter(|c| c.0 == u64::MAX)
                        .for_each(|c| c.0 = t + hop);
                    x.dirs[d].last = t + hop;
                    x.dirs[d]
                        .closed
                        .iter_mut()
                        .filter(|c| **c == u64::MAX)
                        .for_each(|c| *c = t + hop);
                    g.at(t + hop, Due::Reader(w, d));
                }
            }
        }
    }

    fn spawn(&self, who: (usize, u32), f: Task) {
        let mut g = self.i.lock().unwrap();
        if !g.alive(who) {
            return;
        }
        g.next += 1;
        let id = g.next;
        let waker = Waker::from(Arc::new(Nudge(self.ready.clone(), id)));
        g.tasks.insert(
            id,
            Slot {
                who,
                fut: Some(f),
                waker: waker.clone(),
            },
        );
        drop(g);
        waker.wake();
    }

    /// Runs the world until the given time, or until `done` says so.
    pub fn run(&self, until: u64, mut done: impl FnMut() -> bool) {
        loop {
            if done() {
                return;
            }
            let id = {
                let mut g = self.i.lock().unwrap();
                let mut r = self.ready.lock().unwrap();
                let n = r.line.len();
                if n > 0 {
                    let k = g.rng.usize(0..n);
                    let id = r.line.swap_remove(k);
                    r.set.remove(&id);
                    Some(id)
                } else {
                    None
                }
            };
            match id {
                Some(id) => self.poll(id, false),
                None => {
                    let mut g = self.i.lock().unwrap();
                    let Some((&(t, n), _)) = g.timers.first_key_value() else {
                        return;
                    };
                    if t > until {
                        g.now = until;
                        return;
                    }
                    g.now = g.now.max(t);
                    let d = g.timers.remove(&(t, n));
                    if let Some(Due::Power(m)) = d {
                        drop(g);
                        self.kill(m, true);
                        continue;
                    }
                    if let Some(Due::Cpu(m)) = d {
                        drop(g);
                        self.turn(m);
                        continue;
                    }
                    let w = match d {
                        Some(Due::Wake(w)) => Some(w),
                        Some(Due::Reader(w, d)) => {
                            g.wires.get_mut(&w).and_then(|x| x.dirs[d].waker.take())
                        }
                        _ => None,
                    };
                    drop(g);
                    w.into_iter().for_each(|w| w.wake());
                }
            }
        }
    }

    /// The machine's processor is free again: whoever has waited longest has its turn.
    fn turn(&self, m: usize) {
        let id = {
            let mut g = self.i.lock().unwrap();
            let c = &mut g.machines[m].cpu;
            if !std::mem::take(&mut c.armed) {
                return;
            }
            let id = c.line.pop_front();
            id.iter().for_each(|i| {
                c.set.remove(i);
            });
            id
        };
        id.into_iter().for_each(|i| self.poll(i, true));
        self.arm(m);
    }

    fn arm(&self, m: usize) {
        let mut g = self.i.lock().unwrap();
        let now = g.now;
        let c = &mut g.machines[m].cpu;
        if !c.line.is_empty() && !std::mem::replace(&mut c.armed, true) {
            let t = c.until.max(now);
            g.at(t, Due::Cpu(m));
        }
    }

    fn poll(&self, id: u64, its_turn: bool) {
        let mut g = self.i.lock().unwrap();
        let Some(s) = g.tasks.get_mut(&id) else {
            return;
        };
        let who = s.who;
        let now = g.now;
        let c = &mut g.machines[who.0].cpu;
        if c.costs.share > 0 && !its_turn && (now < c.until || !c.line.is_empty()) {
            if c.set.insert(id) {
                c.line.push_back(id);
            }
            drop(g);
            return self.arm(who.0);
        }
        c.bytes = 0;
        g.polls += 1;
        if g.machines[who.0].frozen {
            g.machines[who.0].parked.push(id);
            return;
        }
        let Some(s) = g.tasks.get_mut(&id) else {
            return;
        };
        let Some(mut f) = s.fut.take() else { return };
        let w = s.waker.clone();
        drop(g);
        let r = f.as_mut().poll(&mut Context::from_waker(&w));
        let mut g = self.i.lock().unwrap();
        let (now, c) = (g.now, &mut g.machines[who.0].cpu);
        let us = if c.costs.share > 0 {
            c.costs.wake + c.bytes * c.costs.byte / 1000
        } else {
            0
        };
        c.used += us;
        c.until = now + (us * 100).checked_div(c.costs.share).unwrap_or(0);
        let gone = if r.is_ready() || !g.alive(who) {
            g.tasks.remove(&id);
            Some(f)
        } else {
            if let Some(s) = g.tasks.get_mut(&id) {
                s.fut = Some(f);
            }
            None
        };
        drop(g);
        drop(gone);
    }
}

struct Nap {
    sim: Sim,
    at: u64,
    set: bool,
}

impl Future for Nap {
    type Output = ();
    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        let mut g = self.sim.i.lock().unwrap();
        if g.now >= self.at {
            return Poll::Ready(());
        }
        if !self.set {
            let (t, w) = (self.at, cx.waker().clone());
            g.at(t, Due::Wake(w));
            drop(g);
            self.set = true;
        }
        Poll::Pending
    }
}

struct End {
    sim: Sim,
    id: u64,
    side: usize,
}

impl ByteStream for End {
    fn read(&self, cx: &mut Context<'_>, buf: &mut [u8]) -> Poll<io::Result<usize>> {
        let mut g = self.sim.i.lock().unwrap();
        let t = g.now;
        let Some(w) = g.wires.get_mut(&self.id) else {
            return Poll::Ready(Ok(0));
        };
        let d = &mut w.dirs[1 - self.side];
        if let Some(c) = d.chunks.front_mut().filter(|c| c.0 <= t) {
            let n = buf.len().min(c.1.len());
            buf[..n].copy_from_slice(&c.1[..n]);
            c.1.drain(..n);
            if c.1.is_empty() {
                d.chunks.pop_front();
            }
            d.held -= n;
            let more = d.writer.take();
            let me = w.ends[self.side].0;
            g.machines[me].cpu.bytes += n as u64;
            drop(g);
            more.into_iter().for_each(|w| w.wake());
            return Poll::Ready(Ok(n));
        }
        if d.chunks.is_empty() && d.closed.is_some_and(|c| c <= t) {
            return Poll::Ready(if d.reset {
                Err(io::ErrorKind::ConnectionReset.into())
            } else {
                Ok(0)
            });
        }
        d.waker = Some(cx.waker().clone());
        Poll::Pending
    }

    fn write(&self, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let mut g = self.sim.i.lock().unwrap();
        let (t, window) = (g.now, g.window);
        let Some(ends) = g.wires.get(&self.id).map(|w| w.ends) else {
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        };
        let (a, b) = (ends[self.side].0, ends[1 - self.side].0);
        let hop = g.hop(a, b);
        let cut = g.cut(a, b);
        let (id, side) = (self.id, self.side);
        let Some(w) = g.wires.get_mut(&id) else {
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        };
        let d = &mut w.dirs[side];
        if d.closed.is_some() || d.reader_gone {
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        }
        // No tinygrams: room for all of it, or a good part of the window.
        let free = window.saturating_sub(d.held);
        let n = buf.len().min(free);
        if free < buf.len().min(window / 4) {
            d.writer = Some(cx.waker().clone());
            return Poll::Pending;
        }
        d.held += n;
        g.machines[a].cpu.bytes += n as u64;
        let Some(w) = g.wires.get_mut(&id) else {
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        };
        let d = &mut w.dirs[side];
        let buf = &buf[..n];
        let held = cut || d.chunks.back().is_some_and(|c| c.0 == u64::MAX);
        let at = if held {
            u64::MAX
        } else {
            (t + hop).max(d.last)
        };
        if !held {
            d.last = at;
        }
        d.chunks.push_back((at, buf.to_vec()));
        g.did_on(id, side, |wire, to| Event::Wrote {
            wire,
            to,
            data: buf,
        });
        if !held {
            g.at(at, Due::Reader(id, side));
        }
        Poll::Ready(Ok(buf.len()))
    }

    fn close(&self, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.shut();
        Poll::Ready(Ok(()))
    }
}

impl End {
    fn shut(&self) {
        let mut g = self.sim.i.lock().unwrap();
        let t = g.now;
        let (id, side) = (self.id, self.side);
        let Some(ends) = g.wires.get(&id).map(|w| w.ends) else {
            return;
        };
        let (a, b) = (ends[side].0, ends[1 - side].0);
        let hop = g.hop(a, b);
        let cut = g.cut(a, b);
        let Some(w) = g.wires.get_mut(&id) else {
            return;
        };
        if w.dirs[side].closed.is_none() {
            let at = if cut {
                u64::MAX
            } else {
                (t + hop).max(w.dirs[side].last)
            };
            w.dirs[side].closed = Some(at);
            g.did_on(id, side, |wire, to| Event::Closed { wire, to });
            if !cut {
                g.at(at, Due::Reader(id, side));
            }
        }
    }
}

impl Drop for End {
    fn drop(&mut self) {
        self.shut();
        let mut g = self.sim.i.lock().unwrap();
        let (id, side) = (self.id, self.side);
        g.did_on(id, side, |wire, to| Event::Left { wire, to });
        let mut writer = None;
        let over = g.wires.get_mut(&id).is_some_and(|w| {
            w.dirs[1 - side].reader_gone = true;
            writer = w.dirs[1 - side].writer.take();
            w.dirs[side].reader_gone && w.dirs[1 - side].reader_gone
        });
        if over {
            g.wires.remove(&id);
        }
        drop(g);
        writer.into_iter().for_each(|w| w.wake());
    }
}

struct SimDoor {
    sim: Sim,
    at: SocketAddr,
}

struct Accept<'a>(&'a SimDoor);

impl Future for Accept<'_> {
    type Output = io::Result<Connection>;
    fn poll(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<Connection>> {
        let mut g = self.0.sim.i.lock().unwrap();
        let Some(d) = g.doors.get_mut(&self.0.at) else {
            return Poll::Pending;
        };
        match d.line.pop_front() {
            Some(c) => Poll::Ready(Ok(c)),
            None => {
                d.waker = Some(cx.waker().clone());
                Poll::Pending
            }
        }
    }
}

impl Listener for SimDoor {
    fn accept(&self) -> BoxFuture<'_, io::Result<Connection>> {
        Box::pin(Accept(self))
    }
}

impl Drop for SimDoor {
    fn drop(&mut self) {
        let mut g = self.sim.i.lock().unwrap();
        let d = g.doors.remove(&self.at);
        d.iter()
            .for_each(|d| g.did(d.who.0, Event::Unbound { at: self.at }));
        drop(g);
        drop(d);
    }
}

impl SimHost {
    fn nap(&self, us: u64) -> Nap {
        let at = self.sim.now() + us;
        Nap {
            sim: self.sim.clone(),
            at,
            set: false,
        }
    }

    fn on_disk<T: Send + 'static>(
        &self,
        us: u64,
        step: DiskStep,
        f: impl FnOnce(&mut Disk) -> io::Result<T> + Send + 'static,
    ) -> BoxFuture<'static, io::Result<T>> {
        let us = us + self.sim.rand() % (us / 2 + 1);
        self.on_disk_for(us, step, f)
    }

    fn on_disk_for<T: Send + 'static>(
        &self,
        us: u64,
        step: DiskStep,
        f: impl FnOnce(&mut Disk) -> io::Result<T> + Send + 'static,
    ) -> BoxFuture<'static, io::Result<T>> {
        let (sim, m) = (self.sim.clone(), self.who.0);
        Box::pin(async move {
            let at = sim.now() + us * sim.disk(m, |d| d.slowness.max(1));
            Nap {
                sim: sim.clone(),
                at,
                set: false,
            }
            .await;
            while sim.disk(m, |d| d.stalled) {
                let at = sim.now() + 50 * MS;
                Nap {
                    sim: sim.clone(),
                    at,
                    set: false,
                }
                .await;
            }
            let r = sim.disk(m, |d| {
                if d.failing {
                    Err(io::Error::other("input/output error"))
                } else {
                    f(d)
                }
            });
            sim.i.lock().unwrap().did(
                m,
                Event::Stored {
                    step: &step,
                    ok: r.is_ok(),
                },
            );
            r
        })
    }
}

impl RuntimeBackend for SimHost {
    fn now(&self) -> u64 {
        self.sim.now()
    }
    fn wall_clock_ms(&self) -> u64 {
        let g = self.sim.i.lock().unwrap();
        (1_790_000_000_000i64 + (g.now / 1000) as i64 + g.machines[self.who.0].skew) as u64
    }
    fn random(&self) -> u64 {
        self.sim.rand()
    }
    fn sleep(&self, us: u64) -> BoxFuture<'static, ()> {
        Box::pin(self.nap(us))
    }
    fn spawn(&self, f: BoxFuture<'static, ()>) {
        self.sim.spawn(self.who, f);
    }
    fn connect(&self, to: SocketAddr) -> BoxFuture<'static, io::Result<Connection>> {
        let (sim, me) = (self.sim.clone(), self.who);
        Box::pin(async move {
            loop {
                let wait = {
                    let mut g = sim.i.lock().unwrap();
                    let b = g.machine_at(to.ip());
                    b.map(|b| {
                        let hop = g.hop(me.0, b) + g.hop(b, me.0);
                        (
                            b,
                            hop,
                            g.cut(me.0, b) || g.cut(b, me.0) || g.machines[b].frozen,
                        )
                    })
                };
                let Some((b, hop, cut)) = wait else {
                    // Nobody at that address: packets vanish.
                    sim.i.lock().unwrap().did(me.0, Event::Unheard { at: to });
                    std::future::pending::<()>().await;
                    continue;
                };
                let at = sim.now() + if cut { 200 * MS } else { hop };
                Nap {
                    sim: sim.clone(),
                    at,
                    set: false,
                }
                .await;
                if cut {
                    continue;
                }
                let mut g = sim.i.lock().unwrap();
                let Some(who) = g.doors.get(&to).map(|d| d.who).filter(|w| w.0 == b) else {
                    let name = g.machines[b].name.clone();
                    g.did(me.0, Event::Refused { to: &name, at: to });
                    return Err(io::ErrorKind::ConnectionRefused.into());
                };
                g.next += 1;
                let id = g.next;
                g.opened += 1;
                let number = g.opened;
                g.wires.insert(
                    id,
                    Wire {
                        number,
                        ends: [me, who],
                        dirs: Default::default(),
                    },
                );
                g.did_on(id, 0, |wire, name| Event::Opened {
                    wire,
                    to: name,
                    at: to,
                });
                let ip = g.machines[me.0].ip;
                let end = |side| {
                    Arc::new(End {
                        sim: sim.clone(),
                        id,
                        side,
                    })
                };
                let (mine, theirs) = (
                    Connection::new(end(0), to),
                    Connection::new(end(1), SocketAddr::new(ip, 1)),
                );
                let w = g.doors.get_mut(&to).and_then(|d| {
                    d.line.push_back(theirs);
                    d.waker.take()
                });
                drop(g);
                w.into_iter().for_each(|w| w.wake());
                return Ok(mine);
            }
        })
    }
    fn bind(&self, at: SocketAddr) -> BoxFuture<'static, io::Result<Box<dyn Listener>>> {
        let mut g = self.sim.i.lock().unwrap();
        let taken = g.doors.contains_key(&at);
        let who = self.who;
        let r = if taken {
            Err(io::ErrorKind::AddrInUse.into())
        } else {
            g.doors.insert(
                at,
                DoorState {
                    who,
                    line: VecDeque::new(),
                    waker: None,
                },
            );
            Ok(Box::new(SimDoor {
                sim: self.sim.clone(),
                at,
            }) as Box<dyn Listener>)
        };
        g.did(who.0, Event::Bound { at, ok: !taken });
        drop(g);
        Box::pin(async move { r })
    }
    fn frame_fault(&self, _: SocketAddr) -> FrameFault {
        let mut g = self.sim.i.lock().unwrap();
        let (w, x, far) = (g.weather, g.rng.u64(0..1000), g.rng.u64(1..300 * MS));
        match x {
            x if x < w.lose => FrameFault::Drop,
            x if x < w.lose + w.twice => FrameFault::Duplicate,
            x if x < w.lose + w.twice + w.late => FrameFault::Delay(far),
            _ => FrameFault::Deliver,
        }
    }
    fn write_file(&self, path: &str, data: Vec<u8>) -> BoxFuture<'static, io::Result<()>> {
        let p = path.to_string();
        self.on_disk(60, DiskStep::new(DiskKind::Put, path, &data), move |d| {
            d.write(p, data)
        })
    }
    fn sync(&self, path: &str) -> BoxFuture<'static, io::Result<()>> {
        let p = path.to_string();
        let (sim, m) = (self.sim.clone(), self.who.0);
        let each = sim.i.lock().unwrap().machines[m].cpu.costs.sync;
        let us = if each > 0 { 0 } else { 400 + sim.rand() % 201 };
        let f = self.on_disk_for(us, DiskStep::new(DiskKind::Sync, path, &[]), move |d| {
            d.sync(&p);
            let due = d.trip.iter_mut().find_map(|t| {
                t.0 = t.0.saturating_sub(1);
                (t.0 == 0).then_some(t.1)
            });
            due.iter().for_each(|_| d.trip = None);
            Ok(due)
        });
        Box::pin(async move {
            if each > 0 {
                let at = {
                    let mut g = sim.i.lock().unwrap();
                    let each = each * g.machines[m].disk.slowness.max(1);
                    let (now, c) = (g.now, &mut g.machines[m].cpu);
                    c.disk_until = c.disk_until.max(now) + each;
                    c.disk_until
                };
                Nap {
                    sim: sim.clone(),
                    at,
                    set: false,
                }
                .await;
            }
            if let Some(us) = f.await? {
                let mut g = sim.i.lock().unwrap();
                let t = g.now + us;
                g.at(t, Due::Power(m));
            }
            Ok(())
        })
    }
    fn rename(&self, a: &str, b: &str) -> BoxFuture<'static, io::Result<()>> {
        let step = DiskStep::new(DiskKind::Rename, a, b.as_bytes());
        let (a, b) = (a.to_string(), b.to_string());
        self.on_disk(20, step, move |d| d.rename(&a, b))
    }
    fn write_durably(
        &self,
        aside: &str,
        at: &str,
        dir: &str,
        data: Vec<u8>,
    ) -> BoxFuture<'static, io::Result<()>> {
        let (me, aside, at, dir) = (
            self.clone(),
            aside.to_string(),
            at.to_string(),
            dir.to_string(),
        );
        Box::pin(async move {
            me.write_file(&aside, data).await?;
            me.sync(&aside).await?;
            me.rename(&aside, &at).await?;
            me.sync(&dir).await
        })
    }
    fn remove(&self, path: &str) -> BoxFuture<'static, io::Result<()>> {
        let p = path.to_string();
        self.on_disk(20, DiskStep::new(DiskKind::Remove, path, &[]), move |d| {
            d.remove(&p)
        })
    }
    fn append(&self, path: &str, data: Vec<u8>) -> BoxFuture<'static, io::Result<()>> {
        let (p, dir) = (
            path.to_string(),
            path.rsplit_once('/').map_or("", |x| x.0).to_string(),
        );
        let write = self.on_disk(60, DiskStep::new(DiskKind::Append, path, &data), move |d| {
            d.append(p, data)
        });
        let (safe, named) = (self.sync(path), self.sync(&dir));
        Box::pin(async move {
            let new = write.await?;
            safe.await?;
            if new { named.await } else { Ok(()) }
        })
    }
    fn read_file(&self, path: &str) -> BoxFuture<'static, io::Result<Vec<u8>>> {
        let p = path.to_string();
        self.on_disk(60, DiskStep::new(DiskKind::Get, path, &[]), move |d| {
            d.read(&p)
        })
    }
    fn list(&self, dir: &str) -> BoxFuture<'static, io::Result<Vec<String>>> {
        let step = DiskStep::new(DiskKind::List, dir, &[]);
        let dir = dir.to_string();
        self.on_disk(60, step, move |d| d.list(&dir))
    }
    fn mkdir(&self, dir: &str) -> BoxFuture<'static, io::Result<()>> {
        let step = DiskStep::new(DiskKind::MakeFolder, dir, &[]);
        let dir = dir.to_string();
        self.on_disk_for(0, step, move |d| {
            d.make_folder(&dir);
            Ok(())
        })
    }
    fn log(&self, line: &str) {
        let mut g = self.sim.i.lock().unwrap();
        let name = g.machines[self.who.0].name.clone();
        g.note(&name, line);
    }
}
