//! Tests of a real agent with fake keepers: heartbeats, planned stops and the withdrawal of the
//! endpoint.

#[allow(dead_code, reason = "each test file uses only some of the fixtures")]
mod common;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use common::*;
use futures::FutureExt;
use futures::future::LocalBoxFuture;
use hemlock_agent::prelude::*;
use hemlock_directory::prelude::*;
use hemlock_gate::prelude::*;
use hemlock_types::prelude::*;
use hemlock_wire::message::entry::EntryRequest;
use hemlock_wire::message::keeper::{AgentSync, KeeperReply, KeeperRequest};
use hemlock_wire::prelude::*;

/// A keeper that leads, unless `leader` holds the address of another one.
#[derive(Default)]
struct FakeKeeper {
    leader: Cell<Option<SocketAddr>>,
    draining: Cell<bool>,
    syncs: RefCell<Vec<AgentSync>>,
    withdrawn: RefCell<Vec<Incarnation>>,
    request_count: Cell<u32>,
}

impl FakeKeeper {
    fn reply(&self, request: KeeperRequest) -> KeeperReply {
        self.request_count.set(self.request_count.get() + 1);
        match (request, self.leader.get()) {
            (_, Some(leader)) => KeeperReply::NotLeader {
                leader: Some(leader),
            },
            (KeeperRequest::AgentSync(sync), None) => {
                self.syncs.borrow_mut().push(sync);
                KeeperReply::AgentSync {
                    lease_ms: 5_000,
                    draining: self.draining.get(),
                    keepers: Vec::new(),
                }
            }
            (KeeperRequest::Withdraw(agent), None) => {
                self.withdrawn.borrow_mut().push(agent);
                KeeperReply::Done
            }
            (other, None) => panic!("unexpected request of an agent: {other:?}"),
        }
    }

    fn last_announcement(&self) -> Option<Announcement> {
        self.syncs
            .borrow()
            .last()
            .map(|sync| sync.announcement.clone())
    }

    fn last_state_is(&self, state: EndpointState) -> bool {
        self.last_announcement()
            .is_some_and(|last| last.state == state)
    }
}

impl Service for FakeKeeper {
    fn answer(
        &self,
        _peer: Peer,
        frame: Bytes,
    ) -> LocalBoxFuture<'static, Result<Bytes, ServiceError>> {
        let request = decode(&frame).expect("a valid request to a keeper");
        let frame = encode(&self.reply(request)).map_err(ServiceError::from);
        futures::future::ready(frame).boxed_local()
    }
}

async fn serve_keeper(id: u64) -> (Rc<FakeKeeper>, SocketAddr) {
    let keeper = Rc::new(FakeKeeper::default());
    let listener = tokio::net::TcpListener::bind(loopback(0))
        .await
        .expect("a port");
    let address = listener.local_addr().expect("an address");
    let identity = Rc::new(Identity {
        role: Role::Keeper,
        id,
        ..identity(Role::Keeper)
    });
    let service = Rc::clone(&keeper);
    tokio::task::spawn_local(serve(listener, identity, service, std::future::pending()));
    (keeper, address)
}

/// Guards against an agent that stays with a keeper that does not lead, ignores a planned stop or
/// its end, or ends without withdrawing its endpoint.
#[test]
fn follows_the_leader_and_its_planned_stops() {
    let endpoint = standin();
    run_local(async {
        let (follower, follower_address) = serve_keeper(1).await;
        let (leader, leader_address) = serve_keeper(2).await;
        follower.leader.set(Some(leader_address));
        let mut settings = settings(Some(endpoint.address()), 4);
        settings.keepers = vec![loopback(1), follower_address];
        let agent = Agent::start(settings).expect("free ports");
        wait_until("the announcement", || {
            leader.last_state_is(EndpointState::Serving)
        })
        .await;
        let announced = leader
            .last_announcement()
            .expect("the keeper has received an announcement");
        assert_eq!(announced.agent, agent.incarnation());
        assert_eq!(announced.address, agent.wire_address());
        assert_eq!((announced.slots, announced.service.as_str()), (4, SERVICE));
        assert_eq!(follower.request_count.get(), 1);

        let entry = FakeEntry::connect(agent.wire_address()).await;
        leader.draining.set(true);
        wait_until("the announcement as draining", || {
            leader.last_state_is(EndpointState::Draining)
        })
        .await;
        wait_until("the drain notice", || {
            entry.pushed.has(EntryRequest::Leaving)
        })
        .await;
        let refused = entry.start(spec(agent.incarnation(), 1, None)).await;
        assert_eq!(refused, Refusal::Leaving.outcome());
        leader.draining.set(false);
        wait_until("the announcement as serving after the planned stop", || {
            leader.last_state_is(EndpointState::Serving)
        })
        .await;
        let served = entry.start(spec(agent.incarnation(), 2, None)).await;
        assert_eq!(body(&served)["key"], "k2");

        agent.stop();
        wait_until("the withdrawal", || !leader.withdrawn.borrow().is_empty()).await;
        assert_eq!(*leader.withdrawn.borrow(), [agent.incarnation()]);
        entry.connection.until_closed().await;
        agent.join();
    });
    assert_eq!(endpoint.stop().cut, 0);
}

/// Guards against credits that stay with an entry that no longer answers while another entry could
/// use them.
#[test]
fn credits_of_an_unresponsive_entry_go_to_the_other_entry() {
    let endpoint = standin();
    let agent = Agent::start(settings(Some(endpoint.address()), 8)).expect("free ports");
    run_local(async {
        let unresponsive = FakeEntry::connect(agent.wire_address()).await;
        wait_until("all credits", || unresponsive.pushed.granted() == 8).await;
        let other = FakeEntry::connect(agent.wire_address()).await;
        wait_until("half of the credits", || other.pushed.granted() == 4).await;
        unresponsive.pushed.fall_silent();
        wait_until("the remaining credits", || other.pushed.granted() == 8).await;
        let served = other.start(spec(agent.incarnation(), 1, None)).await;
        assert_eq!(body(&served)["key"], "k1");
    });
    agent.stop();
    agent.join();
    endpoint.stop();
}
