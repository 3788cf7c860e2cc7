//! A running digest over what the machines do, free of any text that is only logged.
//!
//! Names of items in the source do not enter: machines go by the names of the deployment, files by
//! their paths, connections by their number, and kinds of events by codes that are fixed here. The
//! time in an answer's `date` header does not enter: the HTTP library takes it from the computer's
//! own clock.

use std::borrow::Cow;
use std::net::SocketAddr;
use yewcross_common::hash::hash_128;

const DATE: &[u8] = b"\r\ndate: ";
/// As in `Wed, 02 Dec 2026 14:25:51 GMT`.
const DATE_LENGTH: usize = 29;

/// The bytes, with each time in a `date` header blanked.
fn undated(data: &[u8]) -> Cow<'_, [u8]> {
    let mut blanked = Cow::Borrowed(data);
    let starts = data
        .windows(DATE.len())
        .enumerate()
        .filter(|(_, window)| *window == DATE);
    for (start, _) in starts {
        let time = start + DATE.len()..start + DATE.len() + DATE_LENGTH;
        if data
            .get(time.clone())
            .is_some_and(|time| time.ends_with(b" GMT"))
        {
            blanked.to_mut()[time].fill(b' ');
        }
    }
    blanked
}

/// Digest of everything that happened so far.
#[derive(Default)]
pub(super) struct Fingerprint {
    state: u128,
    /// One event's bytes; kept to be filled again.
    row: Vec<u8>,
}

/// What happened on a machine.
pub(super) enum Event<'a> {
    Booted,
    Killed,
    LostPower,
    LostDisk,
    Froze,
    Woke,
    /// All cuts between machines are gone.
    Healed,
    /// It listens at an address, or was refused to.
    Bound {
        at: SocketAddr,
        ok: bool,
    },
    /// It no longer listens at an address.
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
    /// No machine has the address: nobody will answer.
    Unheard {
        at: SocketAddr,
    },
    Wrote {
        connection: u64,
        to: &'a str,
        data: &'a [u8],
    },
    /// It writes no more.
    Closed {
        connection: u64,
        to: &'a str,
    },
    /// It reads no more either.
    Left {
        connection: u64,
        to: &'a str,
    },
    Stored {
        step: &'a DiskStep,
        ok: bool,
    },
}

/// Kinds of disk operations. The codes are part of the fingerprint.
#[derive(Clone, Copy)]
pub(super) enum DiskKind {
    Put = 1,
    Sync = 2,
    Rename = 3,
    Remove = 4,
    Append = 5,
    Get = 6,
    List = 7,
    MakeFolder = 8,
}

/// A disk operation, and the length and digest of what it writes.
pub(super) struct DiskStep {
    kind: DiskKind,
    path: String,
    length: usize,
    digest: u128,
}

impl DiskStep {
    pub(super) fn new(kind: DiskKind, path: &str, data: &[u8]) -> DiskStep {
        DiskStep {
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

    /// Takes in what happened on the machine at the time.
    pub(super) fn add(&mut self, time: u64, machine: &str, event: Event) {
        self.row.clear();
        self.row.extend(self.state.to_le_bytes());
        self.number(time);
        self.text(machine);
        self.event(event);
        self.state = hash_128(&self.row);
    }

    fn event(&mut self, event: Event) {
        match event {
            Event::Booted => self.code(1),
            Event::Killed => self.code(2),
            Event::LostPower => self.code(3),
            Event::LostDisk => self.code(4),
            Event::Froze => self.code(5),
            Event::Woke => self.code(6),
            Event::Healed => self.code(7),
            Event::Bound { at, ok } => self.code(8).address(at).code(ok.into()),
            Event::Unbound { at } => self.code(9).address(at),
            Event::Opened { connection, to, at } => {
                self.code(10).number(connection).text(to).address(at)
            }
            Event::Refused { to, at } => self.code(11).text(to).address(at),
            Event::Unheard { at } => self.code(12).address(at),
            Event::Wrote {
                connection,
                to,
                data,
            } => self
                .code(13)
                .number(connection)
                .text(to)
                .content(data.len(), hash_128(&undated(data))),
            Event::Closed { connection, to } => self.code(14).number(connection).text(to),
            Event::Left { connection, to } => self.code(15).number(connection).text(to),
            Event::Stored { step, ok } => self
                .code(16)
                .code(step.kind as u8)
                .text(&step.path)
                .content(step.length, step.digest)
                .code(ok.into()),
        };
    }

    fn code(&mut self, code: u8) -> &mut Self {
        self.row.push(code);
        self
    }

    fn number(&mut self, number: u64) -> &mut Self {
        self.row.extend(number.to_le_bytes());
        self
    }

    fn text(&mut self, text: &str) -> &mut Self {
        self.number(text.len() as u64);
        self.row.extend(text.as_bytes());
        self
    }

    fn address(&mut self, address: SocketAddr) -> &mut Self {
        self.text(&address.to_string())
    }

    fn content(&mut self, length: usize, digest: u128) -> &mut Self {
        self.number(length as u64);
        self.row.extend(digest.to_le_bytes());
        self
    }
}
