//! The `claims` scenario: ledger claims per second and their latency, by claims in flight.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::FutureExt;
use futures::future::LocalBoxFuture;
use hemlock_ledger::prelude::*;
use hemlock_types::prelude::*;
use hemlock_wire::message::keeper::{EntrySync, KeeperReply, KeeperRequest};
use hemlock_wire::prelude::*;
use serde_json::{Value, json};
use tokio::sync::{mpsc, oneshot};

use crate::cluster::layout::{CLUSTER_KEY, cluster_name};
use crate::cluster::metrics::Counters;
use crate::cluster::running::Cluster;
use crate::error::BenchError;
use crate::load::summary::{Sample, rounded};
use crate::options::Options;
use crate::scenario::ScenarioOutcome;
use crate::scenario::policy_run::{DEFAULT_POLICY, spec_of};

/// Numbers of claims in flight that are measured, each for one level.
const LEVELS: [usize; 4] = [1, 16, 256, 4_096];
/// Default length of a level, in seconds.
const LEVEL_S: u64 = 5;
/// Limit on the calls in flight on the connection.
const CALLS_IN_FLIGHT: usize = 4;
/// Limit on the claims of one call.
const CLAIMS_PER_CALL: usize = 1_024;
/// Timeout of opening a connection.
const CONNECT_TIMEOUT: DurationMs = DurationMs::new(2_000);
/// Incarnation of the entry as which the bench connects.
const ENTRY: Incarnation = Incarnation(0xBE7C);
/// Agent incarnation in the plan of each claim.
const AGENT: Incarnation = Incarnation(0xA6E7);
/// Deadline of each claimed submission, in milliseconds.
const DEADLINE_MS: u64 = 60_000;
/// Sum and count of the histogram of the keepers' sync times, in milliseconds.
const SYNC_MS_SUM: &str = "hemlock_keeper_sync_ms_sum";
const SYNC_MS_COUNT: &str = "hemlock_keeper_sync_ms_count";

/// Runs the scenario.
///
/// # Errors
///
/// [`BenchError`] when the cluster can't run.
pub(crate) fn run(options: &Options) -> Result<ScenarioOutcome, BenchError> {
    let mut spec = spec_of(options, DEFAULT_POLICY);
    spec.entries = 0;
    spec.endpoints = 0;
    spec.latency_us = 0;
    let cluster = Cluster::start(spec)?;
    let seconds = options.seconds.unwrap_or(LEVEL_S);
    let mut levels = Vec::new();
    for concurrency in LEVELS {
        levels.push(measure_level(
            &cluster,
            concurrency,
            Duration::from_secs(seconds),
        )?);
    }
    let guarantees_held = levels.iter().all(|level| level["refused"] == 0);
    let figures = json!({
        "sync_delay_ms": options.sync_delay_ms,
        "keepers": cluster.keepers.len(),
        "seed": options.seed,
        "levels": levels,
    });
    Ok(ScenarioOutcome {
        figures,
        guarantees_held,
    })
}

/// Sends claims for `length`, with `concurrency` of them in flight.
///
/// # Errors
///
/// [`BenchError`] when no keeper leads.
pub(crate) fn measure_level(
    cluster: &Cluster,
    concurrency: usize,
    length: Duration,
) -> Result<Value, BenchError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, run_level(cluster, concurrency, length))
}

/// A claim that waits for its reply.
struct PendingClaim {
    claim: ClaimRequest,
    answered: oneshot::Sender<ClaimReply>,
}

async fn run_level(
    cluster: &Cluster,
    concurrency: usize,
    length: Duration,
) -> Result<Value, BenchError> {
    let connection = connect_to_leader(cluster).await?;
    let link = connection.link.clone();
    let (sender, receiver) = mpsc::unbounded_channel();
    let batching = tokio::task::spawn_local(send_batches(link, receiver));
    let latencies_us = Rc::new(RefCell::new(Vec::new()));
    let refused = Rc::new(RefCell::new(0_u64));
    let before = sync_figures(cluster);
    let start = Instant::now();
    let claimants = (0..concurrency).map(|claimant| {
        let sender = sender.clone();
        let latencies_us = Rc::clone(&latencies_us);
        let refused = Rc::clone(&refused);
        async move {
            let mut number = 0;
            while start.elapsed() < length {
                let asked_at = Instant::now();
                let claim = new_claim(concurrency, claimant, number);
                match claim_once(&sender, claim).await {
                    Some(ClaimReply::Granted { .. }) => {
                        latencies_us
                            .borrow_mut()
                            .push(asked_at.elapsed().as_micros() as f64);
                    }
                    _ => *refused.borrow_mut() += 1,
                }
                number += 1;
            }
        }
    });
    futures::future::join_all(claimants).await;
    let elapsed_s = start.elapsed().as_secs_f64();
    let after = sync_figures(cluster);
    drop(sender);
    let _ = batching.await;
    let syncs = (after.count - before.count).max(1.0);
    let sample = Sample::new(latencies_us.take());
    let granted = sample.len() as f64;
    Ok(json!({
        "concurrency": concurrency,
        "claims_per_s": rounded(granted / elapsed_s),
        "p50_ms": rounded(sample.quantile(0.5) / 1e3),
        "p99_ms": rounded(sample.quantile(0.99) / 1e3),
        "sync_ms": rounded((after.total_ms - before.total_ms) / syncs),
        "claims_per_sync": rounded(granted * cluster.keepers.len() as f64 / syncs),
        "refused": refused.take(),
    }))
}

fn new_claim(level: usize, claimant: usize, number: u64) -> ClaimRequest {
    let customer = CustomerName::from("bench");
    let name = format!("{level}-{claimant}-{number}");
    ClaimRequest {
        submission: SubmissionId::derive(&customer, &name),
        digest: Digest::of_parts(&[name.as_bytes()]),
        entry: ENTRY,
        tasks: 1,
        plan: vec![AGENT],
        deadline_ms: DEADLINE_MS,
    }
}

async fn claim_once(
    sender: &mpsc::UnboundedSender<PendingClaim>,
    claim: ClaimRequest,
) -> Option<ClaimReply> {
    let (answered, answer) = oneshot::channel();
    sender.send(PendingClaim { claim, answered }).ok()?;
    answer.await.ok()
}

/// Batches pending claims into calls, with up to [`CALLS_IN_FLIGHT`] calls in flight.
async fn send_batches(link: Link, mut pending: mpsc::UnboundedReceiver<PendingClaim>) {
    let permits = std::sync::Arc::new(tokio::sync::Semaphore::new(CALLS_IN_FLIGHT));
    while let Some(first) = pending.recv().await {
        let Ok(permit) = std::sync::Arc::clone(&permits).acquire_owned().await else {
            return;
        };
        let mut batch = vec![first];
        while batch.len() < CLAIMS_PER_CALL
            && let Ok(more) = pending.try_recv()
        {
            batch.push(more);
        }
        let link = link.clone();
        tokio::task::spawn_local(async move {
            send_batch(&link, batch).await;
            drop(permit);
        });
    }
}

async fn send_batch(link: &Link, batch: Vec<PendingClaim>) {
    let (claims, answered): (Vec<_>, Vec<_>) = batch
        .into_iter()
        .map(|pending| (pending.claim, pending.answered))
        .unzip();
    let reply = link
        .call::<_, KeeperReply>(&KeeperRequest::Claims(claims))
        .await;
    if let Ok(KeeperReply::Claims(replies)) = reply {
        for (answered, reply) in answered.into_iter().zip(replies) {
            let _ = answered.send(reply);
        }
    }
}

/// Connects to the leading keeper and sends it the first report of the bench's entry.
async fn connect_to_leader(cluster: &Cluster) -> Result<Connection, BenchError> {
    let addresses: Vec<SocketAddr> = cluster
        .keepers
        .iter()
        .map(|keeper| keeper.addresses.wire)
        .collect();
    for address in addresses.iter().cycle().take(addresses.len() * 20) {
        let identity = Rc::new(Identity {
            role: Role::Entry,
            incarnation: ENTRY,
            id: 0,
            cluster: cluster_name(),
            key: ClusterKey::new(CLUSTER_KEY),
            source_ip: None,
        });
        let opened = connect(*address, identity, Rc::new(NoService), CONNECT_TIMEOUT).await;
        if let Ok(connection) = opened
            && let Ok(KeeperReply::EntrySync { .. }) = connection
                .link
                .call(&KeeperRequest::EntrySync(entry_report()))
                .await
        {
            return Ok(connection);
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    Err(BenchError::NotReady("no keeper leads"))
}

fn entry_report() -> EntrySync {
    EntrySync {
        entry: ENTRY,
        domain: FailureDomainName::from("bench"),
        config: ConfigVersion(0),
        directory: (0, 0),
        demand: Vec::new(),
        shares_seen: 0,
        wait_ms: 0,
        leaving: false,
    }
}

/// Refuses every request of the peer: the bench's entry serves none.
struct NoService;

impl Service for NoService {
    fn answer(&self, _: Peer, _: Bytes) -> LocalBoxFuture<'static, Result<Bytes, ServiceError>> {
        async { Err(ServiceError::Closing) }.boxed_local()
    }
}

/// Time and number of the syncs of all keepers.
struct SyncFigures {
    total_ms: f64,
    count: f64,
}

fn sync_figures(cluster: &Cluster) -> SyncFigures {
    let mut counters = Counters::default();
    for keeper in &cluster.keepers {
        counters.add_from(keeper.addresses.http);
    }
    SyncFigures {
        total_ms: counters.sum(SYNC_MS_SUM),
        count: counters.sum(SYNC_MS_COUNT),
    }
}
