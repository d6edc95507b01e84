//! Commands from the other threads to the control thread.

use hemlock_gate::prelude::*;
use hemlock_http::prelude::Responder;
use hemlock_types::prelude::*;
use hemlock_wire::message::agent::{AgentReply, AgentRequest};
use hemlock_wire::message::entry::EntryRequest;
use tokio::sync::{mpsc, oneshot};

/// Channel for the answer to an entry's request. If it is dropped without an answer, the entry is
/// told that the agent is closing.
pub(crate) type ReplySender = oneshot::Sender<AgentReply>;

/// A command to the control thread.
pub(crate) enum Command {
    /// An entry has connected. The agent's own requests to it are sent to `push`.
    Opened {
        link: LinkId,
        entry: Incarnation,
        push: mpsc::UnboundedSender<EntryRequest>,
    },
    /// The connection of an entry has closed.
    Closed { link: LinkId },
    /// A request of an entry, with the time of its arrival.
    Request {
        link: LinkId,
        request: AgentRequest,
        reply: ReplySender,
        received: Instant,
    },
    /// An event for the gate that needs no answer.
    Event(Event),
    /// The endpoint instance announces itself over HTTP.
    Announce { offer: Offer, responder: Responder },
    /// The endpoint instance withdraws over HTTP.
    Withdraw { responder: Responder },
    /// The lane has ended.
    LaneEnded,
}
