//! The slow start of one backend: until it has warmed up, all proxies together may send it a bounded rate, of which each
//! has an equal share.

use super::to_ticks;
use std::time::Duration;
use vanewharf_clock::Timestamp;
use vanewharf_config::settings::LimitsTable;
use vanewharf_health::{SlowStart, SlowStartLimit, SlowStartPolicy};
use vanewharf_policy::interface::Ticks;

/// How far one backend has warmed up, and what was sent to it meanwhile.
pub(super) struct WarmUp {
    /// It is warming up until then.
    pub(super) until: Timestamp,
    /// The token bucket of this proxy's share; from the first attempt while the backend is warming up.
    bucket: Option<SlowStart>,
}

impl WarmUp {
    pub(super) fn new(until: Timestamp) -> WarmUp {
        WarmUp { until, bucket: None }
    }

    /// Prolongs the warm-up; it never becomes shorter, as an older list may know less.
    pub(super) fn extend(&mut self, until: Timestamp) {
        self.until = self.until.max(until);
    }

    /// When the backend started, for a warm-up of the given length; none once it is warm.
    pub(super) fn started_at(&self, warm_up: Duration, now: Ticks, at: Timestamp) -> Option<Ticks> {
        let remaining = self.until.since(at);
        (!remaining.is_zero()).then(|| now - to_ticks(warm_up.saturating_sub(remaining)))
    }

    /// Whether one more request may be sent: always to a warm backend, else within this proxy's share.
    pub(super) fn try_send(&mut self, limit: impl FnOnce() -> SlowStartLimit, at: Timestamp) -> bool {
        if self.until <= at {
            return true;
        }
        let limit = limit();
        self.bucket.get_or_insert_with(|| SlowStart::new(limit, at)).try_spend(limit, at)
    }
}

/// One proxy's share of what a backend may be sent that is warming up; `rate_per_s` is what its service bears meanwhile.
pub(super) fn proxy_limit(limits: &LimitsTable, rate_per_s: f64, proxy_count: f64) -> SlowStartLimit {
    SlowStartLimit::per_proxy(SlowStartPolicy {
        rate_per_s,
        overshoot: limits.warmup_overshoot,
        allowance: limits.warmup_allowance,
        proxies: proxy_count,
    })
}
