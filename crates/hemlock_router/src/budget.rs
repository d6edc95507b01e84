//! Budgets that bound extra sends, such as retries and hedges, to a share of the requests.

/// Tokens earned by one request at one percent.
const TOKENS_PER_PERCENT: u32 = 1;
/// Tokens that one extra send costs.
const TOKENS_PER_SEND: u32 = 100;
/// Sends that may be saved up for a burst.
const BURST_SENDS: u32 = 10;

/// A token bucket filled by requests and emptied by extra sends.
#[derive(Clone, Copy, Debug, Default)]
pub struct Budget {
    tokens: u32,
}

impl Budget {
    /// Notes one request under a budget of `percent`.
    pub fn earn(&mut self, percent: u8) {
        let most = BURST_SENDS * TOKENS_PER_SEND;
        let earned = u32::from(percent) * TOKENS_PER_PERCENT;
        self.tokens = (self.tokens + earned).min(most);
    }

    /// Takes one extra send; `false` when the budget is used up.
    pub fn spend(&mut self) -> bool {
        match self.tokens >= TOKENS_PER_SEND {
            true => {
                self.tokens -= TOKENS_PER_SEND;
                true
            }
            false => false,
        }
    }
}
