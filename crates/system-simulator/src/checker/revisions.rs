//! Checks that each revision has one body, and that no command is both acknowledged and rejected.

use super::commands::describe;
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

/// Checks that no two bodies are acknowledged with the same revision.
///
/// The exception is a revision that is lower than the one in force: it is acknowledged without any effect, whatever
/// its body. In that case a higher revision was sent before, and no proxy or reader ever saw the lower one in force.
fn check_bodies(history: &History, report: &mut Report) {
    let received: BTreeSet<u64> =
        history.received_registers.iter().map(|register| register.configuration).collect();
    let read: BTreeSet<u64> =
        history.configuration_reads.iter().filter_map(|read| revision_of(&read.text)).collect();
    let mut acknowledged: BTreeMap<u64, Vec<(Instant, &str)>> = BTreeMap::new();
    for SentConfiguration { record, revision, body } in sent_configurations(history) {
        if let Some(at) = record.first_acknowledged_at() {
            acknowledged.entry(revision).or_default().push((at, body));
        }
    }
    for (revision, bodies) in acknowledged {
        let Some((first, body)) = bodies.iter().min().copied() else {
            continue;
        };
        if bodies.iter().all(|(_, other)| *other == body) {
            continue;
        }
        let may_be_superseded =
            sent_configurations(history).any(|other| other.revision > revision && other.record.sent < first);
        if !may_be_superseded || received.contains(&revision) || read.contains(&revision) {
            let description = format!("two different bodies were acknowledged as r{revision}");
            report.add(Rule::Configuration, first, description);
        }
    }
}

/// Checks that a command that was acknowledged once is not rejected when it is sent again.
fn check_rejections(history: &History, report: &mut Report) {
    let rejected = history.commands.iter().filter(|record| record.rejected.is_some());
    for record in rejected.filter(|record| !matches!(record.command, Command::ReplaceVoter { .. })) {
        let same = history.commands.iter().filter(|other| other.command == record.command);
        if same.filter_map(CommandRecord::first_acknowledged_at).next().is_some() {
            let description = format!("{} was both acknowledged and rejected", describe(&record.command));
            report.add(Rule::Configuration, record.sent, description);
        }
    }
}
