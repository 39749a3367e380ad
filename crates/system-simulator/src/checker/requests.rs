//! Mutating requests are executed at most once, and never where they were reported as rejected.

use super::{Report, Rule};
use crate::history::History;
use std::collections::BTreeSet;

pub(super) fn check(history: &History, report: &mut Report) {
    let mutating = || history.executions.iter().filter(|execution| execution.mutating);
    let mut executed = BTreeSet::new();
    for execution in mutating() {
        if !executed.insert(execution.attempt) {
            let description = format!("attempt {} ran again", execution.attempt);
            report.add(Rule::DuplicateExecution, execution.at, description);
        }
    }
    for execution in mutating() {
        let status = history.requests.get(&execution.attempt).and_then(|request| request.status);
        if matches!(status, Some(429 | 503)) {
            let description = format!("attempt {} ran and was answered {status:?}", execution.attempt);
            report.add(Rule::ExecutedButRejected, execution.at, description);
        }
    }
}
