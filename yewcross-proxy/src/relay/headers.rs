//! Handling of HTTP/1.1 headers that a proxy must not forward or has to check.

use http::{HeaderMap, HeaderName, HeaderValue, header};

/// Headers that apply to a single connection and are never forwarded.
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

/// Removes the headers that apply to a single connection, and those that `Connection` lists, other
/// than `Host` and `Content-Length`. Source: RFC 9110, 7.6.1 "Connection".
pub(super) fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let connection_options: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .filter(|name| *name != header::HOST && *name != header::CONTENT_LENGTH)
        .collect();
    connection_options.iter().for_each(|name| {
        headers.remove(name);
    });
    HOP_BY_HOP.iter().for_each(|name| {
        headers.remove(*name);
    });
}

/// Whether the head delimits the body, by its length or by chunks. A body that is delimited by the
/// end of the connection cannot be distinguished from a truncated one. Source: RFC 9112, 6.3
/// "Message Body Length".
pub(super) fn has_message_framing(headers: &HeaderMap) -> bool {
    let last_coding = |value: &HeaderValue| {
        value.to_str().ok().and_then(|text| {
            text.rsplit(',')
                .next()
                .map(|coding| coding.trim().to_ascii_lowercase())
        })
    };
    match headers
        .get_all(header::TRANSFER_ENCODING)
        .iter()
        .next_back()
    {
        Some(value) => last_coding(value).as_deref() == Some("chunked"),
        None => headers.contains_key(header::CONTENT_LENGTH),
    }
}

/// Whether the request accepts the content codings of the response. A request that names no coding
/// gets only unencoded responses.
pub(super) fn accepts_coding(request: &HeaderMap, answer: &HeaderMap) -> bool {
    let codings = |headers: &HeaderMap, name: HeaderName| -> Vec<String> {
        let values = headers
            .get_all(name)
            .iter()
            .filter_map(|value| value.to_str().ok());
        let items = values.flat_map(|text| text.split(','));
        items
            .filter_map(|item| item.split(';').next())
            .map(|coding| coding.trim().to_ascii_lowercase())
            .filter(|coding| !coding.is_empty())
            .collect()
    };
    let accepted = codings(request, header::ACCEPT_ENCODING);
    codings(answer, header::CONTENT_ENCODING)
        .iter()
        .all(|coding| coding == "identity" || accepted.contains(coding))
}
