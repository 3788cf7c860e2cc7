//! Conditions that a process waits out at its start instead of ending: an address or a data folder
//! that another process is about to free, or a disk that does not accept writes at the moment.

use crate::constants::{MS, STARTUP_RETRY_INTERVAL};
use crate::runtime::{Listener, Runtime};
use std::fmt::Display;
use std::future::Future;
use std::io;
use std::net::SocketAddr;

/// Repeats an attempt until it succeeds, for at most `timeout` µs. Returns the last error if it does
/// not succeed in time. `action` names the attempt in the log.
pub async fn retry<T, E: Display, F: Future<Output = Result<T, E>>>(
    runtime: &Runtime,
    timeout: u64,
    action: &str,
    mut attempt: impl FnMut() -> F,
) -> Result<T, E> {
    let started = runtime.now();
    let mut has_failed = false;
    loop {
        let error = match attempt().await {
            Ok(value) if !has_failed => return Ok(value),
            Ok(value) => {
                let waited_ms = (runtime.now() - started) / MS;
                runtime.log(&format!("{action} succeeded after {waited_ms} ms"));
                return Ok(value);
            }
            Err(error) => error,
        };
        if runtime.now() >= started + timeout {
            return Err(error);
        }
        if !has_failed {
            let timeout_ms = timeout / MS;
            runtime.log(&format!(
                "{action} failed, retrying for up to {timeout_ms} ms: {error}"
            ));
            has_failed = true;
        }
        runtime.sleep(STARTUP_RETRY_INTERVAL).await;
    }
}

/// Binds a listener at the start of a process; waits for up to `timeout` µs while that fails.
pub async fn bind(
    runtime: &Runtime,
    address: SocketAddr,
    timeout: u64,
) -> io::Result<Box<dyn Listener>> {
    let action = format!("binding {address}");
    retry(runtime, timeout, &action, || runtime.bind(address)).await
}

/// The address to listen on: the preferred one if it can be bound within `patience` µs, or else the
/// first of the alternatives that can. Returns the preferred one if none can be bound.
pub async fn choose_address(
    runtime: &Runtime,
    preferred: SocketAddr,
    alternatives: &[SocketAddr],
    patience: u64,
) -> SocketAddr {
    if alternatives.is_empty() || bind(runtime, preferred, patience).await.is_ok() {
        return preferred;
    }
    for alternative in alternatives {
        if runtime.bind(*alternative).await.is_ok() {
            runtime.log(&format!(
                "{preferred} stays in use; other nodes reach this one at {alternative}"
            ));
            return *alternative;
        }
    }
    preferred
}
