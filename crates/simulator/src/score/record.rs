//! The figures of a run.

use crate::rules::{Rule, RuleViolation};
use hdrhistogram::Histogram;
use std::collections::BTreeMap;

/// What was used of what has a price, and what went wrong beside the rules.
#[derive(Clone, Debug, Default)]
pub struct ResourceUsage {
    /// Attempts sent to backends.
    pub attempts: u64,
    /// Those of them to another zone.
    pub cross_zone: u64,
    /// New connections to backends.
    pub handshakes: u64,
    /// Calls to the shared counter.
    pub counter_calls: u64,
    /// Those of them without a total.
    pub unanswered_calls: u64,
    /// Messages between gateways.
    pub peer_messages: u64,
    /// Their bytes.
    pub peer_message_bytes: u64,
    /// Those of them that came with too many.
    pub dropped_peer_messages: u64,
    /// Tries that met a dead gateway.
    pub unreached: u64,
    /// Backends that were overloaded while they warmed up.
    pub overloaded_backends: u64,
}

/// One second of a run. First tries count in the second in which they came.
#[derive(Clone, Copy, Debug, Default)]
pub struct SecondStats {
    /// First tries.
    pub first_tries: u64,
    /// The value of what was asked for inside quotas, and of what is beyond them as far as that earns.
    pub offered: f64,
    /// The value of what was answered.
    pub served: f64,
    /// Answers in time.
    pub in_time: u64,
    /// Answers past the SLA time.
    pub late: u64,
    /// Rejections.
    pub rejected: u64,
    /// Tries that failed.
    pub failed: u64,
    /// Units sent to backends inside quotas.
    pub inside_units: f64,
    /// Units sent to backends beyond quotas.
    pub excess_units: f64,
    /// Milliseconds of work begun.
    pub worked_ms: f64,
    /// Milliseconds of work that the backends that were up could do, as a mean over samples.
    pub capacity_ms: f64,
    pub(super) samples: u32,
    /// How near a customer came to its hard limit; 1 is over.
    pub nearest_hard_limit: f64,
    /// How near a backend that warmed up came to its overload; 1 is over.
    pub nearest_overload: f64,
}

/// A run's figures.
#[derive(Clone, Debug)]
pub struct RunRecord {
    /// What the run is worth, prices taken off.
    pub g: f64,
    /// The part of the offered value that was served, of the complete run.
    pub complete_run: f64,
    /// The same of the worst window.
    pub worst_window: f64,
    /// The same of the worst product.
    pub worst_product: f64,
    /// The same of the worst plan, inside quotas.
    pub worst_plan: f64,
    /// What was taken off, by its name.
    pub prices: BTreeMap<&'static str, f64>,
    /// The run by seconds.
    pub seconds: Vec<SecondStats>,
    /// The part served of each product.
    pub products: Vec<f64>,
    /// The part served of each plan, inside quotas.
    pub plans: Vec<f64>,
    /// What was used.
    pub usage: ResourceUsage,
    /// The breaches of rules.
    pub violations: Vec<RuleViolation>,
    /// First tries.
    pub first_tries: u64,
    /// Ticks from a client's first try to its answer.
    pub latency: Histogram<u64>,
    /// Requests in hand at a backend, ten times a second.
    pub queue_lengths: Histogram<u64>,
}

impl RunRecord {
    /// How often each rule was broken.
    pub fn violation_counts(&self) -> BTreeMap<Rule, usize> {
        let mut counts = BTreeMap::new();
        self.violations.iter().for_each(|violation| *counts.entry(violation.rule).or_insert(0) += 1);
        counts
    }

    /// A figure summed over all seconds.
    pub fn total(&self, figure: impl Fn(&SecondStats) -> f64) -> f64 {
        self.seconds.iter().map(figure).sum()
    }
}
