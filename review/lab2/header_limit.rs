//! A new configuration allows longer heads; clients with kept connections make use of it.

use crate::fleet::{Fleet, Record};
use crate::http::{Conn, exchange};
use crate::servers::{Configuration, Servers, attempt_id};
use std::sync::Arc;
use std::time::Duration;

const FRONTS: u8 = 2;
const CLIENTS: u64 = 40;
/// Two and a half times `apply-ms`.
const AFTER_ACK: Duration = Duration::from_millis(5000);

pub fn run(record: &Arc<Record>, is_disturbed: bool) -> i32 {
    let fleet = Fleet::new(record, FRONTS, 4, 4);
    let servers = Servers::new(record);
    for host in 120..132 {
        servers.start(&fleet, host, "llm", 96);
    }
    for host in 140..151 {
        servers.start(&fleet, host, "api", 6);
    }
    fleet.start_all();
    let mut config = Configuration::new(1);
    config.max_header_bytes = if is_disturbed { 16384 } else { 32768 };
    if fleet.put_until(0, &config.text(), Duration::from_secs(20)) != 200 {
        return 2;
    }
    if !fleet.wait_ready(FRONTS, Duration::from_secs(10)) {
        return 2;
    }
    std::thread::sleep(Duration::from_secs(3));
    let mut clients = vec![];
    for client in 0..CLIENTS {
        let front = (client % u64::from(FRONTS)) as u8;
        let Ok(conn) = Conn::dial(fleet.front(front), Duration::from_secs(1)) else {
            return 2;
        };
        clients.push((front, conn));
    }
    let ask = |conn: &mut Conn, filler: usize| {
        let headers = [
            ("Host", "a.example".to_string()),
            ("Attempt-Id", attempt_id()),
            ("Deadline-Ms", "1500".into()),
            ("Context", "c".repeat(filler)),
        ];
        exchange(conn, "GET", "/p/1", &headers, b"")
    };
    // Every client uses its connection once.
    for (front, conn) in &mut clients {
        let answer = ask(conn, 100);
        record.line(&format!("short head to front-{front}: {}", answer.status));
        if answer.status != 200 || !answer.is_whole {
            return 2;
        }
    }
    if is_disturbed {
        let mut next = Configuration::new(2);
        next.max_header_bytes = 32768;
        if fleet.put_until(1, &next.text(), Duration::from_secs(5)) != 200 {
            return 2;
        }
        record.line("version 2 is acknowledged: max-header-bytes 32768");
    }
    std::thread::sleep(AFTER_ACK);
    let (mut served, mut denied, mut other) = (0, 0, 0);
    for (front, conn) in &mut clients {
        let answer = ask(conn, 20_000);
        record.line(&format!(
            "head of 20 kB to front-{front} on its kept connection: {} {}",
            answer.status, answer.error
        ));
        match answer.status {
            200 => served += 1,
            400..500 if !matches!(answer.status, 408 | 421 | 429) => denied += 1,
            _ => other += 1,
        }
    }
    let mut fresh = 0;
    for front in 0..FRONTS {
        let Ok(mut conn) = Conn::dial(fleet.front(front), Duration::from_secs(1)) else {
            continue;
        };
        let answer = ask(&mut conn, 20_000);
        record.line(&format!(
            "head of 20 kB to front-{front} on a new connection: {}",
            answer.status
        ));
        fresh += u32::from(answer.status == 200);
    }
    record.say(&format!("on kept connections: {served} served, {denied} refused with a 4xx, {other} otherwise; on new ones {fresh} of {FRONTS} served"));
    // More than 5 + one in 500 of all requests.
    let allowed = 5 + (2 * CLIENTS + u64::from(FRONTS)) / 500;
    i32::from(denied > allowed)
}
