//! Checks that acknowledged commands are in force at the end, invalid ones are rejected, and valid ones are
//! acknowledged in time.

use super::availability::Availability;
use super::{Observation, Report, Rule};
use crate::history::{Command, CommandAttempt, CommandRecord, History};
use serde_json::Value;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// How long an acknowledgement may take while the system is stable.
const ACKNOWLEDGEMENT_DEADLINE: Duration = Duration::from_millis(6000);
/// Interval at which the stability of the system is evaluated.
const STABILITY_SAMPLING_INTERVAL: Duration = Duration::from_millis(100);

pub(super) fn check(availability: &Availability<'_>, history: &History, report: &mut Report) {
    check_final_configuration(availability, history, report);
    check_final_evacuations(history, report);
    for record in &history.commands {
        if matches!(record.command, Command::Invalid { .. }) && record.acknowledged.is_some() {
            report.add(Rule::Configuration, record.sent, "an invalid configuration was acknowledged");
        }
        check_acknowledgement(availability, history, record, report);
    }
}

/// Checks that the configuration that is read at the end was sent, and that it is at least as new as any that was
/// acknowledged before the read was sent.
fn check_final_configuration(availability: &Availability<'_>, history: &History, report: &mut Report) {
    let last = last_acknowledgement(availability, history);
    let final_read = history.final_configuration.as_ref();
    // Without a successful read, the newest of all acknowledged revisions counts.
    let newest = match final_read {
        Some(read) => history.newest_acknowledged_before(read.sent),
        None => history.commands.iter().filter_map(acknowledged_revision).max().unwrap_or(0),
    };
    let read: Option<Value> = final_read.and_then(|read| serde_json::from_str(&read.text).ok());
    let revision =
        read.as_ref().and_then(|read| read["revision"].as_str()?.strip_prefix('r')?.parse::<u64>().ok());
    if newest > 0 && revision.is_none_or(|revision| revision < newest) {
        let found = revision.map_or("no configuration".to_owned(), |revision| format!("r{revision}"));
        let description = format!("r{newest} was acknowledged, but {found} was read at the end");
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
        let description = format!("the body read at the end as r{revision} was never sent");
        report.add(Rule::Configuration, last, description);
    }
}

fn acknowledged_revision(record: &CommandRecord) -> Option<u64> {
    record.acknowledged.and_then(|_| record.command.revision())
}

/// When an operator got the last acknowledgement of any command, or else the start of the run.
pub(super) fn last_acknowledgement(observation: &Observation<'_>, history: &History) -> Instant {
    let acknowledged = history.commands.iter().filter_map(|record| record.acknowledged);
    acknowledged.max().unwrap_or(observation.started)
}

/// Checks that the last command for each zone is in force at the end, if it was acknowledged.
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
            let description = format!(
                "the acknowledged command for {zone} is not in force at the end (expected evacuated: {expected})"
            );
            report.add(Rule::LostCommand, record.sent, description);
        }
    }
}

/// Checks that a valid command is not rejected, and is acknowledged in time once the system is stable.
///
/// The replacement of a voter may be rejected, and so may one of two bodies with the same revision.
fn check_acknowledgement(
    availability: &Availability<'_>,
    history: &History,
    record: &CommandRecord,
    report: &mut Report,
) {
    let may_be_rejected = matches!(record.command, Command::Invalid { .. } | Command::ReplaceVoter { .. });
    if may_be_rejected || has_conflicting_body(history, record) {
        return;
    }
    if let Some(status) = record.rejected {
        let description = format!("{} was rejected with status {status}", describe(&record.command));
        report.add(Rule::Acknowledgement, record.sent, description);
    }
    if let Some(at) = overdue_at(availability, history, record) {
        let (command, sent) = (describe(&record.command), availability.seconds(record.sent));
        let acknowledged = record
            .acknowledged
            .map_or("never".to_owned(), |at| format!("at {:.2} s", availability.seconds(at)));
        let description = format!(
            "{command} was not acknowledged in time: sent at {sent:.2} s, acknowledged {acknowledged}; attempts: {}",
            describe_attempts(availability, record)
        );
        report.add(Rule::Acknowledgement, at, description);
    }
}

/// The controllers to which the operator sent the command, with times and results.
fn describe_attempts(availability: &Availability<'_>, record: &CommandRecord) -> String {
    let describe = |attempt: &CommandAttempt| {
        let (sent, ended) = (availability.seconds(attempt.sent), availability.seconds(attempt.ended));
        format!("{sent:.2} to {ended:.2} s central-{}: {}", attempt.controller, attempt.result)
    };
    record.attempts.iter().map(describe).collect::<Vec<_>>().join(", ")
}

/// When the system had been stable for longer than `ACKNOWLEDGEMENT_DEADLINE` without acknowledging the command, if
/// ever.
fn overdue_at(availability: &Availability<'_>, history: &History, record: &CommandRecord) -> Option<Instant> {
    let until = record.first_acknowledged_at().unwrap_or(record.sent + ACKNOWLEDGEMENT_DEADLINE * 4);
    let last_request = history.requests.values().map(|request| request.sent).max().unwrap_or(record.sent);
    let mut stable_for = Duration::ZERO;
    let mut at = record.sent;
    while at < until.min(last_request) {
        let is_stable = availability.is_stable(at);
        stable_for = if is_stable { stable_for + STABILITY_SAMPLING_INTERVAL } else { Duration::ZERO };
        at += STABILITY_SAMPLING_INTERVAL;
        if stable_for > ACKNOWLEDGEMENT_DEADLINE {
            return Some(at);
        }
    }
    None
}

/// A short description of a command.
pub(super) fn describe(command: &Command) -> String {
    match command {
        Command::ReplaceConfiguration { revision, .. } => format!("r{revision}"),
        Command::BeginEvacuation(zone) => format!("beginning the evacuation of {zone}"),
        Command::FinishEvacuation(zone) => format!("ending the evacuation of {zone}"),
        Command::Invalid { revision } => format!("invalid r{revision}"),
        Command::ReplaceVoter { outgoing, incoming } => format!("replacing voter {outgoing} by {incoming}"),
    }
}

/// Whether another body with the same revision was sent.
fn has_conflicting_body(history: &History, record: &CommandRecord) -> bool {
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
