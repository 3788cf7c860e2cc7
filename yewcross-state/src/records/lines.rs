//! JSON lines: the stored form of records.

use serde::Serialize;

/// Terminates every line of a record.
pub(super) const LINE_END: u8 = b'\n';

/// Appends the item as one line of JSON. If it cannot be encoded, an empty line is appended.
pub(super) fn append_line(value: &mut Vec<u8>, item: &impl Serialize) {
    value.extend(serde_json::to_vec(item).unwrap_or_default());
    value.push(LINE_END);
}
