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

/// Pause after a failure to connect.
const CONNECT_PAUSE: DurationMs = DurationMs::new(50);
/// Time after which a message without an answer shows that the connection is dead.
const MESSAGE_TIMEOUT: DurationMs = DurationMs::new(700);
/// Messages to one peer that may be without an answer; more are dropped, as if lost.
const MAX_IN_FLIGHT: usize = 256;
/// Messages to one peer that may wait; more are dropped, as if lost.
const MAX_QUEUED: usize = 512;
/// Peers that a coordinator talks to at most.
const MAX_PEERS: usize = 32;

/// One task for each other coordinator.
pub(super) struct Peers {
    identity: Rc<Identity>,
    service: Rc<dyn Service>,
    running: HashMap<KeeperId, RunningPeer>,
}

struct RunningPeer {
    queue: mpsc::Sender<Message>,
    task: JoinHandle<()>,
}

impl Drop for RunningPeer {
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

    /// Sends a message. It may be lost.
    pub(super) fn send(&mut self, to: KeeperId, message: Message) {
        if self.running.len() >= MAX_PEERS && !self.running.contains_key(&to) {
            return;
        }
        let (identity, service) = (Rc::clone(&self.identity), Rc::clone(&self.service));
        let peer = self.running.entry(to).or_insert_with(|| {
            let (queue, messages) = mpsc::channel(MAX_QUEUED);
            let task = run_peer(keeper_address(to), identity, service, messages);
            RunningPeer {
                queue,
                task: tokio::task::spawn_local(task),
            }
        });
        // A full queue loses the message, which the core allows for.
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
            Ok(connection) => carry(connection, &mut messages).await,
            Err(_) => tokio::time::sleep(CONNECT_PAUSE.as_std()).await,
        }
        // What waited for the connection that is gone would be late.
        while messages.try_recv().is_ok() {}
    }
}

/// Messages of one connection that are without an answer.
#[derive(Default)]
struct Flight {
    count: Cell<usize>,
    dead: Notify,
}

async fn carry(connection: Connection, messages: &mut mpsc::Receiver<Message>) {
    let flight = Rc::new(Flight::default());
    let sending = TaskSet::default();
    loop {
        tokio::select! {
            message = messages.recv() => match message {
                Some(_) if flight.count.get() >= MAX_IN_FLIGHT => {}
                Some(message) => {
                    flight.count.set(flight.count.get() + 1);
                    sending.spawn(send(connection.link.clone(), Rc::clone(&flight), message));
                }
                None => return,
            },
            () = connection.until_closed() => return,
            () = flight.dead.notified() => return,
        }
    }
}

async fn send(link: Link, flight: Rc<Flight>, message: Message) {
    if let Ok(frame) = encode(&message) {
        let request = Request::Quorum(frame);
        let call = link.call::<_, Reply>(&request);
        let answered = tokio::time::timeout(MESSAGE_TIMEOUT.as_std(), call).await;
        if !matches!(answered, Ok(Ok(_))) {
            flight.dead.notify_one();
        }
    }
    flight.count.set(flight.count.get() - 1);
}
