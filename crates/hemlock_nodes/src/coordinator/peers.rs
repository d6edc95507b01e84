//! Connections to the other coordinators.

use std::cell::Cell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use hemlock_quorum::prelude::{KeeperId, Message};
use hemlock_types::prelude::*;
use hemlock_wire::prelude::*;
use tokio::sync::{Notify, mpsc};
use tokio::task::JoinHandle;

use crate::address::keeper_address;
use crate::connect_timeouts::ConnectTimeouts;
use crate::message::{Reply, Request};
use crate::task_set::TaskSet;

/// Delay after a failed connection attempt.
const RECONNECT_DELAY: DurationMs = DurationMs::new(50);
/// Time after which a missing answer marks the connection as dead.
const MESSAGE_TIMEOUT: DurationMs = DurationMs::new(700);
/// Most unanswered messages to one peer. Further messages are dropped, as if lost in the network.
const MAX_IN_FLIGHT_MESSAGES: usize = 256;
/// Most queued messages to one peer. Further messages are dropped, as if lost in the network.
const MAX_QUEUED: usize = 512;
/// Most peers of a coordinator.
const MAX_PEERS: usize = 32;

/// The other coordinators, with one connection task each.
pub(super) struct Peers {
    identity: Rc<Identity>,
    service: Rc<dyn Service>,
    running: HashMap<KeeperId, PeerTask>,
}

struct PeerTask {
    queue: mpsc::Sender<Message>,
    task: JoinHandle<()>,
}

impl Drop for PeerTask {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Peers {
    pub(super) fn new(identity: Rc<Identity>, service: Rc<dyn Service>) -> Self {
        Self {
            identity,
            service,
            running: HashMap::new(),
        }
    }

    /// Sends a message, which may be lost.
    pub(super) fn send(&mut self, to: KeeperId, message: Message) {
        if self.running.len() >= MAX_PEERS && !self.running.contains_key(&to) {
            return;
        }
        let (identity, service) = (Rc::clone(&self.identity), Rc::clone(&self.service));
        let peer = self.running.entry(to).or_insert_with(|| {
            let (queue, messages) = mpsc::channel(MAX_QUEUED);
            let task = run_peer(keeper_address(to), identity, service, messages);
            PeerTask {
                queue,
                task: tokio::task::spawn_local(task),
            }
        });
        // A full queue drops the message. The consensus protocol tolerates lost messages.
        let _ = peer.queue.try_send(message);
    }
}

async fn run_peer(
    address: SocketAddr,
    identity: Rc<Identity>,
    service: Rc<dyn Service>,
    mut messages: mpsc::Receiver<Message>,
) {
    let mut timeouts = ConnectTimeouts::default();
    loop {
        let opening = connect(
            address,
            Rc::clone(&identity),
            Rc::clone(&service),
            timeouts.next_timeout(),
        );
        match opening.await {
            Ok(connection) => forward_messages(connection, &mut messages).await,
            Err(_) => tokio::time::sleep(RECONNECT_DELAY.as_std()).await,
        }
        // Messages queued for the closed connection are outdated.
        while messages.try_recv().is_ok() {}
    }
}

/// Unanswered messages of one connection.
#[derive(Default)]
struct InFlightMessages {
    count: Cell<usize>,
    dead: Notify,
}

async fn forward_messages(connection: Connection, messages: &mut mpsc::Receiver<Message>) {
    let in_flight = Rc::new(InFlightMessages::default());
    let sending = TaskSet::default();
    loop {
        tokio::select! {
            message = messages.recv() => match message {
                Some(_) if in_flight.count.get() >= MAX_IN_FLIGHT_MESSAGES => {}
                Some(message) => {
                    in_flight.count.set(in_flight.count.get() + 1);
                    sending.spawn(send(connection.link.clone(), Rc::clone(&in_flight), message));
                }
                None => return,
            },
            () = connection.until_closed() => return,
            () = in_flight.dead.notified() => return,
        }
    }
}

async fn send(link: Link, in_flight: Rc<InFlightMessages>, message: Message) {
    if let Ok(frame) = encode(&message) {
        let request = Request::Quorum(frame);
        let call = link.call::<_, Reply>(&request);
        let answered = tokio::time::timeout(MESSAGE_TIMEOUT.as_std(), call).await;
        if !matches!(answered, Ok(Ok(_))) {
            in_flight.dead.notify_one();
        }
    }
    in_flight.count.set(in_flight.count.get() - 1);
}
