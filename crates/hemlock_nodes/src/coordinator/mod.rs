//! The process on a keeper's machine: replicates the record of jobs, and dispatches while it leads.

mod control;
mod disk;
mod error;
mod handle;
mod input;
mod peers;
mod reads;
mod requests;
mod service;
mod waiters;
mod watchers;

pub use error::CoordinatorError;
pub use handle::{ConfigureAnswer, CoordinatorHandle, ReadAnswer};

use std::net::{SocketAddr, TcpListener as StdListener};
use std::path::PathBuf;
use std::rc::Rc;

use hemlock_dispatch::prelude::DispatchSettings;
use hemlock_quorum::prelude::*;
use hemlock_types::prelude::*;
use hemlock_wire::prelude::*;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

use crate::address::keeper_id;
use control::Control;
use input::Input;
use peers::Peers;
use service::CoordinatorService;

/// Entries after which the log is replaced by a snapshot.
const SNAPSHOT_AFTER_ENTRIES: u64 = 20_000;
/// Bytes of the log after which it is replaced by a snapshot. The folder holds the log of two
/// compactions and a snapshot, which fits a disk of 128 MB.
const SNAPSHOT_AFTER_BYTES: u64 = 12 * 1024 * 1024;

/// What a coordinator needs to know.
#[derive(Clone, Debug)]
pub struct CoordinatorSettings {
    /// Where it listens for the system's own processes. Its keeper id follows from it.
    pub address: SocketAddr,
    /// Folder of its disk.
    pub data_folder: PathBuf,
    /// Name of the cluster.
    pub cluster: String,
    /// The secret that the system's processes share.
    pub key: ClusterKey,
    /// Where keepers may be.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole system starts for the first time.
    pub may_found: bool,
    /// Voters that the keeper set is kept at.
    pub target_voters: usize,
    /// Times of the dispatcher.
    pub dispatch: DispatchSettings,
    /// How long ended jobs are kept, in milliseconds.
    pub retention_ms: u64,
}

/// A coordinator that has not started.
pub struct Coordinator {
    settings: CoordinatorSettings,
    inputs: mpsc::UnboundedReceiver<Input>,
    handle: CoordinatorHandle,
}

impl Coordinator {
    /// Prepares a coordinator.
    pub fn new(settings: CoordinatorSettings) -> Self {
        let (sender, inputs) = mpsc::unbounded_channel();
        let handle = CoordinatorHandle::new(sender);
        Self {
            settings,
            inputs,
            handle,
        }
    }

    /// What operators' requests are handed to.
    pub fn handle(&self) -> CoordinatorHandle {
        self.handle.clone()
    }

    /// Serves until a planned stop has ended. Runs inside a local task set.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be listened on, or the disk can't be used.
    pub async fn run(self) -> Result<(), CoordinatorError> {
        let settings = self.settings;
        let me = keeper_id(settings.address);
        let listener = listen(settings.address)?;
        let identity = DiskIdentity::new(&settings.cluster, me, Incarnation(rand::random()));
        let mut storage = FileStorage::open(&settings.data_folder, identity, 0)?;
        let recovered = storage.recover()?;
        let quorum = Quorum::new(
            quorum_config(me, &settings, &recovered),
            rand::random(),
            recovered,
        )?;
        let sender = self.handle.sender();
        let disk = disk::start(storage, sender.clone())?;
        let service = Rc::new(CoordinatorService::new(sender.clone()));
        let identity = Rc::new(Identity {
            role: Role::Keeper,
            incarnation: Incarnation(rand::random()),
            id: me.0,
            cluster: settings.cluster.clone(),
            key: settings.key.clone(),
        });
        let as_service: Rc<dyn Service> = Rc::clone(&service) as Rc<dyn Service>;
        let peers = Peers::new(Rc::clone(&identity), Rc::clone(&as_service));
        let control = Control::new(settings, quorum, disk, peers, service, sender);
        let serving = serve(listener, identity, as_service, std::future::pending());
        tokio::select! {
            result = control.run(self.inputs) => result,
            () = serving => Ok(()),
        }
    }
}

fn listen(address: SocketAddr) -> Result<TcpListener, CoordinatorError> {
    let fault = |error| CoordinatorError::Bind(address, error);
    let listener = StdListener::bind(address).map_err(fault)?;
    listener.set_nonblocking(true).map_err(fault)?;
    TcpListener::from_std(listener).map_err(fault)
}

fn quorum_config(
    me: KeeperId,
    settings: &CoordinatorSettings,
    recovered: &RecoveredState,
) -> QuorumConfig {
    let mut seeds: Vec<KeeperId> = settings.seeds.iter().copied().map(keeper_id).collect();
    seeds.sort_unstable();
    seeds.dedup();
    QuorumConfig::new(me, recovered.incarnation, seeds)
        .with_fast_elections()
        .with_bootstrap(settings.may_found)
        .with_target_voters(settings.target_voters)
        .with_bytes_per_snapshot(SNAPSHOT_AFTER_BYTES)
        .with_snapshots(SNAPSHOT_AFTER_ENTRIES, 2_000)
}
