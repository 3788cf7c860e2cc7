//! Bootstrap from the machines that an operator names.

use super::{CONFIG, FIRST_VERSION, send_first_layout};
use crate::layout::LAYOUT;
use crate::layout::error::LayoutError;
use crate::{Control, config};
use std::collections::BTreeMap;
use std::sync::Arc;
use yewcross_common::constants::{PEER_REQUEST_TIMEOUT, PUT_TIMEOUT, RECORD_REPLICAS};
use yewcross_common::membership::Node;
use yewcross_common::process_settings::Role;
use yewcross_common::protocol::{ConfigDoc, Layout, PeerResponse, ReplicaGroup};
use yewcross_common::register::ValueUpdate;

/// Minimum number of core replicas of a tier that an operator bootstraps.
const MIN_CORE_REPLICAS: usize = 3;

/// Bootstraps the tier from the machines that an operator names. All of them must be known, and the
/// core machines must not hold another layout.
pub async fn bootstrap(
    control: &Arc<Control>,
    cores: &[String],
    stores: &[String],
) -> Result<(), LayoutError> {
    let view = control.members.view.load_full();
    let content = first_layout_of(&view, cores, stores)?;
    for node in cores.iter().filter_map(|name| view.get(name)) {
        let is_own = node.name == control.settings.name;
        let answer = send_first_layout(control, node.peer, is_own, &content).await;
        if !matches!(answer, PeerResponse::Ok) {
            return Err(LayoutError::BootstrapRejected {
                machine: node.name.clone(),
            });
        }
    }
    decide_if_absent(control, LAYOUT, content).await?;
    let empty = serde_json::to_vec(&ConfigDoc::default()).unwrap_or_default();
    decide_if_absent(control, CONFIG, empty).await?;
    for document in [LAYOUT, CONFIG] {
        if let Ok((version, ballot, content)) = control
            .registers
            .read_with_ballot(document, PEER_REQUEST_TIMEOUT)
            .await
        {
            let control_handle = control.clone();
            control.runtime.spawn(async move {
                config::roll_out(&control_handle, document, version, ballot, &content).await;
            });
        }
    }
    Ok(())
}

/// Builds the first layout from the named machines.
fn first_layout_of(
    view: &BTreeMap<String, Node>,
    cores: &[String],
    stores: &[String],
) -> Result<Vec<u8>, LayoutError> {
    let (mut names, mut sites) = (BTreeMap::new(), BTreeMap::new());
    let mut group = |machines: &[String], role: Role| -> Result<ReplicaGroup, LayoutError> {
        let mut current = vec![];
        for machine in machines {
            let node = view
                .get(machine)
                .filter(|node| node.role == role && !node.disk.is_empty())
                .ok_or_else(|| LayoutError::UnknownMachine {
                    machine: machine.clone(),
                    role,
                })?;
            names.insert(node.disk.clone(), machine.clone());
            sites.insert(node.disk.clone(), node.site.clone());
            current.push(node.disk.clone());
        }
        Ok(ReplicaGroup {
            current,
            ..Default::default()
        })
    };
    let core = group(cores, Role::Core)?;
    let store = group(stores, Role::Store)?;
    if core.current.len() < MIN_CORE_REPLICAS || store.current.len() < RECORD_REPLICAS {
        return Err(LayoutError::TooFewMachines);
    }
    let layout = Layout {
        core,
        store,
        names,
        sites,
        change_started: FIRST_VERSION,
        ..Default::default()
    };
    Ok(serde_json::to_vec(&layout).unwrap_or_default())
}

/// Decides the first version of a document, unless a version is already decided.
async fn decide_if_absent(
    control: &Control,
    document: &str,
    content: Vec<u8>,
) -> Result<(), LayoutError> {
    let write_first = |version, _: &[u8]| {
        if version == 0 {
            ValueUpdate::Write(content.clone(), ())
        } else {
            ValueUpdate::Keep(())
        }
    };
    control
        .registers
        .change(document, PUT_TIMEOUT, write_first)
        .await
        .map_err(|_| LayoutError::BootstrapUndecided)
}
