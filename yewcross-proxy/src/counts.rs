//! The counters of a node, as `/metrics` shows them.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering::SeqCst};

/// Defines the node's counters; `/metrics` shows each one under the name of its field.
macro_rules! counts {
    ($($f:ident),*) => {
        /// Counters of a node, shown by `/metrics` under the names of the fields.
        #[derive(Default)]
        pub struct Counts { $(pub $f: AtomicU64),* }
        impl Counts {
            /// The values of all counters by name.
            pub fn all(&self) -> BTreeMap<&'static str, u64> {
                [$((stringify!($f), self.$f.load(SeqCst))),*].into()
            }
        }
    };
}

counts!(
    // Load reports of servers that failed validation.
    absurd,
    turns,
    done,
    replayed,
    // Turns closed with an unknown outcome.
    lost,
    // Turn responses whose output failed verification.
    broken,
    cancelled,
    lookups,
    found,
    // Connections that reached a server with another identity than selected.
    strangers,
    polls,
    // Finished turns by the share of the prompt that the server reused from its cache.
    warm,
    partly,
    cold,
    // The same for turns that ran on another server than the one that holds the session's prefix;
    // `moved_short`: with a prefix too short to have a replica.
    moved_warm,
    moved_partly,
    moved_cold,
    moved_short,
    imports,
    imports_failed,
    imports_skipped,
    // Turns dispatched to the server of a replica that had not been imported yet.
    unready,
    import_us,
    pushes,
    push_failed,
    push_skipped,
    // Bytes pushed to servers of the same site, and of another.
    push_within,
    push_across,
    // Updates of a session's cache state that the store did not accept.
    note_refused,
    drops
);
