//! The adapter of a simple test platform: its metadata is in plain headers, and its server list
//! consists of pages in JSON.

use bytes::Bytes;
use http::{HeaderMap, Response};
use serde::{Deserialize, Serialize};
use yewcross_common::adapter::{
    CallerProtocol, RequestMeta, ResponseMeta, ServerCatalogue, UpstreamProtocol,
};
use yewcross_common::error_code::Code;
use yewcross_common::protocol::ListedServer;

/// The adapter of the test platform.
pub struct TestAdapter;

/// The value of a header; empty if it is absent or not visible ASCII.
pub fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
}

/// Parses prompt segments of the form `digest:tokens,digest:tokens`.
fn parse_segments(list: &str) -> Option<Vec<(u64, u64)>> {
    list.split(',')
        .filter(|segment| !segment.is_empty())
        .map(|segment| {
            segment
                .split_once(':')
                .and_then(|(digest, tokens)| Some((digest.parse().ok()?, tokens.parse().ok()?)))
        })
        .collect()
}

impl CallerProtocol for TestAdapter {
    fn parse_request(&self, headers: &HeaderMap) -> Result<RequestMeta, String> {
        let number = |name: &str| header_text(headers, name).parse().ok();
        let attempt = header_text(headers, "try").to_string();
        if attempt.is_empty() {
            return Err("try".into());
        }
        Ok(RequestMeta {
            attempt,
            deadline_ms: number("patience"),
            program: header_text(headers, "program").into(),
            session: header_text(headers, "session").into(),
            budget: number("budget"),
            prompt_tokens: number("tokens").unwrap_or(0),
            max_output_tokens: number("most").unwrap_or(0),
            prompt_segments: parse_segments(header_text(headers, "parts")).ok_or("parts")?,
            previous_turn: header_text(headers, "after").into(),
            affinity: header_text(headers, "affinity").into(),
            ..Default::default()
        })
    }
    fn reject(&self, code: Code, reason: &str, retry_after_ms: u64) -> Response<Bytes> {
        let response = Response::builder()
            .status(code.http())
            .header("back-ms", retry_after_ms)
            .header("why", reason);
        response.body(Bytes::new()).unwrap_or_default()
    }
}

impl UpstreamProtocol for TestAdapter {
    fn add_headers(
        &self,
        headers: &mut HeaderMap,
        server: &ListedServer,
        remaining_ms: u64,
        urgency: Option<u8>,
    ) {
        server.server.parse().into_iter().for_each(|value| {
            headers.insert("for", value);
        });
        headers.insert("patience", remaining_ms.into());
        urgency.into_iter().for_each(|urgency| {
            headers.insert("urgency", u16::from(urgency).into());
        });
    }
    fn resume_after(&self, headers: &mut HeaderMap, event_id: &[u8]) {
        http::HeaderValue::from_bytes(event_id)
            .into_iter()
            .for_each(|value| {
                headers.insert("resume-after", value);
            });
    }
    fn parse_response(&self, status: u16, headers: &HeaderMap) -> ResponseMeta {
        let load: Vec<u32> = header_text(headers, "load")
            .split(',')
            .filter_map(|number| number.parse().ok())
            .collect();
        ResponseMeta {
            attempt: header_text(headers, "try").into(),
            from_server: headers.contains_key("stamp"),
            not_executed: headers.contains_key("unrun") || status == 421,
            load: (load.len() == 3).then(|| (load[0], load[1], load[2])),
            idle_ms: header_text(headers, "idle-ms").parse().ok(),
            closes_connection: header_text(headers, "connection") == "close",
            weights: String::new(),
        }
    }
}

/// One page of the server list.
#[derive(Default, Serialize, Deserialize)]
pub struct Page {
    pub servers: Vec<ListedServer>,
    /// Token of the next page, if there is one.
    pub next: Option<String>,
}

impl ServerCatalogue for TestAdapter {
    fn page_target(&self, page: Option<&str>) -> String {
        page.map_or("/roster".into(), |token| format!("/roster?page={token}"))
    }
    fn parse_page(&self, body: &[u8]) -> Result<(Vec<ListedServer>, Option<String>), String> {
        let page: Page = serde_json::from_slice(body).map_err(|error| error.to_string())?;
        Ok((page.servers, page.next))
    }
}
