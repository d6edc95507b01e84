//! Policy that grants no credits.

use hemlock_types::prelude::*;

use super::{CreditChanges, CreditPolicy, Surplus};
use crate::event::LinkId;

/// Grants no credits; a start is accepted if a slot is idle when it arrives. Benchmarks use it as
/// the baseline.
#[derive(Debug, Default)]
pub struct NoCredits;

impl CreditPolicy for NoCredits {
    fn open(&mut self, _link: LinkId) {}
    fn close(&mut self, _link: LinkId) {}
    fn suspend(&mut self, _link: LinkId, _out: &mut CreditChanges) {}
    fn resume(&mut self, _link: LinkId) {}
    fn record_round_trip(&mut self, _link: LinkId, _micros: u64) {}
    fn set_waiting_tasks(&mut self, _now: Instant, _link: LinkId, _count: u16) {}
    fn consume(&mut self, _now: Instant, _link: LinkId) -> bool {
        false
    }
    fn handle_returned(&mut self, _link: LinkId, _asked: u16, _slots: u16) {}
    fn assign(&mut self, _now: Instant, _idle: u16, _surplus: Surplus, _out: &mut CreditChanges) {}
    fn clear(&mut self) {}
    fn reserved(&self) -> u16 {
        0
    }
    fn waiting(&self) -> usize {
        0
    }
    fn next_wakeup(&self) -> Option<Instant> {
        None
    }
}
