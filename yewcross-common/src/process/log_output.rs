//! Output of the log that never makes a process wait: a log that nobody reads, such as a full pipe,
//! loses lines instead of stopping the thread that writes them.

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::fd::{AsFd, BorrowedFd};
use spdlog::sink::{Sink, SinkPropAccess, WriteSink};
use spdlog::{Level, LevelFilter, Logger};
use std::io::{self, Write};
use std::sync::Arc;

/// Largest write to a pipe that does not wait if the pipe accepts any bytes (PIPE_BUF of Linux).
const PIPE_WRITE_BYTES: usize = 4096;

/// Writes the log to standard output, and warnings and errors to standard error, and logs panics.
pub fn install() {
    let sinks = [
        new_sink(io::stdout(), LevelFilter::MoreVerbose(Level::Warn)),
        new_sink(io::stderr(), LevelFilter::MoreSevereEqual(Level::Warn)),
    ];
    let mut builder = Logger::builder();
    builder.sinks(sinks.into_iter().flatten());
    // Without a logger of its own the process writes its log as the library does.
    if let Ok(logger) = builder.build_arc() {
        spdlog::set_default_logger(logger);
    }
    std::panic::set_hook(Box::new(|panic| {
        let thread = std::thread::current();
        let name = thread.name().unwrap_or("unnamed");
        spdlog::error!("thread {name}: {panic}");
    }));
}

fn new_sink<S: AsFd + Send + 'static>(stream: S, filter: LevelFilter) -> Option<Arc<dyn Sink>> {
    let output = LogOutput::new(stream);
    let sink = WriteSink::builder().target(output).build_arc().ok()?;
    sink.set_level_filter(filter);
    Some(sink)
}

/// Writes lines to a stream as long as that does not wait; drops them otherwise.
pub struct LogOutput<S> {
    stream: S,
    /// Number of lines dropped since the last one that was written.
    dropped_lines: u64,
}

impl<S: AsFd> LogOutput<S> {
    /// An output to the stream.
    pub fn new(stream: S) -> LogOutput<S> {
        LogOutput {
            stream,
            dropped_lines: 0,
        }
    }

    /// Writes the bytes, or returns false if that would wait.
    fn try_write(&self, bytes: &[u8]) -> bool {
        for part in bytes.chunks(PIPE_WRITE_BYTES) {
            if !accepts_bytes(self.stream.as_fd()) {
                return false;
            }
            // A stream that fails, such as a closed pipe, has no reader whom it would concern.
            let _ = rustix::io::write(&self.stream, part);
        }
        true
    }

    fn write_line(&mut self, line: &[u8]) -> bool {
        if self.dropped_lines > 0 {
            let notice = format!(
                "{} lines of the log were dropped: nobody read it\n",
                self.dropped_lines
            );
            if !self.try_write(notice.as_bytes()) {
                return false;
            }
            self.dropped_lines = 0;
        }
        self.try_write(line)
    }
}

impl<S: AsFd> Write for LogOutput<S> {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if !self.write_line(line) {
            self.dropped_lines += 1;
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Whether a write of [`PIPE_WRITE_BYTES`] does not wait. A stream that cannot tell is written to.
fn accepts_bytes(stream: BorrowedFd<'_>) -> bool {
    const NO_WAIT: Timespec = Timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    let mut descriptors = [PollFd::from_borrowed_fd(stream, PollFlags::OUT)];
    !matches!(poll(&mut descriptors, Some(&NO_WAIT)), Ok(0))
}
