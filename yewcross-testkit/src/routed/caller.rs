//! Callers that follow the retry rules: every attempt has an id of its own, only requests that may
//! be repeated are repeated, and programs alternate between turns and calls. Every attempt is
//! recorded with what was received.

use bytes::Bytes;
use futures_lite::FutureExt;
use http::{HeaderMap, Method, Request};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{SendRequest, handshake};
use smol_hyper::rt::FuturesIo;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use yewcross_common::configuration::route::Mode;
use yewcross_common::constants::*;
use yewcross_common::runtime::*;

use super::test_adapter::header_text;

/// The properties of a route that callers depend on.
#[derive(Clone, Debug)]
pub struct RouteSpec {
    pub name: String,
    pub mode: Mode,
    /// Whether the tier stores the route's turns, so that later turns can continue them.
    pub retained: bool,
    /// Time in ms for which a completed turn is stored.
    pub retain_ms: u64,
    /// Time in ms after which a request fails.
    pub deadline_ms: u64,
}

/// The `Host` header of every request.
pub const HOST: &str = "tier.example";

/// One attempt at a request, and its result.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Time in us at which the attempt was sent.
    pub sent_at: u64,
    /// Time in us at which the last bytes were received or the attempt ended.
    pub ended_at: u64,
    pub id: String,
    pub route: RouteSpec,
    /// Name of the front that the attempt was sent to; empty if no connection could be opened.
    pub front: String,
    pub method: String,
    pub target: String,
    /// Body of the request.
    pub input: Vec<u8>,
    /// Name of the program that the request belongs to; empty if it belongs to none.
    pub program: String,
    /// Number of output tokens that the program may use; 0 if it is not limited.
    pub budget: u64,
    /// Limit on the output of this request in tokens.
    pub max_tokens: u64,
    /// Id of the attempt whose turn this one continues; empty if there is none.
    pub previous_turn: String,
    /// Status of the response; 0 if no response head was received.
    pub status: u16,
    /// Headers of the response.
    pub headers: HeaderMap,
    /// The part of the response body that was received.
    pub received: Vec<u8>,
    /// Whether the response body was received to its end.
    pub complete: bool,
    /// Whether the caller abandoned the attempt after its deadline.
    pub timed_out: bool,
}

impl Attempt {
    /// Whether the response is complete and has a 2xx status.
    pub fn is_success(&self) -> bool {
        self.complete && (200..300).contains(&self.status)
    }
    /// Whether the status guarantees that the request was not executed and never will be.
    pub fn is_rejected_unexecuted(&self) -> bool {
        matches!(self.status, 402 | 408 | 421 | 429 | 503)
    }
    /// The data of the events that were received completely, each followed by a line feed.
    pub fn event_data(&self) -> Vec<u8> {
        let received = String::from_utf8_lossy(&self.received);
        let count = received.matches("\n\n").count();
        received
            .split("\n\n")
            .take(count)
            .filter_map(|event| event.lines().find_map(|line| line.strip_prefix("data: ")))
            .map(|data| format!("{data}\n"))
            .collect::<String>()
            .into()
    }
    /// Number of events that were received completely.
    pub fn event_count(&self) -> u64 {
        String::from_utf8_lossy(&self.received)
            .matches("\n\n")
            .count() as u64
    }
}

/// What all callers of a tier recorded.
#[derive(Default)]
pub struct CallerRecords {
    pub attempts: Mutex<Vec<Attempt>>,
    /// Set when the callers should stop.
    pub stop: AtomicBool,
    next_id: AtomicUsize,
    pub programs_started: AtomicU64,
    pub programs_completed: AtomicU64,
}

/// Returns the names and addresses of the fronts that callers may use. The platform's load balancer
/// has no further information.
pub type Fronts = Arc<dyn Fn() -> Vec<(String, SocketAddr)> + Send + Sync>;

/// A client with at most one open connection.
pub struct Caller {
    pub runtime: Runtime,
    pub records: Arc<CallerRecords>,
    pub fronts: Fronts,
    /// An idle connection and the name of the front that it leads to.
    connection: Option<(String, SendRequest<Full<Bytes>>)>,
}

/// A request before its attempts have ids.
#[derive(Clone)]
pub struct RequestSpec {
    pub route: RouteSpec,
    pub method: Method,
    /// Body of the request.
    pub input: Vec<u8>,
    /// Name of the program that the request belongs to; empty if it belongs to none.
    pub program: String,
    /// Number of output tokens that the program may use; 0 if it is not limited.
    pub budget: u64,
    /// Limit on the output of this request in tokens.
    pub max_tokens: u64,
    /// Id of the attempt whose turn this one continues; empty if there is none.
    pub previous_turn: String,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u64,
}

impl Caller {
    pub fn new(runtime: &Runtime, records: &Arc<CallerRecords>, fronts: &Fronts) -> Caller {
        Caller {
            runtime: runtime.clone(),
            records: records.clone(),
            fronts: fronts.clone(),
            connection: None,
        }
    }

    /// Opens a connection to a random front; returns it with the front's name.
    async fn connect(&mut self) -> Option<(String, SendRequest<Full<Bytes>>)> {
        let fronts = (self.fronts)();
        let (name, addr) = fronts.get(self.runtime.random_index(fronts.len()))?.clone();
        let stream = self.runtime.connect_within(addr, SEC).await.ok()?;
        let (sender, connection) = handshake(FuturesIo::new(stream)).await.ok()?;
        self.runtime.spawn(async move {
            let _ = connection.await;
        });
        Some((name, sender))
    }

    /// Makes one attempt. Reuses the idle connection in three of four cases.
    pub async fn send_attempt(&mut self, spec: &RequestSpec) -> Attempt {
        let reused = self.connection.take().filter(|connection| {
            connection.1.is_ready() && !self.runtime.random().is_multiple_of(4)
        });
        let opened = match reused {
            Some(connection) => Some(connection),
            None => self.connect().await,
        };
        let id = format!("t{:x}", self.records.next_id.fetch_add(1, SeqCst));
        let target = format!(
            "/{}/{:x}?q={:x}",
            spec.route.name,
            self.runtime.random() % 4096,
            self.runtime.random() % 256
        );
        let sent_at = self.runtime.now();
        let front = opened
            .as_ref()
            .map(|connection| connection.0.clone())
            .unwrap_or_default();
        let mut attempt = Attempt {
            sent_at,
            ended_at: sent_at,
            id: id.clone(),
            route: spec.route.clone(),
            front,
            method: spec.method.to_string(),
            target: target.clone(),
            input: spec.input.clone(),
            program: spec.program.clone(),
            budget: spec.budget,
            max_tokens: spec.max_tokens,
            previous_turn: spec.previous_turn.clone(),
            status: 0,
            headers: HeaderMap::new(),
            received: vec![],
            complete: false,
            timed_out: false,
        };
        let mut request = Request::builder()
            .method(spec.method.clone())
            .uri(&target)
            .header("host", HOST)
            .header("try", &id);
        request = request.header("patience", spec.route.deadline_ms);
        if spec.route.mode == Mode::Stream {
            request = request
                .header("tokens", spec.prompt_tokens)
                .header("most", spec.max_tokens);
        }
        if !spec.program.is_empty() {
            request = request
                .header("program", &spec.program)
                .header("session", &spec.program);
        }
        if spec.budget > 0 && spec.route.mode == Mode::Stream {
            request = request.header("budget", spec.budget);
        }
        if !spec.previous_turn.is_empty() {
            request = request.header("after", &spec.previous_turn);
        }
        let request = request.body(Full::new(Bytes::from(spec.input.clone())));
        let (Some((name, mut sender)), Ok(request)) = (opened, request) else {
            self.runtime.sleep(20 * MS).await;
            attempt.ended_at = self.runtime.now();
            self.records.attempts.lock().unwrap().push(attempt.clone());
            return attempt;
        };
        // Servers may execute the attempt before it ends, so it is recorded before it is sent.
        let index = {
            let mut attempts = self.records.attempts.lock().unwrap();
            attempts.push(attempt.clone());
            attempts.len() - 1
        };
        let deadline = sent_at + spec.route.deadline_ms * MS;
        let timeout = async {
            self.runtime
                .sleep(deadline.saturating_sub(self.runtime.now()) + 50 * MS)
                .await;
            false
        };
        let (runtime, records) = (self.runtime.clone(), self.records.clone());
        let progress = Mutex::new(attempt.clone());
        let exchange = async {
            let Ok(response) = sender.send_request(request).await else {
                return true;
            };
            let (head, mut body) = response.into_parts();
            {
                let mut progress = progress.lock().unwrap();
                (progress.status, progress.headers) = (head.status.as_u16(), head.headers);
            }
            loop {
                match body.frame().await {
                    Some(Ok(frame)) => {
                        let data = frame.into_data().unwrap_or_default();
                        let mut progress = progress.lock().unwrap();
                        progress.received.extend_from_slice(&data);
                        progress.ended_at = runtime.now();
                        records.attempts.lock().unwrap()[index] = progress.clone();
                    }
                    Some(Err(_)) => return true,
                    None => {
                        progress.lock().unwrap().complete = true;
                        return true;
                    }
                }
            }
        };
        let ended_in_time = exchange.or(timeout).await;
        attempt = progress
            .into_inner()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        attempt.timed_out = !ended_in_time;
        attempt.ended_at = self.runtime.now();
        if attempt.complete && header_text(&attempt.headers, "connection") != "close" {
            self.connection = Some((name, sender));
        }
        self.records.attempts.lock().unwrap()[index] = attempt.clone();
        attempt
    }

    /// Sends a request and repeats it where the rules allow: at most 4 attempts, within the route's
    /// deadline. Returns the last attempt.
    pub async fn send_with_retries(&mut self, spec: &RequestSpec) -> Attempt {
        let deadline = self.runtime.now() + spec.route.deadline_ms * MS;
        let mut count = 0;
        loop {
            let attempt = self.send_attempt(spec).await;
            count += 1;
            let may_retry = match attempt.status {
                200..300 if attempt.complete => false,
                400 | 401 | 402 | 404 | 413 | 431 => false,
                _ if spec.route.mode == Mode::Pure => true,
                _ => attempt.is_rejected_unexecuted() || attempt.front.is_empty(),
            };
            if !may_retry || count >= 4 || self.runtime.now() >= deadline {
                return attempt;
            }
            let retry_after = header_text(&attempt.headers, "back-ms")
                .parse::<u64>()
                .unwrap_or(0)
                * MS;
            self.connection = None;
            self.runtime
                .sleep(retry_after.min(deadline.saturating_sub(self.runtime.now()) / 3) + 10 * MS)
                .await;
        }
    }
}

/// Sends requests of random routes one after another until the callers are stopped. The average
/// pause between them is `pause` us.
pub async fn run_plain_requests(mut caller: Caller, routes: Vec<RouteSpec>, pause: u64) {
    while !caller.records.stop.load(SeqCst) {
        let route = routes[caller.runtime.random_index(routes.len())].clone();
        let size = if caller.runtime.random().is_multiple_of(3) {
            caller.runtime.random() % 5000
        } else {
            0
        };
        let input: Vec<u8> = (0..size).map(|i| (i % 251) as u8).collect();
        let method = if size > 0 { Method::POST } else { Method::GET };
        let spec = RequestSpec {
            route,
            method,
            input,
            program: String::new(),
            budget: 0,
            max_tokens: 40,
            previous_turn: String::new(),
            prompt_tokens: 10,
        };
        caller.send_with_retries(&spec).await;
        let jitter = caller.runtime.random() % (pause + 1);
        caller.runtime.sleep(pause / 2 + jitter).await;
    }
}

/// Runs programs one after another until the callers are stopped. A program is a sequence of turns,
/// each of which sends only its new input, with calls between the turns. One turn in five has a
/// second continuation.
pub async fn run_programs(
    mut caller: Caller,
    turn_route: RouteSpec,
    call_routes: Vec<RouteSpec>,
    pause: u64,
) {
    while !caller.records.stop.load(SeqCst) {
        let number = caller.records.next_id.fetch_add(1, SeqCst);
        caller.records.programs_started.fetch_add(1, SeqCst);
        let program = format!("p{number:x}");
        let turns = 2 + caller.runtime.random() % 6;
        let max_tokens = 16 + 2 * (caller.runtime.random() % 20);
        // A third of the programs have a budget that does not suffice for all their turns.
        let budget = if caller.runtime.random().is_multiple_of(3) {
            max_tokens * turns / 3
        } else {
            max_tokens * (turns + 2)
        };
        let (mut previous_turn, mut prompt_tokens, mut completed) = (String::new(), 0, true);
        for turn in 0..turns {
            let size = 1 + caller.runtime.random() % 2000;
            let input: Vec<u8> = format!("{program} turn {turn} ")
                .bytes()
                .chain((0..size).map(|i| b'a' + (i % 26) as u8))
                .collect();
            prompt_tokens += size / 4;
            let spec = RequestSpec {
                route: turn_route.clone(),
                method: Method::POST,
                input,
                program: program.clone(),
                budget,
                max_tokens,
                previous_turn: previous_turn.clone(),
                prompt_tokens,
            };
            let mut attempt = caller.send_with_retries(&spec).await;
            for _ in 0..2 {
                if attempt.is_success() || matches!(attempt.status, 400 | 402 | 404 | 413) {
                    break;
                }
                let jitter_ms = caller.runtime.random() % 300;
                caller.runtime.sleep((100 + jitter_ms) * MS).await;
                attempt = caller.send_with_retries(&spec).await;
            }
            if !attempt.is_success() {
                completed = attempt.status == 402;
                break;
            }
            // A second continuation of this turn, which is itself not continued.
            if caller.runtime.random().is_multiple_of(5) {
                caller
                    .send_with_retries(&RequestSpec {
                        previous_turn: attempt.id.clone(),
                        input: b"aside".to_vec(),
                        ..spec.clone()
                    })
                    .await;
            }
            previous_turn = attempt.id.clone();
            for _ in 0..caller.runtime.random() % 3 {
                let route = call_routes[caller.runtime.random_index(call_routes.len())].clone();
                let call = RequestSpec {
                    route,
                    method: Method::POST,
                    input: b"call".to_vec(),
                    previous_turn: String::new(),
                    ..spec.clone()
                };
                caller.send_with_retries(&call).await;
            }
            let delay = caller.runtime.random() % (pause + 1);
            caller.runtime.sleep(delay).await;
            if caller.records.stop.load(SeqCst) {
                return;
            }
        }
        if completed {
            caller.records.programs_completed.fetch_add(1, SeqCst);
        }
    }
}
