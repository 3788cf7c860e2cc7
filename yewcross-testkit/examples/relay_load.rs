//! What a front's thread costs for streams and lookups, over real sockets: `cargo run --release
//! --example relay_load`.

use bytes::Bytes;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use http::{HeaderMap, Request, Response};
use http_body_util::{BodyExt, Full};
use serde_json::json;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering::SeqCst};
use yewcross_common::adapter::{CallerProtocol, RequestMeta, ResponseMeta, UpstreamProtocol};
use yewcross_common::configuration::route::Limits;
use yewcross_common::constants::*;
use yewcross_common::documents::cache::DocumentCache;
use yewcross_common::error_code::Code;
use yewcross_common::protocol::{ListedServer, ServerList};
use yewcross_common::register::Ballot;
use yewcross_common::runtime::os::OsRuntime;
use yewcross_common::runtime::*;
use yewcross_proxy::relay::Relay;

struct Ports;

fn text<'a>(h: &'a HeaderMap, n: &str) -> &'a str {
    h.get(n).and_then(|v| v.to_str().ok()).unwrap_or_default()
}

impl CallerProtocol for Ports {
    fn parse_request(&self, h: &HeaderMap) -> Result<RequestMeta, String> {
        Ok(RequestMeta {
            attempt: text(h, "try").into(),
            prompt_tokens: 4_000,
            max_output_tokens: 100,
            ..Default::default()
        })
    }
    fn reject(&self, c: Code, _: &str, _: u64) -> Response<Bytes> {
        Response::builder()
            .status(c.http())
            .body(Bytes::new())
            .unwrap()
    }
}

impl UpstreamProtocol for Ports {
    fn add_headers(&self, h: &mut HeaderMap, _: &ListedServer, left: u64, _: Option<u8>) {
        h.insert("patience", left.into());
    }
    fn resume_after(&self, _: &mut http::HeaderMap, _: &[u8]) {}
    fn parse_response(&self, _: u16, h: &HeaderMap) -> ResponseMeta {
        ResponseMeta {
            attempt: text(h, "try").into(),
            from_server: true,
            load: Some((1, 0, 96)),
            idle_ms: Some(5_000),
            ..Default::default()
        }
    }
}

async fn server(runtime: Runtime, mut c: Connection, events: usize) {
    let (mut buf, mut b) = (vec![], vec![0; 64 << 10]);
    loop {
        let end = loop {
            if let Some(i) = buf.windows(4).position(|x| x == b"\r\n\r\n") {
                break i + 4;
            }
            match c.read(&mut b).await {
                Ok(n) if n > 0 => buf.extend_from_slice(&b[..n]),
                _ => return,
            }
        };
        let head = String::from_utf8_lossy(&buf[..end]).into_owned();
        let get = |k: &str| {
            head.split("\r\n")
                .find_map(|l| l.strip_prefix(k))
                .unwrap_or("")
                .to_string()
        };
        let (len, id): (usize, String) =
            (get("content-length: ").parse().unwrap_or(0), get("try: "));
        while buf.len() < end + len {
            match c.read(&mut b).await {
                Ok(n) if n > 0 => buf.extend_from_slice(&b[..n]),
                _ => return,
            }
        }
        buf.drain(..end + len);
        let ok = if head.starts_with("POST") {
            let top = format!(
                "HTTP/1.1 200 OK\r\ntry: {id}\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
            );
            let mut ok = c.write_all(top.as_bytes()).await.is_ok();
            for i in 0..events {
                runtime.sleep(12 * MS).await;
                let e = format!("id: {i}\ndata: {}\n\n", "x".repeat(32));
                ok &= c
                    .write_all(format!("{:x}\r\n{e}\r\n", e.len()).as_bytes())
                    .await
                    .is_ok();
            }
            ok && c.write_all(b"0\r\n\r\n").await.is_ok()
        } else {
            runtime.sleep(50 * MS).await;
            let a = format!(
                "HTTP/1.1 200 OK\r\ntry: {id}\r\ncontent-length: 800\r\n\r\n{}",
                "y".repeat(800)
            );
            c.write_all(a.as_bytes()).await.is_ok()
        };
        if !ok {
            return;
        }
    }
}

async fn caller(runtime: Runtime, to: SocketAddr, post: bool, n: Arc<AtomicU64>) {
    let c = runtime.connect(to).await.unwrap();
    let (mut s, conn) = hyper::client::conn::http1::handshake(smol_hyper::rt::FuturesIo::new(c))
        .await
        .unwrap();
    runtime.spawn(async move {
        let _ = conn.await;
    });
    let body = Bytes::from(vec![b'p'; if post { 5_000 } else { 0 }]);
    loop {
        let q = Request::builder()
            .method(if post { "POST" } else { "GET" })
            .uri(if post { "/s/x" } else { "/l/x" });
        let q = q
            .header("host", "h")
            .header("try", format!("{:x}", runtime.random()))
            .body(Full::new(body.clone()))
            .unwrap();
        s.ready().await.unwrap();
        let r = s.send_request(q).await.unwrap();
        assert_eq!(r.status(), 200);
        r.into_body().collect().await.unwrap();
        n.fetch_add(1, SeqCst);
    }
}

/// ns on a processor, of the thread that runs the world's tasks.
async fn spent(runtime: &Runtime) -> u64 {
    let (tx, rx) = async_channel::bounded(1);
    runtime.spawn(async move {
        let t = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
        let _ = tx.try_send(
            t.split(' ')
                .next()
                .and_then(|x| x.parse().ok())
                .unwrap_or(0),
        );
    });
    rx.recv().await.unwrap_or(0)
}

fn main() {
    let arg = |i: usize, d: u64| {
        std::env::args()
            .nth(i)
            .and_then(|a| a.parse().ok())
            .unwrap_or(d)
    };
    let (streams, lookups, events, secs) = (arg(1, 20), arg(2, 10), arg(3, 17), arg(4, 5));
    let (front, back, call) = (
        OsRuntime::start(".", 1),
        OsRuntime::start(".", 1),
        OsRuntime::start(".", 1),
    );
    smol::block_on(async {
        let at = |p: u16| SocketAddr::from(([127, 0, 0, 1], p));
        let mut servers = vec![];
        for i in 0..8u16 {
            let d = back.bind(at(7_600 + i)).await.unwrap();
            let b = back.clone();
            back.spawn(async move {
                while let Ok(c) = d.accept().await {
                    b.spawn(server(b.clone(), c, events as usize));
                }
            });
            servers.push(ListedServer {
                server: format!("s{i}"),
                service: "m".into(),
                addr: at(7_600 + i),
                site: "z".into(),
                leaving: false,
            });
        }
        let book = DocumentCache::new(&front);
        let r = |n: &str, m: &str| json!({"name": n, "host": "h", "prefix": format!("/{n}/"), "mode": m, "variants": [["m", 1]], "timeout_ms": 6000, "target_ms": 300});
        let t = json!({"routing": {"routes": [r("s", "stream"), r("l", "pure")], "upstreams": [{"name": "m", "engine": {"slots": 96, "cache_tokens": 2_000_000, "token_bytes": 1, "tokens_per_event": 2}}]}});
        book.apply(
            "config",
            1,
            Ballot::default(),
            serde_json::to_vec(&json!({"text": t.to_string(), "put": "", "note": "", "past": []}))
                .unwrap(),
        );
        book.apply(
            "list",
            1,
            Ballot::default(),
            serde_json::to_vec(&ServerList {
                revision: 1,
                term: 0,
                servers,
            })
            .unwrap(),
        );
        let relay = Arc::new(Relay {
            runtime: front.clone(),
            documents: book,
            site: "z".into(),
            caller: Arc::new(Ports),
            upstream_protocol: Arc::new(Ports),
            turn_log: None,
            front_count: AtomicUsize::new(1),
            pool: Default::default(),
            balance: Default::default(),
            retry_budget: Default::default(),
            counts: Default::default(),
            buffer_memory: Default::default(),
            shutdown: Default::default(),
        });
        let d = front.bind(at(7_599)).await.unwrap();
        let h: yewcross_common::streaming_http::Handler =
            Arc::new(move |q, _| Box::pin(relay.clone().serve(q)));
        front.spawn(yewcross_common::streaming_http::serve(
            front.clone(),
            d,
            h,
            Arc::new(Limits::default),
            Default::default(),
        ));
        let (ns, nl) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
        (0..streams).for_each(|_| call.spawn(caller(call.clone(), at(7_599), true, ns.clone())));
        (0..lookups).for_each(|_| call.spawn(caller(call.clone(), at(7_599), false, nl.clone())));
        smol::Timer::after(std::time::Duration::from_secs(1)).await;
        let (c0, s0, l0) = (spent(&front).await, ns.load(SeqCst), nl.load(SeqCst));
        smol::Timer::after(std::time::Duration::from_secs(secs)).await;
        let (c1, s1, l1) = (spent(&front).await, ns.load(SeqCst), nl.load(SeqCst));
        let (us, s, l) = ((c1 - c0) / 1_000, s1 - s0, l1 - l0);
        println!(
            "front {:.4} cores; {s} streams of {events} events, {l} lookups; {:.1} us a request, {:.1} us an event of all",
            us as f64 / 1e6 / secs as f64,
            us as f64 / (s + l).max(1) as f64,
            us as f64 / (s * events).max(1) as f64
        );
    });
}
