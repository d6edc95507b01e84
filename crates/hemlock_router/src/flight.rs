//! Starts that are out.

use hemlock_types::prelude::*;

use crate::arena::{Arena, Key};
use crate::contracts::ContractKey;
use crate::estimate::OperationKey;
use crate::fleet::EndpointKey;
use crate::work::TaskRef;

/// Names a start that is out.
pub type FlightKey = Key<Flight>;

/// Bits of a request id that hold the flight's place in the arena.
const INDEX_BITS: u32 = 24;
/// Mask of those bits.
const INDEX_MASK: u64 = (1 << INDEX_BITS) - 1;

/// One start that is out.
#[derive(Clone, Debug)]
pub struct Flight {
    /// Its id on the wire.
    pub request: RequestId,
    /// The task that it starts.
    pub task: TaskRef,
    /// Where it was sent.
    pub endpoint: EndpointKey,
    /// The contract whose limit it counts against.
    pub contract: ContractKey,
    /// Learnt times of its operation.
    pub operation: OperationKey,
    /// When it was sent.
    pub started: Instant,
    /// When its task is given up; a lost start counts as running until then.
    pub deadline: Instant,
    /// It got no answer; the agent may have received it.
    pub lost: bool,
    /// Nobody waits for it any more.
    pub abandoned: bool,
    /// It was sent again to the same agent after a loss: an earlier copy may have run.
    pub resent: bool,
    /// It was counted as slow.
    pub late: bool,
}

/// Every start that is out, found by request id in constant time.
#[derive(Debug, Default)]
pub struct FlightTable {
    flights: Arena<Flight>,
    sent: u64,
}

impl FlightTable {
    /// Number of starts that are out.
    pub fn len(&self) -> usize {
        self.flights.len()
    }

    /// Whether no start is out.
    pub fn is_empty(&self) -> bool {
        self.flights.is_empty()
    }

    /// Stores a flight under a request id that was never used before.
    pub fn insert(&mut self, flight: Flight) -> FlightKey {
        let key = self.flights.insert(flight);
        self.renew_request(key);
        key
    }

    /// Gives a flight a new request id, for sending the same start once more.
    ///
    /// # Panics
    ///
    /// When more than 16 million starts are out at once.
    pub fn renew_request(&mut self, key: FlightKey) {
        assert!(key.index() as u64 <= INDEX_MASK, "too many starts are out");
        self.sent += 1;
        let request = RequestId((self.sent << INDEX_BITS) | key.index() as u64);
        if let Some(flight) = self.flights.get_mut(key) {
            flight.request = request;
        }
    }

    /// The flight that a request id names, unless it has settled.
    pub fn find(&self, request: RequestId) -> Option<FlightKey> {
        let key = self.flights.key_at((request.0 & INDEX_MASK) as usize)?;
        let flight = self.flights.get(key)?;
        (flight.request == request).then_some(key)
    }

    /// A flight.
    pub fn get(&self, key: FlightKey) -> Option<&Flight> {
        self.flights.get(key)
    }

    /// A flight to change.
    pub fn get_mut(&mut self, key: FlightKey) -> Option<&mut Flight> {
        self.flights.get_mut(key)
    }

    /// Takes a flight out.
    pub fn remove(&mut self, key: FlightKey) -> Option<Flight> {
        self.flights.remove(key)
    }
}
