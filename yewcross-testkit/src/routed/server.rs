//! Simulated servers with injectable faults, and the platform's server list.
//!
//! A server may execute a request and lose the response, state that it did not execute it, send
//! bytes that belong to no request, break off, slow down or end, and its address may pass to another
//! server. Every execution is recorded when it starts.

use super::test_adapter::Page;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use yewcross_common::buffered_http::{self, BufferedRequest, ConnectionTracker};
use yewcross_common::constants::*;
use yewcross_common::notify::Notifier;
use yewcross_common::protocol::ListedServer;
use yewcross_common::runtime::*;

#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    strum::EnumString,
    strum::Display,
    strum::EnumIter,
)]
#[strum(serialize_all = "snake_case")]
pub enum Fault {
    /// Executes the request and closes the connection without a response.
    #[strum(serialize = "lose")]
    LoseAnswer,
    /// Closes the connection without executing the request.
    Reset,
    /// States that it did not execute the request.
    #[strum(serialize = "not_run")]
    NotExecuted,
    /// Executes the request and sends nothing for 10 s.
    #[strum(serialize = "silent")]
    Hang,
    /// Executes the request and truncates the response.
    #[strum(serialize = "half")]
    TruncateAnswer,
    /// Executes the request and responds with status 500 and no `stamp` header, as an intermediary
    /// would.
    #[strum(serialize = "fails")]
    UnstampedError,
    /// Executes the request and responds with status 200 and no `stamp` header.
    #[strum(serialize = "no_stamp")]
    MissingStamp,
    /// Executes the request and responds under another attempt's id.
    #[strum(serialize = "other_try")]
    WrongAttempt,
    /// Executes the request and sends bytes that are not an HTTP response.
    #[strum(serialize = "garble")]
    MalformedAnswer,
    /// Sends an unrequested response immediately after the correct one.
    #[strum(serialize = "surplus")]
    TrailingBytes,
    /// Sends an unrequested response 20 ms after the correct one.
    #[strum(serialize = "late")]
    LateExtraAnswer,
    /// Closes the connection 30 ms after the correct response.
    #[strum(serialize = "then_close")]
    CloseAfterAnswer,
    /// Breaks off a stream of events.
    #[strum(serialize = "break")]
    BreakStream,
    /// Takes five times as long.
    Slow,
    /// Pauses a stream of events for 1 s.
    #[strum(serialize = "pause")]
    PauseStream,
}

/// Faults, each with the number of requests per thousand that it affects.
pub type FaultRates = Vec<(Fault, u64)>;

/// The properties of a server process.
#[derive(Clone, Debug)]
pub struct ServerSpec {
    /// Id of this process; a restarted server has another id.
    pub id: String,
    pub service: String,
    pub addr: SocketAddr,
    pub site: String,
    /// Number of requests that are executed concurrently.
    pub slots: usize,
    /// Number of requests that may wait for a slot.
    pub queue_limit: usize,
    pub max_connections: usize,
    /// Average time in us from the start of an execution to the first byte of the response.
    pub service_time: u64,
    /// Time in us between two events of a stream.
    pub event_interval: u64,
}

/// A request whose execution a server started.
#[derive(Clone, Debug)]
pub struct Execution {
    /// Time in us.
    pub started_at: u64,
    /// Id of the server process.
    pub server: String,
    pub service: String,
    /// Id of the attempt.
    pub attempt: String,
    pub method: String,
    pub target: String,
    /// Body of the request.
    pub body: Vec<u8>,
    /// Body of the complete response.
    pub answer_body: Vec<u8>,
    /// Status of the complete response.
    pub status: u16,
    /// Whether the server was already marked as leaving.
    pub leaving: bool,
}

/// What all servers of a tier recorded.
#[derive(Default)]
pub struct ServerRecords {
    pub executions: Mutex<Vec<Execution>>,
    /// Requests that arrived at a server and were not answered with 421: the time in us, the
    /// server's id and the attempt's id.
    pub arrivals: Mutex<Vec<(u64, String, String)>>,
    /// Number of connections that were accepted.
    pub connections: AtomicU64,
    /// How often each fault was injected.
    pub fault_counts: Mutex<BTreeMap<Fault, u64>>,
    /// Requests that violate the protocol between the tier and its servers.
    pub protocol_errors: Mutex<Vec<String>>,
}

/// A running server.
pub struct Server {
    pub spec: ServerSpec,
    pub fault_rates: Mutex<FaultRates>,
    /// Whether the server is about to be removed: it closes connections after each response.
    pub leaving: AtomicBool,
    runtime: Runtime,
    records: Arc<ServerRecords>,
    /// Number of occupied slots.
    active: AtomicUsize,
    /// Number of requests that wait for a slot.
    waiting: AtomicUsize,
    /// Number of open connections.
    connections: AtomicUsize,
    slot_freed: Notifier,
}

struct RequestHead {
    method: String,
    target: String,
    headers: BTreeMap<String, String>,
}

/// Reads one request head. Returns `None` if the peer closed the connection, and an error if the
/// head is malformed or repeats a header.
async fn read_head(
    connection: &mut Connection,
    buffer: &mut Vec<u8>,
) -> Result<Option<RequestHead>, String> {
    loop {
        let mut headers = [httparse::EMPTY_HEADER; 64];
        let mut request = httparse::Request::new(&mut headers);
        match request.parse(buffer).map_err(|error| error.to_string())? {
            httparse::Status::Complete(length) => {
                let text = |value: &[u8]| String::from_utf8_lossy(value).into_owned();
                let mut names = BTreeSet::new();
                if let Some(header) = request
                    .headers
                    .iter()
                    .find(|header| !names.insert(header.name.to_ascii_lowercase()))
                {
                    return Err(format!("duplicate request header {}", header.name));
                }
                let head = RequestHead {
                    method: request.method.unwrap_or_default().into(),
                    target: request.path.unwrap_or_default().into(),
                    headers: request
                        .headers
                        .iter()
                        .map(|header| (header.name.to_ascii_lowercase(), text(header.value)))
                        .collect(),
                };
                buffer.drain(..length);
                return Ok(Some(head));
            }
            httparse::Status::Partial => {
                let mut bytes = [0; 4096];
                match connection.read(&mut bytes).await {
                    Ok(count) if count > 0 => buffer.extend_from_slice(&bytes[..count]),
                    _ => return Ok(None),
                }
            }
        }
    }
}

/// Reads `length` bytes; `None` if the connection ends before.
async fn read_body(
    connection: &mut Connection,
    buffer: &mut Vec<u8>,
    length: usize,
) -> Option<Vec<u8>> {
    while buffer.len() < length {
        let mut bytes = [0; 4096];
        let count = connection
            .read(&mut bytes)
            .await
            .ok()
            .filter(|count| *count > 0)?;
        buffer.extend_from_slice(&bytes[..count]);
    }
    Some(buffer.drain(..length).collect())
}

/// Encodes one chunk of a chunked body.
fn chunk(data: &[u8]) -> Vec<u8> {
    [format!("{:x}\r\n", data.len()).as_bytes(), data, b"\r\n"].concat()
}

/// An occupied slot, which is freed when this is dropped.
struct SlotGuard<'a>(&'a Server);

impl Drop for SlotGuard<'_> {
    fn drop(&mut self) {
        self.0.active.fetch_sub(1, SeqCst);
        self.0.slot_freed.notify();
    }
}

impl Server {
    /// Starts a server that listens at the address of `spec`.
    pub async fn start(
        runtime: &Runtime,
        spec: ServerSpec,
        records: Arc<ServerRecords>,
        fault_rates: FaultRates,
    ) -> io::Result<Arc<Server>> {
        let listener = runtime.bind(spec.addr).await?;
        let server = Arc::new(Server {
            spec,
            fault_rates: Mutex::new(fault_rates),
            leaving: AtomicBool::new(false),
            runtime: runtime.clone(),
            records,
            active: AtomicUsize::new(0),
            waiting: AtomicUsize::new(0),
            connections: AtomicUsize::new(0),
            slot_freed: Notifier::default(),
        });
        let acceptor = server.clone();
        runtime.spawn(async move {
            while let Ok(connection) = listener.accept().await {
                acceptor.records.connections.fetch_add(1, SeqCst);
                if acceptor.connections.fetch_add(1, SeqCst) >= acceptor.spec.max_connections {
                    acceptor.connections.fetch_sub(1, SeqCst);
                    continue;
                }
                let server = acceptor.clone();
                acceptor.runtime.spawn(async move {
                    server.serve_connection(connection).await;
                    server.connections.fetch_sub(1, SeqCst);
                });
            }
        });
        Ok(server)
    }

    /// The server's entry in the platform's list.
    pub fn listed(&self) -> ListedServer {
        let spec = &self.spec;
        ListedServer {
            server: spec.id.clone(),
            service: spec.service.clone(),
            addr: spec.addr,
            site: spec.site.clone(),
            leaving: self.leaving.load(SeqCst),
        }
    }

    /// Draws the fault of one request, if any, according to the fault rates.
    fn draw_fault(&self) -> Option<Fault> {
        let mut number = self.runtime.random() % 1000;
        let rates = self.fault_rates.lock().unwrap();
        rates.iter().find_map(|(fault, rate)| {
            let is_drawn = number < *rate;
            number = number.saturating_sub(*rate);
            is_drawn.then_some(*fault)
        })
    }

    /// Occupies a slot, for which it waits at most 500 ms. Returns `None` if none is freed in that
    /// time or the queue is full.
    async fn acquire_slot(&self) -> Option<SlotGuard<'_>> {
        if self.active.load(SeqCst) >= self.spec.slots {
            if self.waiting.load(SeqCst) >= self.spec.queue_limit {
                return None;
            }
            self.waiting.fetch_add(1, SeqCst);
            let freed = self
                .runtime
                .timeout(
                    500 * MS,
                    self.slot_freed
                        .wait_until(|| self.active.load(SeqCst) < self.spec.slots),
                )
                .await;
            self.waiting.fetch_sub(1, SeqCst);
            freed?;
        }
        self.active.fetch_add(1, SeqCst);
        Some(SlotGuard(self))
    }

    /// Serves the requests of one connection until it ends, is idle for 20 s, or violates the
    /// protocol.
    async fn serve_connection(self: &Arc<Self>, mut connection: Connection) {
        let mut buffer = vec![];
        loop {
            let head = match self
                .runtime
                .timeout(20 * SEC, read_head(&mut connection, &mut buffer))
                .await
            {
                Some(Ok(Some(head))) => head,
                Some(Err(error)) => {
                    return self
                        .records
                        .protocol_errors
                        .lock()
                        .unwrap()
                        .push(format!("{}: {error}", self.spec.id));
                }
                _ => return,
            };
            if head.headers.contains_key("transfer-encoding") {
                return self
                    .records
                    .protocol_errors
                    .lock()
                    .unwrap()
                    .push(format!("{}: request with transfer-encoding", self.spec.id));
            }
            let length = head
                .headers
                .get("content-length")
                .and_then(|value| value.parse().ok())
                .unwrap_or(0);
            let Some(body) = read_body(&mut connection, &mut buffer, length).await else {
                return;
            };
            if self
                .serve_request(&mut connection, head, body)
                .await
                .is_none()
            {
                let _ = connection.close().await;
                return;
            }
        }
    }

    /// Executes one request and sends the response. Returns `None` if the connection must be closed.
    async fn serve_request(
        self: &Arc<Self>,
        connection: &mut Connection,
        head: RequestHead,
        body: Vec<u8>,
    ) -> Option<()> {
        let header = |name: &str| head.headers.get(name).cloned().unwrap_or_default();
        let attempt = header("try");
        let load = format!(
            "{},{},{}",
            self.active.load(SeqCst),
            self.waiting.load(SeqCst),
            self.spec.slots
        );
        let close_header = if self.leaving.load(SeqCst) {
            "connection: close\r\n"
        } else {
            ""
        };
        let encode_response = |status: u16, id: &str, extra_headers: &str, body: &[u8]| {
            let head = format!(
                "HTTP/1.1 {status} X\r\ntry: {id}\r\nload: {load}\r\n{close_header}{extra_headers}content-length: {}\r\n\r\n",
                body.len()
            );
            [head.as_bytes(), body].concat()
        };
        if head
            .headers
            .get("for")
            .is_some_and(|server| *server != self.spec.id)
        {
            return connection
                .write_all(&encode_response(421, &attempt, "unrun: 1\r\n", b""))
                .await
                .ok();
        }
        self.records.arrivals.lock().unwrap().push((
            self.runtime.now(),
            self.spec.id.clone(),
            attempt.clone(),
        ));
        let fault = self.draw_fault();
        fault.iter().for_each(|fault| {
            *self
                .records
                .fault_counts
                .lock()
                .unwrap()
                .entry(*fault)
                .or_default() += 1
        });
        match fault {
            Some(Fault::Reset) => return None,
            Some(Fault::NotExecuted) => {
                return connection
                    .write_all(&encode_response(503, &attempt, "unrun: 1\r\n", b""))
                    .await
                    .ok();
            }
            _ => {}
        }
        let Some(_slot) = self.acquire_slot().await else {
            return connection
                .write_all(&encode_response(503, &attempt, "unrun: 1\r\n", b"full"))
                .await
                .ok();
        };
        let max_tokens: u64 = header("most").parse().unwrap_or(0);
        let is_stream = max_tokens > 0;
        let (index, events) = {
            let mut executions = self.records.executions.lock().unwrap();
            let index = executions.len();
            let event_count = if is_stream {
                1 + self.runtime.random() % (max_tokens / super::TOKENS_PER_EVENT).max(1)
            } else {
                0
            };
            let events: Vec<String> = (0..event_count).map(|i| format!("{attempt}.{i}")).collect();
            // One plain request in 40 gets a 404 from the server itself.
            let is_not_found = self.runtime.random().is_multiple_of(40);
            let answer_body = match (is_stream, is_not_found) {
                (true, _) => events
                    .iter()
                    .enumerate()
                    .map(|(i, data)| encode_event(i, data))
                    .collect::<String>()
                    .into_bytes(),
                (_, true) => format!("none of that for {attempt}").into_bytes(),
                _ => format!(
                    "run {index} of {attempt}: {}",
                    "z".repeat((self.runtime.random() % 6000) as usize)
                )
                .into_bytes(),
            };
            executions.push(Execution {
                started_at: self.runtime.now(),
                server: self.spec.id.clone(),
                service: self.spec.service.clone(),
                attempt: attempt.clone(),
                method: head.method,
                target: head.target,
                body,
                answer_body,
                status: if is_not_found && !is_stream { 404 } else { 200 },
                leaving: self.leaving.load(SeqCst),
            });
            (index, events)
        };
        let (status, answer_body) = {
            let executions = self.records.executions.lock().unwrap();
            (
                executions[index].status,
                executions[index].answer_body.clone(),
            )
        };
        let slowdown = if fault == Some(Fault::Slow) { 5 } else { 1 };
        self.runtime
            .sleep(
                slowdown
                    * (self.spec.service_time / 2
                        + self.runtime.random() % (self.spec.service_time + 1)),
            )
            .await;
        let stamp = format!("stamp: r{index}\r\n");
        if is_stream
            && !matches!(
                fault,
                Some(
                    Fault::LoseAnswer
                        | Fault::Hang
                        | Fault::UnstampedError
                        | Fault::MalformedAnswer
                        | Fault::WrongAttempt
                        | Fault::MissingStamp
                )
            )
        {
            return self
                .write_events(
                    connection,
                    fault,
                    &attempt,
                    &stamp,
                    close_header,
                    slowdown,
                    &events,
                )
                .await;
        }
        let correct = encode_response(status, &attempt, &stamp, &answer_body);
        let response = match fault {
            Some(Fault::LoseAnswer) => return None,
            Some(Fault::Hang) => {
                self.runtime.sleep(10 * SEC).await;
                return None;
            }
            Some(Fault::TruncateAnswer) => {
                connection
                    .write_all(&correct[..correct.len() - 1 - answer_body.len() / 2])
                    .await
                    .ok()?;
                return None;
            }
            Some(Fault::UnstampedError) => encode_response(500, &attempt, "", b"mine"),
            Some(Fault::MissingStamp) => encode_response(200, &attempt, "", &answer_body),
            Some(Fault::WrongAttempt) => encode_response(200, "nobody", &stamp, &answer_body),
            Some(Fault::MalformedAnswer) => {
                connection
                    .write_all(b"\x00\x01no answer at all\r\n\r\n")
                    .await
                    .ok()?;
                return None;
            }
            _ => correct,
        };
        connection.write_all(&response).await.ok()?;
        self.finish_answer(connection, fault).await
    }

    /// Injects the faults that follow a complete response. Returns `None` if the connection must be
    /// closed.
    async fn finish_answer(&self, connection: &mut Connection, fault: Option<Fault>) -> Option<()> {
        match fault {
            Some(Fault::TrailingBytes) => connection
                .write_all(
                    b"HTTP/1.1 200 X\r\ntry: nobody\r\nstamp: r0\r\ncontent-length: 2\r\n\r\nno",
                )
                .await
                .ok(),
            Some(Fault::LateExtraAnswer) => {
                self.runtime.sleep(20 * MS).await;
                connection.write_all(
                    b"HTTP/1.1 200 X\r\ntry: nobody\r\nstamp: r0\r\ncontent-length: 5\r\n\r\nstale",
                )
                .await
                .ok()
            }
            Some(Fault::CloseAfterAnswer) => {
                self.runtime.sleep(30 * MS).await;
                None
            }
            _ => (!self.leaving.load(SeqCst)).then_some(()),
        }
    }

    /// Sends a stream of events with the faults that apply to streams. Returns `None` if the
    /// connection must be closed.
    #[allow(clippy::too_many_arguments)]
    async fn write_events(
        &self,
        connection: &mut Connection,
        fault: Option<Fault>,
        attempt: &str,
        stamp: &str,
        close_header: &str,
        slowdown: u64,
        events: &[String],
    ) -> Option<()> {
        let head = format!(
            "HTTP/1.1 200 X\r\ntry: {attempt}\r\n{stamp}{close_header}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
        );
        connection.write_all(head.as_bytes()).await.ok()?;
        let fault_index = self.runtime.random() as usize % (events.len() + 1);
        for (i, data) in events.iter().enumerate() {
            if i == fault_index {
                match fault {
                    Some(Fault::BreakStream | Fault::TruncateAnswer) => return None,
                    Some(Fault::PauseStream) => self.runtime.sleep(SEC).await,
                    _ => {}
                }
            }
            let event = encode_event(i, data);
            let split = self.runtime.random() as usize % event.len();
            // An event may be split between two chunks at any byte.
            if split > 0 {
                connection
                    .write_all(&chunk(&event.as_bytes()[..split]))
                    .await
                    .ok()?;
            }
            connection
                .write_all(&chunk(&event.as_bytes()[split..]))
                .await
                .ok()?;
            self.runtime
                .sleep(slowdown * self.spec.event_interval)
                .await;
        }
        if matches!(fault, Some(Fault::BreakStream | Fault::TruncateAnswer)) {
            return None;
        }
        connection.write_all(b"0\r\n\r\n").await.ok()?;
        self.finish_answer(connection, fault).await
    }
}

/// Encodes the event with the index `i`; ids of events start at 1.
pub fn encode_event(i: usize, data: &str) -> String {
    format!("id: {}\ndata: {data}\n\n", i + 1)
}

/// The HTTP server of the platform's server list: the list is delayed, is served page by page, and
/// the rate of calls is limited.
pub struct CatalogueServer {
    runtime: Runtime,
    /// Time in us after which a published list becomes visible.
    pub lag: u64,
    /// Number of servers in one page.
    pub page_size: usize,
    pub max_calls_per_second: u64,
    /// Whether the list is down: every response is delayed by 30 s.
    pub unavailable: AtomicBool,
    /// Every published list with its time in us.
    revisions: Mutex<Vec<(u64, Vec<ListedServer>)>>,
    /// The current second and the number of calls in it.
    calls_this_second: Mutex<(u64, u64)>,
    /// Number of requests that were rejected with 404 or 429.
    pub refused: AtomicU64,
    /// Number of pages that were served.
    pub served: AtomicU64,
}

impl CatalogueServer {
    /// Starts the list at the given address.
    pub async fn start(
        runtime: &Runtime,
        addr: SocketAddr,
        lag: u64,
        page_size: usize,
        max_calls_per_second: u64,
    ) -> io::Result<Arc<CatalogueServer>> {
        let listener = runtime.bind(addr).await?;
        let catalogue = Arc::new(CatalogueServer {
            runtime: runtime.clone(),
            lag,
            page_size,
            max_calls_per_second,
            unavailable: AtomicBool::new(false),
            revisions: Default::default(),
            calls_this_second: Default::default(),
            refused: AtomicU64::new(0),
            served: AtomicU64::new(0),
        });
        let handler_catalogue = catalogue.clone();
        let handler: buffered_http::Handler =
            Arc::new(move |request| Box::pin(serve_catalogue(handler_catalogue.clone(), request)));
        runtime.spawn(buffered_http::serve(
            runtime.clone(),
            listener,
            handler,
            Arc::new(ConnectionTracker::default()),
        ));
        Ok(catalogue)
    }

    /// Publishes a new list, which becomes visible after the lag.
    pub fn publish(&self, servers: Vec<ListedServer>) {
        let mut revisions = self.revisions.lock().unwrap();
        revisions.push((self.runtime.now(), servers));
    }

    /// The list that is visible now.
    pub fn listed_now(&self) -> Vec<ListedServer> {
        let now = self.runtime.now();
        let revisions = self.revisions.lock().unwrap();
        revisions
            .iter()
            .rev()
            .find(|revision| revision.0 + self.lag <= now)
            .or(revisions.first())
            .map(|revision| revision.1.clone())
            .unwrap_or_default()
    }
}

async fn serve_catalogue(
    catalogue: Arc<CatalogueServer>,
    request: BufferedRequest,
) -> http_types::Response {
    if catalogue.unavailable.load(SeqCst) {
        catalogue.runtime.sleep(30 * SEC).await;
    }
    let is_over_limit = {
        let second = catalogue.runtime.now() / SEC;
        let mut calls = catalogue.calls_this_second.lock().unwrap();
        *calls = if calls.0 == second {
            (second, calls.1 + 1)
        } else {
            (second, 1)
        };
        calls.1 > catalogue.max_calls_per_second
    };
    // The product's native format: the complete list with its revision.
    if !is_over_limit && request.path == "/servers" {
        let revision = catalogue
            .revisions
            .lock()
            .unwrap()
            .iter()
            .filter(|revision| revision.0 + catalogue.lag <= catalogue.runtime.now())
            .count() as u64;
        return buffered_http::json_response(
            200,
            &yewcross_common::protocol::ServerList {
                revision: revision.max(1),
                term: 0,
                servers: catalogue.listed_now(),
            },
        );
    }
    if is_over_limit || request.path != "/roster" {
        catalogue.refused.fetch_add(1, SeqCst);
        return buffered_http::json_response(
            if is_over_limit { 429 } else { 404 },
            &serde_json::json!({}),
        );
    }
    catalogue.served.fetch_add(1, SeqCst);
    let start: usize = request
        .query
        .as_deref()
        .and_then(|query| query.strip_prefix("page="))
        .and_then(|page| page.parse().ok())
        .unwrap_or(0);
    let all = catalogue.listed_now();
    let servers: Vec<ListedServer> = all
        .iter()
        .skip(start)
        .take(catalogue.page_size)
        .cloned()
        .collect();
    let next = (start + servers.len() < all.len()).then(|| (start + servers.len()).to_string());
    buffered_http::json_response(200, &Page { servers, next })
}
