//! A stub of the platform's list of servers, which rejects requests that come too often.

use http_types::{Method, Response};
use serde_json::json;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use yewcross_common::buffered_http::{self, BufferedRequest, ConnectionTracker, json_response};
use yewcross_common::constants::*;
use yewcross_common::protocol::{ListedServer, ServerList};
use yewcross_common::runtime::*;

/// The stub platform.
pub struct Platform {
    runtime: Runtime,
    list: Mutex<ServerList>,
    /// µs at which the list was last served; 0 before the first time.
    last_served: Mutex<u64>,
    /// Minimum µs between two answered requests; requests that come sooner get status 429.
    pub min_interval: u64,
    /// Number of requests that got status 429.
    pub throttled_requests: std::sync::atomic::AtomicU64,
}

impl Platform {
    /// Binds the address and starts to serve the list.
    pub async fn start(
        runtime: &Runtime,
        address: SocketAddr,
        servers: Vec<ListedServer>,
    ) -> std::io::Result<Arc<Platform>> {
        let listener = runtime.bind(address).await?;
        let platform = Arc::new(Platform {
            runtime: runtime.clone(),
            list: Mutex::new(ServerList {
                revision: 1,
                term: 0,
                servers,
            }),
            last_served: Mutex::new(0),
            min_interval: 300 * MS,
            throttled_requests: Default::default(),
        });
        let served_platform = platform.clone();
        let handler: buffered_http::Handler =
            Arc::new(move |request| Box::pin(answer(served_platform.clone(), request)));
        runtime.spawn(buffered_http::serve(
            runtime.clone(),
            listener,
            handler,
            Arc::new(ConnectionTracker::default()),
        ));
        Ok(platform)
    }

    /// The servers that are listed at present.
    pub fn servers(&self) -> Vec<ListedServer> {
        self.list.lock().unwrap().servers.clone()
    }

    /// Changes the list and increments its revision.
    pub fn update_servers(&self, update: impl FnOnce(&mut Vec<ListedServer>)) {
        let mut list = self.list.lock().unwrap();
        update(&mut list.servers);
        list.revision += 1;
    }
}

async fn answer(platform: Arc<Platform>, request: BufferedRequest) -> Response {
    match (request.method, request.path.as_str()) {
        (Method::Get, "/servers") => {
            let now = platform.runtime.now();
            let mut last_served = platform.last_served.lock().unwrap();
            if *last_served > 0 && now < *last_served + platform.min_interval {
                platform
                    .throttled_requests
                    .fetch_add(1, std::sync::atomic::Ordering::SeqCst);
                let mut response = json_response(429, &json!({"why": "too often"}));
                response.insert_header("retry-after", "1");
                return response;
            }
            *last_served = now;
            let list = platform.list.lock().unwrap().clone();
            let etag = list.revision.to_string();
            let mut response = if request.if_none_match.as_deref() == Some(&etag) {
                json_response(304, &())
            } else {
                json_response(200, &list)
            };
            if response.status() == 304 {
                response.take_body();
            }
            response.insert_header("etag", etag);
            response
        }
        (Method::Post, "/lab/list") => {
            match serde_json::from_slice::<Vec<ListedServer>>(&request.body) {
                Ok(new_servers) => {
                    platform.update_servers(|servers| *servers = new_servers);
                    json_response(200, &json!({"ok": true}))
                }
                Err(error) => json_response(400, &json!({"why": error.to_string()})),
            }
        }
        (Method::Post, "/lab/leaving") => {
            let body: serde_json::Value = serde_json::from_slice(&request.body).unwrap_or_default();
            let (name, leaving) = (
                body["server"].as_str().unwrap_or("").to_string(),
                body["leaving"].as_bool().unwrap_or(true),
            );
            platform.update_servers(|servers| {
                servers
                    .iter_mut()
                    .filter(|server| server.server == name)
                    .for_each(|server| server.leaving = leaving)
            });
            json_response(200, &json!({"ok": true}))
        }
        _ => json_response(404, &json!({"why": "no such path"})),
    }
}
