//! Addresses of machines with disks, on this node's own disk: a restart finds them where its seeds
//! are down.

use crate::Control;
use crate::persisted_documents::LOCAL_FOLDER;
use std::net::SocketAddr;
use std::sync::Arc;
use yewcross_common::constants::PEERS_PERSIST_INTERVAL;
use yewcross_common::storage::StoredFile;

const FILE: &str = "peers";

/// The addresses that the disk holds.
#[derive(Default)]
pub(crate) struct PersistedPeers {
    file_version: u64,
    pub(crate) addresses: Vec<SocketAddr>,
}

/// The addresses of a folder. A damaged file counts with its version, so that the next one is newer.
pub(crate) fn load(folder: &[StoredFile]) -> PersistedPeers {
    let Some(file) = folder.iter().find(|file| file.name == FILE) else {
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

/// Writes the addresses of the known machines with disks whenever they change, forever. A node that
/// knows only itself keeps what it has.
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

/// Whether the addresses stand on the disk.
async fn write(control: &Control, peers: &PersistedPeers) -> bool {
    let body = serde_json::to_vec(&peers.addresses).expect("addresses always serialise");
    control
        .storage
        .persist(LOCAL_FOLDER, FILE, peers.file_version, &body)
        .await
        .is_ok()
}
