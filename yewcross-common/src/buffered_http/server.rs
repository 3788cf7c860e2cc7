//! HTTP server: accepts connections and serves the requests of each connection sequentially.

use super::response::{SendDeadline, error_response};
use super::tracker::ConnectionTracker;
use crate::buffer_memory::ReservedBuffer;
use crate::constants::{
    BODY_TIMEOUT, HEAD_TIMEOUT, IDLE_CONNECTION_TIMEOUT, MAX_BODY_BYTES, MAX_HEAD_BYTES, MS,
    RESPONSE_TIMEOUT, SEC,
};
use crate::error_code::Code;
use crate::overload::{CallerConnection, ConnectionPermit, ObservedConnection};
use crate::runtime::{BoxFuture, Connection, Listener, Runtime};
use futures_lite::future::or;
use futures_lite::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use http_types::{Method, Request, Response};
use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;

/// Time in µs for which the backlog is still accepted after the shutdown begins.
const BACKLOG_GRACE: u64 = 60 * MS;

/// Time in µs for which requests on idle connections are still accepted after the shutdown begins.
const IDLE_GRACE: u64 = 100 * MS;

/// Time limit in µs for sending an error response, and for reading the rest of a request body.
const FINISH_TIMEOUT: u64 = SEC;

/// Delay in µs before the next attempt after a failed accept, for instance for lack of file
/// descriptors.
const ACCEPT_BACKOFF: u64 = 10 * MS;

/// Number of bytes of a body that are read at once.
const BODY_PART_BYTES: usize = 8 << 10;

/// A request that has been read completely.
#[derive(Debug)]
pub struct BufferedRequest {
    /// HTTP method.
    pub method: Method,
    /// Path of the request target.
    pub path: String,
    /// Query of the request target, without the question mark.
    pub query: Option<String>,
    /// Value of `If-Match`, without quotes.
    pub if_match: Option<String>,
    /// Value of `If-None-Match`, without quotes.
    pub if_none_match: Option<String>,
    /// The complete body.
    pub body: Vec<u8>,
}

/// Handles a request and returns the response.
pub type Handler = Arc<dyn Fn(BufferedRequest) -> BoxFuture<'static, Response> + Send + Sync>;

/// The reason why a request could not be read.
enum ReadError {
    /// The connection was closed, or its idle timeout expired.
    Ended,
    /// The request is rejected with an error response, and the connection is closed.
    Rejected(Code),
}

/// Whether a connection is kept open after a request.
#[derive(PartialEq)]
enum AfterRequest {
    KeepAlive,
    Close,
}

/// Serves until the tracker signals a shutdown, then accepts the connections in the backlog and
/// returns once all connections are closed.
pub async fn serve(
    runtime: Runtime,
    listener: Box<dyn Listener>,
    handler: Handler,
    tracker: Arc<ConnectionTracker>,
) {
    loop {
        let shutdown = async {
            tracker.shutdown.wait().await;
            runtime.sleep(BACKLOG_GRACE).await;
            None
        };
        let Some(accepted) = or(async { Some(listener.accept().await) }, shutdown).await else {
            break;
        };
        let Ok(connection) = accepted else {
            runtime.sleep(ACCEPT_BACKOFF).await;
            continue;
        };
        let Some(permit) = tracker.overload.admit(&runtime, &connection).await else {
            let reject_runtime = runtime.clone();
            runtime.spawn(async move {
                reject_and_close(&reject_runtime, connection, Code::TooMany).await
            });
            continue;
        };
        tracker.open_connections.fetch_add(1, SeqCst);
        runtime.spawn(serve_connection(
            runtime.clone(),
            connection,
            handler.clone(),
            tracker.clone(),
            permit,
        ));
    }
    drop(listener);
    tracker.all_closed().await;
}

/// Serves the requests of one connection until it is closed.
async fn serve_connection(
    runtime: Runtime,
    mut connection: Connection,
    handler: Handler,
    tracker: Arc<ConnectionTracker>,
    permit: ConnectionPermit,
) {
    let caller = permit.connection();
    let serving = serve_requests(&runtime, &mut connection, &handler, &tracker, caller);
    or(serving, caller.evicted()).await;
    // Fails if the caller has already closed the connection.
    let _ = connection.close().await;
    drop(connection);
    drop(permit);
    tracker.connection_closed();
}

async fn serve_requests(
    runtime: &Runtime,
    connection: &mut Connection,
    handler: &Handler,
    tracker: &ConnectionTracker,
    caller: &Arc<CallerConnection>,
) {
    let mut is_first = true;
    while serve_request(runtime, connection, handler, tracker, caller, is_first).await
        == AfterRequest::KeepAlive
    {
        is_first = false;
        caller.begin_idle();
    }
}

/// Reads, handles and answers the next request of a connection.
async fn serve_request(
    runtime: &Runtime,
    connection: &mut Connection,
    handler: &Handler,
    tracker: &ConnectionTracker,
    caller: &Arc<CallerConnection>,
    is_first: bool,
) -> AfterRequest {
    let (mut request, mut body_rest) =
        match read_head(runtime, connection.clone(), tracker, is_first).await {
            Ok(head) => head,
            Err(error) => return end_connection(runtime, connection, error).await,
        };
    caller.begin_receiving();
    let read = read_body(runtime, &mut request, caller).await;
    let (body, _reservation) = match read {
        Ok(body) => body.into_parts(),
        Err(error) => return end_connection(runtime, connection, error).await,
    };
    caller.begin_working();
    tracker.active_requests.fetch_add(1, SeqCst);
    let method = request.method();
    let wants_close = request
        .header("connection")
        .is_some_and(|value| value.as_str().eq_ignore_ascii_case("close"));
    let mut response = handler(buffered_request(&request, body)).await;
    let is_last = wants_close || tracker.shutdown.is_set();
    if is_last {
        response.insert_header("connection", "close");
    }
    let deadline = response
        .ext()
        .get::<SendDeadline>()
        .map_or(runtime.now() + RESPONSE_TIMEOUT, |deadline| deadline.0);
    let mut observed = ObservedConnection::new(connection.clone(), caller.clone());
    let sent = runtime
        .timeout(
            deadline.saturating_sub(runtime.now()),
            send(&mut observed, response, method),
        )
        .await
        .unwrap_or(Err(io::ErrorKind::TimedOut.into()));
    tracker.request_ended();
    // The rest of the body would otherwise be parsed as the next head. If it cannot be read, neither
    // can the next head, so an error needs no handling here.
    let mut discarded = Vec::new();
    let _ = runtime
        .timeout(FINISH_TIMEOUT, body_rest.read_to_end(&mut discarded))
        .await;
    if sent.is_ok() && !is_last {
        AfterRequest::KeepAlive
    } else {
        AfterRequest::Close
    }
}

/// Sends an error response if the request was rejected; the connection is to be closed.
async fn end_connection(
    runtime: &Runtime,
    connection: &Connection,
    error: ReadError,
) -> AfterRequest {
    if let ReadError::Rejected(code) = error {
        reject_and_close(runtime, connection.clone(), code).await;
    }
    AfterRequest::Close
}

/// Reads the head of a request. Also returns a reader for the bytes of the body that are not consumed
/// through the request.
async fn read_head(
    runtime: &Runtime,
    connection: Connection,
    tracker: &ConnectionTracker,
    is_first: bool,
) -> Result<(Request, impl AsyncRead + Unpin), ReadError> {
    connection.limit_reads(2 * MAX_HEAD_BYTES);
    let timeout = if is_first {
        HEAD_TIMEOUT
    } else {
        IDLE_CONNECTION_TIMEOUT
    };
    let shutdown = async {
        // The first request of a new connection is expected shortly, so a shutdown does not cancel it.
        if is_first {
            std::future::pending::<()>().await;
        }
        tracker.shutdown.wait().await;
        runtime.sleep(IDLE_GRACE).await;
        Some(Ok(None))
    };
    let decode = runtime.timeout(timeout, async_h1::server::decode(connection.clone()));
    let head = match or(decode, shutdown).await {
        Some(Ok(Some(head))) => head,
        Some(Ok(None)) => return Err(ReadError::Ended),
        Some(Err(_)) if connection.read_limit_reached() => {
            return Err(ReadError::Rejected(Code::TooLarge));
        }
        // async-h1 has no error type for a head that exceeds its own limit.
        Some(Err(error)) if error.to_string().contains("8kb") => {
            return Err(ReadError::Rejected(Code::TooLarge));
        }
        Some(Err(_)) => return Err(ReadError::Rejected(Code::BadHead)),
        None if is_first => return Err(ReadError::Rejected(Code::TooSlow)),
        None => return Err(ReadError::Ended),
    };
    connection.limit_reads(u64::MAX);
    Ok(head)
}

/// Reads the complete body of a request into the memory for buffers.
async fn read_body(
    runtime: &Runtime,
    request: &mut Request,
    caller: &CallerConnection,
) -> Result<ReservedBuffer, ReadError> {
    let expected = request.len();
    if expected.is_some_and(|length| length > MAX_BODY_BYTES) {
        return Err(ReadError::Rejected(Code::TooLarge));
    }
    // Reading one byte more than allowed detects a body that is too large.
    let reader = request.take_body().take(MAX_BODY_BYTES as u64 + 1);
    let body = runtime
        .timeout(BODY_TIMEOUT, read_to_end(reader, expected, caller))
        .await
        .unwrap_or(Err(ReadError::Rejected(Code::TooSlow)))?;
    if body.len() > MAX_BODY_BYTES {
        return Err(ReadError::Rejected(Code::TooLarge));
    }
    if expected.is_some_and(|length| length != body.len()) {
        return Err(ReadError::Rejected(Code::BadBody));
    }
    Ok(body)
}

async fn read_to_end(
    mut reader: impl AsyncRead + Unpin,
    expected: Option<usize>,
    caller: &CallerConnection,
) -> Result<ReservedBuffer, ReadError> {
    let mut body = ReservedBuffer::with_reservation(caller.reservation());
    let mut part = vec![0; BODY_PART_BYTES];
    loop {
        let read = reader.read(&mut part).await;
        let count = read.map_err(|_| ReadError::Rejected(Code::BadBody))?;
        if count == 0 {
            return Ok(body);
        }
        let growth = body.growth_for(count, expected.or(Some(MAX_BODY_BYTES)));
        if growth > 0 && !caller.grow(body.reservation_mut(), growth).await {
            return Err(ReadError::Rejected(Code::LineFull));
        }
        body.extend_reserved(&part[..count], growth);
        if CallerConnection::is_large(body.len()) {
            caller.widen_receive_window();
        }
    }
}

/// Combines the head and the body of a request.
fn buffered_request(request: &Request, body: Vec<u8>) -> BufferedRequest {
    let unquoted = |name: &str| {
        request
            .header(name)
            .map(|value| value.as_str().trim_matches('"').to_string())
    };
    BufferedRequest {
        method: request.method(),
        path: request.url().path().to_string(),
        query: request.url().query().map(|query| query.to_string()),
        if_match: unquoted("if-match"),
        if_none_match: unquoted("if-none-match"),
        body,
    }
}

/// Sends a response to a request with the given method.
async fn send(
    connection: &mut (impl AsyncWrite + Unpin),
    response: Response,
    method: Method,
) -> io::Result<()> {
    let mut encoder = async_h1::server::Encoder::new(response, method);
    futures_lite::io::copy(&mut encoder, connection)
        .await
        .map(|_| ())
}

/// Sends an error response and closes the connection.
async fn reject_and_close(runtime: &Runtime, mut connection: Connection, code: Code) {
    let mut response = error_response(code, "", code.retry_after_s());
    response.insert_header("connection", "close");
    runtime
        .timeout(
            FINISH_TIMEOUT,
            send(&mut connection, response, Method::Post),
        )
        .await;
    // Fails if the caller has already closed the connection.
    let _ = connection.close().await;
}
