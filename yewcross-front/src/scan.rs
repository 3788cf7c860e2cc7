//! Reads a row of server-sent events as it passes, piece by piece, keeping their data.
//! Source: WHATWG HTML, 9.2.6 "Interpreting an event stream".

/// Counts events and gathers their data, each line of it with a line feed behind.
#[derive(Default)]
pub struct Scan {
    line: Vec<u8>,
    /// The last byte was a carriage return; a line feed behind it ends no other line.
    cr: bool,
    open: bool,
    keep: bool,
    data: Vec<u8>,
    events: u64,
}

impl Scan {
    /// With `keep` unset only the events are counted.
    pub fn new(keep: bool) -> Scan {
        Scan { keep, ..Scan::default() }
    }

    fn end_line(&mut self, l: &[u8]) {
        if l.is_empty() {
            self.events += std::mem::take(&mut self.open) as u64;
        } else if l == b"data" || l.starts_with(b"data:") {
            self.open = true;
            if self.keep {
                let v = l.get(5..).unwrap_or_default();
                self.data.extend_from_slice(v.strip_prefix(b" ").unwrap_or(v));
                self.data.push(b'\n');
            }
        }
    }

    pub fn push(&mut self, mut b: &[u8]) {
        match b.first() {
            Some(b'\n') if self.cr => (b, self.cr) = (&b[1..], false),
            Some(_) => self.cr = false,
            None => {}
        }
        while let Some(i) = b.iter().position(|c| *c == b'\n' || *c == b'\r') {
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
        }
        self.line.extend_from_slice(b);
    }

    /// Events of which any byte of data passed.
    pub fn events(&self) -> u64 {
        self.events + (self.open || self.line.starts_with(b"data")) as u64
    }

    /// No event is left half told.
    pub fn whole(&self) -> bool {
        !self.open && self.line.is_empty()
    }

    pub fn data(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.data)
    }
}
