//! Operators' numbered orders: checked, decided by a majority of the core disks, then sent to every node.

use super::proved::{Put, put};
use super::push;
use crate::Control;
use crate::api::*;
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use yewcross::ask::*;
use yewcross::code::Code;
use yewcross::consts::*;
use yewcross::reg::*;
use yewcross::tree::Bad;

/// us. A put that finds no majority is told so within this, so that the operator moves on.
fn patience(c: &Control) -> u64 {
    (c.st.bounds.ack * MS / 4).min(1_500 * MS)
}

enum Ordered {
    /// The version, and the document as it now stands.
    Stands(u64, u64, Vec<u8>),
    Conflict(u64),
    Bad(Vec<Bad>),
}

/// What an order makes of the document. Run again on a document that has its change, it says so again.
fn decide(seq: u64, v: &[u8], base: u64, text: &str, number: Option<u64>, id: &str) -> Step<Ordered> {
    let d: ConfigDoc = serde_json::from_slice(v).unwrap_or_default();
    let now = if number.is_some() { d.number } else { seq };
    if d.text == text && !text.is_empty() {
        return Step::Keep(Ordered::Stands(now, seq, v.to_vec()));
    }
    let own = mark(text);
    if let Some(p) = d.past.iter().find(|p| number.is_some() && p.1 == own) {
        return Step::Keep(Ordered::Stands(p.0, seq, v.to_vec()));
    }
    if base != now {
        return Step::Keep(Ordered::Conflict(now));
    }
    let next = number.unwrap_or(seq + 1);
    if next <= now {
        return Step::Keep(Ordered::Bad(vec![Bad { path: "number".into(), why: format!("must be above {now}") }]));
    }
    let mut past = d.past.clone();
    if !d.text.is_empty() {
        past.insert(0, (now, mark(&d.text), String::new()));
        past.truncate(ORDERS_KEPT);
    }
    let n = ConfigDoc { text: text.into(), put: id.into(), note: String::new(), past, number: number.unwrap_or(0) };
    let raw = serde_json::to_vec(&n).unwrap_or_default();
    Step::Write(raw.clone(), Ordered::Stands(next, seq + 1, raw))
}

fn mark(text: &str) -> String {
    yewcross::hash::mark(text.as_bytes())
}

/// An operator's text on top of a version: checked, decided by a majority of core disks, then carried.
pub async fn order(c: &Arc<Control>, base: u64, text: Vec<u8>) -> PutAnswer {
    let bad = |path: &str, why: &str| PutAnswer::Bad(vec![Bad { path: path.into(), why: why.into() }]);
    let Ok(text) = String::from_utf8(text) else { return bad("", "not UTF-8") };
    if c.options.rollout == Rollout::Proved {
        return match put(c, base, text, String::new(), false).await {
            Put::InForce(v) => PutAnswer::InForce(v),
            Put::No(Code::BadConfig, _, b) => PutAnswer::Bad(b),
            Put::No(Code::Conflict, _, _) => PutAnswer::Conflict(c.book.config.load().0),
            Put::No(Code::NotFounded, ..) => PutAnswer::NotFounded,
            Put::No(Code::NoMajority, ..) => PutAnswer::NoMajority,
            Put::No(..) => PutAnswer::Undecided,
        };
    }
    if let Err(b) = c.options.dialect.read(text.as_bytes()) {
        return PutAnswer::Bad(b);
    }
    if c.book.layout.load().0 == 0 {
        return PutAnswer::NotFounded;
    }
    c.counts.puts.fetch_add(1, SeqCst);
    let number = c.options.dialect.number(text.as_bytes());
    let (tx, rx) = async_channel::bounded(1);
    let me = c.clone();
    // It runs on its own: whoever asked may go, and half a change is never dropped.
    c.w.go(async move {
        let id = format!("{}-{:016x}", me.st.name, me.w.rand());
        let us = patience(&me) * 9 / 10;
        let got = me.owner.change("config", us, |seq, v| decide(seq, v, base, &text, number, &id)).await;
        let r = match got {
            Ok(Ordered::Stands(n, seq, raw)) => {
                push(&me, "config", seq, raw);
                PutAnswer::InForce(n)
            }
            Ok(Ordered::Conflict(n)) => PutAnswer::Conflict(n),
            Ok(Ordered::Bad(b)) => PutAnswer::Bad(b),
            Err(Trouble::NotDone) => PutAnswer::NoMajority,
            Err(Trouble::Undecided) => PutAnswer::Undecided,
        };
        let _ = tx.try_send(r);
    });
    c.w.within(patience(c), rx.recv()).await.and_then(|r| r.ok()).unwrap_or(PutAnswer::Undecided)
}
