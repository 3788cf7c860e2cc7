//! Connections to back ends. No job goes out before the identity at the other end is verified.

use futures_lite::AsyncBufReadExt;
use http_types::{Method, Response};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::io;
use std::marker::PhantomData;
use std::net::SocketAddr;
use std::sync::Mutex;
use yewcross_common::buffered_http;
use yewcross_common::constants::*;
use yewcross_common::runtime::*;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Stamp {
    pub service: String,
    pub server: String,
    pub inst: u64,
    #[serde(default)]
    pub weights: String,
    #[serde(default)]
    pub job: String,
}

pub struct Unverified;
pub struct Verified;

pub struct BackendConnection<S> {
    conn: Connection,
    who: Stamp,
    _s: PhantomData<S>,
}

impl BackendConnection<Unverified> {
    pub async fn dial(
        runtime: &Runtime,
        to: SocketAddr,
    ) -> io::Result<BackendConnection<Unverified>> {
        let conn = runtime.connect_within(to, CONNECT_TIMEOUT).await?;
        let who = Stamp {
            service: String::new(),
            server: String::new(),
            inst: 0,
            weights: String::new(),
            job: String::new(),
        };
        Ok(BackendConnection {
            conn,
            who,
            _s: PhantomData,
        })
    }

    /// Only the server that the pick named, of the service that was meant, gets through.
    pub async fn verify(
        self,
        runtime: &Runtime,
        service: &str,
        server: &str,
    ) -> io::Result<BackendConnection<Verified>> {
        let got = runtime
            .timeout(UPSTREAM_REPORT_TIMEOUT, async {
                let mut r =
                    buffered_http::exchange(&self.conn, Method::Get, "/identity", &[], vec![])
                        .await?;
                buffered_http::body(&mut r, 64 << 10).await
            })
            .await
            .unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))?;
        let who: Stamp = serde_json::from_slice(&got)
            .map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e))?;
        if who.service != service || who.server != server {
            return Err(io::Error::new(
                io::ErrorKind::PermissionDenied,
                "another identity",
            ));
        }
        Ok(BackendConnection {
            conn: self.conn,
            who,
            _s: PhantomData,
        })
    }
}

#[allow(clippy::large_enum_variant)]
pub enum SendResult {
    Answered(Response),
    OutcomeUnknown,
}

impl BackendConnection<Verified> {
    pub fn identity(&self) -> &Stamp {
        &self.who
    }

    /// True if the stamp is this server's, in this life, for this job.
    pub fn matches_stamp(&self, s: &Stamp, job: &str) -> bool {
        s.service == self.who.service
            && s.server == self.who.server
            && s.inst == self.who.inst
            && s.job == job
    }

    pub async fn send(&self, runtime: &Runtime, path: &str, body: Vec<u8>, us: u64) -> SendResult {
        match runtime
            .timeout(
                us,
                buffered_http::exchange(&self.conn, Method::Post, path, &[], body),
            )
            .await
        {
            Some(Ok(r)) => SendResult::Answered(r),
            _ => SendResult::OutcomeUnknown,
        }
    }
}

/// Since when a connection lies idle.
type Idle = (u64, BackendConnection<Verified>);

#[derive(Default)]
pub struct Pool {
    idle: Mutex<BTreeMap<(String, SocketAddr), Vec<Idle>>>,
}

const IDLE_EACH: usize = 8;
const IDLE_US: u64 = 10 * SEC;

impl Pool {
    pub async fn get(
        &self,
        runtime: &Runtime,
        service: &str,
        server: &str,
        to: SocketAddr,
    ) -> io::Result<BackendConnection<Verified>> {
        let t = runtime.now();
        let kept = {
            let mut g = self.idle.lock().unwrap();
            let v = g.entry((server.into(), to)).or_default();
            v.retain(|x| t < x.0 + IDLE_US);
            v.pop()
        };
        match kept {
            // An idle connection may have died unseen; asking who is there again costs less than a
            // lost job.
            Some((_, b)) if b.who.service == service => {
                let fresh = BackendConnection {
                    conn: b.conn,
                    who: b.who,
                    _s: PhantomData::<Unverified>,
                };
                match fresh.verify(runtime, service, server).await {
                    Ok(b) => Ok(b),
                    Err(_) => {
                        BackendConnection::dial(runtime, to)
                            .await?
                            .verify(runtime, service, server)
                            .await
                    }
                }
            }
            _ => {
                BackendConnection::dial(runtime, to)
                    .await?
                    .verify(runtime, service, server)
                    .await
            }
        }
    }

    pub fn put(&self, runtime: &Runtime, b: BackendConnection<Verified>) {
        let mut g = self.idle.lock().unwrap();
        let v = g.entry((b.who.server.clone(), b.conn.peer)).or_default();
        if v.len() < IDLE_EACH {
            v.push((runtime.now(), b));
        }
    }

    pub fn prune(&self, t: u64) {
        let mut g = self.idle.lock().unwrap();
        g.values_mut().for_each(|v| v.retain(|x| t < x.0 + IDLE_US));
        g.retain(|_, v| !v.is_empty());
    }
}

pub struct ResponseLines(Box<dyn futures_lite::AsyncBufRead + Send + Unpin>);

impl ResponseLines {
    pub fn from_response(r: &mut Response) -> ResponseLines {
        ResponseLines(Box::new(r.take_body()))
    }

    /// One whole line, or nothing if the stream ended, broke, or went silent.
    pub async fn next(&mut self, runtime: &Runtime, us: u64) -> Option<Vec<u8>> {
        let mut v = vec![];
        let n = runtime
            .timeout(us, self.0.read_until(b'\n', &mut v))
            .await?
            .ok()?;
        (n > 0 && v.pop() == Some(b'\n')).then_some(v)
    }

    pub async fn reached_end(&mut self, runtime: &Runtime) -> bool {
        let mut v = vec![];
        matches!(
            runtime
                .timeout(50 * MS, self.0.read_until(b'\n', &mut v))
                .await,
            Some(Ok(0))
        )
    }
}

#[allow(clippy::too_many_arguments)]
pub async fn request_once(
    runtime: &Runtime,
    p: &Pool,
    service: &str,
    server: &str,
    to: SocketAddr,
    path: &str,
    body: Vec<u8>,
    us: u64,
) -> Option<Vec<u8>> {
    let b = p.get(runtime, service, server, to).await.ok()?;
    let SendResult::Answered(mut r) = b.send(runtime, path, body, us).await else {
        return None;
    };
    let ok = r.status().is_success();
    let v = runtime
        .timeout(us, buffered_http::body(&mut r, MAX_FRAME_BYTES))
        .await?
        .ok()?;
    p.put(runtime, b);
    ok.then_some(v)
}
