//! Draining backends and evacuated zones get no requests, and backends that warm up get few.

use super::availability::Availability;
use super::quotas::first_excess;
use super::{Report, Rule};
use crate::configuration::WARMUP_RATE_PER_S;
use crate::ground_truth::{PLATFORM_LAG, SimulatedBackend};
use crate::history::{Command, Execution, History};
use std::time::Duration;

/// How long after the platform's list showed a drain proxies in touch may send requests.
const DRAIN_TIME: Duration = Duration::from_millis(3000);
/// How long after its acknowledgement an evacuation may take to be in force at proxies in touch.
const EVACUATION_TIME: Duration = Duration::from_millis(5000);
const WARMUP_WINDOW: Duration = Duration::from_secs(1);
const WARMUP_OVERSHOOT: f64 = 1.5;
const WARMUP_ALLOWANCE: f64 = 5.0;

pub(super) fn check(availability: &Availability<'_>, history: &History, report: &mut Report) {
    let backends = availability.ground_truth.backends.borrow();
    for execution in &history.executions {
        check_drain(availability, execution, report);
        if let Some(backend) = backends.get(&execution.backend) {
            check_evacuation(availability, history, execution, backend, report);
        }
    }
    for (id, backend) in backends.iter() {
        check_warmup(history, id, backend, report);
    }
}

fn check_drain(availability: &Availability<'_>, execution: &Execution, report: &mut Report) {
    let drained_at = availability.ground_truth.drain_listed_at(&execution.backend).map(|at| at + DRAIN_TIME);
    if drained_at.is_some_and(|at| execution.at > at)
        && availability.proxy_is_in_touch(execution.proxy, execution.at)
    {
        let description = format!("{} from door {}", execution.backend, execution.proxy);
        report.add(Rule::Drain, execution.at, description);
    }
}

/// The last command for the zone that was sent before an execution decides; an evacuation ends as soon as its end is
/// sent.
fn check_evacuation(
    availability: &Availability<'_>,
    history: &History,
    execution: &Execution,
    backend: &SimulatedBackend,
    report: &mut Report,
) {
    let mut for_zone = history.commands.iter().filter(|record| record.command.zone() == Some(&backend.zone));
    let last = for_zone.rfind(|record| record.sent <= execution.at);
    if let Some(record) = last
        && matches!(record.command, Command::BeginEvacuation(_))
        && record.acknowledged.is_some_and(|at| execution.at > at + EVACUATION_TIME)
        && availability.proxy_is_in_touch(execution.proxy, execution.at)
    {
        let description = format!("{} in {} from door {}", execution.backend, backend.zone, execution.proxy);
        report.add(Rule::Evacuation, execution.at, description);
    }
}

/// From when the platform's list has shown it until it is warm, a backend gets few requests.
fn check_warmup(history: &History, id: &str, backend: &SimulatedBackend, report: &mut Report) {
    let (Some(from), Some(until)) = (backend.warming_from, backend.warming_until) else {
        return;
    };
    let listed_at = from + PLATFORM_LAG;
    let is_warming =
        |execution: &&Execution| execution.backend == id && execution.at >= listed_at && execution.at < until;
    let mut executions: Vec<&Execution> = history.executions.iter().filter(is_warming).collect();
    executions.sort_by_key(|execution| execution.at);
    let most = WARMUP_RATE_PER_S * WARMUP_OVERSHOOT + WARMUP_ALLOWANCE;
    if let Some((first, count)) = first_excess(&executions, WARMUP_WINDOW, most) {
        report.add(Rule::WarmUp, first.at, format!("{id}: {count} in 1 s, {most:.1} may"));
    }
}
