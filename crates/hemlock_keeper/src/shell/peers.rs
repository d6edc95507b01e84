//! Connections from this keeper to the other keepers.

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

use super::input::{Input, LaneCommand};
use crate::core::event::{OperatorCall, ReplyToken};

/// Timeout of opening a connection.
const CONNECT_TIMEOUT: DurationMs = DurationMs::new(500);
/// Delay before the next attempt after a connection can't be opened.
const RECONNECT_DELAY: DurationMs = DurationMs::new(50);
/// Time after which an unanswered message closes the connection, which is then taken as dead.
const MESSAGE_TIMEOUT: DurationMs = DurationMs::new(1_000);
/// Timeout of a forwarded operator's call. It is longer than the wait for a change to be in force.
const CALL_TIMEOUT: DurationMs = DurationMs::new(16_000);
/// Maximum number of unanswered messages to one keeper. Further ones are dropped, which the
/// replicated log handles like lost messages.
const MAX_IN_FLIGHT_MESSAGES: usize = 512;
/// Maximum number of queued commands for one keeper. Further messages are dropped, and further
/// calls fail.
const MAX_QUEUED_COMMANDS: usize = 1_024;

/// Command for the task of one keeper's connection.
enum PeerCommand {
    Send(Message),
    Forward(ReplyToken, OperatorCall),
}

/// Connections to the other keepers, with one task each.
pub(super) struct Peers {
    shared: Rc<Shared>,
    addresses: BTreeMap<KeeperId, SocketAddr>,
    tasks: HashMap<KeeperId, PeerTask>,
}

struct Shared {
    identity: Rc<Identity>,
    service: Rc<dyn Service>,
    control: Sender<Input>,
}

struct PeerTask {
    address: SocketAddr,
    commands: mpsc::Sender<PeerCommand>,
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
            tasks: HashMap::new(),
        }
    }

    /// Carries out the control thread's commands until that thread ends.
    pub(super) async fn run(mut self, mut commands: mpsc::UnboundedReceiver<LaneCommand>) {
        while let Some(command) = commands.recv().await {
            match command {
                LaneCommand::Keepers(addresses) => self.addresses = addresses,
                LaneCommand::Send(to, message) => {
                    self.queue_command(to, PeerCommand::Send(message));
                }
                LaneCommand::Forward(token, to, call) => {
                    if !self.queue_command(to, PeerCommand::Forward(token, call)) {
                        self.shared.send_reply(token, None);
                    }
                }
            }
        }
    }

    /// Queues a command for the keeper's task, which is started if necessary. Returns `false` if
    /// the command is dropped.
    fn queue_command(&mut self, to: KeeperId, command: PeerCommand) -> bool {
        let Some(address) = self.addresses.get(&to).copied() else {
            return false;
        };
        let known = self.tasks.remove(&to);
        let current = known.filter(|peer| peer.address == address && !peer.task.is_finished());
        let peer = current.unwrap_or_else(|| self.start_peer(address));
        let queued = peer.commands.try_send(command).is_ok();
        self.tasks.insert(to, peer);
        queued
    }

    fn start_peer(&self, address: SocketAddr) -> PeerTask {
        let (commands, queue) = mpsc::channel(MAX_QUEUED_COMMANDS);
        let shared = Rc::clone(&self.shared);
        let task = tokio::task::spawn_local(run_peer(shared, address, queue));
        PeerTask {
            address,
            commands,
            task,
        }
    }
}

impl Drop for PeerTask {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Shared {
    fn send_reply(&self, token: ReplyToken, reply: Option<KeeperReply>) {
        // Sending fails only if the control thread has ended.
        drop(self.control.send(Input::Forwarded(token, reply)));
    }
}

async fn run_peer(
    shared: Rc<Shared>,
    address: SocketAddr,
    mut commands: mpsc::Receiver<PeerCommand>,
) {
    loop {
        let identity = Rc::clone(&shared.identity);
        let service = Rc::clone(&shared.service);
        match connect(address, identity, service, CONNECT_TIMEOUT).await {
            Ok(connection) => serve_connection(&shared, connection, &mut commands).await,
            Err(_) => tokio::time::sleep(RECONNECT_DELAY.as_std()).await,
        }
        drop_queued(&shared, &mut commands);
        if commands.is_closed() {
            return;
        }
    }
}

/// Drops the commands that were queued for a lost connection. Messages would be outdated, and the
/// core retries calls.
fn drop_queued(shared: &Shared, commands: &mut mpsc::Receiver<PeerCommand>) {
    while let Ok(command) = commands.try_recv() {
        if let PeerCommand::Forward(token, _) = command {
            shared.send_reply(token, None);
        }
    }
}

async fn serve_connection(
    shared: &Rc<Shared>,
    connection: Connection,
    commands: &mut mpsc::Receiver<PeerCommand>,
) {
    let in_flight = Rc::new(InFlightMessages::default());
    loop {
        tokio::select! {
            command = commands.recv() => match command {
                Some(command) => start_command(shared, &connection.link, &in_flight, command),
                None => return,
            },
            () = connection.until_closed() => return,
            () = in_flight.dead.notified() => return,
        }
    }
}

/// Unanswered messages of one connection.
#[derive(Default)]
struct InFlightMessages {
    count: Cell<usize>,
    /// Notified when a message isn't answered in time, which closes the connection.
    dead: Notify,
}

fn start_command(
    shared: &Rc<Shared>,
    link: &Link,
    in_flight: &Rc<InFlightMessages>,
    command: PeerCommand,
) {
    let link = link.clone();
    match command {
        PeerCommand::Send(_) if in_flight.count.get() >= MAX_IN_FLIGHT_MESSAGES => {}
        PeerCommand::Send(message) => {
            in_flight.count.set(in_flight.count.get() + 1);
            tokio::task::spawn_local(send_message(link, Rc::clone(in_flight), message));
        }
        PeerCommand::Forward(token, call) => {
            tokio::task::spawn_local(forward_call(Rc::clone(shared), link, token, call));
        }
    }
}

async fn send_message(link: Link, in_flight: Rc<InFlightMessages>, message: Message) {
    if let Ok(frame) = encode(&message) {
        let request = KeeperRequest::Quorum(frame);
        let call = link.call::<_, KeeperReply>(&request);
        let answered = tokio::time::timeout(MESSAGE_TIMEOUT.as_std(), call).await;
        if !matches!(answered, Ok(Ok(_))) {
            in_flight.dead.notify_one();
        }
    }
    in_flight.count.set(in_flight.count.get() - 1);
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
    shared.send_reply(token, reply);
}
