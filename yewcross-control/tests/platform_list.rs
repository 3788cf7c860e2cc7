//! Tests of the register updates that result from reading the platform's list.

use yewcross_common::protocol::{ListedServer, ServerList};
use yewcross_common::register::ValueUpdate;
use yewcross_control::platform_list::{DecidedList, ServersProposal, replace_servers, revise_list};

fn list(revision: u64, term: u64, names: &[&str]) -> ServerList {
    ServerList {
        revision,
        term,
        servers: servers(names),
    }
}

fn servers(names: &[&str]) -> Vec<ListedServer> {
    let new_server = |name: &&str| ListedServer {
        server: name.to_string(),
        service: "service".into(),
        addr: "10.0.0.1:80".parse().unwrap(),
        site: "site".into(),
        leaving: false,
    };
    names.iter().map(new_server).collect()
}

fn encode(list: &ServerList) -> Vec<u8> {
    serde_json::to_vec(list).unwrap()
}

/// Permits replacing documents written under terms up to `term`.
fn permit_terms_up_to(term: u64) -> impl Fn(u64) -> bool {
    move |written_term| written_term <= term
}

/// Values that are not a valid list.
const UNREADABLE: [&[u8]; 5] = [b"{\"rev\":", b"{}", b"[]", b"null", b" "];

#[test]
fn the_first_list_replaces_an_empty_value() {
    let first = list(0, 2, &["a"]);
    let ValueUpdate::Write(value, Ok(())) = revise_list(0, b"", &first, permit_terms_up_to(2))
    else {
        panic!()
    };
    assert_eq!(value, encode(&first));
    let proposal = ServersProposal {
        known_version: 0,
        term: 2,
        servers: &servers(&["a"]),
    };
    let ValueUpdate::Write(value, Ok(decided)) =
        replace_servers(0, b"", &proposal, permit_terms_up_to(2))
    else {
        panic!()
    };
    assert_eq!((decided.version, &decided.content), (1, &value));
    let written: ServerList = serde_json::from_slice(&value).unwrap();
    assert_eq!(written, list(1, 2, &["a"]));
}

#[test]
fn a_list_is_replaced_only_by_a_newer_revision_under_a_permitted_term() {
    let current = encode(&list(5, 3, &["a"]));
    let is_written = |revision, term| {
        let next = list(revision, term, &["b"]);
        matches!(
            revise_list(7, &current, &next, permit_terms_up_to(term)),
            ValueUpdate::Write(_, Ok(()))
        )
    };
    assert_eq!(
        [4, 5, 6].map(|revision| is_written(revision, 3)),
        [false, false, true]
    );
    assert_eq!(
        [2, 3, 4].map(|term| is_written(6, term)),
        [false, true, true]
    );
}

#[test]
fn catalogue_servers_replace_only_the_known_version() {
    let current = encode(&list(5, 3, &["a"]));
    let is_written = |known_version, term, names: &[&str]| {
        let proposal = ServersProposal {
            known_version,
            term,
            servers: &servers(names),
        };
        match replace_servers(7, &current, &proposal, permit_terms_up_to(term)) {
            ValueUpdate::Write(_, Ok(decided)) => decided.version == 8,
            ValueUpdate::Keep(Ok(unchanged)) => {
                let content = current.clone();
                assert_eq!(
                    unchanged,
                    DecidedList {
                        version: 7,
                        content
                    }
                );
                false
            }
            _ => panic!(),
        }
    };
    assert!(is_written(7, 3, &["b"]));
    assert!(!is_written(6, 3, &["b"]), "a newer version is decided");
    assert!(!is_written(7, 3, &["a"]), "the same servers");
    assert!(!is_written(7, 2, &["b"]), "an older term");
}

/// Guards against a fault in which an unreadable value was replaced as if it were empty, regardless of
/// its term.
#[test]
fn an_unreadable_list_is_not_replaced() {
    for value in UNREADABLE {
        let next = list(9, 3, &["b"]);
        assert!(
            matches!(
                revise_list(7, value, &next, permit_terms_up_to(3)),
                ValueUpdate::Keep(Err(error)) if error.name == "list"
            ),
            "{value:?}"
        );
        let proposal = ServersProposal {
            known_version: 7,
            term: 3,
            servers: &servers(&["b"]),
        };
        assert!(
            matches!(
                replace_servers(7, value, &proposal, permit_terms_up_to(3)),
                ValueUpdate::Keep(Err(error)) if error.name == "list"
            ),
            "{value:?}"
        );
    }
}
