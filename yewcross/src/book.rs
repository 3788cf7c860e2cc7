//! The documents every node keeps on hand: configuration, layout, platform list.

use crate::ask::*;
use crate::member::Members;
use crate::port::{Dialect, Native};
use crate::reg::Epoch;
use crate::tree::Tree;
use crate::world::World;
use arc_swap::ArcSwap;
use event_listener::Event;
use std::sync::{Arc, Mutex};

pub const DOCS: [&str; 3] = ["config", "layout", "list"];

#[derive(Clone, Debug, Default)]
pub struct Page {
    pub seq: u64,
    pub epoch: Epoch,
    pub raw: Arc<Vec<u8>>,
}

pub struct Book {
    w: World,
    gate: Mutex<()>,
    dialect: Arc<dyn Dialect>,
    /// A document was adopted.
    pub moved: Event,
    pages: [ArcSwap<Page>; 3],
    pub config: ArcSwap<(u64, Tree)>,
    pub layout: ArcSwap<(u64, Layout)>,
    pub list: ArcSwap<(u64, List)>,
}

impl Book {
    pub fn new(w: &World) -> Arc<Book> {
        Book::of(w, Arc::new(Native))
    }

    /// A book whose configurations are read by the given dialect.
    pub fn of(w: &World, dialect: Arc<dyn Dialect>) -> Arc<Book> {
        Arc::new(Book {
            w: w.clone(),
            gate: Mutex::new(()),
            dialect,
            moved: Event::new(),
            pages: std::array::from_fn(|_| ArcSwap::default()),
            config: ArcSwap::default(),
            layout: ArcSwap::default(),
            list: ArcSwap::default(),
        })
    }

    pub fn have(&self) -> Vec<(String, u64)> {
        DOCS.iter().map(|d| (d.to_string(), self.page(d).seq)).collect()
    }

    fn text(&self) -> String {
        serde_json::from_slice::<ConfigDoc>(&self.page("config").raw).map(|d| d.text).unwrap_or_default()
    }

    pub fn page(&self, name: &str) -> Arc<Page> {
        DOCS.iter().position(|d| *d == name).map(|i| self.pages[i].load_full()).unwrap_or_default()
    }

    /// Takes a decided document as a change to the version on hand; nothing where another is on hand.
    pub fn patch(&self, name: &str, base: u64, seq: u64, epoch: Epoch, delta: &[u8]) -> bool {
        let p = self.page(name);
        let raw = Some(p).filter(|p| p.seq == base).and_then(|p| crate::delta::patch(&p.raw, delta));
        raw.is_some_and(|raw| self.adopt(name, seq, epoch, raw))
    }

    /// Takes a decided document; never an older one than is on hand.
    pub fn adopt(&self, name: &str, seq: u64, epoch: Epoch, raw: Vec<u8>) -> bool {
        let _g = self.gate.lock().unwrap();
        let Some(i) = DOCS.iter().position(|d| *d == name) else { return false };
        if seq <= self.pages[i].load().seq {
            return false;
        }
        let ok = match name {
            "config" => serde_json::from_slice::<ConfigDoc>(&raw).ok().and_then(|d| match d.text.is_empty() {
                // Founded, and nothing put yet.
                true => Some(()),
                false => self.dialect.read(d.text.as_bytes()).ok().map(|t| self.config.store(Arc::new((seq, t)))),
            }),
            "layout" => serde_json::from_slice(&raw).ok().map(|l| self.layout.store(Arc::new((seq, l)))),
            _ => serde_json::from_slice(&raw).ok().map(|l| self.list.store(Arc::new((seq, l)))),
        };
        ok.map(|_| {
            self.pages[i].store(Arc::new(Page { seq, epoch, raw: Arc::new(raw) }));
            // Only a configuration's text is named: it is what an operator sent.
            let what = if name == "config" { format!(" {}", crate::hash::mark(self.text().as_bytes())) } else { String::new() };
            self.w.log(&format!("adopted {name} {seq}{what}"));
            self.moved.notify(usize::MAX);
        })
        .is_some()
    }
}

/// The live machines of a key's copies, first choice of owner first.
pub fn owners(book: &Book, members: &Members, key: &str) -> Vec<std::net::SocketAddr> {
    let l = book.layout.load();
    l.1.spread(key, &l.1.group(key).now).into_iter().filter_map(|d| members.by_disk(d)).map(|n| n.peer).collect()
}
