//! The signals that a process handles: SIGTERM and SIGINT stop it, SIGHUP reloads its settings.

use async_signal::{Signal, Signals};
use futures_lite::{FutureExt, StreamExt};
use std::future::{Future, pending};
use std::io;

/// What a signal requests from the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignalRequest {
    /// End in order.
    Stop,
    /// Read the settings again.
    Reload,
}

/// How the start of a process went, as far as signals are concerned.
pub enum StartOutcome<T> {
    /// The start completed.
    Completed {
        /// What the start returned.
        result: T,
        /// Whether the settings may have changed since they were read.
        is_reload_requested: bool,
    },
    /// A signal to stop arrived first.
    Stopped,
}

/// The handlers of the signals. As long as it is not dropped, none of them ends the process.
pub struct ProcessSignals(Signals);

impl ProcessSignals {
    /// Installs the handlers. Before that, each of these signals ends the process, so a program
    /// calls this before anything that takes time.
    pub fn install() -> io::Result<ProcessSignals> {
        Signals::new([Signal::Term, Signal::Int, Signal::Hup]).map(ProcessSignals)
    }

    /// Waits for the next signal and logs it.
    pub async fn next(&mut self) -> SignalRequest {
        loop {
            let request = match self.0.next().await {
                Some(Ok(Signal::Hup)) => SignalRequest::Reload,
                Some(Ok(_)) => SignalRequest::Stop,
                Some(Err(_)) => continue,
                None => pending().await,
            };
            super::log(match request {
                SignalRequest::Stop => "signal to stop received",
                SignalRequest::Reload => "signal to reload the settings received",
            });
            return request;
        }
    }

    /// Waits for a signal to stop; `on_reload` is called for each signal to reload.
    pub async fn stop_requested(&mut self, mut on_reload: impl FnMut()) {
        while self.next().await == SignalRequest::Reload {
            on_reload();
        }
    }

    /// Runs the start of the process, unless a signal to stop arrives before it completes.
    pub async fn start<T>(&mut self, start: impl Future<Output = T>) -> StartOutcome<T> {
        let mut is_reload_requested = false;
        let completed = async { Some(start.await) };
        let stopped = async {
            self.stop_requested(|| is_reload_requested = true).await;
            None
        };
        match completed.or(stopped).await {
            Some(result) => StartOutcome::Completed {
                result,
                is_reload_requested,
            },
            None => StartOutcome::Stopped,
        }
    }
}
