//! HTTP server: accepts connections and serves their requests concurrently.

use super::answered_body::AnsweredBody;
use super::head_timeout::{HeadProgress, HeadProgressRecorder, HeadTimer};
use super::tracker::ConnectionTracker;
use super::{Body, full};
use crate::configuration::route::Limits;
use crate::constants::{CLOSING_LINGER, MS, SHUTDOWN_BACKLOG_TIME};
use crate::overload::{CallerConnection, ConnectionPermit, WorkingGuard};
use crate::runtime::{BoxFuture, Connection, Listener, Runtime};
use bytes::Bytes;
use futures_lite::FutureExt;
use http::{HeaderValue, Request, Response, StatusCode, header};
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
    mut request: Request<Incoming>,
    address: SocketAddr,
    guard: RequestGuard,
    caller: Arc<CallerConnection>,
) -> Result<Response<Body>, Infallible> {
    let working = WorkingGuard::new(&caller);
    if request.body().is_end_stream() {
        caller.begin_working();
    }
    request.extensions_mut().insert(caller);
    let is_malformed = guard.progress.take_malformed() || request.uri().authority().is_some();
    let mut response = if is_malformed {
        bad_request()
    } else {
        handler(request, address).await
    };
    if is_malformed || guard.tracker.keep_alive_disabled() {
        response
            .headers_mut()
            .insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response.map(|body| AnsweredBody::guarded(body, working)))
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
    permit: ConnectionPermit,
) {
    let (progress, address) = (Arc::new(HeadProgress::default()), connection.peer);
    let caller = permit.connection().clone();
    let idle_ms = limits.idle_ms.max(limits.head_ms);
    let timer = HeadTimer {
        runtime: runtime.clone(),
        epoch: Instant::now(),
        progress: progress.clone(),
        head_timeout: limits.head_ms * MS,
        idle_timeout: idle_ms * MS,
    };
    let (request_tracker, request_progress) = (tracker.clone(), progress.clone());
    let request_caller = caller.clone();
    let service = hyper::service::service_fn(move |request| {
        let guard = RequestGuard::new(request_tracker.clone(), request_progress.clone());
        serve_request(
            handler.clone(),
            request,
            address,
            guard,
            request_caller.clone(),
        )
    });
    let io = FuturesIo::new(HeadProgressRecorder::new(
        connection,
        runtime.clone(),
        progress,
        caller.clone(),
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
    let serving_until_shutdown = async {
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
            let _ = serving.as_mut().await;
        }
    };
    serving_until_shutdown.or(caller.evicted()).await;
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
    let spawn_connection = |connection: Connection, permit: ConnectionPermit| {
        tracker.connection_opened();
        let serving = serve_connection(
            runtime.clone(),
            connection,
            handler.clone(),
            limits(),
            tracker.clone(),
            permit,
        );
        let tracker = tracker.clone();
        runtime.spawn(async move {
            serving.await;
            tracker.connection_closed();
        });
    };
    // A connection for which there is no room is closed.
    let admit = async |connection: Connection| {
        let permit = tracker.overload().admit(&runtime, &connection).await;
        if let Some(permit) = permit {
            spawn_connection(connection, permit);
        }
    };
    loop {
        let accepted = async { Some(listener.accept().await) }
            .or(async {
                tracker.shutdown_started().await;
                None
            })
            .await;
        match accepted {
            Some(Ok(connection)) => admit(connection).await,
            Some(Err(_)) => runtime.sleep(ACCEPT_BACKOFF).await,
            None => break,
        }
    }
    // Connections may keep coming: once the linger time is over, only those that have arrived already
    // are accepted.
    let shutdown_start = runtime.now();
    while runtime.now() < shutdown_start + SHUTDOWN_BACKLOG_TIME {
        let linger_left = (shutdown_start + CLOSING_LINGER).saturating_sub(runtime.now());
        let accepted = runtime.timeout(linger_left, listener.accept()).await;
        let Some(Ok(connection)) = accepted else {
            break;
        };
        admit(connection).await;
    }
    drop(listener);
    tracker.connection_closed();
    tracker.all_closed().await;
}
