//! Connections to the other keepers.

use std::cell::Cell;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;

use crossbeam::channel::Sender;
use hemlock_quorum::prelude::{KeeperId, Message};
use hemlock_types::prelude::*;
use hemlock_wire::message::keeper::{KeeperReply, KeeperRequest};
use hemlock_wire::prelude::*;
use tokio::sync::{Notify, mpsc};
use tokio::task::JoinHandle;

use super::input::{Input, LaneOrder};
use crate::core::event::{OperatorCall, ReplyToken};

/// Time for a connection to open.
const CONNECT_TIMEOUT: DurationMs = DurationMs::new(500);
/// Pause after a failure to connect.
const CONNECT_PAUSE: DurationMs = DurationMs::new(50);
/// Time after which a message without an answer shows that the connection is dead.
const MESSAGE_TIMEOUT: DurationMs = DurationMs::new(1_000);
/// Time that an operator's call may take at the leader.
const CALL_TIMEOUT: DurationMs = DurationMs::new(16_000);
/// Messages to one keeper that may be without an answer; more are dropped, as if lost.
const MAX_IN_FLIGHT: usize = 512;
/// Orders for one keeper that may wait; more are dropped, as if lost.
const MAX_QUEUED: usize = 1_024;

/// What one connection is to do.
enum PeerOrder {
    Send(Message),
    Forward(ReplyToken, OperatorCall),
}

/// One task for each other keeper.
pub(super) struct Peers {
    shared: Rc<Shared>,
    addresses: BTreeMap<KeeperId, SocketAddr>,
    running: HashMap<KeeperId, RunningPeer>,
}

struct Shared {
    identity: Rc<Identity>,
    service: Rc<dyn Service>,
    control: Sender<Input>,
}

struct RunningPeer {
    address: SocketAddr,
    orders: mpsc::Sender<PeerOrder>,
    task: JoinHandle<()>,
}

impl Peers {
    pub(super) fn new(
        identity: Rc<Identity>,
        service: Rc<dyn Service>,
        control: Sender<Input>,
    ) -> Self {
        let shared = Shared {
            identity,
            service,
            control,
        };
        Self {
            shared: Rc::new(shared),
            addresses: BTreeMap::new(),
            running: HashMap::new(),
        }
    }

    /// Does the control thread's orders until it ends.
    pub(super) async fn follow(mut self, mut orders: mpsc::UnboundedReceiver<LaneOrder>) {
        while let Some(order) = orders.recv().await {
            match order {
                LaneOrder::Keepers(addresses) => self.addresses = addresses,
                LaneOrder::Send(to, message) => {
                    self.hand_over(to, PeerOrder::Send(message));
                }
                LaneOrder::Forward(token, to, call) => {
                    if !self.hand_over(to, PeerOrder::Forward(token, call)) {
                        self.shared.tell(token, None);
                    }
                }
            }
        }
    }

    /// Hands an order to the keeper's task; `false` when it is dropped.
    fn hand_over(&mut self, to: KeeperId, order: PeerOrder) -> bool {
        let Some(address) = self.addresses.get(&to).copied() else {
            return false;
        };
        let known = self.running.remove(&to);
        let current = known.filter(|peer| peer.address == address && !peer.task.is_finished());
        let peer = current.unwrap_or_else(|| self.start_peer(address));
        let taken = peer.orders.try_send(order).is_ok();
        self.running.insert(to, peer);
        taken
    }

    fn start_peer(&self, address: SocketAddr) -> RunningPeer {
        let (orders, queue) = mpsc::channel(MAX_QUEUED);
        let shared = Rc::clone(&self.shared);
        let task = tokio::task::spawn_local(run_peer(shared, address, queue));
        RunningPeer {
            address,
            orders,
            task,
        }
    }
}

impl Drop for RunningPeer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Shared {
    fn tell(&self, token: ReplyToken, reply: Option<KeeperReply>) {
        // When the control thread has ended, nobody waits for the answer.
        drop(self.control.send(Input::Forwarded(token, reply)));
    }
}

async fn run_peer(shared: Rc<Shared>, address: SocketAddr, mut orders: mpsc::Receiver<PeerOrder>) {
    loop {
        let identity = Rc::clone(&shared.identity);
        let service = Rc::clone(&shared.service);
        match connect(address, identity, service, CONNECT_TIMEOUT).await {
            Ok(connection) => serve_connection(&shared, connection, &mut orders).await,
            Err(_) => tokio::time::sleep(CONNECT_PAUSE.as_std()).await,
        }
        drop_stale(&shared, &mut orders);
        if orders.is_closed() {
            return;
        }
    }
}

/// Drops what waited for a connection that is gone: messages would be late, and calls are tried
/// again by the control thread.
fn drop_stale(shared: &Shared, orders: &mut mpsc::Receiver<PeerOrder>) {
    while let Ok(order) = orders.try_recv() {
        if let PeerOrder::Forward(token, _) = order {
            shared.tell(token, None);
        }
    }
}

async fn serve_connection(
    shared: &Rc<Shared>,
    connection: Connection,
    orders: &mut mpsc::Receiver<PeerOrder>,
) {
    let flight = Rc::new(Flight::default());
    loop {
        tokio::select! {
            order = orders.recv() => match order {
                Some(order) => start_order(shared, &connection.link, &flight, order),
                None => return,
            },
            () = connection.until_closed() => return,
            () = flight.dead.notified() => return,
        }
    }
}

/// Messages of one connection that are without an answer.
#[derive(Default)]
struct Flight {
    count: Cell<usize>,
    dead: Notify,
}

fn start_order(shared: &Rc<Shared>, link: &Link, flight: &Rc<Flight>, order: PeerOrder) {
    let link = link.clone();
    match order {
        PeerOrder::Send(_) if flight.count.get() >= MAX_IN_FLIGHT => {}
        PeerOrder::Send(message) => {
            flight.count.set(flight.count.get() + 1);
            tokio::task::spawn_local(send_message(link, Rc::clone(flight), message));
        }
        PeerOrder::Forward(token, call) => {
            tokio::task::spawn_local(forward_call(Rc::clone(shared), link, token, call));
        }
    }
}

async fn send_message(link: Link, flight: Rc<Flight>, message: Message) {
    if let Ok(frame) = encode(&message) {
        let request = KeeperRequest::Quorum(frame);
        let call = link.call::<_, KeeperReply>(&request);
        let answered = tokio::time::timeout(MESSAGE_TIMEOUT.as_std(), call).await;
        if !matches!(answered, Ok(Ok(_))) {
            flight.dead.notify_one();
        }
    }
    flight.count.set(flight.count.get() - 1);
}

async fn forward_call(shared: Rc<Shared>, link: Link, token: ReplyToken, call: OperatorCall) {
    let request = KeeperRequest::Operator {
        method: call.method,
        path: call.path,
        body: call.body,
    };
    let answer = link.call::<_, KeeperReply>(&request);
    let reply = match tokio::time::timeout(CALL_TIMEOUT.as_std(), answer).await {
        Ok(Ok(reply)) => Some(reply),
        Ok(Err(_)) | Err(_) => None,
    };
    shared.tell(token, reply);
}
