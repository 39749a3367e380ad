//! Checks the recorded history of a run for violations.

use crate::history::{ClientOutcome, ClientRequest, History};
use std::collections::BTreeMap;
use std::fmt;
use std::time::{Duration, Instant};

/// Statuses that assert that a request was not executed and will not be.
const NOT_EXECUTED_STATUSES: [u16; 4] = [408, 421, 429, 503];
/// Maximum difference between the time at which a kill is recorded and the time at which clients observe it.
const KILL_RECORD_TOLERANCE: Duration = Duration::from_millis(100);

/// A property that every run must satisfy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// A request that a backend has executed receives a response, unless its proxy was killed.
    Answered,
    /// A mutating request whose response asserts that it was not executed was not executed.
    PromiseKept,
    /// A mutating request is executed at most once.
    RunOnce,
    /// A client receives the response to its own request.
    OwnAnswer,
    /// A read returns no configuration older than one that was acknowledged before the read was sent.
    AcknowledgedIsRead,
    /// A valid configuration is not rejected.
    NotRefused,
    /// The programs report no violated invariants, and exit only when asked to, gracefully.
    Invariants,
}

/// A violation of a rule.
#[derive(Clone, Debug)]
pub struct Violation {
    /// The violated rule.
    pub rule: Rule,
    /// The request, command, read or log line that violates the rule.
    pub observation: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:?}: {}", self.rule, self.observation)
    }
}

/// How often each request was executed, by its `Attempt-Id`.
pub type Executions = BTreeMap<String, usize>;

/// Returns all violations in a history.
pub fn check(history: &History, executions: &Executions) -> Vec<Violation> {
    let mut violations = Vec::new();
    for request in &history.requests {
        let execution_count = executions.get(&request.attempt).copied().unwrap_or(0);
        if let Some(rule) = rule_violated_by_request(history, request, execution_count) {
            violations.push(Violation {
                rule,
                observation: format!("{request:?}, executed {execution_count} times"),
            });
        }
    }
    check_reads(history, &mut violations);
    for replacement in history.replacements.iter().filter(|replacement| replacement.rejected.is_some()) {
        violations.push(Violation { rule: Rule::NotRefused, observation: format!("{replacement:?}") });
    }
    let process_violations = history.process_violations.iter().cloned();
    violations
        .extend(process_violations.map(|observation| Violation { rule: Rule::Invariants, observation }));
    violations
}

fn rule_violated_by_request(
    history: &History,
    request: &ClientRequest,
    execution_count: usize,
) -> Option<Rule> {
    if request.mutating && execution_count > 1 {
        return Some(Rule::RunOnce);
    }
    match &request.outcome {
        ClientOutcome::Answered { status, .. }
            if request.mutating && execution_count > 0 && NOT_EXECUTED_STATUSES.contains(status) =>
        {
            Some(Rule::PromiseKept)
        }
        ClientOutcome::Answered { status: 200, attempt }
            if execution_count == 0 || attempt.as_deref() != Some(&request.attempt) =>
        {
            Some(Rule::OwnAnswer)
        }
        ClientOutcome::Unanswered if execution_count > 0 && !was_proxy_killed(history, request) => {
            Some(Rule::Answered)
        }
        _ => None,
    }
}

/// Returns whether the proxy was killed while the request was in flight.
fn was_proxy_killed(history: &History, request: &ClientRequest) -> bool {
    let (from, until) = (request.sent - KILL_RECORD_TOLERANCE, request.completed + KILL_RECORD_TOLERANCE);
    history.kills.iter().any(|kill| kill.machine == request.machine && (from..=until).contains(&kill.at))
}

/// Returns the newest revision that was acknowledged before this time.
fn newest_acknowledged_before(history: &History, at: Instant) -> Option<u64> {
    let acknowledged = history
        .replacements
        .iter()
        .filter(|replacement| replacement.acknowledged.is_some_and(|acknowledged| acknowledged < at));
    acknowledged.map(|replacement| replacement.revision).max()
}

fn check_reads(history: &History, violations: &mut Vec<Violation>) {
    for read in &history.reads {
        let Some(acknowledged) = newest_acknowledged_before(history, read.sent) else {
            continue;
        };
        if read.revision < acknowledged {
            let observation = format!("r{} was read after r{acknowledged} was acknowledged", read.revision);
            violations.push(Violation { rule: Rule::AcknowledgedIsRead, observation });
        }
    }
}

#[cfg(test)]
mod tests;
