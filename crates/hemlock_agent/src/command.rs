//! What the control thread is told by the other threads.

use hemlock_gate::prelude::*;
use hemlock_http::prelude::Responder;
use hemlock_types::prelude::*;
use hemlock_wire::message::agent::{AgentReply, AgentRequest};
use hemlock_wire::message::entry::EntryRequest;
use tokio::sync::{mpsc, oneshot};

/// Where the answer to an entry's request goes. A dropped one answers that the agent ends.
pub(crate) type ReplySender = oneshot::Sender<AgentReply>;

/// What the control thread is told.
pub(crate) enum Command {
    /// An entry has connected; what it is to be told goes to `push`.
    Opened {
        link: LinkId,
        entry: Incarnation,
        push: mpsc::UnboundedSender<EntryRequest>,
    },
    /// An entry's connection is closed.
    Closed { link: LinkId },
    /// An entry's request, and when it arrived.
    Request {
        link: LinkId,
        request: AgentRequest,
        reply: ReplySender,
        received: Instant,
    },
    /// An event for the gate that needs no answer.
    Event(Event),
    /// The endpoint instance announces itself.
    Announce { offer: Offer, responder: Responder },
    /// The endpoint instance withdraws itself.
    Withdraw { responder: Responder },
    /// The thread of the connections has ended.
    LaneEnded,
}
