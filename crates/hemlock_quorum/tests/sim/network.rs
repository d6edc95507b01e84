//! A network that loses, repeats, delays and reorders.

use std::collections::BTreeSet;

use hemlock_quorum::prelude::*;
use rand::RngExt;

use super::{Happening, Sim};

/// How bad the network is.
#[derive(Default)]
pub(crate) struct Network {
    pub(crate) loss: f64,
    pub(crate) repeat: f64,
    /// Chance that a message is late by up to a second.
    pub(crate) late: f64,
    /// Directions in which nothing passes.
    pub(crate) cut: BTreeSet<(KeeperId, KeeperId)>,
    pub(crate) messages: u64,
}

impl Sim {
    pub(crate) fn transmit(&mut self, from: KeeperId, to: KeeperId, message: &Message) {
        self.network.messages += 1;
        let lost = self.rng.random_bool(self.network.loss);
        if lost || self.network.cut.contains(&(from, to)) || !self.nodes.contains_key(&to) {
            return;
        }
        let encoded = postcard::to_stdvec(message).expect("messages are encodable");
        let message: Message = postcard::from_bytes(&encoded).expect("and decodable");
        if self.rng.random_bool(self.network.repeat) {
            let after_us = self.draw_delay_us();
            self.schedule(after_us, Happening::Deliver(from, to, message.clone()));
        }
        let after_us = self.draw_delay_us();
        self.schedule(after_us, Happening::Deliver(from, to, message));
    }

    fn draw_delay_us(&mut self) -> u64 {
        match self.rng.random_bool(self.network.late) {
            true => self.rng.random_range(1_000..1_000_000),
            false => self.rng.random_range(200..3_000),
        }
    }

    /// Cuts a keeper off, in one direction or both.
    pub(crate) fn cut_off(&mut self, id: KeeperId, inwards: bool, outwards: bool) {
        for other in self.nodes.keys().copied().filter(|other| *other != id) {
            if inwards {
                self.network.cut.insert((other, id));
            }
            if outwards {
                self.network.cut.insert((id, other));
            }
        }
    }
}
