//! Incremental parser of server-sent events: counts the events of a stream that is forwarded chunk
//! by chunk, and collects their data.
//! Source: WHATWG HTML, 9.2.6 "Interpreting an event stream".

/// Counts events and collects their data, each line of it followed by a line feed.
#[derive(Clone, Default)]
pub struct EventScanner {
    /// The bytes of a line whose end has not been received yet.
    line: Vec<u8>,
    /// The last byte was a carriage return; a line feed that follows does not end another line.
    ends_with_cr: bool,
    /// The current event has data.
    has_open_event: bool,
    keeps_data: bool,
    data: Vec<u8>,
    /// Complete events with data.
    events: u64,
    /// Bytes of `data` that belong to complete events.
    complete_data: usize,
    /// The id of the current event.
    id: Option<Vec<u8>>,
    /// The id of the last complete event that had one.
    last_id: Option<Vec<u8>>,
    /// A numeric id was not greater than the one before it.
    has_decreasing_ids: bool,
    /// Bytes of the last chunk up to the end of its last complete event.
    complete_bytes: usize,
    /// Bytes received since the end of the last complete event.
    open_bytes: usize,
}

/// The value of a line's field, without the colon and one space after it.
fn value(line: &[u8], name_length: usize) -> &[u8] {
    let value = line.get(name_length + 1..).unwrap_or_default();
    value.strip_prefix(b" ").unwrap_or(value)
}

fn number(id: &[u8]) -> Option<u64> {
    std::str::from_utf8(id).ok()?.parse().ok()
}

impl EventScanner {
    /// With `keeps_data` unset, the events are counted but their data is not collected.
    pub fn new(keeps_data: bool) -> EventScanner {
        EventScanner {
            keeps_data,
            ..EventScanner::default()
        }
    }

    fn end_line(&mut self, line: &[u8]) {
        if line.is_empty() {
            self.events += std::mem::take(&mut self.has_open_event) as u64;
            self.complete_data = self.data.len();
            self.complete_id();
        } else if line.starts_with(b"id:") {
            self.id = Some(value(line, 2).to_vec());
        } else if line == b"data" || line.starts_with(b"data:") {
            self.has_open_event = true;
            if self.keeps_data {
                self.data.extend_from_slice(value(line, 4));
                self.data.push(b'\n');
            }
        }
    }

    /// Takes over the id of an event that is complete.
    fn complete_id(&mut self) {
        let Some(id) = self.id.take() else { return };
        let previous = self.last_id.as_deref().and_then(number);
        self.has_decreasing_ids |= matches!((previous, number(&id)), (Some(previous), Some(current)) if current <= previous);
        self.last_id = Some(id);
    }

    /// Reads the next chunk of the stream.
    pub fn push(&mut self, chunk: &[u8]) {
        self.complete_bytes = 0;
        let mut rest = chunk;
        match rest.first() {
            Some(b'\n') if self.ends_with_cr => (rest, self.ends_with_cr) = (&rest[1..], false),
            Some(_) => self.ends_with_cr = false,
            None => {}
        }
        while let Some(line_end) = rest
            .iter()
            .position(|byte| *byte == b'\n' || *byte == b'\r')
        {
            let is_blank = line_end == 0 && self.line.is_empty();
            if self.line.is_empty() {
                self.end_line(&rest[..line_end]);
            } else {
                let mut line = std::mem::take(&mut self.line);
                line.extend_from_slice(&rest[..line_end]);
                self.end_line(&line);
                line.clear();
                self.line = line;
            }
            let is_carriage_return = rest[line_end] == b'\r';
            rest = &rest[line_end + 1..];
            if is_carriage_return {
                match rest.first() {
                    Some(b'\n') => rest = &rest[1..],
                    None => self.ends_with_cr = true,
                    _ => {}
                }
            }
            if is_blank {
                self.complete_bytes = chunk.len() - rest.len();
            }
        }
        self.line.extend_from_slice(rest);
        self.open_bytes = match self.complete_bytes {
            0 => self.open_bytes + chunk.len(),
            complete_bytes => chunk.len() - complete_bytes,
        };
    }

    /// Events of which at least one byte of data was read, complete or not.
    pub fn events(&self) -> u64 {
        self.events + (self.has_open_event || self.line.starts_with(b"data")) as u64
    }

    /// Whether no event and no line is incomplete so far.
    pub fn is_complete(&self) -> bool {
        !self.has_open_event && self.line.is_empty()
    }

    /// Complete events.
    pub fn complete_events(&self) -> u64 {
        self.events
    }

    /// The state after the last complete event, for a server that resumes the stream there: what
    /// was read of the next event is dropped.
    pub fn truncated_to_last_event(&self) -> EventScanner {
        let mut scan = self.clone();
        (scan.has_open_event, scan.ends_with_cr, scan.id) = (false, false, None);
        scan.line.clear();
        scan.data.truncate(scan.complete_data);
        scan.complete_bytes = 0;
        scan.open_bytes = 0;
        scan
    }

    /// Bytes of the last chunk up to and including the end of its last complete event.
    pub fn complete_bytes(&self) -> usize {
        self.complete_bytes
    }

    /// Bytes received since the end of the last complete event.
    pub fn open_bytes(&self) -> usize {
        self.open_bytes
    }

    /// The id of the last complete event that had one.
    pub fn last_id(&self) -> Option<&[u8]> {
        self.last_id.as_deref()
    }

    /// Whether the ids, as far as they are numeric, increased from event to event.
    pub fn ids_increase(&self) -> bool {
        !self.has_decreasing_ids
    }

    /// Size of the data collected so far, in bytes.
    pub fn data_bytes(&self) -> usize {
        self.data.len()
    }

    /// Takes the data collected so far.
    pub fn take_data(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.data)
    }
}
