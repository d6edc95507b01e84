//! Fault injection.

use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

/// Fault injection: the share of requests that get each fault, in percent, and a slowdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Respond with status 500 at once, without working.
    pub fail_percent: u8,
    /// Close the connection after the request has arrived and has been counted as started.
    pub cut_percent: u8,
    /// Send only the first three quarters of the response and close the connection.
    pub truncate_percent: u8,
    /// Send the response twice on the same connection.
    pub double_percent: u8,
    /// Never respond.
    pub hang_percent: u8,
    /// Leave the key, submission and task out of the response, as if it belonged to another
    /// request.
    pub cross_percent: u8,
    /// Factor by which the service time is multiplied.
    pub slow_factor: u32,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            fail_percent: 0,
            cut_percent: 0,
            truncate_percent: 0,
            double_percent: 0,
            hang_percent: 0,
            cross_percent: 0,
            slow_factor: 1,
        }
    }
}

/// Fault that is injected into one request. See [`Faults`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    None,
    Fail,
    Cut,
    Truncate,
    Double,
    Hang,
    Cross,
}

impl Faults {
    /// Draws the fault of the next request.
    pub(crate) fn draw(&self, random: &mut Pcg64Mcg) -> Fault {
        let shares = [
            (Fault::Fail, self.fail_percent),
            (Fault::Cut, self.cut_percent),
            (Fault::Truncate, self.truncate_percent),
            (Fault::Double, self.double_percent),
            (Fault::Hang, self.hang_percent),
            (Fault::Cross, self.cross_percent),
        ];
        let mut drawn: u16 = random.random_range(0..100);
        for (fault, percent) in shares {
            match u16::from(percent) {
                percent if drawn < percent => return fault,
                percent => drawn -= percent,
            }
        }
        Fault::None
    }
}
