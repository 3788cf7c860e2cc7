//! Polls the platform's list of servers, on the lease holder.

use crate::config::{UnreadableDocument, decode_server_list};
use crate::{Control, config};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use yewcross_common::adapter::ServerCatalogue;
use yewcross_common::buffered_http;
use yewcross_common::constants::{
    CATALOGUE_BACKOFF_MAX, CATALOGUE_MAX_PAGES, CATALOGUE_PAGE_TIMEOUT, CATALOGUE_POLL_INTERVAL,
    CATALOGUE_REREAD_DELAY, MAX_FRAME_BYTES, PEER_REQUEST_TIMEOUT, RETRY_AFTER_MAX, SEC,
    SERVER_LIST_POLL_INTERVAL, UPSTREAM_REPORT_TIMEOUT,
};
use yewcross_common::protocol::{ListedServer, ServerList};
use yewcross_common::register::ValueUpdate;
use yewcross_common::streaming_http;

/// Interval at which the settings are checked for a platform address while none is configured, in µs.
const UNCONFIGURED_POLL_INTERVAL: u64 = SEC;

/// Maximum number of times that the delay after a rejected poll is doubled.
const MAX_BACKOFF_DOUBLINGS: u64 = 3;

/// Number of µs in a second, to convert times that are given in fractional seconds.
const US_PER_SECOND: f64 = 1e6;

/// Result of reading a catalogue, possibly cut off at the page limit.
struct CatalogueRead {
    servers: Vec<ListedServer>,
    /// Whether the last page was reached.
    is_complete: bool,
}

/// A version of the list as stored in its register.
#[derive(Clone, Debug, PartialEq)]
pub struct DecidedList {
    pub version: u64,
    pub content: Vec<u8>,
}

/// A proposal to replace the servers of the list with those of a catalogue.
pub struct ServersProposal<'a> {
    /// The version that was known when the catalogue was read; a newer version is not replaced.
    pub known_version: u64,
    /// Term of the lease under which the servers are proposed.
    pub term: u64,
    pub servers: &'a [ListedServer],
}

/// Polls the platform once and decides the list if it has changed. Returns the delay before the next
/// poll, in µs.
pub async fn poll(control: &Arc<Control>) -> u64 {
    let Some(platform) = *control.platform.lock().unwrap() else {
        return UNCONFIGURED_POLL_INTERVAL;
    };
    match control.options.server_catalogue.clone() {
        Some(catalogue) => poll_catalogue(control, platform, &*catalogue).await,
        None => poll_list(control, platform).await,
    }
}

/// Polls a list in the product's own JSON format, in which the platform numbers the revisions.
async fn poll_list(control: &Arc<Control>, platform: SocketAddr) -> u64 {
    control.singleton_tasks.list_polls.fetch_add(1, SeqCst);
    let etag = control.singleton_tasks.list_etag.lock().unwrap().clone();
    let headers: Vec<(&str, String)> = if etag.is_empty() {
        vec![]
    } else {
        vec![("if-none-match", etag)]
    };
    let Ok((status, response, body)) = buffered_http::fetch(
        &control.runtime,
        platform,
        http_types::Method::Get,
        "/servers",
        &headers,
        vec![],
        UPSTREAM_REPORT_TIMEOUT,
    )
    .await
    else {
        return SERVER_LIST_POLL_INTERVAL;
    };
    let delay = response
        .header("retry-after")
        .and_then(|value| value.as_str().parse::<u64>().ok())
        .map_or(SERVER_LIST_POLL_INTERVAL, |seconds| {
            seconds.saturating_mul(SEC).min(RETRY_AFTER_MAX)
        });
    if status != 200 {
        return delay;
    }
    let Ok(list) = serde_json::from_slice::<ServerList>(&body) else {
        return SERVER_LIST_POLL_INTERVAL;
    };
    let Some(term) = control.acting_term() else {
        return SERVER_LIST_POLL_INTERVAL;
    };
    if decide_list(control, ServerList { term, ..list }).await {
        *control.singleton_tasks.list_etag.lock().unwrap() = response
            .header("etag")
            .map(|value| value.as_str().to_string())
            .unwrap_or_default();
    }
    delay
}

/// Decides a newer revision and rolls it out. Returns whether the newest list is now applied here; only
/// then may the next poll use its etag.
async fn decide_list(control: &Arc<Control>, list: ServerList) -> bool {
    let changed = control
        .registers
        .change("list", PEER_REQUEST_TIMEOUT, |version, value| {
            revise_list(version, value, &list, |written_term| {
                control.may_write(list.term, written_term)
            })
        })
        .await;
    match changed {
        Ok(Ok(())) => {}
        Ok(Err(unreadable)) => {
            control.runtime.log(&unreadable.to_string());
            return false;
        }
        Err(_) => return false,
    }
    let Ok((version, ballot, content)) = control
        .registers
        .read_with_ballot("list", PEER_REQUEST_TIMEOUT)
        .await
    else {
        return false;
    };
    if version > control.documents.document("list").version {
        config::roll_out(control, "list", version, ballot, &content).await;
    }
    true
}

/// Computes the update of the register's value from the platform's list. The list replaces an older
/// revision if `may_write_over` allows it for the term of that revision. A value that cannot be decoded
/// is kept.
pub fn revise_list(
    version: u64,
    value: &[u8],
    list: &ServerList,
    may_write_over: impl FnOnce(u64) -> bool,
) -> ValueUpdate<Result<(), UnreadableDocument>> {
    let current = match decode_server_list(value) {
        Ok(current) => current,
        Err(error) => return ValueUpdate::Keep(Err(error)),
    };
    let is_known = version > 0 && current.revision >= list.revision;
    if is_known || !may_write_over(current.term) {
        return ValueUpdate::Keep(Ok(()));
    }
    // Strings and numbers can always be serialised.
    ValueUpdate::Write(serde_json::to_vec(list).unwrap_or_default(), Ok(()))
}

/// Polls a catalogue in its own format, page by page; the tier numbers the revisions. A catalogue
/// replaces only the version that was known when the read started, so a delayed read does not replace
/// a newer version.
async fn poll_catalogue(
    control: &Arc<Control>,
    platform: SocketAddr,
    catalogue: &dyn ServerCatalogue,
) -> u64 {
    let known_version = control.documents.document("list").version;
    let read = match read_pages(control, platform, catalogue).await {
        Ok(read) => read,
        Err(delay) => return delay,
    };
    control
        .singleton_tasks
        .consecutive_rejections
        .store(0, SeqCst);
    publish_departures(control, &read.servers);
    let servers = without_duplicates(read.servers);
    if !read.is_complete || (known_version > 0 && decided_servers(control) == servers) {
        return CATALOGUE_POLL_INTERVAL;
    }
    let Some(term) = control.acting_term() else {
        return CATALOGUE_REREAD_DELAY;
    };
    let proposal = ServersProposal {
        known_version,
        term,
        servers: &servers,
    };
    let decided = decide_servers(control, &proposal).await;
    if let Some(list) = decided
        && list.version > control.documents.document("list").version
    {
        config::publish(control, "list", list.version, list.content);
    }
    CATALOGUE_POLL_INTERVAL
}

/// Reads up to `CATALOGUE_MAX_PAGES` pages. The error is the delay before the next poll, in µs.
async fn read_pages(
    control: &Arc<Control>,
    platform: SocketAddr,
    catalogue: &dyn ServerCatalogue,
) -> Result<CatalogueRead, u64> {
    let mut servers = vec![];
    let mut next_page: Option<String> = None;
    for _ in 0..CATALOGUE_MAX_PAGES {
        control.singleton_tasks.list_polls.fetch_add(1, SeqCst);
        let mut request = hyper::Request::new(Default::default());
        *request.uri_mut() = catalogue
            .page_target(next_page.as_deref())
            .parse()
            .map_err(|_| CATALOGUE_POLL_INTERVAL)?;
        let response = streaming_http::fetch(
            &control.runtime,
            platform,
            request,
            MAX_FRAME_BYTES,
            CATALOGUE_PAGE_TIMEOUT,
        )
        .await
        .map_err(|_| CATALOGUE_POLL_INTERVAL)?;
        if response.status() != 200 {
            return Err(backoff(control, response.headers()));
        }
        let (mut page, following) = catalogue
            .parse_page(response.body())
            .map_err(|_| CATALOGUE_POLL_INTERVAL)?;
        servers.append(&mut page);
        next_page = following;
        if next_page.is_none() {
            break;
        }
    }
    Ok(CatalogueRead {
        servers,
        is_complete: next_page.is_none(),
    })
}

/// The delay after a rejected poll, in µs: the one that the platform requests, or else one that is
/// doubled after each consecutive rejection.
fn backoff(control: &Control, headers: &hyper::HeaderMap) -> u64 {
    let retry_after = headers
        .get("retry-after")
        .and_then(|value| value.to_str().ok()?.parse::<f64>().ok())
        .map(|seconds| (seconds.max(0.0) * US_PER_SECOND) as u64);
    let rejections = control
        .singleton_tasks
        .consecutive_rejections
        .fetch_add(1, SeqCst);
    retry_after
        .unwrap_or(CATALOGUE_POLL_INTERVAL << rejections.min(MAX_BACKOFF_DOUBLINGS))
        .min(CATALOGUE_BACKOFF_MAX)
}

/// Publishes the names of the servers that the catalogue marks as leaving.
fn publish_departures(control: &Arc<Control>, servers: &[ListedServer]) {
    let leaving = servers
        .iter()
        .filter(|server| server.leaving)
        .map(|server| server.server.clone())
        .collect();
    config::publish_departures(control, leaving);
}

/// Sorts the servers by name and keeps the first of several entries with the same name.
fn without_duplicates(mut servers: Vec<ListedServer>) -> Vec<ListedServer> {
    servers.sort_by(|left, right| left.server.cmp(&right.server));
    servers.dedup_by(|left, right| left.server == right.server);
    servers
}

/// Decides the proposed servers. Returns the newest version, whether or not it contains them; `None` if
/// no majority has answered or the newest version cannot be decoded.
async fn decide_servers(
    control: &Arc<Control>,
    proposal: &ServersProposal<'_>,
) -> Option<DecidedList> {
    let decided = control
        .registers
        .change("list", PEER_REQUEST_TIMEOUT, |version, value| {
            replace_servers(version, value, proposal, |written_term| {
                control.may_write(proposal.term, written_term)
            })
        })
        .await
        .ok()?;
    decided
        .inspect_err(|unreadable| control.runtime.log(&unreadable.to_string()))
        .ok()
}

/// Computes the update of the register's value from a catalogue's servers. They are written as the
/// successor of the known version if they differ from it and `may_write_over` allows it for its term.
/// A value that cannot be decoded is kept.
pub fn replace_servers(
    version: u64,
    value: &[u8],
    proposal: &ServersProposal,
    may_write_over: impl FnOnce(u64) -> bool,
) -> ValueUpdate<Result<DecidedList, UnreadableDocument>> {
    let current = match decode_server_list(value) {
        Ok(current) => current,
        Err(error) => return ValueUpdate::Keep(Err(error)),
    };
    let has_nothing_to_write =
        version > proposal.known_version || current.servers == proposal.servers;
    if has_nothing_to_write || !may_write_over(current.term) {
        return ValueUpdate::Keep(Ok(DecidedList {
            version,
            content: value.to_vec(),
        }));
    }
    let content = encode_one_server_per_line(&ServerList {
        revision: current.revision + 1,
        term: proposal.term,
        servers: proposal.servers.to_vec(),
    });
    let decided = DecidedList {
        version: version + 1,
        content: content.clone(),
    };
    ValueUpdate::Write(content, Ok(decided))
}

/// The servers of the applied list as they were decided, without departures that were published since.
fn decided_servers(control: &Control) -> Vec<ListedServer> {
    serde_json::from_slice::<ServerList>(&control.documents.document("list").content)
        .map(|list| list.servers)
        .unwrap_or_default()
}

/// Encodes the list as JSON with one line per server, so that a line-based delta contains only the
/// changed servers.
fn encode_one_server_per_line(list: &ServerList) -> Vec<u8> {
    let servers: Vec<String> = list
        .servers
        .iter()
        .map(|server| serde_json::to_string(server).unwrap_or_default())
        .collect();
    format!(
        "{{\"rev\":{},\"term\":{},\"servers\":[\n{}\n]}}",
        list.revision,
        list.term,
        servers.join(",\n")
    )
    .into_bytes()
}
