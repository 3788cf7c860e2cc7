//! Stores the addresses of machines with disks on this node's own disk, so that a restarted node can
//! reach other members even if its seeds are unavailable.

use crate::Control;
use crate::persisted_documents::LOCAL_FOLDER;
use std::net::SocketAddr;
use std::sync::Arc;
use yewcross_common::constants::PEERS_PERSIST_INTERVAL;
use yewcross_common::storage::StoredFile;

/// Name of the file that stores the addresses.
const PEERS_FILE: &str = "peers";

/// The addresses on the disk and the version of the file that stores them.
#[derive(Default)]
pub(crate) struct PersistedPeers {
    file_version: u64,
    pub(crate) addresses: Vec<SocketAddr>,
}

/// Loads the addresses from a folder. A damaged file yields no addresses but keeps its version, so that
/// the next file gets a higher one.
pub(crate) fn load(folder: &[StoredFile]) -> PersistedPeers {
    let Some(file) = folder.iter().find(|file| file.name == PEERS_FILE) else {
        return PersistedPeers::default();
    };
    let addresses = file
        .body
        .as_ref()
        .and_then(|body| serde_json::from_slice(body).ok())
        .unwrap_or_default();
    PersistedPeers {
        file_version: file.version,
        addresses,
    }
}

/// Writes the addresses of the known machines with disks whenever they change, for as long as the
/// process runs. While this node's membership contains only itself, the stored addresses are kept.
pub(crate) async fn persist_changes(control: Arc<Control>, mut persisted: PersistedPeers) {
    loop {
        let changed = control.members.changed.listen();
        let addresses = known_addresses(&control);
        if addresses != persisted.addresses && addresses.len() > 1 {
            let next = PersistedPeers {
                file_version: persisted.file_version + 1,
                addresses,
            };
            if write(&control, &next).await {
                persisted = next;
            }
        }
        control.runtime.sleep(PEERS_PERSIST_INTERVAL).await;
        changed.await;
    }
}

/// The sorted addresses of the known machines with disks.
fn known_addresses(control: &Control) -> Vec<SocketAddr> {
    let view = control.members.view.load();
    let mut addresses: Vec<SocketAddr> = view
        .values()
        .filter(|node| !node.disk.is_empty())
        .map(|node| node.peer)
        .collect();
    addresses.sort();
    addresses
}

/// Writes the addresses and returns whether they are on the disk.
async fn write(control: &Control, peers: &PersistedPeers) -> bool {
    let body = serde_json::to_vec(&peers.addresses).expect("addresses can always be serialised");
    control
        .storage
        .persist(LOCAL_FOLDER, PEERS_FILE, peers.file_version, &body)
        .await
        .is_ok()
}
