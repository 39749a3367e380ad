//! All proxies together admit no more of a tenant's requests than its quota and what the limits allow beyond it.

use super::{Report, Rule};
use crate::history::{Execution, History};
use std::time::Duration;

const WINDOW: Duration = Duration::from_secs(5);
/// By which part a quota may be exceeded.
const OVERSHOOT: f64 = 0.1;
/// How many requests it may be exceeded by on top.
const ALLOWANCE: f64 = 20.0;

pub(super) fn check(history: &History, report: &mut Report) {
    let Some(quotas) = history.quotas.values().next() else {
        return;
    };
    for (tenant, quota) in quotas {
        let mut executions: Vec<&Execution> =
            history.executions.iter().filter(|execution| execution.tenant == *tenant).collect();
        executions.sort_by_key(|execution| execution.at);
        let most = (quota.rate * WINDOW.as_secs_f64() + quota.burst) * (1.0 + OVERSHOOT) + ALLOWANCE;
        if let Some((first, count)) = first_excess(&executions, WINDOW, most) {
            let description = format!("{tenant}: {count} in 5 s, {most:.0} may");
            report.add(Rule::Quota, first.at, description);
        }
    }
}

/// The first execution that begins a window with more requests than allowed, and their number. Only requests that were
/// sent within the window count. The executions must be in order.
pub(super) fn first_excess<'a>(
    executions: &[&'a Execution],
    window: Duration,
    most: f64,
) -> Option<(&'a Execution, usize)> {
    executions.iter().enumerate().find_map(|(index, first)| {
        let until = first.at + window;
        let in_window = executions[index..].iter().take_while(|execution| execution.at < until);
        let count = in_window.filter(|execution| execution.sent >= first.at).count();
        (count as f64 > most).then_some((*first, count))
    })
}
