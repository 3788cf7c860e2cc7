//! A running digest of what the machines do, independent of the text that is logged.
//!
//! It depends on no names of items in the source: machines are identified by their names in the
//! deployment, files by their paths, connections by their number, and kinds of events by codes that
//! are fixed here. The time in a response's `date` header is left out, because the HTTP library
//! takes it from the host's real clock.

use std::borrow::Cow;
use std::net::SocketAddr;
use yewcross_common::hash::hash_128;

const DATE_HEADER: &[u8] = b"\r\ndate: ";
/// Bytes of a time such as `Wed, 02 Dec 2026 14:25:51 GMT`.
const DATE_LENGTH: usize = 29;

/// Replaces each time in a `date` header by blanks.
fn blank_dates(data: &[u8]) -> Cow<'_, [u8]> {
    let mut blanked = Cow::Borrowed(data);
    let starts = data
        .windows(DATE_HEADER.len())
        .enumerate()
        .filter(|(_, window)| *window == DATE_HEADER);
    for (start, _) in starts {
        let time = start + DATE_HEADER.len()..start + DATE_HEADER.len() + DATE_LENGTH;
        if data
            .get(time.clone())
            .is_some_and(|time| time.ends_with(b" GMT"))
        {
            blanked.to_mut()[time].fill(b' ');
        }
    }
    blanked
}

/// Digest of all events so far.
#[derive(Default)]
pub(super) struct Fingerprint {
    state: u128,
    /// The encoded event; its allocation is reused for the next one.
    event_bytes: Vec<u8>,
}

/// An event on a machine.
pub(super) enum Event<'a> {
    Booted,
    Killed,
    LostPower,
    LostDisk,
    Frozen,
    Resumed,
    /// All partitions between machines have ended.
    Healed,
    /// It began to listen at an address; `ok` is false if the address was in use.
    Bound {
        at: SocketAddr,
        ok: bool,
    },
    /// It stopped listening at an address.
    Unbound {
        at: SocketAddr,
    },
    Opened {
        connection: u64,
        to: &'a str,
        at: SocketAddr,
    },
    Refused {
        to: &'a str,
        at: SocketAddr,
    },
    /// It connected to an address that no machine with power has.
    Unreachable {
        at: SocketAddr,
    },
    Wrote {
        connection: u64,
        to: &'a str,
        data: &'a [u8],
    },
    /// It closed the connection for writing.
    Closed {
        connection: u64,
        to: &'a str,
    },
    /// It dropped its endpoint, so it no longer reads either.
    Dropped {
        connection: u64,
        to: &'a str,
    },
    DiskAccessed {
        operation: &'a DiskOperation,
        ok: bool,
    },
}

/// Kinds of disk operations. The discriminants are part of the fingerprint.
#[derive(Clone, Copy)]
pub(super) enum DiskOperationKind {
    Write = 1,
    Sync = 2,
    Rename = 3,
    Remove = 4,
    Append = 5,
    Read = 6,
    List = 7,
    CreateDirectory = 8,
}

/// A disk operation, with the length (bytes) and digest of the data that it writes.
pub(super) struct DiskOperation {
    kind: DiskOperationKind,
    path: String,
    length: usize,
    digest: u128,
}

impl DiskOperation {
    pub(super) fn new(kind: DiskOperationKind, path: &str, data: &[u8]) -> DiskOperation {
        DiskOperation {
            kind,
            path: path.into(),
            length: data.len(),
            digest: hash_128(data),
        }
    }
}

impl Fingerprint {
    pub(super) fn value(&self) -> u128 {
        self.state
    }

    /// Adds an event on the machine at a virtual time (us).
    pub(super) fn add(&mut self, time: u64, machine: &str, event: Event) {
        self.event_bytes.clear();
        self.event_bytes.extend(self.state.to_le_bytes());
        self.push_number(time);
        self.push_text(machine);
        self.push_event(event);
        self.state = hash_128(&self.event_bytes);
    }

    fn push_event(&mut self, event: Event) {
        match event {
            Event::Booted => self.push_code(1),
            Event::Killed => self.push_code(2),
            Event::LostPower => self.push_code(3),
            Event::LostDisk => self.push_code(4),
            Event::Frozen => self.push_code(5),
            Event::Resumed => self.push_code(6),
            Event::Healed => self.push_code(7),
            Event::Bound { at, ok } => self.push_code(8).push_address(at).push_code(ok.into()),
            Event::Unbound { at } => self.push_code(9).push_address(at),
            Event::Opened { connection, to, at } => self
                .push_code(10)
                .push_number(connection)
                .push_text(to)
                .push_address(at),
            Event::Refused { to, at } => self.push_code(11).push_text(to).push_address(at),
            Event::Unreachable { at } => self.push_code(12).push_address(at),
            Event::Wrote {
                connection,
                to,
                data,
            } => self
                .push_code(13)
                .push_number(connection)
                .push_text(to)
                .push_content(data.len(), hash_128(&blank_dates(data))),
            Event::Closed { connection, to } => {
                self.push_code(14).push_number(connection).push_text(to)
            }
            Event::Dropped { connection, to } => {
                self.push_code(15).push_number(connection).push_text(to)
            }
            Event::DiskAccessed { operation, ok } => self
                .push_code(16)
                .push_code(operation.kind as u8)
                .push_text(&operation.path)
                .push_content(operation.length, operation.digest)
                .push_code(ok.into()),
        };
    }

    fn push_code(&mut self, code: u8) -> &mut Self {
        self.event_bytes.push(code);
        self
    }

    fn push_number(&mut self, number: u64) -> &mut Self {
        self.event_bytes.extend(number.to_le_bytes());
        self
    }

    fn push_text(&mut self, text: &str) -> &mut Self {
        self.push_number(text.len() as u64);
        self.event_bytes.extend(text.as_bytes());
        self
    }

    fn push_address(&mut self, address: SocketAddr) -> &mut Self {
        self.push_text(&address.to_string())
    }

    fn push_content(&mut self, length: usize, digest: u128) -> &mut Self {
        self.push_number(length as u64);
        self.event_bytes.extend(digest.to_le_bytes());
        self
    }
}
