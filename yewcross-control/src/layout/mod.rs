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
use yewcross_common::constants::PEER_WAIT;
use yewcross_common::process_settings::Role;
use yewcross_common::protocol::{PeerRequest, PeerResponse};
use yewcross_common::runtime::BoxFuture;

/// Reads the newest layout under a majority and tells every node.
async fn spread(control: &Arc<Control>) {
    if !control.has_quorum_contact() {
        return;
    }
    if let Ok((seq, epoch, v)) = control.registers.read("layout", PEER_WAIT).await {
        if control.options.tends {
            return config::push(control, "layout", seq, v.to_vec());
        }
        let me = control.clone();
        control.runtime.spawn(async move {
            config::carry(&me, "layout", seq, epoch, &v).await;
        });
    }
}

/// Takes a newer layout from any core process that has adopted it. Those refuse whatever is asked
/// by an older layout, the layout itself too: who missed one cannot read it from the disks where
/// their votes are needed.
pub async fn catch_up(control: &Arc<Control>) -> bool {
    let more_than = control.documents.document("layout").version;
    let questions: Vec<BoxFuture<'static, bool>> = control
        .members
        .nodes_of_role(Role::Core)
        .into_iter()
        .filter(|node| node.name != control.settings.name)
        .map(|node| {
            let (me, question) = (
                control.clone(),
                PeerRequest::FetchDocument {
                    name: "layout".into(),
                    newer_than: more_than,
                },
            );
            let asked: BoxFuture<'static, bool> = Box::pin(async move {
                match me.peers.request(node.peer, &question, &[], PEER_WAIT).await {
                    Ok((
                        PeerResponse::Document {
                            version: seq,
                            epoch,
                        },
                        raw,
                    )) if seq > more_than => me.documents.apply("layout", seq, epoch, raw),
                    _ => false,
                }
            });
            asked
        })
        .collect();
    let (asked, answers) = (questions.len(), control.runtime.spawn_all(questions));
    for _ in 0..asked {
        if answers.recv().await == Ok(true) {
            break;
        }
    }
    control.documents.document("layout").version > more_than
}
