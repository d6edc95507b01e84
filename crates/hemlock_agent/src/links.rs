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

/// Pause before an entry is tried again that has not seen the end of the handshake.
const HANDSHAKE_POLL: DurationMs = DurationMs::new(2);

/// Heartbeats without an answer after which a link is silent.
const MAX_MISSES: u32 = 3;

/// Starts the tasks of an entry's connection. They end with it.
pub(crate) fn attend(
    link: LinkId,
    back: Link,
    pushed: mpsc::UnboundedReceiver<EntryRequest>,
    commands: Sender<Command>,
) {
    spawn_local(async move {
        await_entry(&back).await;
        spawn_local(push(link, back.clone(), pushed, commands.clone()));
        watch(link, back, commands).await;
    });
}

/// Returns when the entry answers: until it has seen the end of the handshake, it refuses
/// every call, and a push would be lost.
async fn await_entry(back: &Link) {
    while !back.is_closed() {
        let ping = back.call::<_, EntryReply>(&EntryRequest::Ping);
        if let Ok(Ok(_)) = tokio::time::timeout(HEARTBEAT.as_std(), ping).await {
            return;
        }
        tokio::time::sleep(HANDSHAKE_POLL.as_std()).await;
    }
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

/// Tells the control thread how long heartbeats take, and when the entry stops and starts to
/// answer them.
async fn watch(link: LinkId, back: Link, commands: Sender<Command>) {
    let mut misses = 0;
    while !back.is_closed() {
        let sent = tokio::time::Instant::now();
        let ping = back.call::<_, EntryReply>(&EntryRequest::Ping);
        let answered = tokio::time::timeout(HEARTBEAT.as_std(), ping).await;
        let was_silent = misses >= MAX_MISSES;
        misses = match answered {
            Ok(Ok(_)) => 0,
            _ => misses + 1,
        };
        let event = match misses {
            0 if was_silent => Some(Event::Responsive { link }),
            0 => Some(round_trip(link, sent.elapsed())),
            MAX_MISSES => Some(Event::Unresponsive { link }),
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
