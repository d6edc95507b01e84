//! Starts that are in flight.

use hemlock_types::prelude::*;

use crate::arena::{Arena, Key};
use crate::contracts::ContractKey;
use crate::estimate::OperationKey;
use crate::fleet::EndpointKey;
use crate::work::TaskRef;

/// Identifies a start that is in flight.
pub type StartKey = Key<InFlightStart>;

/// Number of low bits of a request id that hold the start's index in the arena.
const INDEX_BITS: u32 = 24;
/// Mask of the index bits of a request id.
const INDEX_MASK: u64 = (1 << INDEX_BITS) - 1;

/// One start that is in flight: sent, with an unknown outcome.
#[derive(Clone, Debug)]
pub struct InFlightStart {
    /// Id that names it in messages to and from the agent.
    pub request: RequestId,
    /// The task that it starts.
    pub task: TaskRef,
    /// The endpoint that it was sent to.
    pub endpoint: EndpointKey,
    /// The contract whose limit it counts against.
    pub contract: ContractKey,
    /// Key of its operation's service time estimate.
    pub operation: OperationKey,
    /// When it was sent.
    pub started: Instant,
    /// When its task is given up; a lost start counts as running until then.
    pub deadline: Instant,
    /// It got no answer; the agent may have received it.
    pub lost: bool,
    /// Its outcome is no longer awaited.
    pub abandoned: bool,
    /// It was sent again to the same agent after a loss: an earlier copy may have run.
    pub resent: bool,
    /// It was recorded as a straggler.
    pub straggled: bool,
}

/// Table of all starts in flight, with constant-time lookup by request id.
#[derive(Debug, Default)]
pub struct StartTable {
    starts: Arena<InFlightStart>,
    sequence: u64,
}

impl StartTable {
    /// Number of starts in flight.
    pub fn len(&self) -> usize {
        self.starts.len()
    }

    /// Whether no start is in flight.
    pub fn is_empty(&self) -> bool {
        self.starts.is_empty()
    }

    /// Stores a start and gives it a request id that was never used before.
    pub fn insert(&mut self, start: InFlightStart) -> StartKey {
        let key = self.starts.insert(start);
        self.renew_request(key);
        key
    }

    /// Gives a start a new request id, for sending it again.
    ///
    /// # Panics
    ///
    /// When more than 16 million starts are in flight at once.
    pub fn renew_request(&mut self, key: StartKey) {
        assert!(
            key.index() as u64 <= INDEX_MASK,
            "too many starts are in flight"
        );
        self.sequence += 1;
        let request = RequestId((self.sequence << INDEX_BITS) | key.index() as u64);
        if let Some(start) = self.starts.get_mut(key) {
            start.request = request;
        }
    }

    /// The start with the given request id, unless it was removed or has a newer id.
    pub fn find(&self, request: RequestId) -> Option<StartKey> {
        let key = self.starts.key_at((request.0 & INDEX_MASK) as usize)?;
        let start = self.starts.get(key)?;
        (start.request == request).then_some(key)
    }

    /// A start.
    pub fn get(&self, key: StartKey) -> Option<&InFlightStart> {
        self.starts.get(key)
    }

    /// Mutable access to a start.
    pub fn get_mut(&mut self, key: StartKey) -> Option<&mut InFlightStart> {
        self.starts.get_mut(key)
    }

    /// Removes and returns a start.
    pub fn remove(&mut self, key: StartKey) -> Option<InFlightStart> {
        self.starts.remove(key)
    }
}
