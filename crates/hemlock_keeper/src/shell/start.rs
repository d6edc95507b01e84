//! Startup of a keeper and its threads.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::thread::{Builder, JoinHandle};

use crossbeam::channel::{Receiver, Sender, unbounded};
use hemlock_http::prelude::*;
use hemlock_ledger::prelude::*;
use hemlock_quorum::prelude::*;
use hemlock_settings::prelude::*;
use hemlock_types::prelude::*;
use hemlock_wire::prelude::*;
use tokio::sync::{mpsc, watch};

use super::control::Control;
use super::disk;
use super::encoder;
use super::handle::{KeeperHandle, Threads};
use super::http_api::HttpApi;
use super::input::{EncodeRequest, Input, LaneCommand, LaneShutdown};
use super::lane::Lane;
use super::pending_replies::PendingReplies;
use crate::core::KeeperCore;
use crate::error::KeeperError;

/// Maximum size of a log command in bytes.
const MAX_COMMAND_BYTES: usize = 4 * 1024 * 1024;
/// Size of the log in bytes after which a snapshot is taken. A snapshot includes the whole ledger,
/// so frequent snapshots would write far more data than the log itself.
const SNAPSHOT_AFTER_BYTES: u64 = 64 * 1024 * 1024;
/// Number of log entries after which a snapshot is taken.
const SNAPSHOT_AFTER_ENTRIES: u64 = 100_000;
/// Maximum body size of an operator's call in bytes.
const MAX_BODY_BYTES: usize = 512 * 1024;
/// Maximum number of concurrent HTTP connections.
const MAX_CONNECTIONS: usize = 256;

/// Entry point to start a keeper.
pub struct Keeper;

impl Keeper {
    /// Starts a keeper with the given settings.
    ///
    /// # Errors
    ///
    /// Fails when an address can't be bound, when the data folder can't be used, or when a thread
    /// can't be started.
    #[expect(
        clippy::needless_pass_by_value,
        reason = "all roles take their settings by value, although only parts of them are kept"
    )]
    pub fn start(settings: KeeperSettings) -> Result<KeeperHandle, KeeperError> {
        let wire = listen(settings.wire_address)?;
        let wire_address = wire
            .local_addr()
            .map_err(|error| KeeperError::Bind(settings.wire_address, error))?;
        let incarnation = Incarnation(rand::random());
        let mut storage = super::storage::open(&settings)?;
        let recovered = storage.recover()?;
        let keepers = addresses(&settings, wire_address);
        let core = new_core(&settings, recovered, keepers.clone())?;
        let (inputs, received) = unbounded();
        let (lane_commands, lane_queue) = mpsc::unbounded_channel();
        // Queued before the lane starts, so that the addresses are its first command.
        drop(lane_commands.send(LaneCommand::Keepers(keepers)));
        let (lane_shutdown, shutdown_requested) = watch::channel(LaneShutdown::NotRequested);
        let (disk_work, disk_queue) = unbounded();
        let (encoder, encoder_queue) = unbounded();
        let ready = Arc::new(AtomicBool::new(false));
        let instance = format!("keeper-{}", settings.keeper_id);
        let http = start_http(&settings, &inputs, &ready, &instance)?;
        let control = Control {
            core,
            clock: SystemClock::start(),
            inputs: received,
            lane: lane_commands,
            disk: disk_work,
            encoder,
            ready,
            instance: instance.clone(),
            pending_replies: PendingReplies::default(),
            next_gauge_update: Instant::ZERO,
        };
        let lane = Lane {
            listener: wire,
            identity: identity(&settings, incarnation),
            control: inputs.clone(),
            commands: lane_queue,
            shutdown: shutdown_requested,
        };
        let http_address = http.address();
        let threads = Threads {
            disk: start_disk(storage, disk_queue, inputs.clone(), instance)?,
            lane: start_lane(lane)?,
            encoder: start_encoder(encoder_queue, inputs.clone())?,
            control: spawn("keeper-control", move || control.run())?,
            http,
        };
        Ok(KeeperHandle {
            incarnation,
            wire_address,
            http_address,
            inputs,
            lane_shutdown,
            threads: Some(threads),
        })
    }
}

fn listen(address: SocketAddr) -> Result<TcpListener, KeeperError> {
    let bind_error = |error| KeeperError::Bind(address, error);
    let listener = TcpListener::bind(address).map_err(bind_error)?;
    listener.set_nonblocking(true).map_err(bind_error)?;
    Ok(listener)
}

/// Returns the keeper addresses of the settings. If this keeper's port is 0, its bound address is
/// used instead.
fn addresses(settings: &KeeperSettings, own: SocketAddr) -> BTreeMap<KeeperId, SocketAddr> {
    settings
        .keepers
        .iter()
        .map(|keeper| match keeper.id == settings.keeper_id {
            true if keeper.address.port() == 0 => (KeeperId(keeper.id), own),
            _ => (KeeperId(keeper.id), keeper.address),
        })
        .collect()
}

fn new_core(
    settings: &KeeperSettings,
    recovered: RecoveredState,
    keepers: BTreeMap<KeeperId, SocketAddr>,
) -> Result<KeeperCore, KeeperError> {
    let keeper_id = KeeperId(settings.keeper_id);
    let bootstrap_keepers = settings.keepers.iter().map(|keeper| KeeperId(keeper.id));
    let mut config = QuorumConfig::new(
        keeper_id,
        recovered.incarnation,
        bootstrap_keepers.collect(),
    );
    config.max_command_bytes = MAX_COMMAND_BYTES;
    config.snapshot_after_bytes = SNAPSHOT_AFTER_BYTES;
    config.snapshot_after_entries = SNAPSHOT_AFTER_ENTRIES;
    let limits = LedgerLimits::default();
    KeeperCore::new(config, limits, rand::random(), recovered, keepers)
}

fn identity(settings: &KeeperSettings, incarnation: Incarnation) -> Identity {
    Identity {
        role: Role::Keeper,
        incarnation,
        id: settings.keeper_id,
        cluster: settings.cluster.clone(),
        key: ClusterKey::new(settings.cluster_key.expose()),
        source_ip: None,
    }
}

fn start_http(
    settings: &KeeperSettings,
    inputs: &Sender<Input>,
    ready: &Arc<AtomicBool>,
    instance: &str,
) -> Result<HttpServer, KeeperError> {
    let config = HttpServerConfig::new(settings.http_address)
        .with_max_connections(MAX_CONNECTIONS)
        .with_max_body_bytes(MAX_BODY_BYTES)
        .with_threads(1)
        .with_instance(instance);
    let http_api = HttpApi {
        control: inputs.clone(),
        operator_keys: settings.operator_key_sha256.clone(),
        ready: Arc::clone(ready),
    };
    Ok(HttpServer::start(config, Arc::new(http_api))?)
}

fn start_disk(
    storage: Box<dyn Storage>,
    queue: Receiver<Vec<DiskWork>>,
    control: Sender<Input>,
    instance: String,
) -> Result<JoinHandle<()>, KeeperError> {
    spawn("keeper-disk", move || {
        disk::run(storage, &queue, &control, &instance);
    })
}

fn start_encoder(
    queue: Receiver<EncodeRequest>,
    control: Sender<Input>,
) -> Result<JoinHandle<()>, KeeperError> {
    spawn("keeper-encoder", move || encoder::run(&queue, &control))
}

fn start_lane(lane: Lane) -> Result<JoinHandle<()>, KeeperError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_io()
        .enable_time()
        .build()
        .map_err(KeeperError::Thread)?;
    spawn("keeper-lane", move || lane.run(&runtime))
}

fn spawn<T: Send + 'static>(
    name: &str,
    work: impl FnOnce() -> T + Send + 'static,
) -> Result<JoinHandle<T>, KeeperError> {
    Builder::new()
        .name(name.to_owned())
        .spawn(work)
        .map_err(KeeperError::Thread)
}
