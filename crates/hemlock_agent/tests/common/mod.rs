//! Test fixtures: agent settings, a stand-in endpoint, and a fake entry that talks to the agent over
//! the wire protocol.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use futures::future::LocalBoxFuture;
use hemlock_settings::prelude::*;
use hemlock_standin::prelude::*;
use hemlock_types::prelude::*;
use hemlock_wire::message::agent::{AgentReply, AgentRequest};
use hemlock_wire::message::entry::{EntryReply, EntryRequest};
use hemlock_wire::prelude::*;

pub(crate) const SERVICE: &str = "loovutus-portaal";
const SECRET: &str = "a secret of the test cluster";
/// Longest wait for a condition or an answer.
const MAX_WAIT: Duration = Duration::from_secs(20);

pub(crate) fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

pub(crate) fn settings(endpoint: Option<SocketAddr>, slots: u16) -> AgentSettings {
    AgentSettings {
        cluster: "test".to_owned(),
        cluster_key: SecretKey::new(SECRET),
        wire_address: loopback(0),
        advertised_address: None,
        http_address: loopback(0),
        domain: "harju-1".into(),
        rack: "rack-1".into(),
        keepers: vec![loopback(1)],
        cores: 4,
        memory_mb: 1_024,
        retention_ms: 60_000,
        endpoint: endpoint.map(|address| EndpointSettings {
            service: SERVICE.into(),
            slots,
            connections: slots,
            address,
        }),
    }
}

pub(crate) fn standin() -> StandinEndpoint {
    StandinEndpoint::start(StandinConfig::new(SERVICE)).expect("a free port")
}

pub(crate) fn submission(name: &str) -> SubmissionId {
    SubmissionId::derive(&"shelter".into(), name)
}

/// Identity of a process in the agent's cluster.
pub(crate) fn identity(role: Role) -> Identity {
    Identity {
        role,
        incarnation: Incarnation(rand::random()),
        id: 0,
        cluster: "test".to_owned(),
        key: ClusterKey::new(SECRET),
        source_ip: None,
    }
}

/// Builds a start for `agent`, as part of `submission` if there is one.
pub(crate) fn spec(agent: Incarnation, request: u64, submission: Option<SubmissionId>) -> TaskSpec {
    TaskSpec {
        request: RequestId(request),
        submission,
        task: TaskIndex(0),
        epoch: Epoch(u32::from(submission.is_some())),
        agent,
        service: SERVICE.into(),
        operation: "hold".into(),
        deadline_ms: 10_000,
        traceparent: Bytes::new(),
        body: Bytes::from(format!(r#"{{"key":"k{request}","work_ms":0}}"#)),
    }
}

pub(crate) fn with_work(mut spec: TaskSpec, work_ms: u64) -> TaskSpec {
    spec.body = Bytes::from(format!(
        r#"{{"key":"k{}","work_ms":{work_ms}}}"#,
        spec.request
    ));
    spec
}

/// Records and answers the agent's requests to the fake entry.
#[derive(Default)]
pub(crate) struct PushRecorder {
    requests: RefCell<Vec<EntryRequest>>,
    silent: Cell<bool>,
    credits: Cell<u16>,
}

impl PushRecorder {
    pub(crate) fn has(&self, request: EntryRequest) -> bool {
        self.requests.borrow().contains(&request)
    }

    /// Leaves every further request unanswered.
    pub(crate) fn fall_silent(&self) {
        self.silent.set(true);
    }

    pub(crate) fn granted(&self) -> u16 {
        let grants = self.requests.borrow();
        grants
            .iter()
            .map(|request| match request {
                EntryRequest::Grant { slots } => *slots,
                _ => 0,
            })
            .sum()
    }
}

impl Service for PushRecorder {
    fn answer(
        &self,
        _peer: Peer,
        frame: Bytes,
    ) -> LocalBoxFuture<'static, Result<Bytes, ServiceError>> {
        let request: EntryRequest = decode(&frame).expect("a valid request to an entry");
        self.requests.borrow_mut().push(request);
        if self.silent.get() {
            return futures::future::pending().boxed_local();
        }
        let credits = self.credits.get();
        let reply = match request {
            EntryRequest::Grant { slots } => {
                self.credits.set(credits + slots);
                EntryReply::Done
            }
            EntryRequest::Recall { slots } => {
                let slots = slots.min(credits);
                self.credits.set(credits - slots);
                EntryReply::Returned { slots }
            }
            EntryRequest::Leaving | EntryRequest::Ping => EntryReply::Done,
        };
        let frame = encode(&reply).map_err(ServiceError::from);
        futures::future::ready(frame).boxed_local()
    }
}

/// A fake entry, connected to one agent.
pub(crate) struct FakeEntry {
    pub(crate) connection: Connection,
    pub(crate) pushed: Rc<PushRecorder>,
}

impl FakeEntry {
    pub(crate) async fn connect(address: SocketAddr) -> Self {
        let identity = Rc::new(identity(Role::Entry));
        let pushed = Rc::new(PushRecorder::default());
        let service = Rc::clone(&pushed);
        let connection = connect(address, identity, service, DurationMs::new(5_000))
            .await
            .expect("the agent listens");
        Self { connection, pushed }
    }

    pub(crate) async fn call(&self, request: AgentRequest) -> Result<AgentReply, CallError> {
        let reply = self.connection.link.call(&request);
        tokio::time::timeout(MAX_WAIT, reply)
            .await
            .expect("an answer")
    }

    /// Starts a task and waits for its outcome.
    pub(crate) async fn start(&self, spec: TaskSpec) -> Outcome {
        let request = spec.request;
        match self.call(AgentRequest::Start(spec)).await {
            Ok(AgentReply::Settled {
                request: settled,
                outcome,
                ..
            }) => {
                assert_eq!(settled, request, "the answer belongs to another start");
                outcome
            }
            other => panic!("expected the outcome of the start: {other:?}"),
        }
    }

    pub(crate) async fn fence(
        &self,
        submission: SubmissionId,
        epoch: u32,
    ) -> Vec<(TaskIndex, TaskRecord)> {
        let epoch = Epoch(epoch);
        match self.call(AgentRequest::Fence { submission, epoch }).await {
            Ok(AgentReply::Fenced { tasks }) => tasks,
            other => panic!("expected an answer to the fence: {other:?}"),
        }
    }
}

/// Waits until `done` returns true.
pub(crate) async fn wait_until(description: &str, done: impl Fn() -> bool) {
    let waiting = async {
        while !done() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    tokio::time::timeout(MAX_WAIT, waiting)
        .await
        .expect(description);
}

/// Runs the asynchronous part of a test on a current-thread runtime.
pub(crate) fn run_local(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

/// The body of a complete answer, parsed as JSON.
pub(crate) fn body(outcome: &Outcome) -> serde_json::Value {
    match outcome {
        Outcome::Complete(answer) => serde_json::from_slice(&answer.body).expect("JSON"),
        other => panic!("expected a complete answer: {other:?}"),
    }
}
