//! Checks that proxies never return to an older configuration, and that connected proxies apply acknowledged
//! configurations in time.

use super::availability::Availability;
use super::{Report, Rule};
use crate::history::History;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// How long after its acknowledgement a configuration may take to be in force at connected proxies.
const CONFIGURATION_PROPAGATION_TIME: Duration = Duration::from_millis(3000);
/// How long after its acknowledgement a revocation may take to be in force at all proxies, connected or not.
const REVOCATION_PROPAGATION_TIME: Duration = Duration::from_millis(5000);

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

/// Checks that revisions never decrease at a proxy, and that registers with the same revision have the same content.
pub(super) fn check_received_registers(history: &History, report: &mut Report) {
    let (mut digests, mut newest) = (BTreeMap::new(), BTreeMap::new());
    for received in &history.received_registers {
        let first = digests.entry(received.register).or_insert(received.digest);
        if *first != received.digest {
            let description = format!("two different registers have the revision {}", received.register);
            report.add(Rule::Configuration, received.at, description);
        }
        let last = newest.entry((received.proxy, received.incarnation)).or_insert((0, 0));
        if received.register < last.0 || received.configuration < last.1 {
            let description = format!(
                "proxy {} returned to register revision {} with configuration r{}",
                received.proxy, received.register, received.configuration
            );
            report.add(Rule::Configuration, received.at, description);
        }
        *last = (received.register, received.configuration);
    }
}

/// Checks that connected proxies do not use a configuration for too long after a newer one was acknowledged.
pub(super) fn check_configuration_in_use(
    availability: &Availability<'_>,
    history: &History,
    report: &mut Report,
) {
    let acknowledged = acknowledged_configurations(history);
    for request in history.requests.values() {
        let newer = acknowledged.iter().find(|configuration| {
            configuration.revision > request.revision
                && request.sent > configuration.at + CONFIGURATION_PROPAGATION_TIME
        });
        if let Some(newer) = newer
            && availability.is_proxy_connected(request.proxy, request.sent)
            && matches!(request.status, Some(200 | 401 | 404))
        {
            let description = format!(
                "proxy {} still used r{} after r{} was acknowledged",
                request.proxy, request.revision, newer.revision
            );
            report.add(Rule::Configuration, request.sent, description);
        }
    }
}

/// Checks that no proxy admits requests with a revoked key. Keys are never restored during a run, so any revision
/// without a key has revoked it.
pub(super) fn check_revoked_keys(history: &History, report: &mut Report) {
    let acknowledged = acknowledged_configurations(history);
    for execution in &history.executions {
        let lacks_key = |revision: u64| {
            let keys = history.access_keys.get(&revision);
            keys.is_some_and(|keys| !keys.contains(&execution.access_key))
        };
        let revoked = acknowledged.iter().find(|configuration| {
            lacks_key(configuration.revision)
                && execution.sent > configuration.at + REVOCATION_PROPAGATION_TIME
        });
        if let Some(revoked) = revoked {
            let description = format!(
                "proxy {} admitted {}, which r{} had revoked",
                execution.proxy, execution.access_key, revoked.revision
            );
            report.add(Rule::RevokedKey, execution.sent, description);
        }
    }
}
