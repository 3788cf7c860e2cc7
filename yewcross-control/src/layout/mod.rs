//! Which disks carry what: founding, changes of disks, and the sweep that fills copies.

mod change;
mod founding;
mod manual;
pub mod planning;
mod report;
mod retire;
mod sweep;

pub use change::tend_seats;
pub use founding::{found, found_here, found_self};
pub use manual::{Move, begin, progress, propose, tend_layout};
pub use report::report;
pub use retire::{retire, retired};
pub use sweep::sweep;

use crate::{Control, config};
use std::sync::Arc;
use yewcross::consts::PEER_WAIT;

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
