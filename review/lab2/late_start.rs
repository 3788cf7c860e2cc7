//! Two of a zone's three fronts are stopped in turn with SIGTERM. Requests that a stopped front still
//! takes from new connections are to be answered whole.

use crate::fleet::{Fleet, Record, random};
use crate::http::call;
use crate::servers::{Configuration, Servers, attempt_id};
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const FRONTS: u8 = 3;
/// Bounds of the site, in seconds.
const GRACE: f64 = 8.0;
const DEADLINE: f64 = 6.0;
/// A stream of 17 events, 280 ms apart, takes 4.5 s; pauses of up to 400 ms are in time.
const EVENTS: u64 = 17;
const GAP_MS: u64 = 280;
/// Clients that look something up on a new connection three times a second.
const CALLERS: u64 = 150;
const CALL_EVERY_MS: u64 = 333;
/// Pause between two new streams.
const STREAM_EVERY_MS: u64 = 20;

#[derive(Clone)]
struct Sent {
    attempt: String,
    front: u8,
    at: f64,
    end: f64,
    status: u16,
    is_whole: bool,
    is_stream: bool,
    error: String,
}

/// The platform's address: it asks each front for its readiness every second and leaves out one that
/// misses twice, unless fewer than half would be left.
struct Entry {
    is_in: Mutex<[bool; FRONTS as usize]>,
}

impl Entry {
    fn choose(&self, client: u64) -> u8 {
        let is_in = *self.is_in.lock().unwrap();
        let mut fronts: Vec<u8> = (0..FRONTS).filter(|front| is_in[*front as usize]).collect();
        if fronts.len() * 2 < FRONTS as usize {
            fronts = (0..FRONTS).collect();
        }
        fronts[(client % fronts.len() as u64) as usize]
    }
}

pub fn run(record: &Arc<Record>, is_disturbed: bool) -> i32 {
    let fleet = Arc::new(Fleet::new(record, FRONTS, 4, 4));
    let servers = Servers::new(record);
    for host in 120..132 {
        servers.start(&fleet, host, "llm", 96);
    }
    for host in 140..151 {
        servers.start(&fleet, host, "api", 6);
    }
    fleet.start_all();
    if fleet.put_until(0, &Configuration::new(1).text(), Duration::from_secs(20)) != 200 {
        return 2;
    }
    if !fleet.wait_ready(FRONTS, Duration::from_secs(10)) {
        return 2;
    }
    servers.behaviour.events.store(EVENTS, SeqCst);
    servers.behaviour.gap_ms.store(GAP_MS, SeqCst);
    servers.behaviour.work_ms.store(20, SeqCst);
    servers.behaviour.is_brief.store(true, SeqCst);
    let entry = Arc::new(Entry {
        is_in: Mutex::new([true; FRONTS as usize]),
    });
    let is_over = Arc::new(AtomicBool::new(false));
    for front in 0..FRONTS {
        let (entry, fleet, is_over, record) = (
            entry.clone(),
            fleet.clone(),
            is_over.clone(),
            record.clone(),
        );
        std::thread::spawn(move || {
            std::thread::sleep(Duration::from_millis(random() % 1000));
            let mut missed = 0;
            while !is_over.load(SeqCst) {
                missed = if fleet.is_ready(front) { 0 } else { missed + 1 };
                let is_in = missed < 2;
                let mut all = entry.is_in.lock().unwrap();
                if all[front as usize] != is_in {
                    all[front as usize] = is_in;
                    record.line(&format!(
                        "platform: front-{front} is {}",
                        if is_in { "in" } else { "out" }
                    ));
                }
                drop(all);
                std::thread::sleep(Duration::from_secs(1));
            }
        });
    }
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let send = {
        let (fleet, entry, sent, record) =
            (fleet.clone(), entry.clone(), sent.clone(), record.clone());
        Arc::new(move |client: u64, is_stream: bool| {
            let attempt = attempt_id();
            let front = entry.choose(client);
            let mut headers = vec![
                ("Host", "a.example".to_string()),
                ("Attempt-Id", attempt.clone()),
                (
                    "Deadline-Ms",
                    if is_stream { "6000" } else { "1500" }.into(),
                ),
            ];
            if is_stream {
                headers.push(("Program-Id", attempt_id()));
                headers.push(("Session-Id", attempt_id()));
                headers.push(("Finish-Ms", "20000".into()));
                headers.push(("Token-Budget", "1000".into()));
                headers.push(("Token-Count", "1840,136".into()));
                headers.push(("Model", "m".into()));
            }
            let at = record.now();
            let answer = if is_stream {
                call(fleet.front(front), "POST", "/s/1", &headers, b"question")
            } else {
                call(fleet.front(front), "GET", "/p/1", &headers, b"")
            };
            let end = record.now();
            let (status, is_whole, error) = (answer.status, answer.is_whole, answer.error);
            if is_stream {
                record.line(&format!(
                    "sent {attempt} at {at:.3} to front-{front}: {status} {} {error}",
                    if is_whole { "whole" } else { "cut" }
                ));
            }
            sent.lock().unwrap().push(Sent {
                attempt,
                front,
                at,
                end,
                status,
                is_whole,
                is_stream,
                error,
            });
        })
    };
    let mut threads = vec![];
    for client in 0..CALLERS {
        let (send, is_over) = (send.clone(), is_over.clone());
        threads.push(std::thread::spawn(move || {
            std::thread::sleep(Duration::from_millis(random() % CALL_EVERY_MS));
            while !is_over.load(SeqCst) {
                send(client, false);
                std::thread::sleep(Duration::from_millis(CALL_EVERY_MS - 60));
            }
        }));
    }
    let streams = {
        let (send, is_over) = (send.clone(), is_over.clone());
        std::thread::spawn(move || {
            let mut threads = vec![];
            while !is_over.load(SeqCst) {
                let send = send.clone();
                threads.push(std::thread::spawn(move || send(random(), true)));
                std::thread::sleep(Duration::from_millis(STREAM_EVERY_MS));
            }
            for thread in threads {
                let _ = thread.join();
            }
        })
    };
    std::thread::sleep(Duration::from_secs(6));
    let mut terms = [f64::MAX; FRONTS as usize];
    if is_disturbed {
        let mut stops = vec![];
        for front in 0..2u8 {
            terms[front as usize] = record.now();
            let fleet = fleet.clone();
            let name = format!("front-{front}");
            fleet.signal(&name, "TERM");
            stops.push(std::thread::spawn(move || {
                if fleet
                    .wait_end(&name, Duration::from_secs_f64(GRACE))
                    .is_none()
                {
                    fleet.kill(&name);
                }
                fleet.record.line(&format!("{name} ended"));
                std::thread::sleep(Duration::from_secs(1));
                fleet.start(&name);
            }));
            std::thread::sleep(Duration::from_millis(1300));
        }
        for stop in stops {
            let _ = stop.join();
        }
        std::thread::sleep(Duration::from_secs(2));
    } else {
        std::thread::sleep(Duration::from_secs(13));
    }
    is_over.store(true, SeqCst);
    for thread in threads {
        let _ = thread.join();
    }
    let _ = streams.join();
    let ended = fleet.ended();
    let runs = servers.runs.lock().unwrap();
    let sent = sent.lock().unwrap();
    let (mut lost, mut after) = (0, 0);
    for one in sent.iter() {
        let past = one.at - terms[one.front as usize];
        let end = one.end - terms[one.front as usize];
        if past > 3.0 && past < GRACE && one.status > 0 {
            after += 1;
        }
        let has_run = runs.iter().any(|run| run.attempt == one.attempt);
        let is_counted = past > 3.0 && end < GRACE + 1.0 && one.end - one.at < DEADLINE - 0.5;
        if one.is_stream && !one.is_whole && has_run && is_counted {
            lost += 1;
            record.say(&format!(
                "LOST {}: front-{}, sent {past:.2} s after its SIGTERM, run, ended {end:.2} s after it: {} {}",
                one.attempt, one.front, one.status, one.error
            ));
        }
    }
    // Lookups are many; the record has their counts.
    for front in 0..FRONTS {
        let mut counts = std::collections::BTreeMap::new();
        for one in sent
            .iter()
            .filter(|one| !one.is_stream && one.front == front)
        {
            *counts.entry((one.status, one.is_whole)).or_insert(0) += 1;
        }
        record.line(&format!(
            "lookups sent to front-{front}, by status and wholeness: {counts:?}"
        ));
    }
    let whole = sent
        .iter()
        .filter(|one| one.status == 200 && one.is_whole)
        .count();
    record.say(&format!("{} requests sent, {whole} answered whole; {after} taken by a front later than 3 s after its SIGTERM, {lost} of them run and cut; ended of themselves: {ended:?}", sent.len()));
    if whole * 2 < sent.len() {
        return 2;
    }
    i32::from(lost > 0 || !ended.is_empty())
}
