//! Documents on hand: never older, never another content under the same number.

use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use yewcross::ask::List;
use yewcross::book::{Book, DocumentRejected};
use yewcross::register::Ballot;
use yewcross_lab::sim::Sim;

fn book() -> Arc<Book> {
    let sim = Sim::new(1, 900);
    let machine = sim.machine("node", "z1", [10, 0, 0, 1].into());
    Book::new(&sim.boot(machine))
}

fn list(rev: u64) -> Vec<u8> {
    serde_json::to_vec(&List { rev, term: 0, servers: vec![] }).unwrap()
}

#[test]
fn a_late_document_replaces_nothing() {
    let book = book();
    let epoch = Ballot::default();
    assert_eq!(book.try_adopt("list", 5, epoch, list(5)), Ok(()));
    assert_eq!(book.try_adopt("list", 4, Ballot { n: 9, by: 1 }, list(4)), Err(DocumentRejected::NotNewer { held: 5 }));
    // The same document under a later epoch is the same document.
    assert_eq!(book.try_adopt("list", 5, Ballot { n: 9, by: 1 }, list(5)), Err(DocumentRejected::NotNewer { held: 5 }));
    assert_eq!((book.page("list").seq, book.conflicts.load(SeqCst)), (5, 0));
}

#[test]
fn two_contents_under_one_number_are_told() {
    let book = book();
    book.adopt("list", 5, Ballot::default(), list(5));
    assert_eq!(book.try_adopt("list", 5, Ballot::default(), list(6)), Err(DocumentRejected::Conflicting { seq: 5 }));
    assert_eq!((*book.page("list").raw == list(5), book.conflicts.load(SeqCst)), (true, 1));
}

#[test]
fn what_cannot_be_read_is_not_taken() {
    let book = book();
    assert_eq!(book.try_adopt("list", 5, Ballot::default(), b"{".to_vec()), Err(DocumentRejected::Unreadable));
    assert_eq!(book.try_adopt("other", 5, Ballot::default(), list(5)), Err(DocumentRejected::UnknownName));
    assert_eq!(book.page("list").seq, 0);
}

#[test]
fn a_change_is_taken_on_its_own_base_only() {
    let book = book();
    let epoch = Ballot::default();
    book.adopt("list", 5, epoch, list(5));
    let changes = yewcross::delta::diff(&list(5), &list(6));
    let digest = |raw: Vec<u8>| yewcross::hash::mark(&raw);
    assert_eq!(book.patch("list", 4, &digest(list(5)), 6, epoch, &changes), Err(DocumentRejected::OtherBase { held: 5 }));
    // The number of the base, and another content.
    assert_eq!(book.patch("list", 5, &digest(list(7)), 6, epoch, &changes), Err(DocumentRejected::OtherBase { held: 5 }));
    let mut spoilt = changes.clone();
    spoilt.pop();
    assert_eq!(book.patch("list", 5, &digest(list(5)), 6, epoch, &spoilt), Err(DocumentRejected::BadDelta));
    assert_eq!(book.patch("list", 5, &digest(list(5)), 6, epoch, &changes), Ok(()));
    assert_eq!(book.patch("list", 5, &digest(list(5)), 6, epoch, &changes), Err(DocumentRejected::NotNewer { held: 6 }));
    assert_eq!(*book.page("list").raw, list(6));
}
