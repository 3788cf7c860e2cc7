//! JSON lines: the form in which records are stored.

use serde::Serialize;

/// Ends every line of a record.
pub(super) const LINE_END: u8 = b'\n';

/// Appends the item as one line of JSON. An item that has no JSON form leaves an empty line.
pub(super) fn append_line(value: &mut Vec<u8>, item: &impl Serialize) {
    value.extend(serde_json::to_vec(item).unwrap_or_default());
    value.push(LINE_END);
}
