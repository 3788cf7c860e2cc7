//! What a read of the platform's list makes of its register.

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
    let named = |name: &&str| ListedServer {
        server: name.to_string(),
        service: "service".into(),
        addr: "10.0.0.1:80".parse().unwrap(),
        site: "site".into(),
        leaving: false,
    };
    names.iter().map(named).collect()
}

fn encoded(list: &ServerList) -> Vec<u8> {
    serde_json::to_vec(list).unwrap()
}

/// Terms up to this one may be written over.
fn up_to(term: u64) -> impl Fn(u64) -> bool {
    move |written| written <= term
}

const UNREADABLE: [&[u8]; 5] = [b"{\"rev\":", b"{}", b"[]", b"null", b" "];

#[test]
fn an_empty_value_is_the_list_before_the_first() {
    let first = list(0, 2, &["a"]);
    let ValueUpdate::Write(value, Ok(())) = revise_list(0, b"", &first, up_to(2)) else {
        panic!()
    };
    assert_eq!(value, encoded(&first));
    let proposal = ServersProposal {
        known_version: 0,
        term: 2,
        servers: &servers(&["a"]),
    };
    let ValueUpdate::Write(value, Ok(decided)) = replace_servers(0, b"", &proposal, up_to(2))
    else {
        panic!()
    };
    assert_eq!((decided.version, &decided.content), (1, &value));
    let written: ServerList = serde_json::from_slice(&value).unwrap();
    assert_eq!(written, list(1, 2, &["a"]));
}

#[test]
fn only_a_newer_revision_under_a_term_that_may_write_replaces_a_list() {
    let current = encoded(&list(5, 3, &["a"]));
    let is_written = |revision, term| {
        let next = list(revision, term, &["b"]);
        matches!(
            revise_list(7, &current, &next, up_to(term)),
            ValueUpdate::Write(_, Ok(()))
        )
    };
    assert_eq!([4, 5, 6].map(|r| is_written(r, 3)), [false, false, true]);
    assert_eq!([2, 3, 4].map(|t| is_written(6, t)), [false, true, true]);
}

#[test]
fn servers_replace_the_known_version_only() {
    let current = encoded(&list(5, 3, &["a"]));
    let is_written = |known_version, term, names: &[&str]| {
        let proposal = ServersProposal {
            known_version,
            term,
            servers: &servers(names),
        };
        match replace_servers(7, &current, &proposal, up_to(term)) {
            ValueUpdate::Write(_, Ok(decided)) => decided.version == 8,
            ValueUpdate::Keep(Ok(kept)) => {
                let content = current.clone();
                assert_eq!(
                    kept,
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

/// Until this rule such a value was replaced as if it were empty, whatever its term.
#[test]
fn an_unreadable_list_is_not_replaced() {
    for value in UNREADABLE {
        let next = list(9, 3, &["b"]);
        assert!(
            matches!(
                revise_list(7, value, &next, up_to(3)),
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
                replace_servers(7, value, &proposal, up_to(3)),
                ValueUpdate::Keep(Err(error)) if error.name == "list"
            ),
            "{value:?}"
        );
    }
}
