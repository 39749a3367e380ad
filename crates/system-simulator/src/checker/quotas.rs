//! Checks that all proxies together admit no more of a tenant's requests than its quota and the permitted excess.

use super::{Report, Rule};
use crate::history::{Execution, History};
use std::time::Duration;

const QUOTA_WINDOW: Duration = Duration::from_secs(5);
/// The fraction by which a quota may be exceeded.
const MAX_EXCESS_RATIO: f64 = 0.1;
/// How many requests are permitted in addition to that.
const ALLOWANCE_REQUESTS: f64 = 20.0;

pub(super) fn check(history: &History, report: &mut Report) {
    let Some(quotas) = history.quotas.values().next() else {
        return;
    };
    for (tenant, quota) in quotas {
        let mut executions: Vec<&Execution> =
            history.executions.iter().filter(|execution| execution.tenant == *tenant).collect();
        executions.sort_by_key(|execution| execution.at);
        let in_quota = quota.rate * QUOTA_WINDOW.as_secs_f64() + quota.burst;
        let limit = in_quota * (1.0 + MAX_EXCESS_RATIO) + ALLOWANCE_REQUESTS;
        if let Some((first, count)) = first_excess(&executions, QUOTA_WINDOW, limit) {
            let description =
                format!("{count} requests of {tenant} were admitted in 5 s; the limit is {limit:.0}");
            report.add(Rule::Quota, first.at, description);
        }
    }
}

/// Returns the first execution with which a window begins that has more requests than `limit`, and their number. Only
/// requests that were also sent within the window count. The executions must be sorted by time.
pub(super) fn first_excess<'a>(
    executions: &[&'a Execution],
    window: Duration,
    limit: f64,
) -> Option<(&'a Execution, usize)> {
    executions.iter().enumerate().find_map(|(index, first)| {
        let until = first.at + window;
        let in_window = executions[index..].iter().take_while(|execution| execution.at < until);
        let count = in_window.filter(|execution| execution.sent >= first.at).count();
        (count as f64 > limit).then_some((*first, count))
    })
}
