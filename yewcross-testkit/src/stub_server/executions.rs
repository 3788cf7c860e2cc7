//! The record of what ran, against which checkers hold what callers were answered.

use super::StubServer;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Mutex;

/// One execution, recorded as it starts; its output grows with each piece made.
#[derive(Clone, Debug, Serialize)]
pub struct Execution {
    /// us at which it started.
    pub at: u64,
    /// The job.
    pub job: String,
    /// What the front called this attempt.
    #[serde(rename = "shot")]
    pub attempt: String,
    /// Where it ran.
    pub server: String,
    /// The server's service.
    pub service: String,
    /// The turn's session, or the lookup's key.
    pub session: String,
    /// The turn's program, or the lookup's method.
    pub program: String,
    /// Tokens put out so far.
    pub output: u64,
}

/// A request that reached a server after it began to drain.
#[derive(Clone, Debug)]
pub struct LateArrival {
    /// us
    pub at: u64,
    /// The server.
    pub server: String,
    /// The job, or what else was asked.
    pub request: String,
}

/// What ran at all servers that share it.
#[derive(Default)]
pub struct ExecutionLog {
    /// In order of their start.
    pub executions: Mutex<Vec<Execution>>,
    /// In order of their arrival.
    pub late_arrivals: Mutex<Vec<LateArrival>>,
}

/// Executions under way at one server.
#[derive(Default)]
pub(super) struct LiveExecutions {
    /// Indexes in the log, by job.
    by_job: BTreeMap<String, usize>,
    cancelled: BTreeSet<String>,
}

impl LiveExecutions {
    /// Cancels the job. Returns its index in the log, or None if it is not under way.
    fn cancel(&mut self, job: &str) -> Option<usize> {
        let index = self.by_job.get(job).copied()?;
        self.cancelled.insert(job.into());
        Some(index)
    }
}

/// Marks an execution as under way until it is dropped.
pub(super) struct LiveExecution<'a> {
    server: &'a StubServer,
    job: String,
    index: usize,
}

impl LiveExecution<'_> {
    pub(super) fn set_output(&self, tokens: u64) {
        let mut executions = self.server.log.executions.lock().unwrap();
        executions[self.index].output = tokens;
    }

    /// Whether the job was cancelled since the last call.
    pub(super) fn take_cancelled(&self) -> bool {
        self.server.state().live.cancelled.remove(&self.job)
    }
}

impl Drop for LiveExecution<'_> {
    fn drop(&mut self) {
        let mut state = self.server.state();
        state.live.by_job.remove(&self.job);
        state.live.cancelled.remove(&self.job);
    }
}

impl StubServer {
    /// Records the start of a job, which names its attempt behind a `#`; returns its index.
    pub(super) fn record_execution(&self, job: &str, session: &str, program: &str) -> usize {
        let execution = Execution {
            at: self.runtime.now(),
            job: job.split('#').next().unwrap_or("").into(),
            attempt: job.split('#').next_back().unwrap_or("").into(),
            server: self.settings.server.clone(),
            service: self.settings.service.clone(),
            session: session.into(),
            program: program.into(),
            output: 0,
        };
        let mut executions = self.log.executions.lock().unwrap();
        executions.push(execution);
        executions.len() - 1
    }

    /// Records the start of a job that can be cancelled while it runs.
    pub(super) fn begin_execution(
        &self,
        job: &str,
        session: &str,
        program: &str,
    ) -> LiveExecution<'_> {
        let index = self.record_execution(job, session, program);
        self.state().live.by_job.insert(job.into(), index);
        LiveExecution {
            server: self,
            job: job.into(),
            index,
        }
    }

    /// Cancels a job. Returns its output so far, or None if it is not under way.
    pub(super) fn cancel(&self, job: &str) -> Option<u64> {
        let index = self.state().live.cancel(job)?;
        Some(self.log.executions.lock().unwrap()[index].output)
    }

    /// Records a request that arrives while the server drains.
    pub(super) fn record_arrival(&self, request: &str) {
        if !self.is_draining() {
            return;
        }
        let arrival = LateArrival {
            at: self.runtime.now(),
            server: self.settings.server.clone(),
            request: request.into(),
        };
        self.log.late_arrivals.lock().unwrap().push(arrival);
    }
}
