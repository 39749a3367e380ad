//! Judges a run by what was seen of it from outside.

use crate::history::{ClientOutcome, ClientRequest, History};
use std::collections::BTreeMap;
use std::fmt;
use std::time::{Duration, Instant};

/// Statuses that promise that a request has not run and never will.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];
/// A kill may be recorded so much after or before its effect.
const KILL_RECORD_TOLERANCE: Duration = Duration::from_millis(100);

/// What must hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// A request that a backend has run is answered, unless its proxy was killed.
    Answered,
    /// A request that was answered with a promise not to run has not run.
    PromiseKept,
    /// A mutating request runs at most once.
    RunOnce,
    /// An answer belongs to the request that it is given to.
    OwnAnswer,
    /// What is read is no older than what was acknowledged before.
    AcknowledgedIsRead,
    /// A valid configuration is not refused.
    NotRefused,
    /// The programs' own invariants hold, and they end only when told to, in order.
    Invariants,
}

/// One violation.
#[derive(Clone, Debug)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// What was seen.
    pub seen: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:?}: {}", self.rule, self.seen)
    }
}

/// How often each request was run, by its `Attempt-Id`.
pub type Executions = BTreeMap<String, usize>;

/// All violations in a history.
pub fn check(history: &History, executions: &Executions) -> Vec<Violation> {
    let mut violations = Vec::new();
    for request in &history.requests {
        let ran = executions.get(&request.attempt).copied().unwrap_or(0);
        if let Some(rule) = broken_by_request(history, request, ran) {
            violations.push(Violation { rule, seen: format!("{request:?}, run {ran} times") });
        }
    }
    check_reads(history, &mut violations);
    for order in history.orders.iter().filter(|order| order.refused.is_some()) {
        violations.push(Violation { rule: Rule::NotRefused, seen: format!("{order:?}") });
    }
    let complaints = history.complaints.iter().cloned();
    violations.extend(complaints.map(|seen| Violation { rule: Rule::Invariants, seen }));
    violations
}

fn broken_by_request(history: &History, request: &ClientRequest, ran: usize) -> Option<Rule> {
    if request.mutating && ran > 1 {
        return Some(Rule::RunOnce);
    }
    match &request.outcome {
        ClientOutcome::Answered { status, .. }
            if request.mutating && ran > 0 && NOT_RUN_STATUSES.contains(status) =>
        {
            Some(Rule::PromiseKept)
        }
        ClientOutcome::Answered { status: 200, attempt }
            if ran == 0 || attempt.as_deref() != Some(&request.attempt) =>
        {
            Some(Rule::OwnAnswer)
        }
        ClientOutcome::Unanswered if ran > 0 && !was_killed(history, request) => Some(Rule::Answered),
        _ => None,
    }
}

/// Whether the request's proxy was killed while it was under way.
fn was_killed(history: &History, request: &ClientRequest) -> bool {
    let (from, until) = (request.sent - KILL_RECORD_TOLERANCE, request.completed + KILL_RECORD_TOLERANCE);
    history.kills.iter().any(|kill| kill.machine == request.machine && (from..=until).contains(&kill.at))
}

/// The newest configuration that was acknowledged before that moment.
fn acknowledged_before(history: &History, at: Instant) -> Option<u64> {
    let acknowledged = history
        .orders
        .iter()
        .filter(|order| order.acknowledged.is_some_and(|acknowledged| acknowledged < at));
    acknowledged.map(|order| order.revision).max()
}

fn check_reads(history: &History, violations: &mut Vec<Violation>) {
    for read in &history.reads {
        let Some(acknowledged) = acknowledged_before(history, read.sent) else {
            continue;
        };
        if read.revision < acknowledged {
            let seen = format!("r{} was read after r{acknowledged} was acknowledged", read.revision);
            violations.push(Violation { rule: Rule::AcknowledgedIsRead, seen });
        }
    }
}

#[cfg(test)]
mod tests;
