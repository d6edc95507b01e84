//! The agent's own requests to entries over their connections: pushes (credit grants, credit
//! recalls and drain notices) and heartbeats.

use crossbeam::channel::Sender;
use hemlock_gate::prelude::*;
use hemlock_types::prelude::*;
use hemlock_wire::message::entry::{EntryReply, EntryRequest};
use hemlock_wire::prelude::*;
use tokio::sync::mpsc;
use tokio::task::spawn_local;

use crate::command::Command;

/// Interval between heartbeats, and longest wait for the answer to one.
const HEARTBEAT: DurationMs = DurationMs::new(1_000);

/// Pause before the next ping to an entry that has not completed the handshake.
const HANDSHAKE_POLL_INTERVAL: DurationMs = DurationMs::new(2);

/// Number of consecutive unanswered heartbeats after which an entry counts as unresponsive.
const MAX_MISSED_HEARTBEATS: u32 = 3;

/// Spawns the tasks of an entry's connection. They end when it closes.
pub(crate) fn spawn_link_tasks(
    link: LinkId,
    entry_link: Link,
    push_receiver: mpsc::UnboundedReceiver<EntryRequest>,
    commands: Sender<Command>,
) {
    spawn_local(async move {
        wait_until_ready(&entry_link).await;
        spawn_local(send_pushes(
            link,
            entry_link.clone(),
            push_receiver,
            commands.clone(),
        ));
        monitor(link, entry_link, commands).await;
    });
}

/// Waits until the entry answers a ping. Before an entry has completed the handshake it refuses
/// every call, so a push would be lost.
async fn wait_until_ready(entry_link: &Link) {
    while !entry_link.is_closed() {
        let ping = entry_link.call::<_, EntryReply>(&EntryRequest::Ping);
        if let Ok(Ok(_)) = tokio::time::timeout(HEARTBEAT.as_std(), ping).await {
            return;
        }
        tokio::time::sleep(HANDSHAKE_POLL_INTERVAL.as_std()).await;
    }
}

/// Sends the control thread's pushes in order, without waiting for their answers.
async fn send_pushes(
    link: LinkId,
    entry_link: Link,
    mut push_receiver: mpsc::UnboundedReceiver<EntryRequest>,
    commands: Sender<Command>,
) {
    while let Some(request) = push_receiver.recv().await {
        let entry_link = entry_link.clone();
        let commands = commands.clone();
        spawn_local(async move { send_push(link, &entry_link, request, &commands).await });
    }
}

async fn send_push(
    link: LinkId,
    entry_link: &Link,
    request: EntryRequest,
    commands: &Sender<Command>,
) {
    let answer = entry_link.call::<_, EntryReply>(&request).await;
    // Only the answer to a recall matters. A push is lost only if its link closes, which voids the
    // credits.
    let EntryRequest::Recall { slots: asked } = request else {
        return;
    };
    if let Ok(EntryReply::Returned { slots }) = answer {
        let event = Event::Returned { link, asked, slots };
        let _ = commands.send(Command::Event(event));
    }
}

/// Sends heartbeats, and reports to the control thread their round-trip times and when the entry
/// becomes unresponsive or responsive again.
async fn monitor(link: LinkId, entry_link: Link, commands: Sender<Command>) {
    let mut missed = 0;
    while !entry_link.is_closed() {
        let sent = tokio::time::Instant::now();
        let ping = entry_link.call::<_, EntryReply>(&EntryRequest::Ping);
        let answered = tokio::time::timeout(HEARTBEAT.as_std(), ping).await;
        let was_unresponsive = missed >= MAX_MISSED_HEARTBEATS;
        missed = match answered {
            Ok(Ok(_)) => 0,
            _ => missed + 1,
        };
        let event = match missed {
            0 if was_unresponsive => Some(Event::Responsive { link }),
            0 => Some(round_trip(link, sent.elapsed())),
            MAX_MISSED_HEARTBEATS => Some(Event::Unresponsive { link }),
            _ => None,
        };
        if let Some(event) = event {
            let _ = commands.send(Command::Event(event));
        }
        tokio::time::sleep_until(sent + HEARTBEAT.as_std()).await;
    }
}

fn round_trip(link: LinkId, took: std::time::Duration) -> Event {
    let micros = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
    Event::RoundTrip { link, micros }
}
