//! Checks that reads are never stale and return what was sent and not rejected, and that all controllers agree at the
//! end.

use super::commands::last_acknowledgement;
use super::{Observation, Report, Rule};
use crate::history::{Command, CommandRecord, ConfigurationRead, History};
use std::collections::BTreeMap;

/// Extracts the revision from a configuration's text without parsing all of it: nothing else in a configuration has
/// the key `revision`.
pub(super) fn revision_of(text: &str) -> Option<u64> {
    text.split_once("\"revision\":\"r")?.1.split('"').next()?.parse().ok()
}

/// Checks that no read is older than what was acknowledged or read before it began, and that what it returns was sent
/// and not rejected.
pub(super) fn check_reads(history: &History, report: &mut Report) {
    let mut bodies: BTreeMap<u64, &str> = BTreeMap::new();
    for read in &history.configuration_reads {
        let Some(revision) = revision_of(&read.text) else {
            report.add(Rule::Configuration, read.received, "the text that was read has no revision");
            continue;
        };
        let newest = newest_before(history, read);
        if revision < newest {
            let description = format!("r{revision} was read after r{newest} had been acknowledged or read");
            report.add(Rule::StaleRead, read.sent, description);
        }
        if *bodies.entry(revision).or_insert(&read.text) != read.text {
            let description = format!("two different bodies were read as r{revision}");
            report.add(Rule::Configuration, read.received, description);
        }
        check_read_was_sent(history, read, revision, report);
    }
}

/// The newest revision that was acknowledged or read before a read began.
fn newest_before(history: &History, read: &ConfigurationRead) -> u64 {
    let earlier_reads = history.configuration_reads.iter().filter(|other| other.received < read.sent);
    let read_before = earlier_reads.filter_map(|other| revision_of(&other.text));
    read_before.max().unwrap_or(0).max(history.newest_acknowledged_before(read.sent))
}

fn check_read_was_sent(history: &History, read: &ConfigurationRead, revision: u64, report: &mut Report) {
    let same_body = |record: &CommandRecord| match &record.command {
        Command::ReplaceConfiguration { body, .. } => *body == read.text,
        _ => false,
    };
    let sent: Vec<_> =
        history.commands.iter().filter(|record| record.command.revision() == Some(revision)).collect();
    let mut add = |description| report.add(Rule::Configuration, read.received, description);
    if !sent.iter().any(|record| same_body(record)) {
        add(format!("the body that was read as r{revision} was never sent"));
    }
    if sent.iter().any(|record| same_body(record) && record.rejected.is_some()) {
        add(format!("r{revision} was rejected, but is in force"));
    }
    if sent.iter().any(|record| !same_body(record) && record.first_acknowledged_at().is_some()) {
        add(format!("another body than the one that was read was acknowledged as r{revision}"));
    }
}

/// Checks that all running controllers have the newest register at the end, and that it is not older than what was
/// acknowledged before their state was requested.
pub(super) fn check_agreement(observation: &Observation<'_>, history: &History, report: &mut Report) {
    let newest = history.final_states.iter().filter_map(|state| state.version).max();
    let last = last_acknowledgement(observation, history);
    for state in &history.final_states {
        if state.version != newest || state.version.is_none() {
            let description = format!(
                "{} has register and configuration {:?} at the end; the newest are {newest:?}",
                state.controller, state.version
            );
            report.add(Rule::Agreement, last, description);
        }
    }
    let first_request = history.final_states.iter().map(|state| state.requested_at).min();
    let acknowledged = first_request.map_or(0, |time| history.newest_acknowledged_before(time));
    if newest.is_some_and(|version| version.configuration < acknowledged) {
        let description = format!(
            "controllers have register and configuration {newest:?} at the end, but r{acknowledged} was acknowledged"
        );
        report.add(Rule::Agreement, last, description);
    }
}
