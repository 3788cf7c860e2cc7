//! HTTP server: accepts connections and serves their requests concurrently.

use super::head_timeout::{HeadProgress, HeadProgressRecorder, HeadTimer};
use super::tracker::ConnectionTracker;
use super::{Body, full};
use crate::buffer_memory::{BufferMemory, ReservedBuffer};
use crate::configuration::route::Limits;
use crate::constants::{CLOSING_LINGER, MS};
use crate::runtime::{BoxFuture, Connection, Listener, Runtime};
use bytes::Bytes;
use futures_lite::FutureExt;
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::BodyExt;
use hyper::body::Body as _;
use hyper::body::Incoming;
use smol_hyper::rt::FuturesIo;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Minimum size of hyper's buffer for a connection, in bytes.
const BUFFER_BYTES_MIN: usize = 8 << 10;

/// Delay in µs before the next attempt after a failed accept, for instance for lack of file
/// descriptors.
const ACCEPT_BACKOFF: u64 = 10 * MS;

/// Handles a request from the given address. The future is dropped when the caller disconnects.
pub type Handler =
    Arc<dyn Fn(Request<Incoming>, SocketAddr) -> BoxFuture<'static, Response<Body>> + Send + Sync>;

/// Represents a request in progress, which ends when the guard is dropped.
struct RequestGuard {
    tracker: Arc<ConnectionTracker>,
    progress: Arc<HeadProgress>,
}

impl RequestGuard {
    fn new(tracker: Arc<ConnectionTracker>, progress: Arc<HeadProgress>) -> RequestGuard {
        tracker.request_started();
        RequestGuard { tracker, progress }
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.tracker.request_ended();
        self.progress.request_ended();
    }
}

/// Answers one request: malformed ones with status 400, others with the handler's response.
async fn serve_request(
    handler: Handler,
    request: Request<Incoming>,
    caller: SocketAddr,
    guard: RequestGuard,
) -> Result<Response<Body>, Infallible> {
    let is_malformed = guard.progress.take_malformed() || request.uri().authority().is_some();
    let mut response = if is_malformed {
        bad_request()
    } else {
        handler(request, caller).await
    };
    if is_malformed || guard.tracker.keep_alive_disabled() {
        response
            .headers_mut()
            .insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}

fn bad_request() -> Response<Body> {
    let mut response = Response::new(full(Bytes::new()));
    *response.status_mut() = StatusCode::BAD_REQUEST;
    response
}

/// Serves the requests of one connection until it is closed.
async fn serve_connection(
    runtime: Runtime,
    connection: Connection,
    handler: Handler,
    limits: Limits,
    tracker: Arc<ConnectionTracker>,
) {
    let (progress, caller) = (Arc::new(HeadProgress::default()), connection.peer);
    let idle_ms = limits.idle_ms.max(limits.head_ms);
    let timer = HeadTimer {
        runtime: runtime.clone(),
        epoch: Instant::now(),
        progress: progress.clone(),
        head_timeout: limits.head_ms * MS,
        idle_timeout: idle_ms * MS,
    };
    let (request_tracker, request_progress) = (tracker.clone(), progress.clone());
    let service = hyper::service::service_fn(move |request| {
        let guard = RequestGuard::new(request_tracker.clone(), request_progress.clone());
        serve_request(handler.clone(), request, caller, guard)
    });
    let io = FuturesIo::new(HeadProgressRecorder::new(
        connection,
        runtime.clone(),
        progress,
    ));
    let mut serving = pin!(
        hyper::server::conn::http1::Builder::new()
            .timer(timer)
            .header_read_timeout(Duration::from_millis(idle_ms))
            .max_header_size(limits.head_bytes)
            .max_buf_size(limits.head_bytes.max(BUFFER_BYTES_MIN))
            .auto_date_header(false)
            .serve_connection(io, service)
    );
    // Errors of the connection are ignored: no response can be sent on it any more.
    let has_ended = async {
        let _ = serving.as_mut().await;
        true
    }
    .or(async {
        tracker.shutdown_started().await;
        false
    })
    .await;
    // Requests that arrive while the shutdown begins are still served.
    if !has_ended
        && runtime
            .timeout(CLOSING_LINGER, serving.as_mut())
            .await
            .is_none()
    {
        serving.as_mut().graceful_shutdown();
        let _ = serving.await;
    }
    tracker.connection_closed();
}

/// Serves until the tracker begins a shutdown, then accepts the connections in the backlog and returns
/// once all requests are answered. `limits` is evaluated for each connection.
pub async fn serve(
    runtime: Runtime,
    listener: Box<dyn Listener>,
    handler: Handler,
    limits: Arc<dyn Fn() -> Limits + Send + Sync>,
    tracker: Arc<ConnectionTracker>,
) {
    // The listener counts as a connection, so that the tracker does not report all connections as
    // closed while the listener is open.
    tracker.connection_opened();
    let spawn_connection = |connection: Connection| {
        tracker.connection_opened();
        runtime.spawn(serve_connection(
            runtime.clone(),
            connection,
            handler.clone(),
            limits(),
            tracker.clone(),
        ));
    };
    loop {
        let accepted = async { Some(listener.accept().await) }
            .or(async {
                tracker.shutdown_started().await;
                None
            })
            .await;
        match accepted {
            Some(Ok(connection)) if tracker.open_connections() <= tracker.max_connections() => {
                spawn_connection(connection)
            }
            // Connections above the limit are closed immediately.
            Some(Ok(connection)) => drop(connection),
            Some(Err(_)) => runtime.sleep(ACCEPT_BACKOFF).await,
            None => break,
        }
    }
    while let Some(Ok(connection)) = runtime.timeout(CLOSING_LINGER, listener.accept()).await {
        spawn_connection(connection);
    }
    drop(listener);
    tracker.connection_closed();
    tracker.all_closed().await;
}

/// The reason why a body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyReadError {
    /// The body exceeds the size limit.
    TooLarge,
    /// The body was not received completely, or is malformed.
    Incomplete,
    /// The body was received completely, but there was no memory to keep it.
    OutOfMemory,
}

/// Reads a complete body of at most `max_bytes` into the memory for buffers. A body for which there is
/// not enough of it is read to its end and discarded, so that it can be answered.
pub async fn read_body(
    mut body: Incoming,
    max_bytes: usize,
    memory: &Arc<BufferMemory>,
) -> Result<Bytes, BodyReadError> {
    let size = body.size_hint();
    if size.lower() > max_bytes as u64 {
        return Err(BodyReadError::TooLarge);
    }
    let expected_bytes = size.exact().map(|bytes| bytes as usize);
    let mut buffer = Some(ReservedBuffer::new(memory));
    let mut received_bytes = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyReadError::Incomplete)?;
        let Ok(chunk) = frame.into_data() else {
            continue;
        };
        received_bytes += chunk.len();
        if received_bytes > max_bytes {
            return Err(BodyReadError::TooLarge);
        }
        buffer = buffer.and_then(|mut buffer| {
            buffer.extend(&chunk, expected_bytes).ok()?;
            Some(buffer)
        });
    }
    buffer
        .map(ReservedBuffer::freeze)
        .ok_or(BodyReadError::OutOfMemory)
}
