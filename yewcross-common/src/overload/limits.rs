//! What a process may hold for its callers, derived from its bounds.

use crate::constants::{
    BACKLOG_MEMORY_PERCENT, CALLER_CONNECTION_BYTES, CALLER_CONNECTION_FILES_PERCENT,
    CALLER_CONNECTION_MEMORY_PERCENT, FILES_RESERVED, LISTENING_PORTS, MAX_ACCEPT_BACKLOG,
    MAX_CALLER_CONNECTIONS, PROCESS_BASE_BYTES, RECEIVE_WINDOW_BYTES_MAX, RECEIVE_WINDOW_BYTES_MIN,
    RECEIVE_WINDOW_PER_MEMORY, UNREAD_WINDOWS,
};
use crate::process_settings::Bounds;

/// Bytes in one MB of the settings.
const MB: usize = 1 << 20;

/// One eviction closes this part of the connections, so that a flood does not cost a search for each
/// new connection.
const EVICTION_BATCH_DIVISOR: usize = 32;

/// Limits of a process on what it holds for its callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OverloadLimits {
    /// Upper limit on open connections, of all ports together.
    pub max_connections: usize,
    /// Size of the system's receive buffer of a connection in bytes; `None` for the system's own.
    pub receive_window: Option<usize>,
    /// Upper limit on connections that wait to be accepted, for each port.
    pub accept_backlog: i32,
}

impl Default for OverloadLimits {
    fn default() -> OverloadLimits {
        OverloadLimits {
            max_connections: MAX_CALLER_CONNECTIONS,
            receive_window: None,
            accept_backlog: MAX_ACCEPT_BACKLOG,
        }
    }
}

/// The memory of a process within these bounds that is not needed by the process itself; `None`
/// without a limit.
pub fn available_memory(bounds: &Bounds) -> Option<usize> {
    let limit = bounds.memory_mb as usize * MB;
    (limit > 0).then(|| limit - PROCESS_BASE_BYTES.min(limit / 2))
}

impl OverloadLimits {
    /// The limits of a process within these bounds.
    pub fn within(bounds: &Bounds) -> OverloadLimits {
        let by_files = match bounds.files as usize {
            0 => MAX_CALLER_CONNECTIONS,
            files => files.saturating_sub(FILES_RESERVED) * CALLER_CONNECTION_FILES_PERCENT / 100,
        };
        let Some(available) = available_memory(bounds) else {
            return OverloadLimits {
                max_connections: by_files.clamp(1, MAX_CALLER_CONNECTIONS),
                ..OverloadLimits::default()
            };
        };
        let window = (bounds.memory_mb as usize * MB / RECEIVE_WINDOW_PER_MEMORY)
            .clamp(RECEIVE_WINDOW_BYTES_MIN, RECEIVE_WINDOW_BYTES_MAX);
        let unread = window * UNREAD_WINDOWS;
        let by_memory =
            available / 100 * CALLER_CONNECTION_MEMORY_PERCENT / (CALLER_CONNECTION_BYTES + unread);
        let backlog = available / 100 * BACKLOG_MEMORY_PERCENT / LISTENING_PORTS / unread;
        OverloadLimits {
            max_connections: by_memory.min(by_files).clamp(1, MAX_CALLER_CONNECTIONS),
            receive_window: Some(window),
            accept_backlog: (backlog as i32).clamp(1, MAX_ACCEPT_BACKLOG),
        }
    }

    /// Number of connections that are closed at once when there is no room for a new one.
    pub fn eviction_batch(&self) -> usize {
        (self.max_connections / EVICTION_BATCH_DIVISOR).max(1)
    }
}
