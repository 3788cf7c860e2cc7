//! Reads a row of server-sent events as it passes, piece by piece, keeping their data.
//! Source: WHATWG HTML, 9.2.6 "Interpreting an event stream".

/// Counts events and gathers their data, each line of it with a line feed behind.
#[derive(Clone, Default)]
pub struct EventScanner {
    line: Vec<u8>,
    /// The last byte was a carriage return; a line feed behind it ends no other line.
    cr: bool,
    open: bool,
    keep: bool,
    data: Vec<u8>,
    events: u64,
    /// Bytes of data of whole events.
    whole_data: usize,
    /// The id of the event that is being read, and of the last one that was whole.
    id: Option<Vec<u8>>,
    last_id: Option<Vec<u8>>,
    falling_ids: bool,
    /// Bytes of the last piece up to the end of its last whole event.
    whole_bytes: usize,
}

fn value(line: &[u8], name_length: usize) -> &[u8] {
    let value = line.get(name_length + 1..).unwrap_or_default();
    value.strip_prefix(b" ").unwrap_or(value)
}

fn number(id: &[u8]) -> Option<u64> {
    std::str::from_utf8(id).ok()?.parse().ok()
}

impl EventScanner {
    /// With `keep` unset only the events are counted.
    pub fn new(keep: bool) -> EventScanner {
        EventScanner {
            keep,
            ..EventScanner::default()
        }
    }

    fn end_line(&mut self, l: &[u8]) {
        if l.is_empty() {
            self.events += std::mem::take(&mut self.open) as u64;
            self.whole_data = self.data.len();
            self.end_id();
        } else if l.starts_with(b"id:") {
            self.id = Some(value(l, 2).to_vec());
        } else if l == b"data" || l.starts_with(b"data:") {
            self.open = true;
            if self.keep {
                self.data.extend_from_slice(value(l, 4));
                self.data.push(b'\n');
            }
        }
    }

    /// An event that bears an id is over.
    fn end_id(&mut self) {
        let Some(id) = self.id.take() else { return };
        let before = self.last_id.as_deref().and_then(number);
        self.falling_ids |= matches!((before, number(&id)), (Some(a), Some(b)) if b <= a);
        self.last_id = Some(id);
    }

    pub fn push(&mut self, piece: &[u8]) {
        self.whole_bytes = 0;
        let mut b = piece;
        match b.first() {
            Some(b'\n') if self.cr => (b, self.cr) = (&b[1..], false),
            Some(_) => self.cr = false,
            None => {}
        }
        while let Some(i) = b.iter().position(|c| *c == b'\n' || *c == b'\r') {
            let is_blank = i == 0 && self.line.is_empty();
            if self.line.is_empty() {
                self.end_line(&b[..i]);
            } else {
                let mut l = std::mem::take(&mut self.line);
                l.extend_from_slice(&b[..i]);
                self.end_line(&l);
                l.clear();
                self.line = l;
            }
            let cr = b[i] == b'\r';
            b = &b[i + 1..];
            if cr {
                match b.first() {
                    Some(b'\n') => b = &b[1..],
                    None => self.cr = true,
                    _ => {}
                }
            }
            if is_blank {
                self.whole_bytes = piece.len() - b.len();
            }
        }
        self.line.extend_from_slice(b);
    }

    /// Events of which any byte of data passed.
    pub fn events(&self) -> u64 {
        self.events + (self.open || self.line.starts_with(b"data")) as u64
    }

    /// No event is left half told.
    pub fn is_complete(&self) -> bool {
        !self.open && self.line.is_empty()
    }

    /// Events that are whole.
    pub fn complete_events(&self) -> u64 {
        self.events
    }

    /// What was read up to the last whole event, for a server that goes on behind it: what was read
    /// of the next event never came.
    pub fn truncated_to_last_event(&self) -> EventScanner {
        let mut scan = self.clone();
        (scan.open, scan.cr, scan.id) = (false, false, None);
        scan.line.clear();
        scan.data.truncate(scan.whole_data);
        scan.whole_bytes = 0;
        scan
    }

    /// Bytes of the last piece that belong to whole events, or end one.
    pub fn complete_bytes(&self) -> usize {
        self.whole_bytes
    }

    /// The id of the last whole event that bore one.
    pub fn last_id(&self) -> Option<&[u8]> {
        self.last_id.as_deref()
    }

    /// The ids, as far as they are numbers, rose from event to event.
    pub fn ids_increase(&self) -> bool {
        !self.falling_ids
    }

    pub fn take_data(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.data)
    }
}
