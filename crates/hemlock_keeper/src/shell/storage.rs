//! The keeper's disk.

use hemlock_quorum::prelude::*;
use hemlock_settings::prelude::KeeperSettings;
use hemlock_types::prelude::*;

use crate::error::KeeperError;

/// Opens the data folder.
pub(super) fn open(settings: &KeeperSettings) -> Result<Box<dyn Storage>, KeeperError> {
    let _ = settings;
    Ok(Box::new(MemoryStorage::new(Incarnation(rand::random()))))
}
