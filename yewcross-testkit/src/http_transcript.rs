//! HTTP exchanges byte by byte, and their answers in a form that is the same in every run.

use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::net::SocketAddr;
use yewcross_common::constants::SEC;
use yewcross_common::runtime::Runtime;

/// us without a byte after which an answer counts as over.
const READ_TIMEOUT: u64 = 8 * SEC;

/// Header lines that differ from run to run.
const VARYING_HEADERS: [&str; 3] = ["date", "content-length", "yewcross-shot"];
/// JSON members whose numbers differ from run to run.
const VARYING_NUMBERS: [&str; 2] = ["\"inst\":", "\"retry_in\":"];
/// JSON members whose strings differ from run to run.
const VARYING_STRINGS: [&str; 3] = ["\"put\":\"", "\"disk\":\"", "\"stored\":\""];
/// Stands in a transcript for what varies.
const PLACEHOLDER: char = '_';

/// Sends the parts as they are, `pause` us apart, and reads until the other side closes or falls
/// silent. `refused` and a newline if it does not listen.
pub async fn exchange(runtime: &Runtime, to: SocketAddr, parts: &[&[u8]], pause: u64) -> String {
    let Ok(mut connection) = runtime.connect(to).await else {
        return "refused\n".into();
    };
    for (i, part) in parts.iter().enumerate() {
        if i > 0 {
            runtime.sleep(pause).await;
        }
        if connection.write_all(part).await.is_err() {
            break;
        }
    }
    let mut answer = vec![];
    let mut buffer = [0u8; 4096];
    while let Some(Ok(count)) = runtime
        .timeout(READ_TIMEOUT, connection.read(&mut buffer))
        .await
    {
        if count == 0 {
            break;
        }
        answer.extend(&buffer[..count]);
    }
    // The answer is complete; whether the close succeeds does not matter.
    let _ = connection.close().await;
    String::from_utf8_lossy(&answer).into_owned()
}

/// A request's bytes. `headers` are further header lines, each with its end of line.
pub fn request(method: &str, path: &str, headers: &str, body: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: tier\r\nconnection: close\r\n{headers}content-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// The answer with its headers sorted, its chunks joined, and what varies replaced.
pub fn normalize(answer: &str) -> String {
    let (head, body) = answer.split_once("\r\n\r\n").unwrap_or((answer, ""));
    let mut lines = head.lines();
    let status_line = lines.next().unwrap_or("");
    let is_varying = |line: &str| VARYING_HEADERS.iter().any(|name| line.starts_with(name));
    let mut headers: Vec<&str> = lines.filter(|line| !is_varying(line)).collect();
    headers.sort();
    let is_chunked = headers.iter().any(|line| line.contains("chunked"));
    let mut text = if is_chunked {
        join_chunks(body)
    } else {
        body.to_string()
    };
    for member in VARYING_NUMBERS {
        text = replace_numbers(&text, member);
    }
    for member in VARYING_STRINGS {
        text = replace_strings(&text, member);
    }
    format!(
        "{status_line}\n{}\n\n{}\n",
        headers.join("\n"),
        text.trim_end()
    )
}

fn join_chunks(body: &str) -> String {
    let mut joined = String::new();
    let mut rest = body;
    while let Some((length, chunk)) = rest.split_once("\r\n") {
        let length = usize::from_str_radix(length.trim(), 16).unwrap_or(0);
        if length == 0 || chunk.len() < length {
            break;
        }
        joined += &chunk[..length];
        rest = chunk[length..].trim_start_matches("\r\n");
    }
    joined
}

/// Replaces the digits behind each occurrence of the member.
fn replace_numbers(text: &str, member: &str) -> String {
    replace_values(text, member, |rest| {
        rest.trim_start_matches(|c: char| c.is_ascii_digit())
    })
}

/// Replaces the characters up to the next quote behind each occurrence of the member.
fn replace_strings(text: &str, member: &str) -> String {
    replace_values(text, member, |rest| &rest[rest.find('"').unwrap_or(0)..])
}

/// `skip_value` returns what follows the value at the beginning of its argument.
fn replace_values(text: &str, member: &str, skip_value: impl Fn(&str) -> &str) -> String {
    let mut replaced = String::new();
    let mut rest = text;
    while let Some(start) = rest.find(member) {
        let (before, value) = rest.split_at(start + member.len());
        replaced += before;
        replaced.push(PLACEHOLDER);
        rest = skip_value(value);
    }
    replaced + rest
}
