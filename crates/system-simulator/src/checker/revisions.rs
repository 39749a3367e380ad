//! One revision has one body, and what was confirmed is never rejected afterwards.

use super::commands::summary;
use super::reads::revision_of;
use super::{Report, Rule};
use crate::history::{Command, CommandRecord, History};
use std::collections::{BTreeMap, BTreeSet};
use tokio::time::Instant;

pub(super) fn check(history: &History, report: &mut Report) {
    check_bodies(history, report);
    check_rejections(history, report);
}

/// A configuration that was sent.
struct SentConfiguration<'a> {
    record: &'a CommandRecord,
    revision: u64,
    body: &'a str,
}

fn sent_configurations(history: &History) -> impl Iterator<Item = SentConfiguration<'_>> {
    history.commands.iter().filter_map(|record| match &record.command {
        Command::ReplaceConfiguration { revision, body } => {
            Some(SentConfiguration { record, revision: *revision, body })
        }
        _ => None,
    })
}

/// Two bodies are not both confirmed under one revision.
///
/// A revision that was passed over is acknowledged and changes nothing, whatever its body: that can only be where a
/// higher one was sent before, and no proxy or reader ever saw that revision in force.
fn check_bodies(history: &History, report: &mut Report) {
    let received: BTreeSet<u64> =
        history.received_registers.iter().map(|register| register.configuration).collect();
    let read: BTreeSet<u64> =
        history.configuration_reads.iter().filter_map(|read| revision_of(&read.text)).collect();
    let mut confirmed: BTreeMap<u64, Vec<(Instant, &str)>> = BTreeMap::new();
    for SentConfiguration { record, revision, body } in sent_configurations(history) {
        if let Some(at) = record.first_acknowledged_at() {
            confirmed.entry(revision).or_default().push((at, body));
        }
    }
    for (revision, bodies) in confirmed {
        let Some((first, body)) = bodies.iter().min().copied() else {
            continue;
        };
        if bodies.iter().all(|(_, other)| *other == body) {
            continue;
        }
        let passed_over =
            sent_configurations(history).any(|other| other.revision > revision && other.record.sent < first);
        if !passed_over || received.contains(&revision) || read.contains(&revision) {
            report.add(Rule::Configuration, first, format!("two bodies were confirmed as r{revision}"));
        }
    }
}

/// What was confirmed once is not rejected when it comes again.
fn check_rejections(history: &History, report: &mut Report) {
    let rejected = history.commands.iter().filter(|record| record.rejected.is_some());
    for record in rejected.filter(|record| !matches!(record.command, Command::ReplaceVoter { .. })) {
        let same = history.commands.iter().filter(|other| other.command == record.command);
        if same.filter_map(CommandRecord::first_acknowledged_at).next().is_some() {
            let description = format!("{} was taken, and refused later", summary(&record.command));
            report.add(Rule::Configuration, record.sent, description);
        }
    }
}
