//! Checks that mutating requests are executed at most once, and not at all if they were answered as rejected.

use super::{Report, Rule};
use crate::history::History;
use std::collections::BTreeSet;

pub(super) fn check(history: &History, report: &mut Report) {
    let mutating = || history.executions.iter().filter(|execution| execution.mutating);
    let mut executed = BTreeSet::new();
    for execution in mutating() {
        if !executed.insert(execution.attempt) {
            let description = format!("attempt {} was executed again", execution.attempt);
            report.add(Rule::DuplicateExecution, execution.at, description);
        }
    }
    for execution in mutating() {
        let status = history.requests.get(&execution.attempt).and_then(|request| request.status);
        if let Some(status) = status.filter(|status| matches!(status, 429 | 503)) {
            let description =
                format!("attempt {} was executed, but answered with {status}", execution.attempt);
            report.add(Rule::ExecutedButRejected, execution.at, description);
        }
    }
}
