//! Documents on hand: never older, never another content under the same number.

use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use yewcross_common::documents::cache::{DocumentCache, DocumentRejected};
use yewcross_common::documents::departures;
use yewcross_common::protocol::{ListedServer, ServerList};
use yewcross_common::register::Ballot;
use yewcross_testkit::sim::Sim;

fn book() -> Arc<DocumentCache> {
    let sim = Sim::new(1, 900);
    let machine = sim.add_machine("node", "z1", [10, 0, 0, 1].into());
    DocumentCache::new(&sim.boot(machine))
}

fn list(rev: u64) -> Vec<u8> {
    serde_json::to_vec(&ServerList {
        revision: rev,
        term: 0,
        servers: vec![],
    })
    .unwrap()
}

#[test]
fn a_late_document_replaces_nothing() {
    let book = book();
    let epoch = Ballot::default();
    assert_eq!(book.try_apply("list", 5, epoch, list(5)), Ok(()));
    assert_eq!(
        book.try_apply(
            "list",
            4,
            Ballot {
                number: 9,
                proposer_id: 1
            },
            list(4)
        ),
        Err(DocumentRejected::NotNewer { current: 5 })
    );
    // The same document under a later epoch is the same document.
    assert_eq!(
        book.try_apply(
            "list",
            5,
            Ballot {
                number: 9,
                proposer_id: 1
            },
            list(5)
        ),
        Err(DocumentRejected::NotNewer { current: 5 })
    );
    assert_eq!(
        (book.document("list").version, book.conflicts.load(SeqCst)),
        (5, 0)
    );
}

#[test]
fn two_contents_under_one_number_are_told() {
    let book = book();
    book.apply("list", 5, Ballot::default(), list(5));
    assert_eq!(
        book.try_apply("list", 5, Ballot::default(), list(6)),
        Err(DocumentRejected::Conflicting { current: 5 })
    );
    assert_eq!(
        (
            *book.document("list").content == list(5),
            book.conflicts.load(SeqCst)
        ),
        (true, 1)
    );
}

#[test]
fn what_cannot_be_read_is_not_taken() {
    let book = book();
    assert_eq!(
        book.try_apply("list", 5, Ballot::default(), b"{".to_vec()),
        Err(DocumentRejected::Unreadable)
    );
    assert_eq!(
        book.try_apply("other", 5, Ballot::default(), list(5)),
        Err(DocumentRejected::UnknownName)
    );
    assert_eq!(book.document("list").version, 0);
}

#[test]
fn a_change_is_taken_on_its_own_base_only() {
    let book = book();
    let epoch = Ballot::default();
    book.apply("list", 5, epoch, list(5));
    let changes = yewcross_common::documents::delta::encode(&list(5), &list(6));
    let digest = |raw: Vec<u8>| yewcross_common::hash::content_digest(&raw);
    assert_eq!(
        book.apply_delta("list", 4, &digest(list(5)), 6, epoch, &changes),
        Err(DocumentRejected::OtherBase { current: 5 })
    );
    // The number of the base, and another content.
    assert_eq!(
        book.apply_delta("list", 5, &digest(list(7)), 6, epoch, &changes),
        Err(DocumentRejected::OtherBase { current: 5 })
    );
    let mut spoilt = changes.clone();
    spoilt.pop();
    assert_eq!(
        book.apply_delta("list", 5, &digest(list(5)), 6, epoch, &spoilt),
        Err(DocumentRejected::BadDelta)
    );
    assert_eq!(
        book.apply_delta("list", 5, &digest(list(5)), 6, epoch, &changes),
        Ok(())
    );
    assert_eq!(
        book.apply_delta("list", 5, &digest(list(5)), 6, epoch, &changes),
        Err(DocumentRejected::NotNewer { current: 6 })
    );
    assert_eq!(*book.document("list").content, list(6));
}

fn list_of(rev: u64, names: &[&str]) -> Vec<u8> {
    let listed = |name: &&str| ListedServer {
        server: name.to_string(),
        service: "llm".into(),
        addr: ([10, 7, 0, 1], 80).into(),
        site: "z1".into(),
        leaving: false,
    };
    serde_json::to_vec(&ServerList {
        revision: rev,
        term: 0,
        servers: names.iter().map(listed).collect(),
    })
    .unwrap()
}

fn leaving(book: &DocumentCache) -> Vec<String> {
    let list = book.server_list.load();
    list.1
        .servers
        .iter()
        .filter(|server| server.leaving)
        .map(|server| server.server.clone())
        .collect()
}

/// That a server leaves is final: it counts in the list on hand, in one that comes later, and in
/// one that was decided by an older reading.
#[test]
fn a_server_told_to_leave_leaves_every_list() {
    let book = book();
    book.apply("list", 1, Ballot::default(), list_of(1, &["a", "b"]));
    assert!(leaving(&book).is_empty());
    assert!(book.mark_leaving(&["b".into(), "c".into()]));
    assert_eq!(leaving(&book), ["b"]);
    book.apply("list", 2, Ballot::default(), list_of(2, &["a", "b", "c"]));
    assert_eq!(leaving(&book), ["b", "c"]);
    assert!(!book.mark_leaving(&["c".into()]), "it is no news");
}

/// A node is told of the marks once, and again only when they differ.
#[test]
fn marks_are_told_to_whoever_was_not_told_them() {
    let book = book();
    book.mark_leaving(&["b".into()]);
    let told = book.leaving_servers_unless(0);
    assert_eq!(told, ["b"]);
    assert!(
        book.leaving_servers_unless(departures::digest(&told))
            .is_empty()
    );
    book.mark_leaving(&["a".into()]);
    assert_eq!(
        book.leaving_servers_unless(departures::digest(&told)),
        ["a", "b"]
    );
}
