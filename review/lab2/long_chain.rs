//! Programs whose turns carry large inputs run side by side. The machine kills a process that goes over
//! `memory-mb` and starts it again; the case counts these ends.

use crate::fleet::{Fleet, Record, random};
use crate::http::call;
use crate::servers::{Configuration, Servers, attempt_id};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::time::Duration;

const FRONTS: u8 = 2;
/// `limits.memory-mb` of a front, in kB.
const MEMORY_KB: u64 = 260 * 1024;
/// About 11 turns a program.
const TURNS: u64 = 11;

/// Memory in use by a process, in kB.
fn memory_kb(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS"));
    line.and_then(|line| line.split_whitespace().nth(1))
        .and_then(|count| count.parse().ok())
        .unwrap_or(0)
}

pub fn run(record: &Arc<Record>, is_disturbed: bool) -> i32 {
    let setting = |name: &str, default: u64| {
        std::env::var(name)
            .ok()
            .and_then(|text| text.parse().ok())
            .unwrap_or(default)
    };
    let size = setting("SIZE", 3_000_000) as usize;
    let rounds = setting("ROUNDS", 5);
    let usual = setting("USUAL", 1) as u8;
    let per_front = if is_disturbed { 2 * usual } else { usual };
    let fleet = Arc::new(Fleet::new(record, FRONTS, 4, 4));
    let servers = Servers::new(record);
    for host in 120..132 {
        servers.start(&fleet, host, "llm", 96);
    }
    fleet.start_all();
    let mut config = Configuration::new(1);
    config.retain_s = 8.0;
    if fleet.put_until(0, &config.text(), Duration::from_secs(20)) != 200 {
        return 2;
    }
    if !fleet.wait_ready(FRONTS, Duration::from_secs(10)) {
        return 2;
    }
    servers.behaviour.events.store(17, SeqCst);
    servers.behaviour.gap_ms.store(24, SeqCst);
    servers.behaviour.work_ms.store(20, SeqCst);
    let ends: Arc<[AtomicU64; FRONTS as usize]> = Arc::default();
    let peak = Arc::new(AtomicU64::new(0));
    let is_over = Arc::new(AtomicBool::new(false));
    let watch = {
        let (fleet, ends, peak, is_over, servers, record) = (
            fleet.clone(),
            ends.clone(),
            peak.clone(),
            is_over.clone(),
            servers.clone(),
            record.clone(),
        );
        std::thread::spawn(move || {
            while !is_over.load(SeqCst) {
                for (name, pid) in fleet.pids() {
                    let Some(front) = name.strip_prefix("front-") else {
                        continue;
                    };
                    let used = memory_kb(pid);
                    peak.fetch_max(used, SeqCst);
                    if used > MEMORY_KB {
                        ends[front.parse::<usize>().unwrap()].fetch_add(1, SeqCst);
                        record.say(&format!(
                            "{name} uses {used} kB, over {MEMORY_KB} kB: the machine kills it"
                        ));
                        fleet.kill(&name);
                        let (fleet, name) = (fleet.clone(), name.clone());
                        std::thread::spawn(move || {
                            std::thread::sleep(Duration::from_millis(500));
                            fleet.start(&name);
                        });
                    }
                }
                // The bodies aren't needed here.
                for run in servers.runs.lock().unwrap().iter_mut() {
                    run.body = vec![];
                }
                std::thread::sleep(Duration::from_millis(10));
            }
        })
    };
    let whole = Arc::new(AtomicU64::new(0));
    let cut = Arc::new(AtomicU64::new(0));
    for round in 0..rounds {
        let mut threads = vec![];
        for program in 0..per_front * FRONTS {
            let (fleet, record, whole, cut) =
                (fleet.clone(), record.clone(), whole.clone(), cut.clone());
            threads.push(std::thread::spawn(move || {
                let input = vec![b'a' + program; size];
                let (id, mut previous) = (attempt_id(), String::new());
                let mut front = program % FRONTS;
                'turns: for turn in 0..TURNS {
                    // A turn that failed is sent again, no more than twice.
                    for _ in 0..3 {
                        let attempt = attempt_id();
                        let mut headers = vec![
                            ("Host", "a.example".to_string()),
                            ("Attempt-Id", attempt.clone()),
                            ("Deadline-Ms", "6000".into()),
                            ("Program-Id", id.clone()),
                            ("Session-Id", id.clone()),
                            ("Finish-Ms", "60000".into()),
                            ("Token-Budget", "10000".into()),
                            ("Token-Count", "1840,136".into()),
                            ("Model", "m".into()),
                        ];
                        if !previous.is_empty() {
                            headers.push(("Previous-Turn", previous.clone()));
                        }
                        let at = record.now();
                        let mut answer = call(fleet.front(front), "POST", "/s/1", &headers, &input);
                        if answer.error.starts_with("connect") {
                            front = (front + 1) % FRONTS;
                            answer = call(fleet.front(front), "POST", "/s/1", &headers, &input);
                        }
                        record.line(&format!("round {round} program {program} turn {turn} {attempt} to front-{front}: {} {} {} after {:.2} s", answer.status, if answer.is_whole { "whole" } else { "cut" }, answer.error, record.now() - at));
                        if answer.status == 200 && answer.is_whole {
                            whole.fetch_add(1, SeqCst);
                            previous = attempt;
                            std::thread::sleep(Duration::from_millis(200));
                            continue 'turns;
                        }
                        cut.fetch_add(u64::from(answer.status == 0 || !answer.is_whole), SeqCst);
                        std::thread::sleep(Duration::from_millis(100 + random() % 300));
                    }
                    return;
                }
            }));
        }
        for thread in threads {
            let _ = thread.join();
        }
        if round + 1 < rounds {
            std::thread::sleep(Duration::from_secs(8));
        }
    }
    is_over.store(true, SeqCst);
    let _ = watch.join();
    let ends: Vec<u64> = ends.iter().map(|count| count.load(SeqCst)).collect();
    record.say(&format!(
        "{} turns answered whole, {} cut; peak {} kB; ends for memory by front: {ends:?}",
        whole.load(SeqCst),
        cut.load(SeqCst),
        peak.load(SeqCst)
    ));
    for name in fleet.ended() {
        record.say(&format!("ended of itself: {name}"));
    }
    i32::from(ends.iter().filter(|count| **count >= 3).count() >= 2)
}
