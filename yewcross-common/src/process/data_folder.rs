//! Exclusive use of a data folder: a process that replaces another one on the same machine reads
//! the folder only after its predecessor has ended.

use super::retry;
use crate::runtime::Runtime;
use snafu::{ResultExt, Snafu};
use std::fs::{File, TryLockError};
use std::io;

/// Why a data folder cannot be used.
#[derive(Debug, Snafu)]
pub enum DataFolderError {
    /// The folder does not exist and cannot be created.
    #[snafu(display("cannot create the data folder {path}: {source}"))]
    Create {
        /// Path of the folder.
        path: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The folder cannot be opened.
    #[snafu(display("cannot open the data folder {path}: {source}"))]
    Open {
        /// Path of the folder.
        path: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// Another process uses the folder.
    #[snafu(display("the data folder {path} is in use by another process"))]
    InUse {
        /// Path of the folder.
        path: String,
    },
}

/// A data folder that no other process uses, as far as its file system offers locks. The lock is
/// released when the process ends, however it ends.
#[derive(Debug)]
pub struct DataFolder {
    /// Holds the lock while it is open.
    _folder: File,
}

impl DataFolder {
    /// Creates the folder if it does not exist, and locks it; waits for up to `timeout` µs while
    /// that fails.
    pub async fn lock(
        runtime: &Runtime,
        path: &str,
        timeout: u64,
    ) -> Result<DataFolder, DataFolderError> {
        let action = "locking the data folder";
        retry(runtime, timeout, action, || {
            std::future::ready(DataFolder::try_lock(path))
        })
        .await
    }

    /// Creates the folder if it does not exist, and locks it if that is possible at once.
    pub fn try_lock(path: &str) -> Result<DataFolder, DataFolderError> {
        std::fs::create_dir_all(path).context(CreateSnafu { path })?;
        let folder = File::open(path).context(OpenSnafu { path })?;
        match folder.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => return InUseSnafu { path }.fail(),
            // Not every file system offers locks.
            Err(TryLockError::Error(error)) => {
                super::log(&format!("the data folder {path} is used unlocked: {error}"));
            }
        }
        Ok(DataFolder { _folder: folder })
    }
}
