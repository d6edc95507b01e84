//! Updates from a runner to one gateway, of which one at a time is in flight.
//!
//! Load pattern: a gateway with far more callers than its share of the processor allows. Each update
//! costs it a message to read and an answer to write, however little it holds. Updates that arise
//! while an earlier one is unanswered are merged into one, so a gateway that answers late receives
//! fewer and larger updates, while one that answers at once receives each without delay.

use crate::message::{InstanceUpdate, Report};

/// Content of an update. The load report is added when it is sent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PendingUpdate {
    /// Ended runs and refused starts.
    pub report: Report,
    /// The change of the instance, if it changed.
    pub instance: Option<InstanceUpdate>,
}

impl PendingUpdate {
    fn merge(&mut self, later: Self) {
        self.report.ended.extend(later.report.ended);
        self.report.refused.extend(later.report.refused);
        self.instance = match (self.instance.take(), later.instance) {
            (Some(earlier), Some(later)) => Some(InstanceUpdate {
                instance: later.instance,
                runs_lost: earlier.runs_lost || later.runs_lost,
                suspects: [earlier.suspects, later.suspects].concat(),
            }),
            (earlier, later) => later.or(earlier),
        };
    }
}

/// The updates that wait for the answer to an earlier one.
#[derive(Debug, Default)]
pub struct UpdateQueue {
    in_flight: bool,
    waiting: Option<PendingUpdate>,
}

impl UpdateQueue {
    /// Whether an update is unanswered.
    pub fn is_in_flight(&self) -> bool {
        self.in_flight
    }

    /// Adds an update. Returns it if it is to be sent now.
    pub fn push(&mut self, update: PendingUpdate) -> Option<PendingUpdate> {
        match (self.in_flight, &mut self.waiting) {
            (false, _) => {
                self.in_flight = true;
                return Some(update);
            }
            (true, Some(waiting)) => waiting.merge(update),
            (true, None) => self.waiting = Some(update),
        }
        None
    }

    /// Notes that the update in flight was answered or is given up. Returns the next one to send.
    pub fn finish(&mut self) -> Option<PendingUpdate> {
        let next = self.waiting.take();
        self.in_flight = next.is_some();
        next
    }
}
