//! Checks after a run whether the system has kept its rules. The checks rely on what clients, backends and operators
//! observed, not on what the programs report about themselves, except for the rule that only one controller holds the
//! lease. Each rule, or group of rules about the same observations, has a separate module.

mod amnesia;
mod availability;
mod backends;
mod commands;
mod proxies;
mod quotas;
mod reads;
mod requests;
mod revisions;

use crate::cluster::{ControllerChange, FaultRecord};
use crate::ground_truth::GroundTruth;
use availability::Availability;
use std::fmt;
use std::time::Duration;
use tokio::time::Instant;

/// How long proxies and controllers may take to be connected again after a fault.
pub const MAX_RECONNECT_TIME: Duration = Duration::from_millis(4000);

/// A rule that the system must keep. `Display` is its name in reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Rule {
    /// The newest acknowledged configuration is in force, each revision has one body, and revisions never decrease.
    Configuration,
    /// The effect of an acknowledged evacuation command is not lost.
    LostCommand,
    /// Valid commands are acknowledged in time.
    Acknowledgement,
    /// A read never returns an older configuration than one that was acknowledged or read before.
    StaleRead,
    /// All controllers have the same state at the end of a run.
    Agreement,
    /// Requests with revoked access keys are not admitted.
    RevokedKey,
    /// Tenants get no more requests admitted than their quotas allow.
    Quota,
    /// Draining backends get no requests.
    Drain,
    /// Backends in evacuated zones get no requests.
    Evacuation,
    /// Backends get a limited number of requests while they warm up.
    WarmUp,
    /// At most one controller holds the lease.
    SingleLease,
    /// Programs do not exit unless they are killed.
    ProgramExit,
    /// Mutating requests are executed at most once.
    DuplicateExecution,
    /// Mutating requests that were executed are not answered as rejected.
    ExecutedButRejected,
}

impl fmt::Display for Rule {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Rule::Configuration => "CONFIG",
            Rule::LostCommand => "LOST",
            Rule::Acknowledgement => "DUTY",
            Rule::StaleRead => "STALE",
            Rule::Agreement => "AGREE",
            Rule::RevokedKey => "REVOKED",
            Rule::Quota => "QUOTA",
            Rule::Drain => "DRAIN",
            Rule::Evacuation => "EVAC",
            Rule::WarmUp => "FAILBACK",
            Rule::SingleLease => "LEASE",
            Rule::ProgramExit => "ENDED",
            Rule::DuplicateExecution => "TWICE",
            Rule::ExecutedButRejected => "REFUSED",
        })
    }
}

/// A rule that was violated.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// Seconds from the start of the run.
    pub at: f64,
    /// What was observed.
    pub description: String,
}

/// The input of the checker.
pub struct Observation<'a> {
    /// The backends and the history.
    pub ground_truth: &'a GroundTruth,
    /// The faults of the machines.
    pub faults: &'a [FaultRecord],
    /// Number of controllers at the start of the run.
    pub controllers: usize,
    /// Controllers that were added or removed during the run.
    pub controller_changes: &'a [ControllerChange],
    /// The start of the run.
    pub started: Instant,
}

impl Observation<'_> {
    /// Seconds from the start of the run.
    fn seconds(&self, at: Instant) -> f64 {
        at.duration_since(self.started).as_secs_f64()
    }
}

/// Collects violations.
struct Report {
    started: Instant,
    violations: Vec<Violation>,
}

impl Report {
    fn add(&mut self, rule: Rule, at: Instant, description: impl Into<String>) {
        let at = at.duration_since(self.started).as_secs_f64();
        self.violations.push(Violation { rule, at, description: description.into() });
    }
}

/// Returns all violations, grouped by rule.
pub fn check(observation: &Observation<'_>) -> Vec<Violation> {
    let history = observation.ground_truth.history.borrow();
    let mut report = Report { started: observation.started, violations: Vec::new() };
    let availability = Availability::new(observation);
    commands::check(&availability, &history, &mut report);
    revisions::check(&history, &mut report);
    reads::check_reads(&history, &mut report);
    reads::check_agreement(observation, &history, &mut report);
    proxies::check_received_registers(&history, &mut report);
    proxies::check_configuration_in_use(&availability, &history, &mut report);
    proxies::check_revoked_keys(&history, &mut report);
    quotas::check(&history, &mut report);
    backends::check(&availability, &history, &mut report);
    for at in &history.dual_leases {
        report.add(Rule::SingleLease, *at, "more than one controller holds the lease");
    }
    for exit in &history.exits {
        report.add(Rule::ProgramExit, observation.started, exit.clone());
    }
    requests::check(&history, &mut report);
    report.violations
}
