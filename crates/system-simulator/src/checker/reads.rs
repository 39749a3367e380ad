//! Reads are never stale and return what was sent and confirmed; in the end all controllers agree.

use super::commands::last_acknowledgement;
use super::{Observation, Report, Rule};
use crate::history::{Command, CommandRecord, ConfigurationRead, History};
use std::collections::BTreeMap;

/// The revision of a configuration's text, found without parsing all of it; nothing else in one has that key.
pub(super) fn revision_of(text: &str) -> Option<u64> {
    text.split_once("\"revision\":\"r")?.1.split('"').next()?.parse().ok()
}

/// A read is never older than what was acknowledged, or read, before it began; and it was sent so, and not rejected.
pub(super) fn check_reads(history: &History, report: &mut Report) {
    let mut bodies: BTreeMap<u64, &str> = BTreeMap::new();
    for read in &history.configuration_reads {
        let Some(revision) = revision_of(&read.text) else {
            report.add(Rule::Configuration, read.received, "what was read back is no configuration");
            continue;
        };
        let newest = newest_before(history, read);
        if revision < newest {
            let description = format!("r{revision} was read back, after r{newest}");
            report.add(Rule::StaleRead, read.sent, description);
        }
        if *bodies.entry(revision).or_insert(&read.text) != read.text {
            let description = format!("two bodies were read back as r{revision}");
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
        add(format!("what was read back as r{revision} was never sent so"));
    }
    if sent.iter().any(|record| same_body(record) && record.rejected.is_some()) {
        add(format!("r{revision} was refused, and is in force"));
    }
    if sent.iter().any(|record| !same_body(record) && record.first_acknowledged_at().is_some()) {
        add(format!("another r{revision} was confirmed than is read back"));
    }
}

/// At the end all running controllers have the newest register, and it is not older than what was acknowledged before
/// they were asked.
pub(super) fn check_agreement(observation: &Observation<'_>, history: &History, report: &mut Report) {
    let newest = history.final_states.iter().filter_map(|state| state.version).max();
    let last = last_acknowledgement(observation, history);
    for state in &history.final_states {
        if state.version != newest || state.version.is_none() {
            let description = format!(
                "{} has {:?} at the end, and the newest is {newest:?}",
                state.controller, state.version
            );
            report.add(Rule::Agreement, last, description);
        }
    }
    let first_request = history.final_states.iter().map(|state| state.requested_at).min();
    let acknowledged = first_request.map_or(0, |time| history.newest_acknowledged_before(time));
    if newest.is_some_and(|version| version.configuration < acknowledged) {
        let description = format!("the postmasters have {newest:?}, and r{acknowledged} was acknowledged");
        report.add(Rule::Agreement, last, description);
    }
}
