//! The process on a keeper's machine: replicates the job store, and dispatches jobs while it leads.

mod control;
mod disk;
mod error;
mod evacuations;
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

use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr, TcpListener as StdListener};
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

/// Log entries after which a snapshot replaces the log.
const SNAPSHOT_AFTER_ENTRIES: u64 = 20_000;
/// Log bytes after which a snapshot replaces the log. The data folder holds up to two such logs and
/// a snapshot, which fits a disk of 128 MB.
const SNAPSHOT_AFTER_BYTES: u64 = 12 * 1024 * 1024;

/// Settings of a coordinator.
#[derive(Clone, Debug)]
pub struct CoordinatorSettings {
    /// Address on which it listens for other processes of the cluster. Its keeper id is derived
    /// from it.
    pub address: SocketAddr,
    /// Address on which it listens, if others reach it at [`address`](Self::address) through a
    /// translation of addresses; otherwise the same.
    pub listen_address: SocketAddr,
    /// Address from which it connects to others; `None` leaves the choice to the system.
    pub source_ip: Option<IpAddr>,
    /// Folder of the replicated log and the snapshots.
    pub data_folder: PathBuf,
    /// Name of the cluster.
    pub cluster: String,
    /// Secret shared by all processes of the cluster.
    pub key: ClusterKey,
    /// Addresses of possible keepers.
    pub seeds: Vec<SocketAddr>,
    /// Whether the keepers may bootstrap a new cluster.
    pub allow_bootstrap: bool,
    /// Number of voters that the cluster maintains.
    pub target_voters: usize,
    /// Settings of the dispatcher.
    pub dispatch: DispatchSettings,
    /// Retention of ended jobs, in milliseconds.
    pub retention_ms: u64,
    /// Failure domains of the deployment, which operators may evacuate. If empty, all names are
    /// valid.
    pub failure_domains: BTreeSet<String>,
}

/// A coordinator that is not running yet.
pub struct Coordinator {
    settings: CoordinatorSettings,
    inputs: mpsc::UnboundedReceiver<Input>,
    handle: CoordinatorHandle,
}

impl Coordinator {
    /// Creates a coordinator. [`run`](Self::run) starts it.
    pub fn new(settings: CoordinatorSettings) -> Self {
        let (sender, inputs) = mpsc::unbounded_channel();
        let handle = CoordinatorHandle::new(sender);
        Self {
            settings,
            inputs,
            handle,
        }
    }

    /// Returns a handle for operators' requests.
    pub fn handle(&self) -> CoordinatorHandle {
        self.handle.clone()
    }

    /// Runs until a planned stop is complete. Must be called inside a local task set.
    ///
    /// # Errors
    ///
    /// Fails when listening on the address or using the disk fails.
    pub async fn run(self) -> Result<(), CoordinatorError> {
        let settings = self.settings;
        let id = keeper_id(settings.address);
        let listener = listen(settings.listen_address)?;
        let identity = DiskIdentity::new(&settings.cluster, id, Incarnation(rand::random()));
        let mut storage = FileStorage::open(&settings.data_folder, identity, 0)?;
        let recovered = storage.recover()?;
        let quorum = Quorum::new(
            quorum_config(id, &settings, &recovered),
            rand::random(),
            recovered,
        )?;
        let sender = self.handle.sender();
        let disk = disk::start(storage, sender.clone())?;
        let service = Rc::new(CoordinatorService::new(sender.clone()));
        let identity = Rc::new(Identity {
            role: Role::Keeper,
            incarnation: Incarnation(rand::random()),
            id: id.0,
            cluster: settings.cluster.clone(),
            key: settings.key.clone(),
            source_ip: settings.source_ip,
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
    let bind_error = |error| CoordinatorError::Bind(address, error);
    let listener = StdListener::bind(address).map_err(bind_error)?;
    listener.set_nonblocking(true).map_err(bind_error)?;
    TcpListener::from_std(listener).map_err(bind_error)
}

fn quorum_config(
    id: KeeperId,
    settings: &CoordinatorSettings,
    recovered: &RecoveredState,
) -> QuorumConfig {
    let mut seeds: Vec<KeeperId> = settings.seeds.iter().copied().map(keeper_id).collect();
    seeds.sort_unstable();
    seeds.dedup();
    QuorumConfig::new(id, recovered.incarnation, seeds)
        .with_fast_elections()
        .with_bootstrap(settings.allow_bootstrap)
        .with_target_voters(settings.target_voters)
        .with_bytes_per_snapshot(SNAPSHOT_AFTER_BYTES)
        .with_snapshots(SNAPSHOT_AFTER_ENTRIES, 2_000)
}
