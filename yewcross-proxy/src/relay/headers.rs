//! Rules of HTTP/1.1 heads that a proxy has to keep.

use http::{HeaderMap, HeaderName, HeaderValue, header};

const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Removes the headers that concern one connection only, and those that `Connection` names.
/// Source: RFC 9110, 7.6.1 "Connection".
pub(super) fn strip_hop_by_hop(h: &mut HeaderMap) {
    let named: Vec<HeaderName> = h
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|n| n.trim().parse().ok())
        .filter(|n| *n != header::HOST && *n != header::CONTENT_LENGTH)
        .collect();
    named.iter().for_each(|n| {
        h.remove(n);
    });
    HOP_BY_HOP.iter().for_each(|n| {
        h.remove(*n);
    });
}

/// A body ends where its length or its last chunk says; one that ends with its connection may as
/// well have been cut off. Source: RFC 9112, 6.3 "Message Body Length".
pub(super) fn tells_its_end(h: &HeaderMap) -> bool {
    let last_coding = |v: &HeaderValue| {
        v.to_str()
            .ok()
            .and_then(|t| t.rsplit(',').next().map(|c| c.trim().to_ascii_lowercase()))
    };
    match h.get_all(header::TRANSFER_ENCODING).iter().next_back() {
        Some(v) => last_coding(v).as_deref() == Some("chunked"),
        None => h.contains_key(header::CONTENT_LENGTH),
    }
}

/// A caller that names no content coding gets the server's bytes themselves.
pub(super) fn coding_asked_for(request: &HeaderMap, answer: &HeaderMap) -> bool {
    let names = |h: &HeaderMap, k: HeaderName| -> Vec<String> {
        let texts = h.get_all(k).iter().filter_map(|v| v.to_str().ok());
        let items = texts.flat_map(|t| t.split(','));
        items
            .filter_map(|i| i.split(';').next())
            .map(|n| n.trim().to_ascii_lowercase())
            .filter(|n| !n.is_empty())
            .collect()
    };
    let asked = names(request, header::ACCEPT_ENCODING);
    names(answer, header::CONTENT_ENCODING)
        .iter()
        .all(|n| n == "identity" || asked.contains(n))
}
