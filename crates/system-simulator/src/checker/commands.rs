//! Acknowledged commands are in force at the end, invalid ones are rejected, and valid ones are acknowledged in time.

use super::availability::Availability;
use super::{Observation, Report, Rule};
use crate::history::{Command, CommandAttempt, CommandRecord, History};
use serde_json::Value;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// How long an acknowledgement may take while the system is stable.
const ACKNOWLEDGEMENT_TIME: Duration = Duration::from_millis(6000);
/// How often a stable time is looked for.
const STABILITY_STEP: Duration = Duration::from_millis(100);

pub(super) fn check(availability: &Availability<'_>, history: &History, report: &mut Report) {
    check_final_configuration(availability, history, report);
    check_final_evacuations(history, report);
    for record in &history.commands {
        if matches!(record.command, Command::Invalid { .. }) && record.acknowledged.is_some() {
            report.add(Rule::Configuration, record.sent, "what is invalid was acknowledged");
        }
        check_acknowledgement(availability, history, record, report);
    }
}

/// The configuration that is read at the end was sent so, and is at least as new as any that was acknowledged before
/// the read was sent.
fn check_final_configuration(availability: &Availability<'_>, history: &History, report: &mut Report) {
    let last = last_acknowledgement(availability, history);
    let final_read = history.final_configuration.as_ref();
    // One that never comes is judged by all that was acknowledged.
    let newest = match final_read {
        Some(read) => history.newest_acknowledged_before(read.sent),
        None => history.commands.iter().filter_map(acknowledged_revision).max().unwrap_or(0),
    };
    let read: Option<Value> = final_read.and_then(|read| serde_json::from_str(&read.text).ok());
    let revision =
        read.as_ref().and_then(|read| read["revision"].as_str()?.strip_prefix('r')?.parse::<u64>().ok());
    if newest > 0 && revision.is_none_or(|revision| revision < newest) {
        let description = format!("r{newest} was acknowledged, and {revision:?} is read back");
        report.add(Rule::Configuration, last, description);
    }
    let Some(revision) = revision else {
        return;
    };
    let was_sent = history.commands.iter().any(|record| match &record.command {
        Command::ReplaceConfiguration { revision: sent, body } if *sent == revision => {
            serde_json::from_str::<Value>(body).ok() == read
        }
        _ => false,
    });
    if !was_sent {
        let description = format!("what is read back under r{revision} was never sent so");
        report.add(Rule::Configuration, last, description);
    }
}

fn acknowledged_revision(record: &CommandRecord) -> Option<u64> {
    record.acknowledged.and_then(|_| record.command.revision())
}

/// When the last acknowledgement of any command came.
pub(super) fn last_acknowledgement(observation: &Observation<'_>, history: &History) -> Instant {
    let acknowledged = history.commands.iter().filter_map(|record| record.acknowledged);
    acknowledged.max().unwrap_or(observation.started)
}

/// The last command for a zone decides, where it was acknowledged.
fn check_final_evacuations(history: &History, report: &mut Report) {
    let mut last_by_zone: BTreeMap<&str, &CommandRecord> = BTreeMap::new();
    for record in &history.commands {
        if let Some(zone) = record.command.zone() {
            last_by_zone.insert(zone, record);
        }
    }
    let acknowledged = last_by_zone.into_iter().filter(|(_, record)| record.acknowledged.is_some());
    for (zone, record) in acknowledged {
        let expected = matches!(record.command, Command::BeginEvacuation(_));
        if history.final_evacuations.as_ref().is_some_and(|zones| zones.contains(zone) != expected) {
            let description = format!("{zone} evacuated: {expected}, acknowledged and gone");
            report.add(Rule::LostCommand, record.sent, description);
        }
    }
}

/// A valid command is not rejected, and is acknowledged in time once the system is stable.
///
/// A voter's replacement may be rejected, and so may one of two bodies under one revision.
fn check_acknowledgement(
    availability: &Availability<'_>,
    history: &History,
    record: &CommandRecord,
    report: &mut Report,
) {
    let may_be_rejected = matches!(record.command, Command::Invalid { .. } | Command::ReplaceVoter { .. });
    if may_be_rejected || is_contested(history, record) {
        return;
    }
    if record.rejected.is_some() {
        let description = format!("{:?} refused with {:?}", summary(&record.command), record.rejected);
        report.add(Rule::Acknowledgement, record.sent, description);
    }
    if let Some(at) = overdue_at(availability, history, record) {
        let (command, sent) = (summary(&record.command), availability.seconds(record.sent));
        let acknowledged = record.acknowledged.map(|at| availability.seconds(at));
        let description = format!(
            "{command} not acknowledged in time: sent at {sent:.2}, {acknowledged:.2?}; tries: {}",
            describe_attempts(availability, record)
        );
        report.add(Rule::Acknowledgement, at, description);
    }
}

/// Whom the operator asked and when, and what came of it.
fn describe_attempts(availability: &Availability<'_>, record: &CommandRecord) -> String {
    let describe = |attempt: &CommandAttempt| {
        let (sent, ended) = (availability.seconds(attempt.sent), availability.seconds(attempt.ended));
        format!("{sent:.2} to {ended:.2} s central-{}: {}", attempt.controller, attempt.result)
    };
    record.attempts.iter().map(describe).collect::<Vec<_>>().join(", ")
}

/// When the system had been stable for too long without a confirmation, if ever.
fn overdue_at(availability: &Availability<'_>, history: &History, record: &CommandRecord) -> Option<Instant> {
    let until = record.first_acknowledged_at().unwrap_or(record.sent + ACKNOWLEDGEMENT_TIME * 4);
    let last_request = history.requests.values().map(|request| request.sent).max().unwrap_or(record.sent);
    let mut stable_for = Duration::ZERO;
    let mut at = record.sent;
    while at < until.min(last_request) {
        let is_stable = availability.is_stable(at);
        stable_for = if is_stable { stable_for + STABILITY_STEP } else { Duration::ZERO };
        at += STABILITY_STEP;
        if stable_for > ACKNOWLEDGEMENT_TIME {
            return Some(at);
        }
    }
    None
}

/// A command in a few words.
pub(super) fn summary(command: &Command) -> String {
    match command {
        Command::ReplaceConfiguration { revision, .. } => format!("r{revision}"),
        Command::BeginEvacuation(zone) => format!("evacuation of {zone}: true"),
        Command::FinishEvacuation(zone) => format!("evacuation of {zone}: false"),
        Command::Invalid { revision } => format!("an invalid r{revision}"),
        Command::ReplaceVoter { outgoing, incoming } => format!("voter {incoming} for {outgoing}"),
    }
}

/// Whether another body was sent under the same revision.
fn is_contested(history: &History, record: &CommandRecord) -> bool {
    let Command::ReplaceConfiguration { revision, body } = &record.command else {
        return false;
    };
    history.commands.iter().any(|other| match &other.command {
        Command::ReplaceConfiguration { revision: other_revision, body: other_body } => {
            other_revision == revision && other_body != body
        }
        _ => false,
    })
}
