//! The record on a disk that its process was told of the first start of the tier, with the seeds that
//! the tier is bootstrapped from. A process that is restarted is not told again, so the record is
//! what a bootstrap that was interrupted continues from.

use crate::Control;
use snafu::Snafu;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use yewcross_common::process::data_folder::{DataFolder, DataFolderError};
use yewcross_common::process_settings::ProcessSettings;
use yewcross_common::storage::{self, LOCAL_FOLDER};

/// Name of the file that contains the seeds.
const FIRST_START_FILE: &str = "founding";

/// Version of the file, which is written once.
const FIRST_START_VERSION: u64 = 1;

/// Why the first start could not be recorded.
#[derive(Debug, Snafu)]
pub enum FirstStartError {
    /// The data folder cannot be used yet.
    #[snafu(transparent)]
    Folder {
        /// Why not.
        source: DataFolderError,
    },
    /// The record cannot be written.
    #[snafu(
        display("cannot write the record of the first start: {source}"),
        context(false)
    )]
    Write {
        /// Error of the operating system.
        source: io::Error,
    },
}

/// Records the first start of the tier before anything else is done with the disk, unless an earlier
/// process has. Blocks until the record is durable.
pub fn record_first_start(settings: &ProcessSettings) -> Result<(), FirstStartError> {
    let _lock = DataFolder::try_lock(&settings.data)?;
    storage::create_first_version(
        Path::new(&settings.data),
        LOCAL_FOLDER,
        FIRST_START_FILE,
        &encode(&settings.seeds),
    )?;
    Ok(())
}

/// The seeds that this process bootstraps the tier from: those recorded on the disk, or else those of
/// the settings, which are then recorded. `None` if the process was never told of the first start.
pub(super) async fn seeds_of_first_start(control: &Control) -> Option<Vec<SocketAddr>> {
    if let Some(seeds) = recorded_seeds(control).await {
        return Some(seeds);
    }
    let settings = &control.settings;
    if !settings.bootstrap {
        return None;
    }
    // A disk that cannot persist the record cannot persist the layout either, and then rejects it.
    let _ = control
        .storage
        .persist(
            LOCAL_FOLDER,
            FIRST_START_FILE,
            FIRST_START_VERSION,
            &encode(&settings.seeds),
        )
        .await;
    Some(settings.seeds.clone())
}

/// The seeds recorded on the disk; `None` if there is no record, or if it is damaged.
pub(super) async fn recorded_seeds(control: &Control) -> Option<Vec<SocketAddr>> {
    let loaded = control.storage.load(LOCAL_FOLDER, FIRST_START_FILE).await;
    let (_, body) = loaded.ok()??;
    serde_json::from_slice(&body).ok()
}

fn encode(seeds: &[SocketAddr]) -> Vec<u8> {
    serde_json::to_vec(seeds).expect("addresses can always be serialised")
}
