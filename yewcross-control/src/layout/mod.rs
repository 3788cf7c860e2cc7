//! Which disks carry what: founding, changes of disks, and the sweep that fills copies.

mod change;
mod founding;
mod manual;
pub mod planning;
mod report;
mod retire;
mod sweep;

pub use change::tend_seats;
pub use founding::{first_documents, found, found_here, found_self};
pub use manual::{Move, begin, progress, propose, tend_layout};
pub use report::report;
pub use retire::{retire, retire_forwarded, retired};
pub use sweep::sweep;

use crate::{Control, config};
use std::sync::Arc;
use yewcross::ask::{Ask, Tell};
use yewcross::consts::PEER_WAIT;
use yewcross::startup::Role;
use yewcross::world::Fut;

/// Reads the newest layout under a majority and tells every node.
async fn spread(c: &Arc<Control>) {
    if !c.has_quorum_contact() {
        return;
    }
    if let Ok((seq, epoch, v)) = c.owner.read("layout", PEER_WAIT).await {
        if c.options.tends {
            return config::push(c, "layout", seq, v.to_vec());
        }
        let me = c.clone();
        c.w.go(async move {
            config::carry(&me, "layout", seq, epoch, &v).await;
        });
    }
}

/// Takes a newer layout from any core process that has adopted it. Those refuse whatever is asked by an older layout, the
/// layout itself too: who missed one cannot read it from the disks where their votes are needed.
pub async fn catch_up(c: &Arc<Control>) -> bool {
    let more_than = c.book.page("layout").seq;
    let questions: Vec<Fut<'static, bool>> = c
        .members
        .alive(Role::Core)
        .into_iter()
        .filter(|node| node.name != c.st.name)
        .map(|node| {
            let (me, question) = (c.clone(), Ask::Page { name: "layout".into(), more_than });
            let asked: Fut<'static, bool> = Box::pin(async move {
                match me.peers.ask(node.peer, &question, &[], PEER_WAIT).await {
                    Ok((Tell::Doc { seq, epoch }, raw)) if seq > more_than => me.book.adopt("layout", seq, epoch, raw),
                    _ => false,
                }
            });
            asked
        })
        .collect();
    let (asked, answers) = (questions.len(), c.w.fan(questions));
    for _ in 0..asked {
        if answers.recv().await == Ok(true) {
            break;
        }
    }
    c.book.page("layout").seq > more_than
}
