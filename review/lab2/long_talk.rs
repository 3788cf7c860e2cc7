//! One program goes on, turn by turn, with large inputs, on idle servers and undisturbed machines.

use crate::fleet::{Fleet, Record, random};
use crate::http::call;
use crate::servers::{Configuration, Servers, attempt_id};
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use std::time::Duration;

const FRONTS: u8 = 2;
const TURNS: u64 = 18;
/// A turn is sent three times, each with one further try.
const TRIES: u64 = 6;
/// Three times what the turns take on idle servers.
const AIM: f64 = 27.0;

pub fn run(record: &Arc<Record>, is_disturbed: bool) -> i32 {
    let size = if is_disturbed { 4_000_000 } else { 1_000_000 };
    let fleet = Fleet::new(record, FRONTS, 4, 4);
    let servers = Servers::new(record);
    for host in 120..132 {
        servers.start(&fleet, host, "llm", 96);
    }
    fleet.start_all();
    if fleet.put_until(0, &Configuration::new(1).text(), Duration::from_secs(20)) != 200 {
        return 2;
    }
    if !fleet.wait_ready(FRONTS, Duration::from_secs(10)) {
        return 2;
    }
    servers.behaviour.events.store(17, SeqCst);
    servers.behaviour.gap_ms.store(24, SeqCst);
    servers.behaviour.work_ms.store(20, SeqCst);
    std::thread::sleep(Duration::from_secs(3));
    let send = |front: u8, program: &str, previous: &str, input: &[u8]| {
        let attempt = attempt_id();
        let mut headers = vec![
            ("Host", "a.example".to_string()),
            ("Attempt-Id", attempt.clone()),
            ("Deadline-Ms", "6000".into()),
            ("Program-Id", program.to_string()),
            ("Session-Id", program.to_string()),
            ("Finish-Ms", "27000".into()),
            ("Token-Budget", "10000".into()),
            ("Token-Count", "1840,136".into()),
            ("Model", "m".into()),
        ];
        if !previous.is_empty() {
            headers.push(("Previous-Turn", previous.to_string()));
        }
        let at = record.now();
        let answer = call(fleet.front(front), "POST", "/s/1", &headers, input);
        let has_run = {
            let mut runs = servers.runs.lock().unwrap();
            for run in runs.iter_mut() {
                run.body = vec![];
            }
            runs.iter().any(|run| run.attempt == attempt)
        };
        record.line(&format!(
            "turn {attempt} after {previous:?} to front-{front}: {} {} {}, {}, {:.2} s",
            answer.status,
            if answer.is_whole { "whole" } else { "cut" },
            answer.error,
            if has_run { "run" } else { "not run" },
            record.now() - at
        ));
        (attempt, answer, has_run)
    };
    let input = vec![b'i'; size];
    let program = attempt_id();
    let mut previous = String::new();
    let started = record.now();
    for turn in 0..TURNS {
        let (mut tries, mut first_turns, mut first_run, mut reached) = (0, 0, 0, false);
        let mut statuses = vec![];
        while tries < TRIES {
            let (attempt, answer, has_run) = send(
                (tries % u64::from(FRONTS)) as u8,
                &program,
                &previous,
                &input,
            );
            tries += 1;
            reached |= has_run;
            statuses.push(answer.status);
            if answer.status == 200 && answer.is_whole {
                previous = attempt;
                break;
            }
            // First turns of other programs go on meanwhile.
            for front in 0..FRONTS {
                let (_, _, has_run) = send(front, &attempt_id(), "", b"question");
                first_turns += 1;
                first_run += u64::from(has_run);
            }
            std::thread::sleep(Duration::from_millis(100 + random() % 300));
        }
        let elapsed = record.now() - started;
        if !reached && tries >= 5 && elapsed < AIM && first_run * 10 >= first_turns * 9 {
            record.say(&format!(
                "LOST: turn {turn} of the program, {} bytes before it, reached no server in {tries} tries ({statuses:?}) up to {elapsed:.1} s; {first_run} of {first_turns} first turns ran meanwhile",
                turn as usize * size
            ));
            return 1;
        }
        if statuses.last() != Some(&200) {
            record.say(&format!("turn {turn} ended with {statuses:?}"));
            return 2;
        }
    }
    record.say(&format!(
        "all {TURNS} turns of {size} bytes answered whole in {:.1} s",
        record.now() - started
    ));
    0
}
