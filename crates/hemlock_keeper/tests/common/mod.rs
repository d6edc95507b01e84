//! Real keepers on loopback, and callers that speak to them.

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
/// Longest time that a test waits for something that must come, in seconds.
const PATIENCE_S: u64 = 30;

/// Keepers with their data folders.
pub struct Cluster {
    pub keepers: Vec<Option<KeeperHandle>>,
    pub folders: Vec<TempDir>,
    addresses: Vec<KeeperAddress>,
}

impl Cluster {
    /// Starts `count` keepers.
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

    /// Adds the address and folder of one more keeper, and starts it. It is not a member yet.
    pub fn start_newcomer(&mut self) -> KeeperAddress {
        let mut newcomer = free_addresses(1)[0];
        newcomer.id = self.addresses.len() as u64 + 1;
        self.addresses.push(newcomer);
        self.folders.push(TempDir::new().unwrap());
        self.keepers.push(None);
        self.start_keeper(self.addresses.len() - 1);
        newcomer
    }

    /// Gives the keeper a new, empty disk.
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

    /// Waits until a keeper leads, and returns its index.
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

    /// An operator's call to one keeper.
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
        .with_timeout_ms(PATIENCE_S * 1_000)
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

/// Ports that are free now, all different.
fn free_addresses(count: usize) -> Vec<KeeperAddress> {
    (1..=count as u64)
        .map(|id| KeeperAddress {
            id,
            address: hemlock_standin::free_address().unwrap(),
        })
        .collect()
}

/// Waits until `look` finds something.
pub fn wait_for<T>(what: &str, mut look: impl FnMut() -> Option<T>) -> T {
    let until = StdInstant::now() + Duration::from_secs(PATIENCE_S);
    loop {
        match look() {
            Some(found) => return found,
            None if StdInstant::now() >= until => panic!("waited too long for {what}"),
            None => std::thread::sleep(Duration::from_millis(20)),
        }
    }
}

/// A caller over the wire in the role of an entry, on a runtime of its own.
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

    /// Connects to a keeper; `false` when it can't be reached.
    pub fn connect(&mut self, address: SocketAddr) -> bool {
        let identity = Rc::clone(&self.identity);
        let earlier = self.connection.take();
        let opening = async move {
            drop(earlier);
            let timeout = DurationMs::new(1_000);
            connect(address, identity, Rc::new(NoService), timeout).await
        };
        self.connection = self.local.block_on(&self.runtime, opening).ok();
        self.connection.is_some()
    }

    /// Asks the connected keeper; `None` when no answer comes.
    pub fn ask(&mut self, request: &KeeperRequest) -> Option<KeeperReply> {
        self.try_ask(request).ok()
    }

    /// Asks the connected keeper, and tells why no answer comes.
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

    /// Asks keeper after keeper until one gives an answer as the leader.
    pub fn ask_leader(&mut self, cluster: &Cluster, request: &KeeperRequest) -> KeeperReply {
        wait_for("the leader's answer", || {
            let reply = self.ask(request);
            match reply {
                Some(KeeperReply::NotLeader { .. } | KeeperReply::Unavailable) | None => {
                    let alive = cluster.alive();
                    let pick = rand::random::<u32>() as usize % alive.len();
                    self.connect(cluster.wire_address(alive[pick]));
                    None
                }
                answer => answer,
            }
        })
    }
}

impl Drop for WireCaller {
    /// A connection ends on the runtime that carries it.
    fn drop(&mut self) {
        let connection = self.connection.take();
        self.local
            .block_on(&self.runtime, async move { drop(connection) });
    }
}
