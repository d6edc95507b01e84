//! What the agent asks of the entries on their connections: pushes and heartbeats.

use crossbeam::channel::Sender;
use hemlock_gate::prelude::*;
use hemlock_types::prelude::*;
use hemlock_wire::message::entry::{EntryReply, EntryRequest};
use hemlock_wire::prelude::*;
use tokio::sync::mpsc;
use tokio::task::spawn_local;

use crate::command::Command;

/// Time between heartbeats, and to wait for the answer to one.
const HEARTBEAT: DurationMs = DurationMs::new(1_000);

/// Heartbeats without an answer after which a link is silent.
const MAX_MISSES: u32 = 3;

/// Starts the tasks of an entry's connection. They end with it.
pub(crate) fn attend(
    link: LinkId,
    back: Link,
    pushed: mpsc::UnboundedReceiver<EntryRequest>,
    commands: Sender<Command>,
) {
    spawn_local(push(link, back.clone(), pushed, commands.clone()));
    spawn_local(watch(link, back, commands));
}

/// Sends what the control thread pushes, in order and without waiting for answers.
async fn push(
    link: LinkId,
    back: Link,
    mut pushed: mpsc::UnboundedReceiver<EntryRequest>,
    commands: Sender<Command>,
) {
    while let Some(request) = pushed.recv().await {
        let back = back.clone();
        let commands = commands.clone();
        spawn_local(async move { send_push(link, &back, request, &commands).await });
    }
}

async fn send_push(link: LinkId, back: &Link, request: EntryRequest, commands: &Sender<Command>) {
    let answer = back.call::<_, EntryReply>(&request).await;
    // Any other push needs no answer; a lost one ends with its link, which voids the credits.
    let EntryRequest::Recall { slots: asked } = request else {
        return;
    };
    if let Ok(EntryReply::Returned { slots }) = answer {
        let event = Event::Returned { link, asked, slots };
        let _ = commands.send(Command::Event(event));
    }
}

/// Tells the control thread when the entry stops and starts to answer heartbeats.
async fn watch(link: LinkId, back: Link, commands: Sender<Command>) {
    let mut misses = 0;
    while !back.is_closed() {
        tokio::time::sleep(HEARTBEAT.as_std()).await;
        let ping = back.call::<_, EntryReply>(&EntryRequest::Ping);
        let answered = tokio::time::timeout(HEARTBEAT.as_std(), ping).await;
        let event = match answered {
            Ok(Ok(_)) if misses >= MAX_MISSES => Some(Event::Heard { link }),
            Ok(Ok(_)) => None,
            _ if misses + 1 == MAX_MISSES => Some(Event::Silent { link }),
            _ => None,
        };
        misses = match answered {
            Ok(Ok(_)) => 0,
            _ => misses.saturating_add(1),
        };
        if let Some(event) = event {
            let _ = commands.send(Command::Event(event));
        }
    }
}
