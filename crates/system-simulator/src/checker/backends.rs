//! Checks that draining backends and evacuated zones get no requests, and that backends that warm up get a limited
//! number.

use super::availability::Availability;
use super::quotas::first_excess;
use super::{Report, Rule};
use crate::configuration::WARMUP_RATE_PER_S;
use crate::ground_truth::{PLATFORM_LAG, SimulatedBackend};
use crate::history::{Command, Execution, History};
use std::time::Duration;

/// How long connected proxies may still send requests to a backend after the platform's list shows that it drains.
const DRAIN_PROPAGATION_TIME: Duration = Duration::from_millis(3000);
/// How long after its acknowledgement an evacuation may take to be in force at connected proxies.
const EVACUATION_PROPAGATION_TIME: Duration = Duration::from_millis(5000);
const WARMUP_WINDOW: Duration = Duration::from_secs(1);
const WARMUP_OVERSHOOT_FACTOR: f64 = 1.5;
const WARMUP_ALLOWANCE_REQUESTS: f64 = 5.0;

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
    let drain_listed_at = availability.ground_truth.drain_listed_at(&execution.backend);
    let deadline = drain_listed_at.map(|at| at + DRAIN_PROPAGATION_TIME);
    if deadline.is_some_and(|at| execution.at > at)
        && availability.is_proxy_connected(execution.proxy, execution.at)
    {
        let description =
            format!("draining {} got a request from proxy {}", execution.backend, execution.proxy);
        report.add(Rule::Drain, execution.at, description);
    }
}

/// Checks that the execution is not in an evacuated zone. The last command for the zone that was sent before the
/// execution decides: an evacuation counts as ended as soon as the command that ends it is sent.
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
        && record.acknowledged.is_some_and(|at| execution.at > at + EVACUATION_PROPAGATION_TIME)
        && availability.is_proxy_connected(execution.proxy, execution.at)
    {
        let description = format!(
            "{} in evacuated zone {} got a request from proxy {}",
            execution.backend, backend.zone, execution.proxy
        );
        report.add(Rule::Evacuation, execution.at, description);
    }
}

/// Checks that a backend gets a limited number of requests from when the platform's list shows it until it has warmed
/// up.
fn check_warmup(history: &History, id: &str, backend: &SimulatedBackend, report: &mut Report) {
    let (Some(from), Some(until)) = (backend.warming_from, backend.warming_until) else {
        return;
    };
    let listed_at = from + PLATFORM_LAG;
    let is_warming =
        |execution: &&Execution| execution.backend == id && execution.at >= listed_at && execution.at < until;
    let mut executions: Vec<&Execution> = history.executions.iter().filter(is_warming).collect();
    executions.sort_by_key(|execution| execution.at);
    let limit = WARMUP_RATE_PER_S * WARMUP_OVERSHOOT_FACTOR + WARMUP_ALLOWANCE_REQUESTS;
    if let Some((first, count)) = first_excess(&executions, WARMUP_WINDOW, limit) {
        let description =
            format!("{id} got {count} requests in 1 s while warming up; the limit is {limit:.1}");
        report.add(Rule::WarmUp, first.at, description);
    }
}
