//! A client for operators' requests to the coordinators.

use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use futures::FutureExt;
use futures::future::LocalBoxFuture;
use hemlock_jobs::prelude::Evacuations;
use hemlock_quorum::prelude::KeeperId;
use hemlock_types::prelude::*;
use hemlock_wire::prelude::*;
use quick_error::quick_error;
use tokio::time::Instant as RuntimeInstant;

use crate::address::keeper_address;
use crate::message::{EvacuationAnswer, EvacuationChange, EvacuationsAnswer, Reply, Request};

/// Longest time to open a connection.
const CONNECT_TIMEOUT: DurationMs = DurationMs::new(1_000);
/// Longest wait for an answer. A later one counts as lost, and the request is sent again.
const ANSWER_TIMEOUT: DurationMs = DurationMs::new(1_000);
/// Time after which no request is sent again. It covers the loss of a leader.
const RESEND_TIMEOUT: DurationMs = DurationMs::new(5_000);
/// Pause between two rounds through the coordinators.
const ROUND_PAUSE: DurationMs = DurationMs::new(100);
/// Most referrals to another coordinator that are followed in a row.
const MAX_REFERRALS: u32 = 2;

quick_error! {
    /// An operator's request that was not carried out, or may not have been.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum OperatorError {
        /// The deployment has no such failure domain.
        UnknownDomain(domain: String) {
            display("the deployment has no failure domain {domain:?}")
        }
        /// No coordinator could carry out the request, and none has. Lists what was tried.
        Unreachable(tried: String) {
            display("no coordinator could carry out the request; tried {tried}")
        }
        /// The request may have been carried out.
        Undecided(reason: String) {
            display("{reason}; the request may have been carried out and can be sent again")
        }
    }
}

/// Sends an operator's requests to the leading coordinator.
///
/// The methods must be called inside a [`LocalSet`](tokio::task::LocalSet). Every request may be
/// carried out twice with the same effect, so it is sent again while its answer is missing.
pub struct OperatorClient {
    identity: Rc<Identity>,
    coordinators: Vec<SocketAddr>,
}

/// What a reply means for the request.
enum Outcome<T> {
    Done(T),
    Refused(OperatorError),
    /// The coordinator doesn't lead. Holds the leader, if known.
    NotLeading(Option<KeeperId>),
    Undecided,
}

/// Why a call has no reply.
enum Failure {
    /// The request can't have been received.
    NotSent(String),
    /// The request may have been received.
    Lost(String),
}

impl OperatorClient {
    /// Creates a client of the cluster with this name and key. `coordinators` are the internal
    /// addresses of some of its coordinators.
    pub fn new(cluster: &str, key: ClusterKey, coordinators: Vec<SocketAddr>) -> Self {
        Self {
            identity: Rc::new(Identity {
                role: Role::Operator,
                incarnation: Incarnation(rand::random()),
                id: 0,
                cluster: cluster.to_owned(),
                key,
                source_ip: None,
            }),
            coordinators,
        }
    }

    /// Begins or ends an evacuation, and returns the version of the set with this change.
    ///
    /// # Errors
    ///
    /// Fails if the failure domain is unknown, if no coordinator can carry out the change, or if the
    /// answer is lost.
    pub async fn change_evacuations(&self, change: EvacuationChange) -> Result<u64, OperatorError> {
        let domain = change.domain().to_owned();
        let request = Request::Evacuation(change);
        self.send(&request, |reply| match reply {
            Reply::Evacuation(EvacuationAnswer::Done(version)) => Outcome::Done(version),
            Reply::Evacuation(EvacuationAnswer::UnknownDomain) => {
                Outcome::Refused(OperatorError::UnknownDomain(domain.clone()))
            }
            Reply::Evacuation(EvacuationAnswer::NotLeader(leader)) => Outcome::NotLeading(leader),
            Reply::Evacuation(EvacuationAnswer::Undecided) => Outcome::Undecided,
            _ => Outcome::NotLeading(None),
        })
        .await
    }

    /// Reads the evacuated failure domains.
    ///
    /// # Errors
    ///
    /// Fails if no coordinator leads or answers.
    pub async fn evacuations(&self) -> Result<Evacuations, OperatorError> {
        let read = self.send(&Request::Evacuations, |reply| match reply {
            Reply::Evacuations(EvacuationsAnswer::Current(current)) => Outcome::Done(current),
            Reply::Evacuations(EvacuationsAnswer::NotLeader(leader)) => Outcome::NotLeading(leader),
            _ => Outcome::NotLeading(None),
        });
        // A read has no effect that could be undecided.
        read.await.map_err(|error| match error {
            OperatorError::Undecided(reason) => OperatorError::Unreachable(reason),
            error => error,
        })
    }

    /// Sends a request to each coordinator in turn and to the leaders that they name, until one has
    /// carried it out or refuses it.
    async fn send<T>(
        &self,
        request: &Request,
        interpret: impl Fn(Reply) -> Outcome<T>,
    ) -> Result<T, OperatorError> {
        let end = RuntimeInstant::now() + RESEND_TIMEOUT.as_std();
        let mut undecided = None;
        loop {
            let mut tried = Vec::new();
            for coordinator in &self.coordinators {
                let mut address = *coordinator;
                for _ in 0..=MAX_REFERRALS {
                    let outcome = match self.call(address, request).await {
                        Ok(reply) => interpret(reply),
                        Err(Failure::NotSent(reason)) => {
                            tried.push(format!("{address} ({reason})"));
                            break;
                        }
                        Err(Failure::Lost(reason)) => {
                            undecided = Some(format!("{address}: {reason}"));
                            break;
                        }
                    };
                    match outcome {
                        Outcome::Done(value) => return Ok(value),
                        Outcome::Refused(error) => return Err(error),
                        Outcome::NotLeading(Some(leader)) => {
                            tried.push(format!("{address} (doesn't lead)"));
                            address = keeper_address(leader);
                        }
                        Outcome::NotLeading(None) => {
                            tried.push(format!("{address} (knows no leader)"));
                            break;
                        }
                        Outcome::Undecided => {
                            let reason = "the leader changed before it could confirm the request";
                            undecided = Some(format!("{address}: {reason}"));
                            break;
                        }
                    }
                }
            }
            if RuntimeInstant::now() >= end {
                return Err(match undecided {
                    Some(reason) => OperatorError::Undecided(reason),
                    None => OperatorError::Unreachable(tried.join(", ")),
                });
            }
            tokio::time::sleep(ROUND_PAUSE.as_std()).await;
        }
    }

    /// Makes one call over a connection of its own, whose end tells the coordinator that nobody
    /// waits for the answer any more.
    async fn call(&self, address: SocketAddr, request: &Request) -> Result<Reply, Failure> {
        let identity = Rc::clone(&self.identity);
        let connection = connect(address, identity, Rc::new(NoService), CONNECT_TIMEOUT)
            .await
            .map_err(|error| Failure::NotSent(error.to_string()))?;
        let answer = connection.link.call::<_, Reply>(request);
        match tokio::time::timeout(ANSWER_TIMEOUT.as_std(), answer).await {
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(error @ CallError::NeverSent)) => Err(Failure::NotSent(error.to_string())),
            Ok(Err(error)) => Err(Failure::Lost(error.to_string())),
            Err(_) => Err(Failure::Lost("no answer arrived in time".to_owned())),
        }
    }
}

/// Rejects every call: coordinators send no requests to operators.
struct NoService;

impl Service for NoService {
    fn answer(&self, _: Peer, _: Bytes) -> LocalBoxFuture<'static, Result<Bytes, ServiceError>> {
        std::future::ready(Err(ServiceError::Forbidden)).boxed_local()
    }
}
