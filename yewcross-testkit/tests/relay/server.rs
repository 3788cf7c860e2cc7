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
pub struct Floor {
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

pub async fn head(
    c: &mut Connection,
    buf: &mut Vec<u8>,
) -> Option<(String, BTreeMap<String, String>)> {
    loop {
        if let Some(i) = buf.windows(4).position(|w| w == b"\r\n\r\n") {
            let t = String::from_utf8(buf[..i].to_vec()).unwrap();
            buf.drain(..i + 4);
            let mut ls = t.split("\r\n");
            let first = ls.next().unwrap().to_string();
            return Some((
                first,
                ls.map(|l| l.split_once(": ").unwrap())
                    .map(|(a, b)| (a.to_string(), b.to_string()))
                    .collect(),
            ));
        }
        let mut b = [0; 4096];
        let n = c.read(&mut b).await.ok().filter(|n| *n > 0)?;
        buf.extend_from_slice(&b[..n]);
    }
}

/// Whether the caller closes the connection within a time (us).
async fn is_left_within(runtime: &Runtime, c: &mut Connection, us: u64) -> bool {
    let mut b = [0; 64];
    let heard = runtime.timeout(us, c.read(&mut b)).await;
    matches!(heard, Some(Ok(0) | Err(_)))
}

/// Sends the head, the events up to a pause (us), and those behind it; false where the caller left
/// meanwhile.
async fn send_with_pause(
    runtime: &Runtime,
    c: &mut Connection,
    top: &str,
    event: impl Fn(usize) -> Vec<u8>,
    behind: std::ops::Range<usize>,
    us: u64,
    from: usize,
) -> bool {
    let _ = c.write_all(top.as_bytes()).await;
    for i in from..behind.start {
        let _ = c.write_all(&event(i)).await;
        runtime.sleep(20 * MS).await;
    }
    if is_left_within(runtime, c, us).await {
        return false;
    }
    for i in behind {
        if c.write_all(&event(i)).await.is_err() {
            return false;
        }
        runtime.sleep(20 * MS).await;
    }
    true
}

pub async fn serve_one(runtime: Runtime, mut c: Connection, id: String, f: Arc<Floor>) {
    f.conns.fetch_add(1, SeqCst);
    let mut buf = vec![];
    while let Some((first, heads)) = head(&mut c, &mut buf).await {
        let len: usize = heads
            .get("content-length")
            .map_or(0, |v| v.parse().unwrap());
        while buf.len() < len {
            let mut b = [0; 4096];
            match c.read(&mut b).await {
                Ok(n) if n > 0 => buf.extend_from_slice(&b[..n]),
                _ => return,
            }
        }
        let body: Vec<u8> = buf.drain(..len).collect();
        f.seen.fetch_add(1, SeqCst);
        let a = heads.get("try").cloned().unwrap_or_default();
        let from = heads
            .get("resume-after")
            .map_or(0, |id| id.parse::<usize>().unwrap() + 1);
        let told = f
            .acts
            .lock()
            .unwrap()
            .get_mut(&id)
            .and_then(|v| v.pop_front());
        let act = told.or(*f.other.lock().unwrap()).unwrap_or(Act::Good);
        let act = if heads.get("for").is_some_and(|x| *x != id) {
            Act::NotRun(421)
        } else {
            act
        };
        if !matches!(act, Act::NotRun(_) | Act::SlowNotRun(_)) {
            let mut w2 = first.split(' ');
            let target = w2.nth(1).unwrap().to_string();
            f.runs.lock().unwrap().push(Run {
                server: id.clone(),
                attempt: a.clone(),
                target,
                body: body.clone(),
                heads,
            });
        }
        let say = |status: u16, a: &str, more: &str, body: &str| {
            format!(
                "HTTP/1.1 {status} X\r\ntry: {a}\r\n{more}content-length: {}\r\n\r\n{body}",
                body.len()
            )
            .into_bytes()
        };
        let event = |i: usize| {
            let e = format!("id: {i}\ndata: {a}-{i}\n\n");
            format!("{:x}\r\n{e}\r\n", e.len()).into_bytes()
        };
        let top = format!(
            "HTTP/1.1 200 X\r\ntry: {a}\r\nstamp: 1\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
        );
        let good = say(200, &a, "stamp: 1\r\n", "good");
        let (out, close) = match act {
            Act::Good if first.contains("/stream/") => {
                let _ = c.write_all(top.as_bytes()).await;
                for i in from..4 {
                    let _ = c.write_all(&event(i)).await;
                    runtime.sleep(20 * MS).await;
                }
                (b"0\r\n\r\n".to_vec(), false)
            }
            Act::Good => (good, false),
            Act::Lose => (vec![], true),
            Act::Silent => {
                let mut b = [0; 64];
                let _ = c.read(&mut b).await;
                f.gone.lock().unwrap().push(runtime.now());
                return;
            }
            Act::Half => (good[..good.len() - 2].to_vec(), true),
            Act::NotRun(s) => (say(s, &a, "unrun: 1\r\n", ""), false),
            Act::Fails(s) => (say(s, &a, "", "mine"), false),
            Act::NoStamp => (say(200, &a, "", "good"), false),
            Act::OtherTry => (say(200, "another", "stamp: 1\r\n", "other"), false),
            Act::Garble => (b"\x00\x01garbage, no answer\r\n\r\n".to_vec(), true),
            Act::Surplus => ([good, b"surplus".to_vec()].concat(), false),
            Act::Late => {
                let _ = c.write_all(&good).await;
                runtime.sleep(30 * MS).await;
                (say(200, "stale", "stamp: 1\r\n", "stale"), false)
            }
            Act::ThenClose => {
                let _ = c.write_all(&good).await;
                runtime.sleep(30 * MS).await;
                (vec![], true)
            }
            Act::Endless => (format!("HTTP/1.1 200 X\r\ntry: {a}\r\nstamp: 1\r\n\r\ngood").into_bytes(), true),
            Act::OtherCoding => {
                (format!("HTTP/1.1 200 X\r\ntry: {a}\r\nstamp: 1\r\ntransfer-encoding: identity\r\n\r\ngo").into_bytes(), true)
            }
            Act::Interim(status) => {
                let _ = c.write_all(format!("HTTP/1.1 {status} X\r\ntry: nobody\r\n\r\n").as_bytes()).await;
                (good, false)
            }
            Act::Switches => {
                (format!("HTTP/1.1 101 X\r\ntry: {a}\r\nstamp: 1\r\nconnection: upgrade\r\nupgrade: x\r\n\r\ngood").into_bytes(), false)
            }
            Act::Encoded => (say(200, &a, "stamp: 1\r\ncontent-encoding: br\r\n", "good"), false),
            Act::OldVersion => (String::from_utf8(good).unwrap().replace("HTTP/1.1", "HTTP/1.0").into_bytes(), true),
            Act::Counted => {
                let b: String = (0..4).map(|i| format!("id: {i}\ndata: {a}-{i}\n\n")).collect();
                (say(200, &a, "stamp: 1\r\ncontent-type: text/event-stream\r\n", &b), false)
            }
            Act::SlowNotRun(us) => {
                runtime.sleep(us).await;
                (say(503, &a, "unrun: 1\r\n", ""), false)
            }
            Act::Again => ([good.clone(), good].concat(), false),
            Act::Break(n) => {
                let _ = c.write_all(top.as_bytes()).await;
                for i in 0..n {
                    let _ = c.write_all(&event(i)).await;
                    runtime.sleep(20 * MS).await;
                }
                (vec![], true)
            }
            Act::BreakInside(n) => {
                let _ = c.write_all(top.as_bytes()).await;
                for i in 0..n {
                    let _ = c.write_all(&event(i)).await;
                    runtime.sleep(20 * MS).await;
                }
                let half = format!("id: {n}\ndata: {a}-");
                (format!("{:x}\r\n{half}\r\n", half.len()).into_bytes(), true)
            }
            Act::Stall(n) => {
                let _ = c.write_all(top.as_bytes()).await;
                for i in 0..n {
                    let _ = c.write_all(&event(i)).await;
                    runtime.sleep(20 * MS).await;
                }
                let mut b = [0; 64];
                let _ = c.read(&mut b).await;
                f.gone.lock().unwrap().push(runtime.now());
                return;
            }
            Act::Pause(n, us) => {
                if !send_with_pause(&runtime, &mut c, &top, event, n..4, us, from).await {
                    f.gone.lock().unwrap().push(runtime.now());
                    return;
                }
                (b"0\r\n\r\n".to_vec(), false)
            }
            Act::PauseThenBreak(n, us) => {
                send_with_pause(&runtime, &mut c, &top, event, n..n + 1, us, from).await;
                (vec![], true)
            }
            Act::SlowStream(us) => {
                if is_left_within(&runtime, &mut c, us).await {
                    f.gone.lock().unwrap().push(runtime.now());
                    return;
                }
                let _ = c.write_all(top.as_bytes()).await;
                for i in from..4 {
                    let _ = c.write_all(&event(i)).await;
                    runtime.sleep(20 * MS).await;
                }
                (b"0\r\n\r\n".to_vec(), false)
            }
            Act::EndsAtOnce => {
                let _ = c.write_all(top.as_bytes()).await;
                (b"0\r\n\r\n".to_vec(), false)
            }
            Act::Forever => {
                let _ = c.write_all(top.as_bytes()).await;
                let mut i = 0;
                while c.write_all(&event(i)).await.is_ok() {
                    runtime.sleep(20 * MS).await;
                    i += 1;
                }
                f.gone.lock().unwrap().push(runtime.now());
                return;
            }
            Act::SlowFails(us, status) => {
                runtime.sleep(us).await;
                (say(status, &a, "", "mine"), false)
            }
            Act::Slow(us) => {
                runtime.sleep(us).await;
                (good, false)
            }
        };
        if c.write_all(&out).await.is_err() || close {
            return;
        }
    }
}
