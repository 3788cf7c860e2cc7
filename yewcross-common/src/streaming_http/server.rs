//! Accepts connections and serves their requests.

use super::head_timeout::{HeadProgress, HeadTimer, HeadWatcher};
use super::tracker::ConnectionTracker;
use super::{Body, full};
use crate::configuration::route::Limits;
use crate::constants::{CLOSING_LINGER, MAX_CALLER_CONNECTIONS, MS};
use crate::runtime::{BoxFuture, Connection, Listener, Runtime};
use bytes::Bytes;
use futures_lite::FutureExt;
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use smol_hyper::rt::FuturesIo;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Bytes of hyper's buffer for a connection, at least.
const BUFFER_BYTES_MIN: usize = 8 << 10;

/// µs until the next attempt after a failure to accept, such as a lack of file descriptors.
const ACCEPT_BACKOFF: u64 = 10 * MS;

/// Answers a request of a caller at the address. Its future is dropped when the caller goes.
pub type Handler =
    Arc<dyn Fn(Request<Incoming>, SocketAddr) -> BoxFuture<'static, Response<Body>> + Send + Sync>;

/// A request in progress, until it is dropped.
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

async fn serve_request(
    handler: Handler,
    request: Request<Incoming>,
    from: SocketAddr,
    guard: RequestGuard,
) -> Result<Response<Body>, Infallible> {
    let is_malformed = guard.progress.take_malformed() || request.uri().authority().is_some();
    let mut response = if is_malformed {
        bad_request()
    } else {
        handler(request, from).await
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

async fn serve_connection(
    runtime: Runtime,
    connection: Connection,
    handler: Handler,
    limits: Limits,
    tracker: Arc<ConnectionTracker>,
) {
    let (progress, from) = (Arc::new(HeadProgress::default()), connection.peer);
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
        serve_request(handler.clone(), request, from, guard)
    });
    let io = FuturesIo::new(HeadWatcher::new(connection, runtime.clone(), progress));
    let mut serving = pin!(
        hyper::server::conn::http1::Builder::new()
            .timer(timer)
            .header_read_timeout(Duration::from_millis(idle_ms))
            .max_header_size(limits.head_bytes)
            .max_buf_size(limits.head_bytes.max(BUFFER_BYTES_MIN))
            .auto_date_header(false)
            .serve_connection(io, service)
    );
    // Errors of a connection are its caller's: nothing is left to answer on it.
    let has_ended = async {
        let _ = serving.as_mut().await;
        true
    }
    .or(async {
        tracker.shutdown_started().await;
        false
    })
    .await;
    // What the caller sends at this very moment is still served.
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

/// Serves until the tracker is closed; then accepts what is in the backlog and returns when all
/// requests are answered. `limits` is read for each connection.
pub async fn serve(
    runtime: Runtime,
    listener: Box<dyn Listener>,
    handler: Handler,
    limits: Arc<dyn Fn() -> Limits + Send + Sync>,
    tracker: Arc<ConnectionTracker>,
) {
    // The listener counts as a connection, so that the tracker is not empty before it is closed.
    tracker.connection_opened();
    let start = |connection: Connection| {
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
            Some(Ok(connection)) if tracker.open_connections() <= MAX_CALLER_CONNECTIONS => {
                start(connection)
            }
            // Beyond that many, connections are closed at once.
            Some(Ok(connection)) => drop(connection),
            Some(Err(_)) => runtime.sleep(ACCEPT_BACKOFF).await,
            None => break,
        }
    }
    while let Some(Ok(connection)) = runtime.timeout(CLOSING_LINGER, listener.accept()).await {
        start(connection);
    }
    drop(listener);
    tracker.connection_closed();
    tracker.all_closed().await;
}

/// Why a body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyReadError {
    /// It is larger than allowed.
    TooLarge,
    /// The connection failed, or the body is malformed.
    Incomplete,
}

/// Reads a body completely, if it has no more than `max_bytes`.
pub async fn read_body(body: Incoming, max_bytes: usize) -> Result<Bytes, BodyReadError> {
    use hyper::body::Body as _;
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(BodyReadError::TooLarge);
    }
    match Limited::new(body, max_bytes).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => {
            Err(BodyReadError::TooLarge)
        }
        Err(_) => Err(BodyReadError::Incomplete),
    }
}
