//! The platform's slow, rate-limited list of servers.

use http_types::{Method, Response};
use serde_json::json;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use yewcross_common::buffered_http::{self, BufferedRequest, ConnectionTracker, json_response};
use yewcross_common::constants::*;
use yewcross_common::protocol::{ListedServer, ServerList};
use yewcross_common::runtime::*;

pub struct Platform {
    w: Runtime,
    list: Mutex<ServerList>,
    last: Mutex<u64>,
    /// us. Asked more often than this, it answers 429.
    pub min_interval: u64,
    pub throttled_requests: std::sync::atomic::AtomicU64,
}

impl Platform {
    pub async fn start(
        runtime: &Runtime,
        at: SocketAddr,
        servers: Vec<ListedServer>,
    ) -> std::io::Result<Arc<Platform>> {
        let door = runtime.bind(at).await?;
        let p = Arc::new(Platform {
            w: runtime.clone(),
            list: Mutex::new(ServerList {
                revision: 1,
                term: 0,
                servers,
            }),
            last: Mutex::new(0),
            min_interval: 300 * MS,
            throttled_requests: Default::default(),
        });
        let me = p.clone();
        let h: buffered_http::Handler = Arc::new(move |j| Box::pin(answer(me.clone(), j)));
        runtime.spawn(buffered_http::serve(
            runtime.clone(),
            door,
            h,
            Arc::new(ConnectionTracker::default()),
        ));
        Ok(p)
    }

    pub fn servers(&self) -> Vec<ListedServer> {
        self.list.lock().unwrap().servers.clone()
    }

    pub fn update_servers(&self, f: impl FnOnce(&mut Vec<ListedServer>)) {
        let mut l = self.list.lock().unwrap();
        f(&mut l.servers);
        l.revision += 1;
    }
}

async fn answer(p: Arc<Platform>, j: BufferedRequest) -> Response {
    match (j.method, j.path.as_str()) {
        (Method::Get, "/servers") => {
            let t = p.w.now();
            let mut last = p.last.lock().unwrap();
            if *last > 0 && t < *last + p.min_interval {
                p.throttled_requests
                    .fetch_add(1, std::sync::atomic::Ordering::SeqCst);
                let mut r = json_response(429, &json!({"why": "too often"}));
                r.insert_header("retry-after", "1");
                return r;
            }
            *last = t;
            let l = p.list.lock().unwrap().clone();
            let tag = l.revision.to_string();
            let mut r = if j.if_none_match.as_deref() == Some(&tag) {
                json_response(304, &())
            } else {
                json_response(200, &l)
            };
            if r.status() == 304 {
                r.take_body();
            }
            r.insert_header("etag", tag);
            r
        }
        (Method::Post, "/lab/list") => match serde_json::from_slice::<Vec<ListedServer>>(&j.body) {
            Ok(v) => {
                p.update_servers(|s| *s = v);
                json_response(200, &json!({"ok": true}))
            }
            Err(e) => json_response(400, &json!({"why": e.to_string()})),
        },
        (Method::Post, "/lab/leaving") => {
            let v: serde_json::Value = serde_json::from_slice(&j.body).unwrap_or_default();
            let (n, on) = (
                v["server"].as_str().unwrap_or("").to_string(),
                v["leaving"].as_bool().unwrap_or(true),
            );
            p.update_servers(|s| {
                s.iter_mut()
                    .filter(|x| x.server == n)
                    .for_each(|x| x.leaving = on)
            });
            json_response(200, &json!({"ok": true}))
        }
        _ => json_response(404, &json!({"why": "no such path"})),
    }
}
