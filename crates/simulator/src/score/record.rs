//! Statistics and results of a run.

use crate::rules::{Rule, RuleViolation};
use hdrhistogram::Histogram;
use std::collections::BTreeMap;

/// Resources that a run has used, and incidents that are not rule violations.
#[derive(Clone, Debug, Default)]
pub struct ResourceUsage {
    /// Number of attempts sent to backends.
    pub attempts: u64,
    /// Number of attempts sent to another zone.
    pub cross_zone: u64,
    /// Number of new connections to backends, including failed ones.
    pub handshakes: u64,
    /// Number of calls to the shared counter.
    pub counter_calls: u64,
    /// Number of these calls that returned no total.
    pub unanswered_calls: u64,
    /// Number of messages sent between gateways.
    pub peer_messages: u64,
    /// Total encoded size of these messages, in bytes.
    pub peer_message_bytes: u64,
    /// Number of these messages that the receiver dropped because of its rate limit.
    pub dropped_peer_messages: u64,
    /// Number of tries that were routed to a crashed gateway.
    pub unreached_tries: u64,
    /// Number of backends that were overloaded during their warm-up.
    pub overloaded_backends: u64,
}

/// Statistics of a second of a run. Tries and their outcomes count in the second in which the first try arrived.
#[derive(Clone, Copy, Debug, Default)]
pub struct SecondStats {
    /// Number of first tries.
    pub first_tries: u64,
    /// Offered value: the full value of requests within quotas, and what requests over quotas can earn.
    pub offered_value: f64,
    /// Value earned by answered requests.
    pub served_value: f64,
    /// Number of responses within the SLA.
    pub in_time: u64,
    /// Number of responses after the SLA time.
    pub late: u64,
    /// Number of rejections.
    pub rejected: u64,
    /// Number of failed tries.
    pub failed: u64,
    /// Units of requests sent to backends within quotas.
    pub within_quota_units: f64,
    /// Units of requests sent to backends over quotas.
    pub over_quota_units: f64,
    /// Work started by backends, in milliseconds.
    pub worked_ms: f64,
    /// Capacity of the running backends in milliseconds of work, as a mean over samples.
    pub capacity_ms: f64,
    pub(super) samples: u32,
    /// Largest usage of a customer relative to its hard limit including the slack. A value above 1 is a violation.
    pub max_hard_limit_ratio: f64,
    /// Largest load of a backend in warm-up relative to the load that overloads it, without the tolerance of one request
    /// per core.
    pub max_overload_ratio: f64,
}

/// Results of a run with one policy.
#[derive(Clone, Debug)]
pub struct RunRecord {
    /// Value of the run after deduction of prices.
    pub net_value: f64,
    /// Served fraction of the offered value, over the complete run.
    pub complete_run: f64,
    /// Lowest served fraction of any window.
    pub worst_window: f64,
    /// Lowest served fraction of any product.
    pub worst_product: f64,
    /// Lowest served fraction of any plan, within quotas.
    pub worst_plan: f64,
    /// Deducted prices, by name.
    pub prices: BTreeMap<&'static str, f64>,
    /// Statistics of each second.
    pub seconds: Vec<SecondStats>,
    /// Served fraction of each product.
    pub products: Vec<f64>,
    /// Served fraction of each plan, within quotas.
    pub plans: Vec<f64>,
    /// Resources used.
    pub usage: ResourceUsage,
    /// Rule violations, ordered by time.
    pub violations: Vec<RuleViolation>,
    /// Number of first tries.
    pub first_tries: u64,
    /// Latency from a client's first try to its response, in ticks.
    pub latency: Histogram<u64>,
    /// Requests in service or queued at each backend, sampled ten times per second.
    pub queue_lengths: Histogram<u64>,
}

impl RunRecord {
    /// Returns the number of violations of each violated rule.
    pub fn violation_counts(&self) -> BTreeMap<Rule, usize> {
        let mut counts = BTreeMap::new();
        self.violations.iter().for_each(|violation| *counts.entry(violation.rule).or_insert(0) += 1);
        counts
    }

    /// Returns the sum of a value over all seconds.
    pub fn total(&self, value: impl Fn(&SecondStats) -> f64) -> f64 {
        self.seconds.iter().map(value).sum()
    }
}
