//! The keeper's data folder.

use hemlock_quorum::prelude::*;
use hemlock_settings::prelude::KeeperSettings;
use hemlock_types::prelude::*;

use crate::error::KeeperError;

/// Opens the data folder. An empty folder is initialized for this keeper with a new incarnation.
pub(super) fn open(settings: &KeeperSettings) -> Result<Box<dyn Storage>, KeeperError> {
    let keeper = KeeperId(settings.keeper_id);
    let incarnation = Incarnation(rand::random());
    let identity = DiskIdentity::new(settings.cluster.as_str(), keeper, incarnation);
    let storage = FileStorage::open(&settings.data_folder, identity, settings.sync_delay_ms)?;
    Ok(Box::new(storage))
}
