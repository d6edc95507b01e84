//! Confirmation of heartbeats by the instance that they name, without a network.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use futures::future::{FutureExt, LocalBoxFuture};
use hemlock_dispatch::prelude::*;
use hemlock_jobs::prelude::*;
use hemlock_nodes::prelude::*;
use hemlock_runs::prelude::*;
use hemlock_types::prelude::*;
use hemlock_wire::prelude::*;
use tokio::task::LocalSet;

const NAME: &str = "i-1";
const BORN_MS: u64 = 5;
/// Time that an answer takes, in milliseconds.
const ANSWER_MS: u64 = 10;
/// Most checks at once that a runner may make, each of at most two overlapping calls.
const MAX_CALLS_AT_ONCE: usize = 16;

/// An instance that leaves the first calls unanswered, and notes what it is asked.
#[derive(Default)]
struct ScriptedInstance {
    unanswered: Cell<usize>,
    calls: Cell<usize>,
    calls_at_once: Cell<usize>,
    most_calls_at_once: Cell<usize>,
    target: RefCell<Option<String>>,
}

/// The driver of a scripted instance.
struct Driver(Rc<ScriptedInstance>);

impl InstanceDriver for Driver {
    fn start(&self, _: StartCall) -> LocalBoxFuture<'static, StartResult> {
        unreachable!("nothing is started here")
    }

    fn stop(&self, _: StopCall) -> LocalBoxFuture<'static, StopResult> {
        unreachable!("nothing is stopped here")
    }

    fn list(&self, _: ListCall) -> LocalBoxFuture<'static, Result<Listing, ListError>> {
        unreachable!("the runner makes no listings of its own here")
    }

    fn identify(
        &self,
        name: String,
        _: u64,
    ) -> LocalBoxFuture<'static, Result<Listing, ListError>> {
        let instance = Rc::clone(&self.0);
        async move {
            instance.calls.set(instance.calls.get() + 1);
            let at_once = instance.calls_at_once.get() + 1;
            instance.calls_at_once.set(at_once);
            let most = instance.most_calls_at_once.get().max(at_once);
            instance.most_calls_at_once.set(most);
            tokio::time::sleep(Duration::from_millis(ANSWER_MS)).await;
            instance.calls_at_once.set(instance.calls_at_once.get() - 1);
            let left = instance.unanswered.get();
            instance.unanswered.set(left.saturating_sub(1));
            match name.as_str() {
                _ if left > 0 => Err(ListError::Unanswered),
                NAME => Ok(Listing {
                    born_ms: BORN_MS,
                    ..Listing::default()
                }),
                _ => Err(ListError::OtherInstance),
            }
        }
        .boxed_local()
    }

    fn set_target(&self, name: Option<String>) {
        self.0.target.replace(name);
    }
}

fn heartbeat(name: &str) -> Heartbeat {
    Heartbeat {
        instance: InstanceReport {
            id: InstanceId {
                name: name.to_owned(),
                born_ms: BORN_MS,
            },
            service: "listings".to_owned(),
            failure_domain: "a".to_owned(),
            capacity: Resources::default(),
            labels: Vec::new(),
            draining: false,
        },
        sequence: 1,
        cold_left_ms: 0,
    }
}

fn runner(instance: &Rc<ScriptedInstance>) -> Rc<Runner> {
    let identity = Identity {
        role: Role::Agent,
        incarnation: Incarnation(1),
        id: 1,
        cluster: "test".to_owned(),
        key: ClusterKey::new("key"),
        source_ip: None,
    };
    let settings = RunnerSettings {
        identity,
        listen_address: "127.0.0.1:1".parse().expect("an address"),
        agent: AgentId(1),
        seeds: Rc::new(Vec::new),
        runs: RunsSettings::default(),
        fence: 1,
    };
    Runner::new(settings, Rc::new(Driver(Rc::clone(instance))))
}

/// Guards against an instance that is flooded with calls by the heartbeats of another writer, and
/// against a target that only another writer has named.
#[tokio::test(start_paused = true)]
async fn a_flood_of_foreign_heartbeats_makes_few_calls_at_once() {
    let instance = Rc::new(ScriptedInstance::default());
    let runner = runner(&instance);
    let local = LocalSet::new();
    local
        .run_until(async {
            for number in 0..1_000 {
                runner.handle_heartbeat(heartbeat(&format!("i-other-{number}")));
                tokio::task::yield_now().await;
            }
            tokio::time::sleep(Duration::from_secs(2)).await;
            assert!(instance.most_calls_at_once.get() <= MAX_CALLS_AT_ONCE);
            assert_eq!(*instance.target.borrow(), None);
            runner.handle_heartbeat(heartbeat(NAME));
            tokio::time::sleep(Duration::from_millis(2 * ANSWER_MS)).await;
            assert_eq!(instance.target.borrow().as_deref(), Some(NAME));
        })
        .await;
}

/// Guards against a restart that is believed only with the next heartbeat because the first answers
/// of the instance are lost.
#[tokio::test(start_paused = true)]
async fn an_instance_that_loses_answers_is_asked_again() {
    let instance = Rc::new(ScriptedInstance::default());
    instance.unanswered.set(5);
    let runner = runner(&instance);
    let local = LocalSet::new();
    local
        .run_until(async {
            runner.handle_heartbeat(heartbeat(NAME));
            tokio::time::sleep(Duration::from_millis(500)).await;
            assert_eq!(instance.target.borrow().as_deref(), Some(NAME));
            assert_eq!(instance.calls.get(), 6);
        })
        .await;
}
