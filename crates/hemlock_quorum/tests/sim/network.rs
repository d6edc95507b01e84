//! Simulated network that loses, duplicates, delays and reorders messages.

use std::collections::BTreeSet;

use hemlock_quorum::prelude::*;
use rand::RngExt;

use super::{Sim, SimEvent};

/// Fault rates and blocked connections of the network.
#[derive(Default)]
pub(crate) struct Network {
    pub(crate) loss_rate: f64,
    pub(crate) duplicate_rate: f64,
    /// Probability that a message is delayed by up to a second.
    pub(crate) delay_rate: f64,
    /// Connections, from sender to receiver, that drop all messages.
    pub(crate) blocked: BTreeSet<(KeeperId, KeeperId)>,
    pub(crate) messages: u64,
}

impl Sim {
    pub(crate) fn transmit(&mut self, from: KeeperId, to: KeeperId, message: &Message) {
        self.network.messages += 1;
        let lost = self.rng.random_bool(self.network.loss_rate);
        if lost || self.network.blocked.contains(&(from, to)) || !self.nodes.contains_key(&to) {
            return;
        }
        let encoded = postcard::to_stdvec(message).expect("messages are encodable");
        let message: Message = postcard::from_bytes(&encoded).expect("messages are decodable");
        if self.rng.random_bool(self.network.duplicate_rate) {
            let after_us = self.draw_delay_us();
            self.schedule(after_us, SimEvent::Deliver(from, to, message.clone()));
        }
        let after_us = self.draw_delay_us();
        self.schedule(after_us, SimEvent::Deliver(from, to, message));
    }

    fn draw_delay_us(&mut self) -> u64 {
        match self.rng.random_bool(self.network.delay_rate) {
            true => self.rng.random_range(1_000..1_000_000),
            false => self.rng.random_range(200..3_000),
        }
    }

    /// Blocks all messages to a keeper, from it, or both.
    pub(crate) fn isolate_keeper(&mut self, id: KeeperId, inwards: bool, outwards: bool) {
        for other in self.nodes.keys().copied().filter(|other| *other != id) {
            if inwards {
                self.network.blocked.insert((other, id));
            }
            if outwards {
                self.network.blocked.insert((id, other));
            }
        }
    }
}
