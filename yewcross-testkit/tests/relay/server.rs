//! Servers that do what they are told with each request, and write down what they ran.

use futures_lite::AsyncReadExt;
use futures_lite::AsyncWriteExt;
use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering::SeqCst;
use yewcross_common::constants::*;
use yewcross_common::runtime::*;

/// What a server does with the next request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Act {
    Good,
    /// It runs, and the connection closes without a word.
    Lose,
    /// It runs and says nothing.
    Silent,
    /// It runs and the answer is cut in its middle.
    Half,
    /// It says that it did not run.
    NotRun(u16),
    /// It runs, and answers with this status.
    Fails(u16),
    NoStamp,
    /// It runs and answers for another try.
    OtherTry,
    /// It runs and sends what is no answer.
    Garble,
    /// A good answer with bytes behind it that belong to nothing.
    Surplus,
    /// A good answer, another whole answer behind it a little later.
    Late,
    /// A good answer; the connection closes soon after.
    ThenClose,
    /// A body whose end is told by nothing.
    Endless,
    /// A body whose end is told by nothing, under a transfer coding that tells no end either.
    OtherCoding,
    /// A good answer with a coded body, which no caller asked for.
    Encoded,
    /// A good answer of HTTP/1.0.
    OldVersion,
    /// Another head comes first, which is not the answer yet: 100 or 103.
    Interim(u16),
    /// It runs and says that it speaks another protocol from now on.
    Switches,
    /// A row of events with its length told in the head.
    Counted,
    /// It says only after a while that it did not run it.
    SlowNotRun(u64),
    /// A good answer, and the very same once more behind it.
    Again,
    /// So many events, and then it breaks off.
    Break(usize),
    /// So many events and half of the next one, and then it breaks off.
    BreakInside(usize),
    /// So many events, and then it falls silent.
    Stall(usize),
    /// So many events, a pause (us), and then the rest.
    Pause(usize, u64),
    /// So many events, a pause (us), one event more, and then it breaks off.
    PauseThenBreak(usize, u64),
    /// It runs, and answers with this status after a while (us).
    SlowFails(u64, u16),
    /// The head of a stream only after a while (us), then all of it.
    SlowStream(u64),
    /// The end of a stream and no event.
    EndsAtOnce,
    /// Events without end.
    Forever,
    /// One event, and then another one without end.
    EndlessEvent,
    /// A good answer with a body of so many bytes.
    Large(usize),
    Slow(u64),
}

#[derive(Clone, Debug)]
pub struct Run {
    pub server: String,
    pub attempt: String,
    pub target: String,
    pub body: Vec<u8>,
    pub heads: BTreeMap<String, String>,
}

#[derive(Default)]
pub struct ServerState {
    pub acts: Mutex<BTreeMap<String, VecDeque<Act>>>,
    pub runs: Mutex<Vec<Run>>,
    /// Requests that reached a server, run or not.
    pub seen: AtomicUsize,
    pub conns: AtomicUsize,
    /// us of the world's clock when a server saw its caller go in the middle of a stream.
    pub gone: Mutex<Vec<u64>>,
    /// The acts of servers that are told nothing.
    pub other: Mutex<Option<Act>>,
}

/// A request as a server reads it.
struct Received {
    first_line: String,
    heads: BTreeMap<String, String>,
    body: Vec<u8>,
}

impl Received {
    fn head(&self, name: &str) -> &str {
        self.heads.get(name).map_or("", |value| value)
    }

    fn attempt(&self) -> &str {
        self.head("try")
    }

    /// The number of the first event that is asked for.
    fn first_event(&self) -> usize {
        match self.head("resume-after") {
            "" => 0,
            id => id.parse::<usize>().unwrap() + 1,
        }
    }

    fn is_stream(&self) -> bool {
        self.first_line.contains("/stream/")
    }

    fn stream_head(&self) -> String {
        format!(
            "HTTP/1.1 200 X\r\ntry: {}\r\nstamp: 1\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n",
            self.attempt()
        )
    }

    /// An event of the stream, as a chunk.
    fn event(&self, number: usize) -> Vec<u8> {
        chunk(&format!(
            "id: {number}\ndata: {}-{number}\n\n",
            self.attempt()
        ))
    }
}

fn chunk(text: &str) -> Vec<u8> {
    format!("{:x}\r\n{text}\r\n", text.len()).into_bytes()
}

/// A whole answer of the given status for an attempt, with further lines of the head.
fn say(status: u16, attempt: &str, more: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("HTTP/1.1 {status} X\r\ntry: {attempt}\r\n{more}content-length: {length}\r\n\r\n{body}")
        .into_bytes()
}

const STAMP: &str = "stamp: 1\r\n";
/// The chunk that ends a stream.
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";
/// count. Events of a whole stream.
const EVENTS: usize = 4;
/// Bytes of each chunk of an event without end.
const ENDLESS_CHUNK_BYTES: usize = 16 << 10;
/// us between two events.
const EVENT_INTERVAL: u64 = 20 * MS;
/// us after an answer until what comes behind it.
const LATE: u64 = 30 * MS;

/// What becomes of a connection after an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Then {
    Keep,
    Close,
}

/// A server's side of one connection.
struct Served {
    runtime: Runtime,
    connection: Connection,
    buffer: Vec<u8>,
    id: String,
    server_state: Arc<ServerState>,
}

pub async fn serve_one(
    runtime: Runtime,
    connection: Connection,
    id: String,
    server_state: Arc<ServerState>,
) {
    server_state.conns.fetch_add(1, SeqCst);
    let mut served = Served {
        runtime,
        connection,
        buffer: vec![],
        id,
        server_state,
    };
    while let Some(request) = served.read().await {
        let act = served.next_act(&request);
        if served.act(act, &request).await != Some(Then::Keep) {
            return;
        }
    }
}

impl Served {
    async fn read_more(&mut self) -> Option<()> {
        let mut bytes = [0; 4096];
        let length = self.connection.read(&mut bytes).await.ok()?;
        self.buffer.extend_from_slice(&bytes[..length]);
        (length > 0).then_some(())
    }

    async fn read(&mut self) -> Option<Received> {
        let end = loop {
            let end = self.buffer.windows(4).position(|w| w == b"\r\n\r\n");
            match end {
                Some(end) => break end,
                None => self.read_more().await?,
            }
        };
        let text = String::from_utf8(self.buffer[..end].to_vec()).unwrap();
        self.buffer.drain(..end + 4);
        let mut lines = text.split("\r\n");
        let first_line = lines.next().unwrap().to_string();
        let heads: BTreeMap<String, String> = lines
            .map(|line| line.split_once(": ").unwrap())
            .map(|(name, value)| (name.to_string(), value.to_string()))
            .collect();
        let length = heads.get("content-length");
        let length: usize = length.map_or(0, |length| length.parse().unwrap());
        while self.buffer.len() < length {
            self.read_more().await?;
        }
        Some(Received {
            first_line,
            heads,
            body: self.buffer.drain(..length).collect(),
        })
    }

    /// What is done with a request, which is written down if it runs.
    fn next_act(&self, request: &Received) -> Act {
        self.server_state.seen.fetch_add(1, SeqCst);
        let mut acts = self.server_state.acts.lock().unwrap();
        let told = acts.get_mut(&self.id).and_then(|acts| acts.pop_front());
        let act = told
            .or(*self.server_state.other.lock().unwrap())
            .unwrap_or(Act::Good);
        let is_meant = ["", self.id.as_str()].contains(&request.head("for"));
        let act = if is_meant { act } else { Act::NotRun(421) };
        if !matches!(act, Act::NotRun(_) | Act::SlowNotRun(_)) {
            self.server_state.runs.lock().unwrap().push(Run {
                server: self.id.clone(),
                attempt: request.attempt().into(),
                target: request.first_line.split(' ').nth(1).unwrap().into(),
                body: request.body.clone(),
                heads: request.heads.clone(),
            });
        }
        act
    }

    async fn write(&mut self, bytes: &[u8]) -> Option<()> {
        self.connection.write_all(bytes).await.ok()
    }

    async fn write_then(&mut self, bytes: &[u8], then: Then) -> Option<Then> {
        self.write(bytes).await?;
        Some(then)
    }

    /// None where the caller has left.
    async fn act(&mut self, act: Act, request: &Received) -> Option<Then> {
        if let Some((bytes, then)) = at_once(act, request) {
            return self.write_then(&bytes, then).await;
        }
        let attempt = request.attempt();
        let good = say(200, attempt, STAMP, "good");
        match act {
            Act::Silent => self.wait_for_leave().await,
            Act::Interim(status) => {
                let interim = format!("HTTP/1.1 {status} X\r\ntry: nobody\r\n\r\n");
                self.write(interim.as_bytes()).await;
                self.write_then(&good, Then::Keep).await
            }
            Act::Late => {
                self.write(&good).await;
                self.runtime.sleep(LATE).await;
                let stale = say(200, "stale", STAMP, "stale");
                self.write_then(&stale, Then::Keep).await
            }
            Act::ThenClose => {
                self.write(&good).await;
                self.runtime.sleep(LATE).await;
                Some(Then::Close)
            }
            Act::SlowNotRun(us) => {
                self.runtime.sleep(us).await;
                let answer = say(503, attempt, "unrun: 1\r\n", "");
                self.write_then(&answer, Then::Keep).await
            }
            Act::SlowFails(us, status) => {
                self.runtime.sleep(us).await;
                let answer = say(status, attempt, "", "mine");
                self.write_then(&answer, Then::Keep).await
            }
            Act::Slow(us) => {
                self.runtime.sleep(us).await;
                self.write_then(&good, Then::Keep).await
            }
            _ => self.stream(act, request).await,
        }
    }

    async fn stream(&mut self, act: Act, request: &Received) -> Option<Then> {
        let first = request.first_event();
        if let Act::SlowStream(us) = act {
            self.wait(us).await?;
        }
        self.write(request.stream_head().as_bytes()).await;
        match act {
            Act::Good | Act::SlowStream(_) => {
                self.send_events(request, first..EVENTS).await;
                self.write_then(LAST_CHUNK, Then::Keep).await
            }
            Act::Break(count) => {
                self.send_events(request, 0..count).await;
                Some(Then::Close)
            }
            Act::BreakInside(count) => {
                self.send_events(request, 0..count).await;
                let half = chunk(&format!("id: {count}\ndata: {}-", request.attempt()));
                self.write_then(&half, Then::Close).await
            }
            Act::Stall(count) => {
                self.send_events(request, 0..count).await;
                self.wait_for_leave().await
            }
            Act::Pause(count, us) => {
                self.send_events(request, first..count).await;
                self.wait(us).await?;
                self.send_events(request, count..EVENTS).await;
                self.write_then(LAST_CHUNK, Then::Keep).await
            }
            Act::PauseThenBreak(count, us) => {
                self.send_events(request, first..count).await;
                self.wait(us).await?;
                self.send_events(request, count..count + 1).await;
                Some(Then::Close)
            }
            Act::Forever => {
                let mut number = 0;
                while self.write(&request.event(number)).await.is_some() {
                    self.runtime.sleep(EVENT_INTERVAL).await;
                    number += 1;
                }
                self.note_leave()
            }
            Act::EndlessEvent => {
                self.send_events(request, 0..1).await;
                self.write(&chunk("data: ")).await;
                let data = chunk(&"x".repeat(ENDLESS_CHUNK_BYTES));
                while self.write(&data).await.is_some() {
                    self.runtime.sleep(MS).await;
                }
                self.note_leave()
            }
            other => unreachable!("{other:?} is no stream"),
        }
    }

    /// Whether anybody reads them is seen later.
    async fn send_events(&mut self, request: &Received, events: std::ops::Range<usize>) {
        for number in events {
            self.write(&request.event(number)).await;
            self.runtime.sleep(EVENT_INTERVAL).await;
        }
    }

    /// Waits for a time (us); None where the caller leaves meanwhile.
    async fn wait(&mut self, us: u64) -> Option<()> {
        let mut bytes = [0; 64];
        let heard = self
            .runtime
            .timeout(us, self.connection.read(&mut bytes))
            .await;
        match heard {
            Some(Ok(0) | Err(_)) => self.note_leave().map(|_: Then| ()),
            _ => Some(()),
        }
    }

    async fn wait_for_leave(&mut self) -> Option<Then> {
        let mut bytes = [0; 64];
        // Whatever is heard, nothing more is said.
        let _ = self.connection.read(&mut bytes).await;
        self.note_leave()
    }

    fn note_leave<T>(&self) -> Option<T> {
        self.server_state
            .gone
            .lock()
            .unwrap()
            .push(self.runtime.now());
        None
    }
}

/// Answers that are sent in one piece; None for all others.
fn at_once(act: Act, request: &Received) -> Option<(Vec<u8>, Then)> {
    let attempt = request.attempt();
    let good = say(200, attempt, STAMP, "good");
    let top = format!("HTTP/1.1 200 X\r\ntry: {attempt}\r\nstamp: 1\r\n");
    let keep = |bytes: Vec<u8>| Some((bytes, Then::Keep));
    let close = |bytes: Vec<u8>| Some((bytes, Then::Close));
    match act {
        Act::Good if !request.is_stream() => keep(good),
        Act::Lose => close(vec![]),
        Act::Half => close(good[..good.len() - 2].to_vec()),
        Act::NotRun(status) => keep(say(status, attempt, "unrun: 1\r\n", "")),
        Act::Fails(status) => keep(say(status, attempt, "", "mine")),
        Act::NoStamp => keep(say(200, attempt, "", "good")),
        Act::OtherTry => keep(say(200, "another", STAMP, "other")),
        Act::Garble => close(b"\x00\x01garbage, no answer\r\n\r\n".to_vec()),
        Act::Surplus => keep([good, b"surplus".to_vec()].concat()),
        Act::Again => keep([good.clone(), good].concat()),
        Act::Endless => close(format!("{top}\r\ngood").into_bytes()),
        Act::OtherCoding => {
            close(format!("{top}transfer-encoding: identity\r\n\r\ngo").into_bytes())
        }
        Act::Switches => {
            let head = format!("HTTP/1.1 101 X\r\ntry: {attempt}\r\nstamp: 1\r\n");
            let switch = format!("{head}connection: upgrade\r\nupgrade: x\r\n\r\ngood");
            keep(switch.into_bytes())
        }
        Act::Encoded => {
            let more = format!("{STAMP}content-encoding: br\r\n");
            keep(say(200, attempt, &more, "good"))
        }
        Act::OldVersion => {
            let text = String::from_utf8(good).unwrap();
            close(text.replace("HTTP/1.1", "HTTP/1.0").into_bytes())
        }
        Act::Counted => {
            let events: String = (0..EVENTS)
                .map(|number| format!("id: {number}\ndata: {attempt}-{number}\n\n"))
                .collect();
            let more = format!("{STAMP}content-type: text/event-stream\r\n");
            keep(say(200, attempt, &more, &events))
        }
        Act::Large(bytes) => keep(say(200, attempt, STAMP, &"x".repeat(bytes))),
        Act::EndsAtOnce => keep([request.stream_head().as_bytes(), LAST_CHUNK].concat()),
        _ => None,
    }
}
