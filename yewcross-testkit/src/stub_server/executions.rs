//! The log of executed jobs, which checkers compare with the responses that callers received.

use super::StubServer;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Mutex;

/// One execution, recorded at its start; its output is updated with each piece generated.
#[derive(Clone, Debug, Serialize)]
pub struct Execution {
    /// Start of the execution, us.
    pub at: u64,
    /// Id of the job.
    pub job: String,
    /// Id that the front assigned to this attempt.
    #[serde(rename = "shot")]
    pub attempt: String,
    /// Name of the server that executed it.
    pub server: String,
    /// Service of that server.
    pub service: String,
    /// The turn's session, or the lookup's key.
    pub session: String,
    /// The turn's program, or the lookup's method.
    pub program: String,
    /// Output tokens generated so far.
    pub output: u64,
}

/// A request that reached a server after it began to drain.
#[derive(Clone, Debug)]
pub struct LateArrival {
    /// Time of arrival, us.
    pub at: u64,
    /// Name of the server.
    pub server: String,
    /// Id of the job, or a description of another request.
    pub request: String,
}

/// Executions and late arrivals of all servers that share this log.
#[derive(Default)]
pub struct ExecutionLog {
    /// Executions, in the order in which they started.
    pub executions: Mutex<Vec<Execution>>,
    /// Requests to draining servers, in the order in which they arrived.
    pub late_arrivals: Mutex<Vec<LateArrival>>,
}

/// Executions in progress at one server.
#[derive(Default)]
pub(super) struct RunningExecutions {
    /// Index in the log of each job's execution.
    by_job: BTreeMap<String, usize>,
    /// Jobs whose cancellation was requested and not yet taken.
    cancelled: BTreeSet<String>,
}

impl RunningExecutions {
    /// Marks the job as cancelled. Returns the index of its execution in the log, or None if it is
    /// not running.
    fn cancel(&mut self, job: &str) -> Option<usize> {
        let index = self.by_job.get(job).copied()?;
        self.cancelled.insert(job.into());
        Some(index)
    }
}

/// Guard of an execution in progress, which ends when the guard is dropped.
pub(super) struct RunningExecution<'a> {
    server: &'a StubServer,
    job: String,
    index: usize,
}

impl RunningExecution<'_> {
    pub(super) fn set_output(&self, tokens: u64) {
        let mut executions = self.server.log.executions.lock().unwrap();
        executions[self.index].output = tokens;
    }

    /// Whether the job was cancelled since the last call.
    pub(super) fn take_cancelled(&self) -> bool {
        self.server
            .state()
            .running_executions
            .cancelled
            .remove(&self.job)
    }
}

impl Drop for RunningExecution<'_> {
    fn drop(&mut self) {
        let mut state = self.server.state();
        state.running_executions.by_job.remove(&self.job);
        state.running_executions.cancelled.remove(&self.job);
    }
}

impl StubServer {
    /// Records the start of an execution; returns its index in the log. `job` has the form
    /// `<job>#<attempt>`.
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

    /// Records the start of an execution that can be cancelled while it runs.
    pub(super) fn begin_execution(
        &self,
        job: &str,
        session: &str,
        program: &str,
    ) -> RunningExecution<'_> {
        let index = self.record_execution(job, session, program);
        self.state()
            .running_executions
            .by_job
            .insert(job.into(), index);
        RunningExecution {
            server: self,
            job: job.into(),
            index,
        }
    }

    /// Cancels a job. Returns its output tokens so far, or None if it is not running.
    pub(super) fn cancel(&self, job: &str) -> Option<u64> {
        let index = self.state().running_executions.cancel(job)?;
        Some(self.log.executions.lock().unwrap()[index].output)
    }

    /// Records a request if the server is draining.
    pub(super) fn record_late_arrival(&self, request: &str) {
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
