//! Reading the platform's list of servers, by the process on duty.

use crate::{Control, config};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use yewcross_common::adapter::ServerCatalogue;
use yewcross_common::buffered_http;
use yewcross_common::constants::*;
use yewcross_common::protocol::*;
use yewcross_common::register::*;
use yewcross_common::streaming_http;

/// Asks the platform, in its own time, and decides a list that differs. Returns how long to wait.
pub async fn poll(control: &Arc<Control>) -> u64 {
    let Some(to) = *control.platform.lock().unwrap() else {
        return SEC;
    };
    if let Some(k) = control.options.catalogue.clone() {
        return poll_catalogue(control, to, &*k).await;
    }
    control.duties.polls.fetch_add(1, SeqCst);
    let tag = control.duties.etag.lock().unwrap().clone();
    let heads: Vec<(&str, String)> = if tag.is_empty() {
        vec![]
    } else {
        vec![("if-none-match", tag)]
    };
    let Ok((status, r, b)) = buffered_http::fetch(
        &control.runtime,
        to,
        http_types::Method::Get,
        "/servers",
        &heads,
        vec![],
        BACK_WAIT,
    )
    .await
    else {
        return LIST_EVERY;
    };
    let patience = r
        .header("retry-after")
        .and_then(|v| v.as_str().parse::<u64>().ok())
        .map(|s| s.saturating_mul(SEC).min(LIST_PATIENCE));
    if status != 200 {
        return patience.unwrap_or(LIST_EVERY);
    }
    let Ok(mut list) = serde_json::from_slice::<ServerList>(&b) else {
        return LIST_EVERY;
    };
    let Some(term) = control.acting_term() else {
        return LIST_EVERY;
    };
    list.term = term;
    let got = control
        .registers
        .change("list", PEER_WAIT, |seq, v| {
            let old: ServerList = serde_json::from_slice(v).unwrap_or_default();
            if (old.revision >= list.revision && seq > 0) || !control.may_write(term, old.term) {
                return Step::Keep(());
            }
            Step::Write(serde_json::to_vec(&list).unwrap_or_default(), ())
        })
        .await;
    if got.is_ok()
        && let Ok((seq, epoch, raw)) = control.registers.read("list", PEER_WAIT).await
    {
        if seq > control.documents.document("list").version {
            config::roll_out(control, "list", seq, epoch, &raw).await;
        }
        *control.duties.etag.lock().unwrap() = r
            .header("etag")
            .map(|v| v.as_str().to_string())
            .unwrap_or_default();
    }
    patience.unwrap_or(LIST_EVERY)
}

/// The same in a catalogue's own words, page by page; the tier numbers the lists. A list read after
/// version `at` was known replaces that one only: one that waited somewhere replaces nothing.
async fn poll_catalogue(control: &Arc<Control>, to: SocketAddr, k: &dyn ServerCatalogue) -> u64 {
    let at = control.documents.document("list").version;
    let (mut servers, mut page) = (vec![], None);
    for _ in 0..LIST_PAGES {
        control.duties.polls.fetch_add(1, SeqCst);
        let mut q = hyper::Request::new(Default::default());
        let Ok(uri) = k.target(page.as_deref()).parse() else {
            return PAGES_EVERY;
        };
        *q.uri_mut() = uri;
        let Ok(r) = streaming_http::fetch(&control.runtime, to, q, FRAME_MAX, PAGE_WAIT).await
        else {
            return PAGES_EVERY;
        };
        if r.status() != 200 {
            let told = r
                .headers()
                .get("retry-after")
                .and_then(|v| v.to_str().ok()?.parse::<f64>().ok())
                .map(|s| (s.max(0.0) * 1e6) as u64);
            let n = control.duties.refused.fetch_add(1, SeqCst).min(3);
            return told.unwrap_or(PAGES_EVERY << n).min(PAGES_BACK_OFF);
        }
        let Ok((mut v, next)) = k.read(r.body()) else {
            return PAGES_EVERY;
        };
        servers.append(&mut v);
        page = next;
        if page.is_none() {
            break;
        }
    }
    control.duties.refused.store(0, SeqCst);
    let leaving = servers
        .iter()
        .filter(|server| server.leaving)
        .map(|server| server.server.clone())
        .collect();
    config::publish_departures(control, leaving);
    servers.sort_by(|a, b| a.server.cmp(&b.server));
    servers.dedup_by(|a, b| a.server == b.server);
    if page.is_some() || (at > 0 && decided_servers(control) == servers) {
        return PAGES_EVERY;
    }
    let Some(term) = control.acting_term() else {
        return DECIDE_AGAIN;
    };
    let got = control
        .registers
        .change("list", PEER_WAIT, |seq, v| {
            let old: ServerList = serde_json::from_slice(v).unwrap_or_default();
            if seq > at || old.servers == servers || !control.may_write(term, old.term) {
                return Step::Keep((seq, v.to_vec()));
            }
            let raw = lines(&ServerList {
                revision: old.revision + 1,
                term,
                servers: servers.clone(),
            });
            Step::Write(raw.clone(), (seq + 1, raw))
        })
        .await;
    if let Ok((seq, raw)) = got
        && seq > control.documents.document("list").version
    {
        config::publish(control, "list", seq, raw);
    }
    PAGES_EVERY
}

/// The servers of the list on hand as it was decided, without what was told of them since.
fn decided_servers(control: &Control) -> Vec<ListedServer> {
    serde_json::from_slice::<ServerList>(&control.documents.document("list").content)
        .map(|list| list.servers)
        .unwrap_or_default()
}

/// A server a line, so that a change travels as the lines that changed.
fn lines(l: &ServerList) -> Vec<u8> {
    let v: Vec<String> = l
        .servers
        .iter()
        .map(|s| serde_json::to_string(s).unwrap_or_default())
        .collect();
    format!(
        "{{\"rev\":{},\"term\":{},\"servers\":[\n{}\n]}}",
        l.revision,
        l.term,
        v.join(",\n")
    )
    .into_bytes()
}
