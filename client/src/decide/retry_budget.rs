//! The budget of retries: a token bucket that successes fill. Guards against clients that double the load of
//! schedulers which refuse already: with nothing served, nothing comes in, and what is left is soon spent.

/// The tokens of all calls of one client.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryBudget {
    tokens: f64,
    share: f64,
    most: f64,
}

impl RetryBudget {
    /// A budget that starts full. `share` is what each served call adds, in retries; `most` bounds what is
    /// saved, and so the retries that come before the first success.
    pub fn new(share: f64, most: f64) -> Self {
        RetryBudget { tokens: most, share, most }
    }

    /// A call was served.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.share).min(self.most);
    }

    /// Takes a retry, where one is left.
    pub fn spend(&mut self) -> bool {
        let left = self.tokens >= 1.0;
        if left {
            self.tokens -= 1.0;
        }
        left
    }
}
