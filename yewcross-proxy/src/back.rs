//! Connections to servers of turns and lookups. No request is sent before the identity of the
//! server at the other end is verified.

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

/// Identifies the server instance that made a response, and the request that it answers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Stamp {
    pub service: String,
    pub server: String,
    /// Number of the server's instance; a restart begins a new one.
    pub inst: u64,
    #[serde(default)]
    /// Version of the model weights that the server has loaded.
    pub weights: String,
    /// The request's id; empty in an identity.
    #[serde(default)]
    pub job: String,
}

/// State of a connection whose server's identity has not been verified.
pub struct Unverified;
/// State of a connection whose server's identity has been verified.
pub struct Verified;

/// A connection to a server. Only one with a verified identity can send requests.
pub struct BackendConnection<S> {
    connection: Connection,
    /// The identity that the server reported.
    identity: Stamp,
    _state: PhantomData<S>,
}

impl BackendConnection<Unverified> {
    /// Connects to the address within [`CONNECT_TIMEOUT`].
    pub async fn dial(
        runtime: &Runtime,
        address: SocketAddr,
    ) -> io::Result<BackendConnection<Unverified>> {
        let connection = runtime.connect_within(address, CONNECT_TIMEOUT).await?;
        // Its responses wait for callers, who may not read them.
        connection.limit_receive_window();
        let identity = Stamp {
            service: String::new(),
            server: String::new(),
            inst: 0,
            weights: String::new(),
            job: String::new(),
        };
        Ok(BackendConnection {
            connection,
            identity,
            _state: PhantomData,
        })
    }

    /// Requests the server's identity; fails unless it is the expected server of the expected
    /// service.
    pub async fn verify(
        self,
        runtime: &Runtime,
        service: &str,
        server: &str,
    ) -> io::Result<BackendConnection<Verified>> {
        let reported = runtime
            .timeout(UPSTREAM_REPORT_TIMEOUT, async {
                let mut response = buffered_http::send_request(
                    &self.connection,
                    Method::Get,
                    "/identity",
                    &[],
                    vec![],
                )
                .await?;
                buffered_http::read_response_body(&mut response, 64 << 10).await
            })
            .await
            .unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))?;
        let identity: Stamp = serde_json::from_slice(&reported)
            .map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))?;
        if identity.service != service || identity.server != server {
            return Err(io::Error::new(
                io::ErrorKind::PermissionDenied,
                "the server reported another identity than the selected one",
            ));
        }
        Ok(BackendConnection {
            connection: self.connection,
            identity,
            _state: PhantomData,
        })
    }
}

/// The result of sending a request.
#[allow(clippy::large_enum_variant)]
pub enum SendResult {
    Answered(Response),
    /// No response was received in time, or the connection failed; the server may have executed the
    /// request.
    OutcomeUnknown,
}

impl BackendConnection<Verified> {
    /// The identity that the server reported.
    pub fn identity(&self) -> &Stamp {
        &self.identity
    }

    /// Whether the stamp is from this instance of the server, for this request.
    pub fn matches_stamp(&self, stamp: &Stamp, job: &str) -> bool {
        stamp.service == self.identity.service
            && stamp.server == self.identity.server
            && stamp.inst == self.identity.inst
            && stamp.job == job
    }

    /// Sends a POST request; the response's head must be received within `timeout` (us).
    pub async fn send(
        &self,
        runtime: &Runtime,
        path: &str,
        body: Vec<u8>,
        timeout: u64,
    ) -> SendResult {
        match runtime
            .timeout(
                timeout,
                buffered_http::send_request(&self.connection, Method::Post, path, &[], body),
            )
            .await
        {
            Some(Ok(response)) => SendResult::Answered(response),
            _ => SendResult::OutcomeUnknown,
        }
    }
}

/// A connection and since when it is idle (us of the runtime's clock).
type IdleConnection = (u64, BackendConnection<Verified>);

/// Idle verified connections by server and address.
#[derive(Default)]
pub struct Pool {
    idle: Mutex<BTreeMap<(String, SocketAddr), Vec<IdleConnection>>>,
}

/// count. Idle connections that are kept to one server.
const MAX_IDLE_PER_SERVER: usize = 8;
/// us. An idle connection is closed after this time.
const IDLE_TIMEOUT: u64 = 10 * SEC;

impl Pool {
    /// An idle connection to the server, or a new one, with its identity verified now.
    pub async fn get(
        &self,
        runtime: &Runtime,
        service: &str,
        server: &str,
        address: SocketAddr,
    ) -> io::Result<BackendConnection<Verified>> {
        let now = runtime.now();
        let reused = {
            let mut idle = self.idle.lock().unwrap();
            let connections = idle.entry((server.into(), address)).or_default();
            connections.retain(|entry| now < entry.0 + IDLE_TIMEOUT);
            connections.pop()
        };
        match reused {
            // An idle connection may have failed unnoticed. Verifying the identity again costs less
            // than a request with an unknown outcome.
            Some((_, connection)) if connection.identity.service == service => {
                let unverified = BackendConnection {
                    connection: connection.connection,
                    identity: connection.identity,
                    _state: PhantomData::<Unverified>,
                };
                match unverified.verify(runtime, service, server).await {
                    Ok(connection) => Ok(connection),
                    Err(_) => {
                        BackendConnection::dial(runtime, address)
                            .await?
                            .verify(runtime, service, server)
                            .await
                    }
                }
            }
            _ => {
                BackendConnection::dial(runtime, address)
                    .await?
                    .verify(runtime, service, server)
                    .await
            }
        }
    }

    /// Keeps a connection whose last response was read to its end; closes it if enough are idle
    /// already.
    pub fn put(&self, runtime: &Runtime, connection: BackendConnection<Verified>) {
        let mut idle = self.idle.lock().unwrap();
        let connections = idle
            .entry((
                connection.identity.server.clone(),
                connection.connection.peer,
            ))
            .or_default();
        if connections.len() < MAX_IDLE_PER_SERVER {
            connections.push((runtime.now(), connection));
        }
    }

    /// Closes connections that have been idle for too long.
    pub fn prune(&self, now: u64) {
        let mut idle = self.idle.lock().unwrap();
        idle.values_mut()
            .for_each(|connections| connections.retain(|entry| now < entry.0 + IDLE_TIMEOUT));
        idle.retain(|_, connections| !connections.is_empty());
    }
}

/// Reads a response's body line by line.
pub struct ResponseLines(Box<dyn futures_lite::AsyncBufRead + Send + Unpin>);

impl ResponseLines {
    /// Takes the response's body.
    pub fn from_response(response: &mut Response) -> ResponseLines {
        ResponseLines(Box::new(response.take_body()))
    }

    /// The next complete line without its line feed; None if the body ended, the connection failed,
    /// or no line was received within `timeout` (us).
    pub async fn next(&mut self, runtime: &Runtime, timeout: u64) -> Option<Vec<u8>> {
        let mut line = vec![];
        let bytes = runtime
            .timeout(timeout, self.0.read_until(b'\n', &mut line))
            .await?
            .ok()?;
        (bytes > 0 && line.pop() == Some(b'\n')).then_some(line)
    }

    /// Whether the body ends within 50 ms without further bytes, so that the connection can be
    /// reused.
    pub async fn reached_end(&mut self, runtime: &Runtime) -> bool {
        let mut line = vec![];
        matches!(
            runtime
                .timeout(50 * MS, self.0.read_until(b'\n', &mut line))
                .await,
            Some(Ok(0))
        )
    }
}

/// Sends one request on a pooled connection. The body of a successful response; None if the server
/// cannot be reached, does not answer within `timeout` (us) or answers with an error.
#[allow(clippy::too_many_arguments)]
pub async fn request_once(
    runtime: &Runtime,
    pool: &Pool,
    service: &str,
    server: &str,
    address: SocketAddr,
    path: &str,
    body: Vec<u8>,
    timeout: u64,
) -> Option<Vec<u8>> {
    let connection = pool.get(runtime, service, server, address).await.ok()?;
    let SendResult::Answered(mut response) = connection.send(runtime, path, body, timeout).await
    else {
        return None;
    };
    let is_success = response.status().is_success();
    let body_bytes = runtime
        .timeout(
            timeout,
            buffered_http::read_response_body(&mut response, MAX_FRAME_BYTES),
        )
        .await?
        .ok()?;
    pool.put(runtime, connection);
    is_success.then_some(body_bytes)
}
