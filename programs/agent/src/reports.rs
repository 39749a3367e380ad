//! The reports to be sent with the next pull: those of the local proxy, and those of proxies whose agents pull
//! from this agent because they reach no up-to-date controller.

use std::collections::BTreeMap;
use std::time::Duration;
use vanewharf_clock::Timestamp;
use vanewharf_protocol::messages::ProxyReport;

/// The age from which reports are no longer sent. A proxy reports with each of its several pulls per second, so
/// an older report means that the proxy is gone or reports through another agent.
const MAX_REPORT_AGE: Duration = Duration::from_millis(800);

/// The maximum number of relayed reports. It suffices for a few peers, and is small so that one agent is not overloaded
/// when a whole region is cut off from the controllers.
const MAX_RELAYED_REPORTS: usize = 8;

/// A report and its time of creation by the local clock.
#[derive(Clone, Debug)]
struct TimedReport {
    report: ProxyReport,
    created_at: Timestamp,
}

impl TimedReport {
    fn new(report: ProxyReport, now: Timestamp) -> TimedReport {
        let created_at = now.before(Duration::from_millis(report.age_ms));
        TimedReport { report, created_at }
    }

    fn age(&self, now: Timestamp) -> Duration {
        now.since(self.created_at)
    }

    fn is_current(&self, now: Timestamp) -> bool {
        self.age(now) < MAX_REPORT_AGE
    }

    /// Returns the report with its age updated to `now`.
    fn with_current_age(&self, now: Timestamp) -> ProxyReport {
        ProxyReport { age_ms: self.age(now).as_millis() as u64, ..self.report.clone() }
    }
}

/// The newest report of each proxy.
#[derive(Debug, Default)]
pub(crate) struct ReportStore {
    local: Option<TimedReport>,
    /// The reports of other proxies, by proxy name.
    relayed: BTreeMap<String, TimedReport>,
}

impl ReportStore {
    /// Replaces the report of the local proxy.
    pub(crate) fn record_local(&mut self, report: ProxyReport, now: Timestamp) {
        self.local = Some(TimedReport::new(report, now));
    }

    /// Records reports of other proxies, up to [`MAX_RELAYED_REPORTS`] in total.
    pub(crate) fn record_relayed(&mut self, reports: &[ProxyReport], now: Timestamp) {
        self.relayed.retain(|_, report| report.is_current(now));
        let capacity_left = MAX_RELAYED_REPORTS.saturating_sub(self.relayed.len());
        for report in reports.iter().take(capacity_left) {
            self.relayed.insert(report.proxy.name.clone(), TimedReport::new(report.clone(), now));
        }
    }

    /// Returns the reports that are not too old, with the local proxy's first and at most one per proxy.
    pub(crate) fn current(&self, now: Timestamp) -> Vec<ProxyReport> {
        let local = self.local.as_ref().filter(|report| report.is_current(now));
        let local_name = local.map(|report| &report.report.proxy.name);
        let relayed = self.relayed.iter().filter(|(name, _)| Some(*name) != local_name);
        let relayed = relayed.map(|(_, report)| report).filter(|report| report.is_current(now));
        local.into_iter().chain(relayed).map(|report| report.with_current_age(now)).collect()
    }
}

#[cfg(test)]
mod tests;
