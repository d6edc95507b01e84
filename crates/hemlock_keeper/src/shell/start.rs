//! Starting a keeper's threads.

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

use super::answers::Answers;
use super::control::Control;
use super::disk;
use super::edge::Edge;
use super::encoder;
use super::handle::{KeeperHandle, Threads};
use super::input::{EncodeOrder, Input, LaneOrder, LaneStop};
use super::lane::Lane;
use crate::core::KeeperCore;
use crate::error::KeeperError;

/// Largest command of the log, in bytes.
const MAX_COMMAND_BYTES: usize = 4 * 1024 * 1024;
/// Bytes of the log that call for a snapshot. The ledger is much larger than a few changes, so
/// that frequent snapshots would write far more than the log does.
const SNAPSHOT_AFTER_BYTES: u64 = 64 * 1024 * 1024;
/// Entries of the log that call for a snapshot.
const SNAPSHOT_AFTER_ENTRIES: u64 = 100_000;
/// Largest body that an operator may send, in bytes.
const MAX_BODY_BYTES: usize = 512 * 1024;
/// Operators' connections at once.
const MAX_CONNECTIONS: usize = 256;

/// Starts keepers.
pub struct Keeper;

impl Keeper {
    /// Starts a keeper with the given settings.
    ///
    /// # Errors
    ///
    /// Fails when an address can't be listened on, or when the data folder can't be used.
    #[expect(
        clippy::needless_pass_by_value,
        reason = "a role takes its settings over; only parts of them are kept"
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
        let (lane_orders, lane_queue) = mpsc::unbounded_channel();
        // The lane has not started yet, so it takes this as its first order.
        drop(lane_orders.send(LaneOrder::Keepers(keepers)));
        let (stop_lane, lane_stopped) = watch::channel(LaneStop::GoOn);
        let (disk_work, disk_queue) = unbounded();
        let (encoder, encoder_queue) = unbounded();
        let ready = Arc::new(AtomicBool::new(false));
        let instance = format!("keeper-{}", settings.keeper_id);
        let http = start_http(&settings, &inputs, &ready, &instance)?;
        let control = Control {
            core,
            clock: SystemClock::start(),
            inputs: received,
            lane: lane_orders,
            disk: disk_work,
            encoder,
            ready,
            instance: instance.clone(),
            answers: Answers::default(),
            gauges_due: Instant::ZERO,
        };
        let lane = Lane {
            listener: wire,
            identity: identity(&settings, incarnation),
            control: inputs.clone(),
            orders: lane_queue,
            stop: lane_stopped,
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
            stop_lane,
            threads: Some(threads),
        })
    }
}

fn listen(address: SocketAddr) -> Result<TcpListener, KeeperError> {
    let fault = |error| KeeperError::Bind(address, error);
    let listener = TcpListener::bind(address).map_err(fault)?;
    listener.set_nonblocking(true).map_err(fault)?;
    Ok(listener)
}

/// Addresses of the settings' keepers, with this one's real port.
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
    let me = KeeperId(settings.keeper_id);
    let founders = settings.keepers.iter().map(|keeper| KeeperId(keeper.id));
    let mut config = QuorumConfig::new(me, recovered.incarnation, founders.collect());
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
    let edge = Edge {
        control: inputs.clone(),
        operator_keys: settings.operator_key_sha256.clone(),
        ready: Arc::clone(ready),
    };
    Ok(HttpServer::start(config, Arc::new(edge))?)
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
    queue: Receiver<EncodeOrder>,
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
