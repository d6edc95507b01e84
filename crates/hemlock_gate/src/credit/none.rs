//! The rule without credits.

use hemlock_types::prelude::*;

use super::{CreditPolicy, Deal, Spare};
use crate::event::LinkId;

/// Grants nothing: a start is accepted when a slot happens to be idle. The baseline.
#[derive(Debug, Default)]
pub struct NoCredits;

impl CreditPolicy for NoCredits {
    fn open(&mut self, _link: LinkId) {}
    fn close(&mut self, _link: LinkId) {}
    fn silence(&mut self, _link: LinkId, _out: &mut Deal) {}
    fn hear(&mut self, _link: LinkId) {}
    fn note_round_trip(&mut self, _link: LinkId, _micros: u64) {}
    fn want(&mut self, _now: Instant, _link: LinkId, _count: u16) {}
    fn consume(&mut self, _now: Instant, _link: LinkId) -> bool {
        false
    }
    fn returned(&mut self, _link: LinkId, _asked: u16, _slots: u16) {}
    fn deal(&mut self, _now: Instant, _idle: u16, _spare: Spare, _out: &mut Deal) {}
    fn void(&mut self) {}
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
