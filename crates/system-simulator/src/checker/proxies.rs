//! Proxies never go back to an older configuration, and those in touch follow acknowledged changes in time.

use super::availability::Availability;
use super::{Report, Rule};
use crate::history::History;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// How long after its acknowledgement a configuration may take to be in force at proxies in touch.
const PROPAGATION_TIME: Duration = Duration::from_millis(3000);
/// How long after its acknowledgement a revocation may take to be in force everywhere.
const REVOCATION_TIME: Duration = Duration::from_millis(5000);

/// A configuration that was acknowledged.
struct Acknowledged {
    at: Instant,
    revision: u64,
}

fn acknowledged_configurations(history: &History) -> Vec<Acknowledged> {
    let acknowledged = |record: &crate::history::CommandRecord| {
        Some(Acknowledged { at: record.acknowledged?, revision: record.command.revision()? })
    };
    history.commands.iter().filter_map(acknowledged).collect()
}

/// No proxy goes back, and what has one revision is one register.
pub(super) fn check_received_registers(history: &History, report: &mut Report) {
    let (mut digests, mut newest) = (BTreeMap::new(), BTreeMap::new());
    for received in &history.received_registers {
        let first = digests.entry(received.register).or_insert(received.digest);
        if *first != received.digest {
            let description = format!("two words have the number {}", received.register);
            report.add(Rule::Configuration, received.at, description);
        }
        let last = newest.entry((received.proxy, received.incarnation)).or_insert((0, 0));
        if received.register < last.0 || received.configuration < last.1 {
            let description = format!("door {} went back to r{}", received.proxy, received.configuration);
            report.add(Rule::Configuration, received.at, description);
        }
        *last = (received.register, received.configuration);
    }
}

/// Proxies in touch decide by what was acknowledged.
pub(super) fn check_configuration_in_use(
    availability: &Availability<'_>,
    history: &History,
    report: &mut Report,
) {
    let acknowledged = acknowledged_configurations(history);
    for request in history.requests.values() {
        let newer = acknowledged.iter().find(|configuration| {
            configuration.revision > request.revision && request.sent > configuration.at + PROPAGATION_TIME
        });
        if let Some(newer) = newer
            && availability.proxy_is_in_touch(request.proxy, request.sent)
            && matches!(request.status, Some(200 | 401 | 404))
        {
            let description =
                format!("door {} went by r{}, after r{}", request.proxy, request.revision, newer.revision);
            report.add(Rule::Configuration, request.sent, description);
        }
    }
}

/// A revoked key admits nobody, at no proxy. Keys are never given back in a run, so any revision without a key has
/// revoked it.
pub(super) fn check_revoked_keys(history: &History, report: &mut Report) {
    let acknowledged = acknowledged_configurations(history);
    for execution in &history.executions {
        let lacks_key = |revision: u64| {
            let keys = history.access_keys.get(&revision);
            keys.is_some_and(|keys| !keys.contains(&execution.access_key))
        };
        let revoked = acknowledged.iter().find(|configuration| {
            lacks_key(configuration.revision) && execution.sent > configuration.at + REVOCATION_TIME
        });
        if let Some(revoked) = revoked {
            let description = format!(
                "door {} let {} in, taken away by r{}",
                execution.proxy, execution.access_key, revoked.revision
            );
            report.add(Rule::RevokedKey, execution.sent, description);
        }
    }
}
