//! Stand-ins of the platform's servers, which behave as the pages say.

use crate::fleet::{Fleet, Instance, Record, ZONES, random};
use crate::http::{Conn, End, Head};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// One run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: f64,
    pub attempt: String,
    pub server: String,
    pub line: String,
    pub body: Vec<u8>,
    pub deadline_ms: u64,
    pub answered: bool,
}

/// What the servers do, which a case may change at any time.
pub struct Behaviour {
    /// Events of a stream and the pause between them.
    pub events: AtomicU64,
    pub gap_ms: AtomicU64,
    /// Time until the first byte of an answer.
    pub work_ms: AtomicU64,
    /// Leaves lookups out of the record, where they are many.
    pub is_brief: AtomicBool,
}

pub struct Servers {
    pub runs: Mutex<Vec<Run>>,
    pub behaviour: Behaviour,
    pub record: Arc<Record>,
    /// Requests in progress by server.
    pub busy: Mutex<BTreeMap<String, u32>>,
    pub peak: AtomicU64,
}

/// The data of the events that a server streams for an attempt.
pub fn event_data(attempt: &str, index: u64) -> String {
    format!("{attempt}-{index}")
}

/// The output of a turn as a later turn's prompt must hold it.
pub fn output(attempt: &str, events: u64) -> String {
    (0..events)
        .map(|index| event_data(attempt, index) + "\n")
        .collect()
}

impl Servers {
    pub fn new(record: &Arc<Record>) -> Arc<Servers> {
        Arc::new(Servers {
            runs: Mutex::default(),
            behaviour: Behaviour {
                events: AtomicU64::new(4),
                gap_ms: AtomicU64::new(5),
                work_ms: AtomicU64::new(5),
                is_brief: AtomicBool::new(false),
            },
            record: record.clone(),
            busy: Mutex::default(),
            peak: AtomicU64::new(0),
        })
    }

    /// Starts a server and lists it.
    pub fn start(
        self: &Arc<Self>,
        fleet: &Fleet,
        host: u8,
        target: &str,
        capacity: u32,
    ) -> SocketAddr {
        let address = fleet.net.at(host, 21);
        let id = format!("i-{:08x}", random() as u32);
        let listener = TcpListener::bind(address).expect("a server's address is taken");
        fleet.platform.instances.lock().unwrap().push(Instance {
            id: id.clone(),
            target: target.into(),
            address,
            zone: ZONES[host as usize % ZONES.len()].into(),
            capacity,
            is_draining: false,
        });
        let servers = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (servers, id) = (servers.clone(), id.clone());
                std::thread::spawn(move || servers.serve(Conn::new(stream), &id, capacity));
            }
        });
        address
    }

    fn serve(&self, mut conn: Conn, id: &str, capacity: u32) {
        while let Ok(Some(head)) = conn.read_head() {
            let (body, end) = conn.read_body(&head, false);
            if end == End::Cut || !self.answer(&mut conn, id, capacity, &head, body) {
                return;
            }
        }
    }

    fn answer(&self, conn: &mut Conn, id: &str, capacity: u32, head: &Head, body: Vec<u8>) -> bool {
        let attempt = head.get("attempt-id").unwrap_or("").to_string();
        let not_run = |conn: &mut Conn, status: &str| {
            let text = format!(
                "HTTP/1.1 {status}\r\nAttempt-Id: {attempt}\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
            );
            conn.write(text.as_bytes()).is_ok()
        };
        if head.target() == "/health" {
            return conn
                .write(
                    format!("HTTP/1.1 200 OK\r\nInstance-Id: {id}\r\nContent-Length: 0\r\n\r\n")
                        .as_bytes(),
                )
                .is_ok();
        }
        if head
            .get("expect-instance")
            .is_some_and(|expected| expected != id)
        {
            return not_run(conn, "421 Misdirected Request");
        }
        if attempt.is_empty() {
            return not_run(conn, "400 Bad Request");
        }
        let is_full = {
            let mut busy = self.busy.lock().unwrap();
            let count = busy.entry(id.into()).or_default();
            if *count >= capacity {
                true
            } else {
                *count += 1;
                self.peak.fetch_max(*count as u64, SeqCst);
                false
            }
        };
        if is_full {
            return not_run(conn, "503 Service Unavailable");
        }
        let index = {
            let mut runs = self.runs.lock().unwrap();
            runs.push(Run {
                at: self.record.now(),
                attempt: attempt.clone(),
                server: id.into(),
                line: head.line.clone(),
                body,
                deadline_ms: head
                    .get("deadline-ms")
                    .and_then(|ms| ms.parse().ok())
                    .unwrap_or(0),
                answered: false,
            });
            runs.len() - 1
        };
        if !head.target().starts_with("/p/") || !self.behaviour.is_brief.load(SeqCst) {
            self.record
                .line(&format!("run {attempt} at {id}: {}", head.line));
        }
        let is_written = self.write_answer(conn, &attempt, head, id, capacity);
        *self.busy.lock().unwrap().get_mut(id).unwrap() -= 1;
        if is_written {
            self.runs.lock().unwrap()[index].answered = true;
        }
        is_written
    }

    fn write_answer(
        &self,
        conn: &mut Conn,
        attempt: &str,
        head: &Head,
        id: &str,
        capacity: u32,
    ) -> bool {
        let seal = format!("seal.{attempt}");
        let load = format!("{},0,{capacity}", self.busy.lock().unwrap()[id]);
        std::thread::sleep(Duration::from_millis(self.behaviour.work_ms.load(SeqCst)));
        let common =
            format!("Attempt-Id: {attempt}\r\nServer-Seal: {seal}\r\nServer-Load: {load}\r\n");
        if !head.target().starts_with("/s/") {
            let body = format!("answer to {attempt}");
            let text = format!(
                "HTTP/1.1 200 OK\r\n{common}Content-Length: {}\r\n\r\n{body}",
                body.len()
            );
            return conn.write(text.as_bytes()).is_ok();
        }
        let start = format!(
            "HTTP/1.1 200 OK\r\n{common}Content-Type: text/event-stream\r\nWeight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        if conn.write(start.as_bytes()).is_err() {
            return false;
        }
        for index in 0..self.behaviour.events.load(SeqCst) {
            if index > 0 {
                std::thread::sleep(Duration::from_millis(self.behaviour.gap_ms.load(SeqCst)));
            }
            let event = format!(
                "id: {}\ndata: {}\n\n",
                index + 1,
                event_data(attempt, index)
            );
            if conn
                .write(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())
                .is_err()
            {
                return false;
            }
        }
        conn.write(b"0\r\n\r\n").is_ok()
    }
}

/// Options of a configuration.
#[derive(Clone)]
pub struct Configuration {
    pub revision: u64,
    pub max_header_bytes: u64,
    pub idle_timeout_ms: u64,
    pub timeout_ms: u64,
    pub retain_s: f64,
    pub max_tries: u32,
    pub tokens_per_event: u64,
    pub extra_routes: u32,
}

impl Configuration {
    pub fn new(revision: u64) -> Configuration {
        Configuration {
            revision,
            max_header_bytes: 16384,
            idle_timeout_ms: 15000,
            timeout_ms: 6000,
            retain_s: 60.0,
            max_tries: 2,
            tokens_per_event: 2,
            extra_routes: 0,
        }
    }

    /// Routes `/s/` (retained streams), `/e/` (effectful) and `/p/` (pure) of the host `a.example`.
    pub fn text(&self) -> String {
        let route = |label: &str, prefix: &str, rest: &str| {
            format!(
                "{{\"label\":\"{label}\",\"hostname\":\"a.example\",\"path-prefix\":\"{prefix}\",\"timeout-ms\":{},\"max-tries\":{},{rest}}}",
                self.timeout_ms, self.max_tries
            )
        };
        let mut routes = vec![
            route(
                "s",
                "/s/",
                &format!(
                    "\"kind\":\"stream\",\"target-ms\":200,\"rank\":1,\"target\":\"llm\",\"retained\":true,\"retain-s\":{:.1},\"pinned\":true,\"resumable\":false,\"gap-target-ms\":400",
                    self.retain_s
                ),
            ),
            route(
                "e",
                "/e/",
                "\"kind\":\"effectful\",\"target-ms\":800,\"rank\":2,\"target\":\"api\"",
            ),
            route(
                "p",
                "/p/",
                "\"kind\":\"pure\",\"target-ms\":250,\"rank\":2,\"target\":\"api\"",
            ),
        ];
        for index in 0..self.extra_routes {
            routes.push(route(
                &format!("x{index}"),
                &format!("/x{index}/"),
                "\"kind\":\"pure\",\"target-ms\":250,\"rank\":2,\"target\":\"api\"",
            ));
        }
        format!(
            "{{\"revision\":{},\"route-list\":[{}],\"service-list\":[{{\"label\":\"llm\",\"health-path\":\"/health\",\"max-conns\":500,\"protocol\":\"h1\",\"tls\":false,\"backend\":{{\"capacity\":96,\"cache-tokens\":256505,\"token-kv-bytes\":131072,\"link-mbps\":550000.0,\"tokens-per-event\":{},\"model-list\":[{{\"label\":\"m\"}}]}}}},{{\"label\":\"api\",\"health-path\":\"/health\",\"max-conns\":110,\"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"max-header-bytes\":{},\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":{}}}}}",
            self.revision,
            routes.join(","),
            self.tokens_per_event,
            self.max_header_bytes,
            self.idle_timeout_ms
        )
    }
}

pub fn attempt_id() -> String {
    format!("{:016x}", random())
}
