//! What can go wrong at a stand-in, on purpose.

use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

/// Shares of requests that go wrong, in percent, and how slow the rest is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Answered 500 at once, without working.
    pub fail_percent: u8,
    /// The connection is cut once the request has arrived and is counted as started.
    pub cut_percent: u8,
    /// The last quarter of the answer is not sent; the connection is cut.
    pub truncate_percent: u8,
    /// The answer is sent twice on the same connection.
    pub double_percent: u8,
    /// Never answered.
    pub hang_percent: u8,
    /// The answer is another request's: its task and key are replaced.
    pub cross_percent: u8,
    /// Factor on the service time.
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

/// What goes wrong with one request.
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
    /// Draws what goes wrong with the next request.
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
