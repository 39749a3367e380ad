//! Slow start of one backend: until it has warmed up, the attempts of all proxies together are limited, and each proxy
//! has an equal share of that limit.

use crate::ticks::to_ticks;
use std::time::Duration;
use vanewharf_clock::Timestamp;
use vanewharf_config::settings::LimitsTable;
use vanewharf_health::{SlowStart, SlowStartLimit, SlowStartPolicy};
use vanewharf_policy::interface::Ticks;

/// The warm-up of one backend.
pub(super) struct WarmUp {
    /// When the warm-up ends.
    pub(super) until: Timestamp,
    /// The token bucket of this proxy's share; created by the first attempt during the warm-up.
    bucket: Option<SlowStart>,
}

impl WarmUp {
    pub(super) fn new(until: Timestamp) -> WarmUp {
        WarmUp { until, bucket: None }
    }

    /// Prolongs the warm-up. It is never shortened, because reports about it are only lower bounds.
    pub(super) fn extend(&mut self, until: Timestamp) {
        self.until = self.until.max(until);
    }

    /// When the backend started, given the length of a complete warm-up; `None` once the backend is warm.
    pub(super) fn started_at(&self, warm_up: Duration, now: Ticks, at: Timestamp) -> Option<Ticks> {
        let remaining = self.until.since(at);
        (!remaining.is_zero()).then(|| now - to_ticks(warm_up.saturating_sub(remaining)))
    }

    /// Whether one more attempt may be sent. Takes a token from this proxy's share if the backend is warming up.
    pub(super) fn try_send(&mut self, limit: impl FnOnce() -> SlowStartLimit, at: Timestamp) -> bool {
        if self.until <= at {
            return true;
        }
        let limit = limit();
        self.bucket.get_or_insert_with(|| SlowStart::new(limit, at)).try_spend(limit, at)
    }
}

/// One proxy's share of the limit for a backend that is warming up. `rate_per_s` is the rate that the service's
/// backends sustain during their warm-up.
pub(super) fn proxy_limit(limits: &LimitsTable, rate_per_s: f64, proxy_count: f64) -> SlowStartLimit {
    SlowStartLimit::per_proxy(SlowStartPolicy {
        rate_per_s,
        overshoot: limits.warmup_overshoot,
        allowance: limits.warmup_allowance,
        proxies: proxy_count,
    })
}
