//! A real agent and fake keepers: the heartbeat, a planned stop, and the withdrawal.

#[allow(dead_code, reason = "each test file uses a part")]
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

/// A keeper that leads, or knows who does.
#[derive(Default)]
struct FakeKeeper {
    leader: Cell<Option<SocketAddr>>,
    draining: Cell<bool>,
    synced: RefCell<Vec<AgentSync>>,
    withdrawn: RefCell<Vec<Incarnation>>,
    asked: Cell<u32>,
}

impl FakeKeeper {
    fn reply(&self, request: KeeperRequest) -> KeeperReply {
        self.asked.set(self.asked.get() + 1);
        match (request, self.leader.get()) {
            (_, Some(leader)) => KeeperReply::NotLeader {
                leader: Some(leader),
            },
            (KeeperRequest::AgentSync(sync), None) => {
                self.synced.borrow_mut().push(sync);
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
            (other, None) => panic!("an agent asks {other:?}"),
        }
    }

    fn last(&self) -> Option<Announcement> {
        self.synced
            .borrow()
            .last()
            .map(|sync| sync.announcement.clone())
    }

    fn is_told(&self, state: EndpointState) -> bool {
        self.last().is_some_and(|last| last.state == state)
    }
}

impl Service for FakeKeeper {
    fn answer(
        &self,
        _peer: Peer,
        frame: Bytes,
    ) -> LocalBoxFuture<'static, Result<Bytes, ServiceError>> {
        let request = decode(&frame).expect("a request to a keeper");
        let frame = encode(&self.reply(request)).map_err(ServiceError::from);
        futures::future::ready(frame).boxed_local()
    }
}

async fn serve_keeper(id: u64) -> (Rc<FakeKeeper>, SocketAddr) {
    let keeper = Rc::new(FakeKeeper::default());
    let listener = tokio::net::TcpListener::bind(free(0))
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

#[test]
fn follows_the_leader_and_its_planned_stops() {
    let endpoint = standin();
    run(async {
        let (follower, follower_address) = serve_keeper(1).await;
        let (leader, leader_address) = serve_keeper(2).await;
        follower.leader.set(Some(leader_address));
        let mut settings = settings(Some(endpoint.address()), 4);
        settings.keepers = vec![free(1), follower_address];
        let agent = Agent::start(settings).expect("free ports");
        until("announced", || leader.is_told(EndpointState::Serving)).await;
        let announced = leader.last().expect("just seen");
        assert_eq!(announced.agent, agent.incarnation());
        assert_eq!(announced.address, agent.wire_address());
        assert_eq!((announced.slots, announced.service.as_str()), (4, SERVICE));
        assert_eq!(follower.asked.get(), 1);

        let entry = FakeEntry::connect(agent.wire_address()).await;
        leader.draining.set(true);
        until("draining", || leader.is_told(EndpointState::Draining)).await;
        until("the word", || entry.pushed.has(EntryRequest::Leaving)).await;
        let refused = entry.start(spec(agent.incarnation(), 1, None)).await;
        assert_eq!(refused, Refusal::Leaving.outcome());
        leader.draining.set(false);
        until("lifted", || leader.is_told(EndpointState::Serving)).await;
        let served = entry.start(spec(agent.incarnation(), 2, None)).await;
        assert_eq!(body(&served)["key"], "k2");

        agent.stop();
        until("withdrawn", || !leader.withdrawn.borrow().is_empty()).await;
        assert_eq!(*leader.withdrawn.borrow(), [agent.incarnation()]);
        entry.connection.until_closed().await;
        agent.join();
    });
    assert_eq!(endpoint.stop().cut, 0);
}

#[test]
fn silent_entry_loses_its_credits_to_the_other() {
    let endpoint = standin();
    let agent = Agent::start(settings(Some(endpoint.address()), 8)).expect("free ports");
    run(async {
        let silent = FakeEntry::connect(agent.wire_address()).await;
        until("all credits", || silent.pushed.granted() == 8).await;
        let other = FakeEntry::connect(agent.wire_address()).await;
        until("half of them", || other.pushed.granted() == 4).await;
        silent.pushed.fall_silent();
        until("the rest", || other.pushed.granted() == 8).await;
        let served = other.start(spec(agent.incarnation(), 1, None)).await;
        assert_eq!(body(&served)["key"], "k1");
    });
    agent.stop();
    agent.join();
    endpoint.stop();
}
