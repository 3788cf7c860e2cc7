//! A platform of our own making: plain heads, a list in pages.

use bytes::Bytes;
use http::{HeaderMap, Response};
use serde::{Deserialize, Serialize};
use yewcross_common::adapter::{
    CallerProtocol, RequestMeta, ResponseMeta, ServerCatalogue, UpstreamProtocol,
};
use yewcross_common::error_code::Code;
use yewcross_common::protocol::ListedServer;

pub struct TestAdapter;

pub fn header_text<'a>(h: &'a HeaderMap, n: &str) -> &'a str {
    h.get(n).and_then(|v| v.to_str().ok()).unwrap_or_default()
}

fn parse_segments(s: &str) -> Option<Vec<(u64, u64)>> {
    s.split(',')
        .filter(|p| !p.is_empty())
        .map(|p| {
            p.split_once(':')
                .and_then(|(a, b)| Some((a.parse().ok()?, b.parse().ok()?)))
        })
        .collect()
}

impl CallerProtocol for TestAdapter {
    fn parse_request(&self, h: &HeaderMap) -> Result<RequestMeta, String> {
        let num = |n: &str| header_text(h, n).parse().ok();
        let attempt = header_text(h, "try").to_string();
        if attempt.is_empty() {
            return Err("try".into());
        }
        Ok(RequestMeta {
            attempt,
            deadline_ms: num("patience"),
            program: header_text(h, "program").into(),
            session: header_text(h, "session").into(),
            budget: num("budget"),
            prompt_tokens: num("tokens").unwrap_or(0),
            max_output_tokens: num("most").unwrap_or(0),
            prompt_segments: parse_segments(header_text(h, "parts")).ok_or("parts")?,
            previous_turn: header_text(h, "after").into(),
            affinity: header_text(h, "affinity").into(),
            ..Default::default()
        })
    }
    fn reject(&self, c: Code, why: &str, back: u64) -> Response<Bytes> {
        let r = Response::builder()
            .status(c.http())
            .header("back-ms", back)
            .header("why", why);
        r.body(Bytes::new()).unwrap_or_default()
    }
}

impl UpstreamProtocol for TestAdapter {
    fn add_headers(&self, h: &mut HeaderMap, to: &ListedServer, left: u64, urgency: Option<u8>) {
        to.server.parse().into_iter().for_each(|v| {
            h.insert("for", v);
        });
        h.insert("patience", left.into());
        urgency.into_iter().for_each(|u| {
            h.insert("urgency", u16::from(u).into());
        });
    }
    fn resume_after(&self, h: &mut HeaderMap, event_id: &[u8]) {
        http::HeaderValue::from_bytes(event_id)
            .into_iter()
            .for_each(|v| {
                h.insert("resume-after", v);
            });
    }
    fn parse_response(&self, status: u16, h: &HeaderMap) -> ResponseMeta {
        let load: Vec<u32> = header_text(h, "load")
            .split(',')
            .filter_map(|x| x.parse().ok())
            .collect();
        ResponseMeta {
            attempt: header_text(h, "try").into(),
            from_server: h.contains_key("stamp"),
            not_executed: h.contains_key("unrun") || status == 421,
            load: (load.len() == 3).then(|| (load[0], load[1], load[2])),
            idle_ms: header_text(h, "idle-ms").parse().ok(),
            closes_connection: header_text(h, "connection") == "close",
            weights: String::new(),
        }
    }
}

#[derive(Default, Serialize, Deserialize)]
pub struct Page {
    pub servers: Vec<ListedServer>,
    pub next: Option<String>,
}

impl ServerCatalogue for TestAdapter {
    fn page_target(&self, page: Option<&str>) -> String {
        page.map_or("/roster".into(), |p| format!("/roster?page={p}"))
    }
    fn parse_page(&self, body: &[u8]) -> Result<(Vec<ListedServer>, Option<String>), String> {
        let p: Page = serde_json::from_slice(body).map_err(|e| e.to_string())?;
        Ok((p.servers, p.next))
    }
}
