//! Test harness: running keepers on loopback, and clients that call them.

#![allow(dead_code, unreachable_pub, clippy::unwrap_used)]

use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant as StdInstant};

use bytes::Bytes;
use futures::FutureExt;
use futures::future::LocalBoxFuture;
use hemlock_http::prelude::*;
use hemlock_keeper::prelude::*;
use hemlock_settings::prelude::*;
use hemlock_types::prelude::*;
use hemlock_wire::message::keeper::{KeeperReply, KeeperRequest};
use hemlock_wire::prelude::*;
use serde_json::Value;
use tempfile::TempDir;

pub const OPERATOR_KEY: &str = "an-operators-key";
const CLUSTER: &str = "test";
const CLUSTER_KEY: &str = "a-cluster-key-for-tests";
/// Time in seconds after which a test fails if an expected condition isn't met.
const WAIT_TIMEOUT_S: u64 = 30;

/// Cluster of keepers with their data folders.
pub struct Cluster {
    pub keepers: Vec<Option<KeeperHandle>>,
    pub folders: Vec<TempDir>,
    addresses: Vec<KeeperAddress>,
}

impl Cluster {
    /// Starts a cluster of `count` keepers.
    pub fn start(count: usize) -> Self {
        let addresses = free_addresses(count);
        let folders = (0..count).map(|_| TempDir::new().unwrap()).collect();
        let mut cluster = Self {
            keepers: (0..count).map(|_| None).collect(),
            folders,
            addresses,
        };
        for index in 0..count {
            cluster.start_keeper(index);
        }
        cluster
    }

    pub fn settings(&self, index: usize) -> KeeperSettings {
        let folder: PathBuf = self.folders[index].path().join("data");
        KeeperSettings {
            cluster: CLUSTER.to_owned(),
            cluster_key: SecretKey::new(CLUSTER_KEY),
            keeper_id: self.addresses[index].id,
            data_folder: folder,
            wire_address: self.addresses[index].address,
            http_address: "127.0.0.1:0".parse().unwrap(),
            domain: FailureDomainName::from("harju-1"),
            keepers: self.addresses.clone(),
            operator_key_sha256: vec![Digest::of_key(OPERATOR_KEY.as_bytes())],
            sync_delay_ms: 0,
        }
    }

    pub fn start_keeper(&mut self, index: usize) {
        let keeper = wait_for("the keeper's address to be free", || {
            Keeper::start(self.settings(index)).ok()
        });
        self.keepers[index] = Some(keeper);
    }

    pub fn kill(&mut self, index: usize) {
        self.keepers[index].take().unwrap().kill();
    }

    pub fn stop(&mut self, index: usize) {
        self.keepers[index].take().unwrap().stop().unwrap();
    }

    /// Starts an additional keeper with a new address and data folder. It isn't a member yet.
    pub fn start_new_keeper(&mut self) -> KeeperAddress {
        let mut new_keeper = free_addresses(1)[0];
        new_keeper.id = self.addresses.len() as u64 + 1;
        self.addresses.push(new_keeper);
        self.folders.push(TempDir::new().unwrap());
        self.keepers.push(None);
        self.start_keeper(self.addresses.len() - 1);
        new_keeper
    }

    /// Replaces the keeper's data folder by an empty one.
    pub fn replace_disk(&mut self, index: usize) {
        self.folders[index] = TempDir::new().unwrap();
    }

    pub fn alive(&self) -> Vec<usize> {
        (0..self.keepers.len())
            .filter(|index| self.keepers[*index].is_some())
            .collect()
    }

    pub fn wire_address(&self, index: usize) -> SocketAddr {
        self.addresses[index].address
    }

    /// Waits until a keeper leads with a lease and returns its index.
    pub fn leader(&self) -> usize {
        wait_for("a leader", || {
            self.alive().into_iter().find(|index| {
                let status = self.status(*index);
                status["leading"] == true && status["has_lease"] == true
            })
        })
    }

    pub fn status(&self, index: usize) -> Value {
        self.call(index, Method::Get, "/v1/status", "").1
    }

    /// Sends an operator's call to a keeper. Returns the HTTP status and the JSON body.
    pub fn call(&self, index: usize, method: Method, path: &str, body: &str) -> (u16, Value) {
        let address = self.keepers[index].as_ref().unwrap().http_address();
        call(address, method, path, body)
    }

    pub fn put(&self, index: usize, customer: &str, revision: u64, running: u32) -> (u16, Value) {
        let path = format!("/v1/contracts/{customer}");
        self.call(
            index,
            Method::Put,
            &path,
            &contract(customer, revision, running),
        )
    }
}

pub fn call(address: SocketAddr, method: Method, path: &str, body: &str) -> (u16, Value) {
    let client = HttpClient::new(HttpClientConfig::default());
    let call = HttpCall::new(method, address, path)
        .with_header("Authorization", format!("Bearer {OPERATOR_KEY}"))
        .with_timeout_ms(WAIT_TIMEOUT_S * 1_000)
        .with_body(body.to_owned(), "application/json");
    match client.send(&call) {
        Ok(reply) => (
            reply.status,
            serde_json::from_slice(&reply.body).unwrap_or(Value::Null),
        ),
        Err(_) => (0, Value::Null),
    }
}

pub fn contract(customer: &str, revision: u64, running: u32) -> String {
    let key = Digest::of_key(customer.as_bytes());
    format!(
        r#"{{"customer":"{customer}","revision":{revision},"key_sha256":["{key}"],
            "services":["portaal"],"max_running":{running},"max_queued":100}}"#
    )
}

/// Returns addresses with different ports that are currently free.
fn free_addresses(count: usize) -> Vec<KeeperAddress> {
    (1..=count as u64)
        .map(|id| KeeperAddress {
            id,
            address: hemlock_standin::free_address().unwrap(),
        })
        .collect()
}

/// Polls `condition` until it returns a value, which is returned.
///
/// # Panics
///
/// Panics after [`WAIT_TIMEOUT_S`].
pub fn wait_for<T>(what: &str, mut condition: impl FnMut() -> Option<T>) -> T {
    let until = StdInstant::now() + Duration::from_secs(WAIT_TIMEOUT_S);
    loop {
        match condition() {
            Some(found) => return found,
            None if StdInstant::now() >= until => panic!("timed out waiting for {what}"),
            None => std::thread::sleep(Duration::from_millis(20)),
        }
    }
}

/// Client of the keepers' wire address, with its own async runtime.
pub struct WireCaller {
    runtime: tokio::runtime::Runtime,
    local: tokio::task::LocalSet,
    identity: Rc<Identity>,
    connection: Option<Connection>,
}

struct NoService;

impl Service for NoService {
    fn answer(&self, _: Peer, _: Bytes) -> LocalBoxFuture<'static, Result<Bytes, ServiceError>> {
        std::future::ready(Err(ServiceError::Forbidden)).boxed_local()
    }
}

impl WireCaller {
    pub fn new(role: Role) -> Self {
        static NEXT: AtomicU64 = AtomicU64::new(1);
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .unwrap();
        let identity = Identity {
            role,
            incarnation: Incarnation(NEXT.fetch_add(1, Ordering::Relaxed)),
            id: 0,
            cluster: CLUSTER.to_owned(),
            key: ClusterKey::new(CLUSTER_KEY),
            source_ip: None,
        };
        Self {
            runtime,
            local: tokio::task::LocalSet::new(),
            identity: Rc::new(identity),
            connection: None,
        }
    }

    pub fn incarnation(&self) -> Incarnation {
        self.identity.incarnation
    }

    /// Connects to a keeper. Returns `false` if it can't be reached.
    pub fn connect(&mut self, address: SocketAddr) -> bool {
        let identity = Rc::clone(&self.identity);
        let previous = self.connection.take();
        let connecting = async move {
            drop(previous);
            let timeout = DurationMs::new(1_000);
            connect(address, identity, Rc::new(NoService), timeout).await
        };
        self.connection = self.local.block_on(&self.runtime, connecting).ok();
        self.connection.is_some()
    }

    /// Sends a request to the connected keeper. Returns `None` if there is no reply.
    pub fn ask(&mut self, request: &KeeperRequest) -> Option<KeeperReply> {
        self.try_ask(request).ok()
    }

    /// Sends a request to the connected keeper.
    pub fn try_ask(&mut self, request: &KeeperRequest) -> Result<KeeperReply, CallError> {
        let connection = self.connection.as_ref().ok_or(CallError::NeverSent)?;
        let link = connection.link.clone();
        let answer = async {
            let call = link.call::<_, KeeperReply>(request);
            tokio::time::timeout(Duration::from_secs(5), call).await
        };
        let answered = self.local.block_on(&self.runtime, answer);
        answered.unwrap_or(Err(CallError::Lost))
    }

    /// Sends a request to randomly chosen keepers until the leader replies.
    pub fn ask_leader(&mut self, cluster: &Cluster, request: &KeeperRequest) -> KeeperReply {
        wait_for("a reply from the leader", || {
            let reply = self.ask(request);
            match reply {
                Some(KeeperReply::NotLeader { .. } | KeeperReply::Unavailable) | None => {
                    let alive = cluster.alive();
                    let index = rand::random::<u32>() as usize % alive.len();
                    self.connect(cluster.wire_address(alive[index]));
                    None
                }
                answer => answer,
            }
        })
    }
}

impl Drop for WireCaller {
    /// Drops the connection on its runtime, which its tasks need to end.
    fn drop(&mut self) {
        let connection = self.connection.take();
        self.local
            .block_on(&self.runtime, async move { drop(connection) });
    }
}
